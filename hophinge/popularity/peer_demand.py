"""The demand reports that heads exchange: the counts of a span in pages, and their sums by zone.

The owner of a page is the head that reports it. A newer page replaces the old one and is never added to it, so a page
that is received twice, late or out of order counts once. Pages of different spans of one owner are never combined: a
key that moved to another page between two spans would count twice. The claims of an owner are limited by the numbers of
requests that its peers report as served.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence

from msgspec import Struct

from hophinge.popularity.object_keys import KEY_BYTES, SEALED_BYTES

FORMAT_VERSION = 1  # of a page; pages of other versions are ignored
PAGE_HEADER = struct.Struct(">BIHHf")  # format version, span, page number, page count, all requests of the span
ITEM_STRUCT = struct.Struct(f">{KEY_BYTES}s{SEALED_BYTES}sf")
MAX_PAGE_BYTES = 900  # the limit of a replicated entry
ITEMS_PER_PAGE = (MAX_PAGE_BYTES - PAGE_HEADER.size) // ITEM_STRUCT.size
MAX_PAGES = 8  # of one owner and span: 216 keys, 7 KB
CLAIM_FACTOR = 4.0  # limit for the claims of an owner, as a multiple of the lower median of served requests
MAX_COUNT = 1e12  # requests of a span; a page with more is malformed


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
    """Encode the counts of a span in their order; items beyond `MAX_PAGES` pages are omitted."""
    items = items[: ITEMS_PER_PAGE * MAX_PAGES]
    item_groups = [items[start : start + ITEMS_PER_PAGE] for start in range(0, len(items), ITEMS_PER_PAGE)] or [()]
    return [
        PAGE_HEADER.pack(FORMAT_VERSION, span & 0xFFFFFFFF, number, len(item_groups), served)
        + b"".join(ITEM_STRUCT.pack(item.key, item.sealed or bytes(SEALED_BYTES), item.count) for item in group)
        for number, group in enumerate(item_groups)
    ]


def decode_page(data: bytes) -> DemandPage | None:
    """Decode a page; None if it is malformed, of another format version, or has impossible values."""
    if not PAGE_HEADER.size <= len(data) <= MAX_PAGE_BYTES or (len(data) - PAGE_HEADER.size) % ITEM_STRUCT.size:
        return None
    version, span, number, count, served = PAGE_HEADER.unpack_from(data)
    if version != FORMAT_VERSION or not number < count <= MAX_PAGES or not 0.0 <= served <= MAX_COUNT:
        return None
    items = tuple(DemandItem(*fields) for fields in ITEM_STRUCT.iter_unpack(data[PAGE_HEADER.size :]))
    if any(not 0.0 <= item.count <= MAX_COUNT for item in items) or len({item.key for item in items}) < len(items):
        return None
    return DemandPage(span, number, count, served, items)


class OwnerPages(Struct):
    """The newest span of an owner: the pages received so far by number, each with the version of its entry."""

    zone: str
    epoch: tuple[int, int]  # the generation of its process, and the span
    last_received_us: int
    pages: dict[int, tuple[tuple[int, int], DemandPage]]

    def ordered_pages(self) -> list[DemandPage]:
        """Return the pages by number."""
        return [page for _, (_, page) in sorted(self.pages.items())]


class PeerDemand:
    """The newest pages of all owners; they expire if their owner sends no new span for `retention_us`."""

    def __init__(self, retention_us: int) -> None:
        self.retention_us = retention_us
        self.owners: dict[str, OwnerPages] = {}
        self.malformed = 0

    def apply_page(self, now_us: int, owner: str, zone: str, version: tuple[int, int], data: bytes) -> bool:
        """Apply a page; returns whether it is new. An older or duplicate page is ignored, a malformed one counted."""
        page = decode_page(data)
        if page is None:
            self.malformed += 1
            return False
        epoch = (version[0], page.span)
        owner_pages = self.owners.get(owner)
        if owner_pages is None or epoch > owner_pages.epoch:
            self.owners[owner] = OwnerPages(zone, epoch, now_us, {page.number: (version, page)})
            return True
        current = owner_pages.pages.get(page.number)
        if epoch < owner_pages.epoch or (current is not None and current[0] >= version):
            return False
        owner_pages.pages[page.number] = (version, page)
        return True

    def expire(self, now_us: int) -> None:
        """Remove owners without a new span for `retention_us`."""
        for owner in [
            name
            for name, owner_pages in self.owners.items()
            if now_us - owner_pages.last_received_us > self.retention_us
        ]:
            del self.owners[owner]

    def forget(self, owner: str) -> None:
        """Remove an owner that has left."""
        self.owners.pop(owner, None)

    def claim_factors(self, own_served: float | None = None) -> dict[str, float]:
        """Return the factor by which the claims of each owner are scaled.

        The sum of an owner's claims is limited to the requests that it reports as served, and those to `CLAIM_FACTOR`
        times the lower median over all owners that served any, this process included. So a Byzantine owner adds at most
        that to all keys together. While Byzantine owners are fewer than half, the median is at most that of an honest
        owner.
        """
        served = {
            owner: max((page.served_requests for page in owner_pages.ordered_pages()), default=0.0)
            for owner, owner_pages in self.owners.items()
        }
        served_counts = sorted(count for count in [*served.values(), own_served or 0.0] if count > 0.0)
        if not served_counts:
            return dict.fromkeys(served, 0.0)
        limit = CLAIM_FACTOR * served_counts[(len(served_counts) - 1) // 2]
        factors = {}
        for owner, owner_pages in self.owners.items():
            claimed = math.fsum(item.count for page in owner_pages.ordered_pages() for item in page.items)
            allowed = min(served[owner], limit)
            factors[owner] = 1.0 if claimed <= allowed else allowed / claimed
        return factors

    def sums_by_zone(
        self, own_served: float | None = None, trust: Mapping[str, float] | None = None
    ) -> dict[str, dict[bytes, float]]:
        """Return the requests for each key in the owners' last spans, by zone.

        Args:
            own_served: The requests that this process served.
            trust: Factors from 0 to 1 by owner that scale the claims in addition.

        """
        sums: dict[str, dict[bytes, float]] = {}
        for owner, scale in sorted(self.claim_factors(own_served).items()):
            owner_pages = self.owners[owner]
            factor = scale * (1.0 if trust is None else trust.get(owner, 1.0))
            zone_sums = sums.setdefault(owner_pages.zone, {})
            for page in owner_pages.ordered_pages():
                for item in page.items:
                    zone_sums[item.key] = zone_sums.get(item.key, 0.0) + item.count * factor
        return sums

    def sealed_locators(self) -> dict[bytes, bytes]:
        """Return the encrypted locators that were received, by key."""
        empty = bytes(SEALED_BYTES)
        return {
            item.key: item.sealed
            for owner_pages in self.owners.values()
            for page in owner_pages.ordered_pages()
            for item in page.items
            if item.sealed != empty
        }

    def claimants(self, key: bytes) -> list[str]:
        """Return the owners that claim requests for a key, the largest claim first."""
        claims = [
            (-item.count, owner)
            for owner, owner_pages in self.owners.items()
            for page in owner_pages.ordered_pages()
            for item in page.items
            if item.key == key
        ]
        return [owner for _, owner in sorted(claims)]
