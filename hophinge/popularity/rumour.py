"""What heads tell each other about demand: pages of a span's counts, and their sum over owners.

A page is replaced by a newer one of its owner and never added to it, so a rumour that comes twice, late or in another
order counts once. Pages of different spans of one owner are never mixed: a key that moved to another page between two
spans would count twice. What an owner claims is bounded by what its peers say that they served.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence

from msgspec import Struct

from hophinge.popularity.keys import KEY_BYTES, SEALED_BYTES

FORMAT = 1  # of a page; others are ignored, not guessed at
HEAD = struct.Struct(">BIHHf")  # format, span, this page's number, how many there are, all requests of the span
ITEM = struct.Struct(f">{KEY_BYTES}s{SEALED_BYTES}sf")
MAX_PAGE = 900  # bytes, as an entry bears
ITEMS_EACH = (MAX_PAGE - HEAD.size) // ITEM.size
MAX_PAGES = 8  # of one owner: 216 keys, 7 KB a span
CLAIM_FACTOR = 4.0  # an owner's claims count up to so many times the lower median of what owners served
MAX_COUNT = 1e12  # requests of a span; more is a lie or a fault


class Item(Struct, frozen=True):
    """One key's requests in a span; `sealed` is its locator, or zeros where that stays with its owner."""

    key: bytes
    sealed: bytes
    count: float


class Page(Struct, frozen=True):
    """A part of what an owner tells of one span."""

    span: int
    number: int
    pages: int
    served: float
    items: tuple[Item, ...]


def pages(span: int, served: float, items: Sequence[Item]) -> list[bytes]:
    """Write a span's counts, those that come first first; what does not fit is left out."""
    items = items[: ITEMS_EACH * MAX_PAGES]
    parts = [items[at : at + ITEMS_EACH] for at in range(0, len(items), ITEMS_EACH)] or [()]
    return [
        HEAD.pack(FORMAT, span & 0xFFFFFFFF, number, len(parts), served)
        + b"".join(ITEM.pack(one.key, one.sealed or bytes(SEALED_BYTES), one.count) for one in part)
        for number, part in enumerate(parts)
    ]


def read(data: bytes) -> Page | None:
    """Read a page; nothing where it is malformed, of another format, or says what cannot be."""
    if not HEAD.size <= len(data) <= MAX_PAGE or (len(data) - HEAD.size) % ITEM.size:
        return None
    form, span, number, count, served = HEAD.unpack_from(data)
    if form != FORMAT or not number < count <= MAX_PAGES or not 0.0 <= served <= MAX_COUNT:
        return None
    items = tuple(Item(*fields) for fields in ITEM.iter_unpack(data[HEAD.size :]))
    if any(not 0.0 <= one.count <= MAX_COUNT for one in items) or len({one.key for one in items}) < len(items):
        return None
    return Page(span, number, count, served, items)


class Told(Struct):
    """An owner's newest span: its pages so far, by number, each with its entry's version."""

    zone: str
    epoch: tuple[int, int]  # its process's start, and its span
    heard_us: int
    pages: dict[int, tuple[tuple[int, int], Page]]

    def all(self) -> list[Page]:
        """Tell the pages, in order."""
        return [page for _, (_, page) in sorted(self.pages.items())]


class Hearsay:
    """What all owners told, each by its newest word; one that says nothing new for `keep_us` counts no more."""

    def __init__(self, keep_us: int) -> None:
        self.keep_us = keep_us
        self.owners: dict[str, Told] = {}
        self.malformed = 0

    def take(self, now_us: int, owner: str, zone: str, version: tuple[int, int], data: bytes) -> bool:
        """Take a page; tells whether anything is new. An older, doubled or malformed one changes nothing."""
        page = read(data)
        if page is None:
            self.malformed += 1
            return False
        epoch = (version[0], page.span)
        told = self.owners.get(owner)
        if told is None or epoch > told.epoch:
            self.owners[owner] = Told(zone, epoch, now_us, {page.number: (version, page)})
            return True
        held = told.pages.get(page.number)
        if epoch < told.epoch or (held is not None and held[0] >= version):
            return False
        told.pages[page.number] = (version, page)
        return True

    def lapse(self, now_us: int) -> None:
        """Forget what nobody has said anew for too long."""
        for owner in [name for name, told in self.owners.items() if now_us - told.heard_us > self.keep_us]:
            del self.owners[owner]

    def drop(self, owner: str) -> None:
        """Forget an owner that is no more."""
        self.owners.pop(owner, None)

    def scales(self, own_served: float | None = None) -> dict[str, float]:
        """Tell by which factor each owner's claims count.

        What an owner's claims sum up to counts up to what it says it served, and that up to `CLAIM_FACTOR` times the
        lower median of what all owners that served anything, this process among them, say. So a liar adds at most that
        to all keys together, and while liars are fewer than half of those, that median is at most an honest owner's.
        """
        served = {owner: max((page.served for page in told.all()), default=0.0) for owner, told in self.owners.items()}
        figures = sorted(one for one in [*served.values(), own_served or 0.0] if one > 0.0)
        if not figures:
            return dict.fromkeys(served, 0.0)
        most = CLAIM_FACTOR * figures[(len(figures) - 1) // 2]
        found = {}
        for owner, told in self.owners.items():
            claimed = math.fsum(one.count for page in told.all() for one in page.items)
            allowed = min(served[owner], most)
            found[owner] = 1.0 if claimed <= allowed else allowed / claimed
        return found

    def sums(
        self, own_served: float | None = None, trust: Mapping[str, float] | None = None
    ) -> dict[str, dict[bytes, float]]:
        """Tell by zone each key's requests in the owners' last spans, as far as they count.

        An owner's word counts in part where `trust` says so.
        """
        found: dict[str, dict[bytes, float]] = {}
        for owner, scale in sorted(self.scales(own_served).items()):
            told = self.owners[owner]
            part = scale * (1.0 if trust is None else trust.get(owner, 1.0))
            zone = found.setdefault(told.zone, {})
            for page in told.all():
                for one in page.items:
                    zone[one.key] = zone.get(one.key, 0.0) + one.count * part
        return found

    def sealed(self) -> dict[bytes, bytes]:
        """Tell the sealed locators that came with keys."""
        empty = bytes(SEALED_BYTES)
        return {
            one.key: one.sealed
            for told in self.owners.values()
            for page in told.all()
            for one in page.items
            if one.sealed != empty
        }

    def claimants(self, key: bytes) -> list[str]:
        """Tell who told of a key, the one that claimed most first."""
        found = [
            (-one.count, owner)
            for owner, told in self.owners.items()
            for page in told.all()
            for one in page.items
            if one.key == key
        ]
        return [owner for _, owner in sorted(found)]
