"""What the machine asks of those around it, and the agenda of what it does next."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import TypeAlias

from msgspec import Struct

from hophinge.cluster.interface import Entry, Member


class Send(Struct, frozen=True):
    """Send a datagram; `address` is host:port."""

    address: str
    data: bytes


class Changed(Struct, frozen=True):
    """Tell hearers of a member that came, or whose standing has changed."""

    member: Member


class Told(Struct, frozen=True):
    """Tell hearers of an entry."""

    entry: Entry
    gone: bool


class SteppedBack(Struct, frozen=True):
    """The process shares its name with an older one and says nothing any more."""

    why: str


Action: TypeAlias = Send | Changed | Told | SteppedBack


class Agenda:
    """What is due when; whoever drives the machine calls it at `next_us`."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0

    def at(self, when_us: int, what: Callable[[], None]) -> None:
        """Do something at a time."""
        self.number += 1
        heapq.heappush(self.heap, (when_us, self.number, what))

    @property
    def next_us(self) -> int | None:
        """Tell when something is due next."""
        return self.heap[0][0] if self.heap else None

    def due(self, now_us: int) -> Callable[[], None] | None:
        """Take what is due."""
        if self.heap and self.heap[0][0] <= now_us:
            return heapq.heappop(self.heap)[2]
        return None
