"""The demand that heads exchange: pages of a span's counts, and their sum over owners.

A page is replaced by a newer one of its owner and never added to it, so one that is received twice, late or out of
order counts once. Pages of different spans of one owner are never mixed: a key that moved to another page between two
spans would count twice. The claims of an owner are bounded by what its peers report that they served.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence

from msgspec import Struct

from hophinge.popularity.object_keys import KEY_BYTES, SEALED_BYTES

FORMAT_VERSION = 1  # of a page; other versions are ignored
PAGE_HEADER = struct.Struct(">BIHHf")  # format, span, page number, page count, all requests of the span
ITEM_STRUCT = struct.Struct(f">{KEY_BYTES}s{SEALED_BYTES}sf")
MAX_PAGE_BYTES = 900  # the limit of a replicated entry
ITEMS_PER_PAGE = (MAX_PAGE_BYTES - PAGE_HEADER.size) // ITEM_STRUCT.size
MAX_PAGES = 8  # of one owner: 216 keys, 7 KB per span
CLAIM_FACTOR = 4.0  # claims of an owner count up to this multiple of the lower median of served requests
MAX_COUNT = 1e12  # requests of a span; more is a fault


class DemandItem(Struct, frozen=True):
    """The requests for one key in a span; `sealed` is its encrypted locator, or zeros if that stays with its owner."""

    key: bytes
    sealed: bytes
    count: float


class DemandPage(Struct, frozen=True):
    """A page of an owner's counts of one span."""

    span: int
    number: int
    page_count: int
    served_requests: float
    items: tuple[DemandItem, ...]


def encode_pages(span: int, served: float, items: Sequence[DemandItem]) -> list[bytes]:
    """Encode the counts of a span in their order; what exceeds `MAX_PAGES` is omitted."""
    items = items[: ITEMS_PER_PAGE * MAX_PAGES]
    parts = [items[at : at + ITEMS_PER_PAGE] for at in range(0, len(items), ITEMS_PER_PAGE)] or [()]
    return [
        PAGE_HEADER.pack(FORMAT_VERSION, span & 0xFFFFFFFF, number, len(parts), served)
        + b"".join(ITEM_STRUCT.pack(one.key, one.sealed or bytes(SEALED_BYTES), one.count) for one in part)
        for number, part in enumerate(parts)
    ]


def decode_page(data: bytes) -> DemandPage | None:
    """Decode a page; None if it is malformed, of another format version, or has impossible values."""
    if not PAGE_HEADER.size <= len(data) <= MAX_PAGE_BYTES or (len(data) - PAGE_HEADER.size) % ITEM_STRUCT.size:
        return None
    form, span, number, count, served = PAGE_HEADER.unpack_from(data)
    if form != FORMAT_VERSION or not number < count <= MAX_PAGES or not 0.0 <= served <= MAX_COUNT:
        return None
    items = tuple(DemandItem(*fields) for fields in ITEM_STRUCT.iter_unpack(data[PAGE_HEADER.size :]))
    if any(not 0.0 <= one.count <= MAX_COUNT for one in items) or len({one.key for one in items}) < len(items):
        return None
    return DemandPage(span, number, count, served, items)


class OwnerPages(Struct):
    """The newest span of an owner: its pages so far by number, each with the version of its entry."""

    zone: str
    epoch: tuple[int, int]  # its process's generation, and its span
    last_received_us: int
    pages: dict[int, tuple[tuple[int, int], DemandPage]]

    def ordered_pages(self) -> list[DemandPage]:
        """Return the pages in order."""
        return [page for _, (_, page) in sorted(self.pages.items())]


class PeerDemand:
    """The newest pages of all owners; those of an owner without new ones for `retention_us` expire."""

    def __init__(self, retention_us: int) -> None:
        self.retention_us = retention_us
        self.owners: dict[str, OwnerPages] = {}
        self.malformed = 0

    def apply_page(self, now_us: int, owner: str, zone: str, version: tuple[int, int], data: bytes) -> bool:
        """Apply a page; returns whether it is new. An older, duplicate or malformed one has no effect."""
        page = decode_page(data)
        if page is None:
            self.malformed += 1
            return False
        epoch = (version[0], page.span)
        told = self.owners.get(owner)
        if told is None or epoch > told.epoch:
            self.owners[owner] = OwnerPages(zone, epoch, now_us, {page.number: (version, page)})
            return True
        held = told.pages.get(page.number)
        if epoch < told.epoch or (held is not None and held[0] >= version):
            return False
        told.pages[page.number] = (version, page)
        return True

    def expire(self, now_us: int) -> None:
        """Forget owners without new pages for `retention_us`."""
        for owner in [name for name, told in self.owners.items() if now_us - told.last_received_us > self.retention_us]:
            del self.owners[owner]

    def forget(self, owner: str) -> None:
        """Forget an owner that is gone."""
        self.owners.pop(owner, None)

    def claim_factors(self, own_served: float | None = None) -> dict[str, float]:
        """Return the factor by which the claims of each owner count.

        The sum of an owner's claims counts up to the requests that it reports as served, and those up to `CLAIM_FACTOR`
        times the lower median over all owners that served any, this process included. So a Byzantine owner adds at most
        that to all keys together, and while these are fewer than half, that median is at most an honest owner's.
        """
        served = {
            owner: max((page.served_requests for page in told.ordered_pages()), default=0.0)
            for owner, told in self.owners.items()
        }
        figures = sorted(one for one in [*served.values(), own_served or 0.0] if one > 0.0)
        if not figures:
            return dict.fromkeys(served, 0.0)
        most = CLAIM_FACTOR * figures[(len(figures) - 1) // 2]
        found = {}
        for owner, told in self.owners.items():
            claimed = math.fsum(one.count for page in told.ordered_pages() for one in page.items)
            allowed = min(served[owner], most)
            found[owner] = 1.0 if claimed <= allowed else allowed / claimed
        return found

    def sums_by_zone(
        self, own_served: float | None = None, trust: Mapping[str, float] | None = None
    ) -> dict[str, dict[bytes, float]]:
        """Return the requests for each key in the owners' last spans, by zone.

        Args:
            own_served: The requests that this process served.
            trust: By owner, the factor from 0 to 1 that its claims are scaled by in addition.

        """
        found: dict[str, dict[bytes, float]] = {}
        for owner, scale in sorted(self.claim_factors(own_served).items()):
            told = self.owners[owner]
            part = scale * (1.0 if trust is None else trust.get(owner, 1.0))
            zone = found.setdefault(told.zone, {})
            for page in told.ordered_pages():
                for one in page.items:
                    zone[one.key] = zone.get(one.key, 0.0) + one.count * part
        return found

    def sealed_locators(self) -> dict[bytes, bytes]:
        """Return the encrypted locators that were received, by key."""
        empty = bytes(SEALED_BYTES)
        return {
            one.key: one.sealed
            for told in self.owners.values()
            for page in told.ordered_pages()
            for one in page.items
            if one.sealed != empty
        }

    def claimants(self, key: bytes) -> list[str]:
        """Return the owners that claim requests for a key, the largest claim first."""
        found = [
            (-one.count, owner)
            for owner, told in self.owners.items()
            for page in told.ordered_pages()
            for one in page.items
            if one.key == key
        ]
        return [owner for _, owner in sorted(found)]
