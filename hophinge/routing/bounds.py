"""The forms on maintenance as records: how much may be out at once, what is to be out, and which build is to come."""

from __future__ import annotations

import msgspec
from msgspec import Struct


class Most(Struct, frozen=True):
    """How many of a kind may be out at once, in all and in one zone; negative: not stated. The strictest counts."""

    most: int = -1
    part: float = -1.0
    zone_most: int = -1
    zone_part: float = -1.0

    def allowed(self, total: int) -> int:
        """Tell how many of so many may be out."""
        return _strictest(self.most, self.part, total)

    def allowed_zone(self, size: int) -> int:
        """Tell how many may be out of a zone with so many."""
        return _strictest(self.zone_most, self.zone_part, size)


def _strictest(most: int, part: float, total: int) -> int:
    stated = [most] if most >= 0 else []
    if part >= 0:
        stated.append(int(part * total + 1e-9))
    return min(stated, default=total)


class Maintenance(Struct, frozen=True, tag="maintenance"):
    """What may be out of service on purpose; heads are not told."""

    heads: Most | None = None  # None: none may
    backends: Most | None = msgspec.field(default=None, name="bricks")
    served: int = 2  # heads that a brick has to answer again, warm, before its place is free
    capacity: float = 0.0  # units/s of one brick, by which pools keep what reserves need; 0: unknown
    retired: tuple[str, ...] = ()  # heads that are gone for good, by an operator's word
    free: tuple[str, ...] = ()  # permits whose places are free by an operator's word

    @property
    def key(self) -> str:
        """Tell the name that the control service knows it by."""
        return "maintenance/*"


class Outage(Struct, frozen=True, tag="outage"):
    """Bricks and heads that are to be out for as long as the form stands; heads are not told of the form."""

    name: str
    backends: tuple[str, ...] = msgspec.field(default=(), name="bricks")
    heads: tuple[str, ...] = ()
    without: tuple[str, ...] = ()  # heads whose word is not waited for

    @property
    def key(self) -> str:
        """Tell the name that the control service knows it by."""
        return f"outage/{self.name}"


class Release(Struct, frozen=True, tag="release"):
    """A build that heads are to come back with, wave by wave; heads are not told of the form."""

    name: str
    build: str
    heads: tuple[str, ...] = ()  # empty: all
    waves: tuple[float, ...] = (1.0,)  # parts of the targets, rising; the first head of all goes alone
    settle_us: int = 30_000_000
    patience_us: int = 300_000_000  # from a head's begin until it is back
    refused: float = 0.02  # part of a wave's requests that fail beyond the others' part: it halts
    word: str = "go"  # or "halt", or "back"
    again: int = 0  # raised by whoever lets a halted one go on

    @property
    def key(self) -> str:
        """Tell the name that the control service knows it by."""
        return f"release/{self.name}"
