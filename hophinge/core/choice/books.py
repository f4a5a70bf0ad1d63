"""Books of what is out at each node, and the requests that stand in them or are held for them."""

from __future__ import annotations

from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.volumes import Volume

MEMORY = 0.9  # weight kept by what was learned at each new answer: about ten answers count
HOLD_PART = 0.25  # part of its time that a request is held unsent


class Slot:
    """One attempt's time in a book."""

    __slots__ = ("ahead", "begin", "end", "sent", "units")

    def __init__(self, begin: float, end: float, sent: int, units: float, ahead: float) -> None:
        self.begin = begin
        self.end = end
        self.sent = sent
        self.units = units
        self.ahead = ahead


class Book:
    """A node as seen from here: its reservations, the time it takes for a unit, and its health."""

    def __init__(self, entry: api.NodeEntry) -> None:
        self.entry = entry
        self.slots: dict[tuple[str, int], Slot] = {}
        self.free = 0.0
        self.units_out = 0.0
        self.spent = self.served = self.sent = 0.0  # sent: units of `recent`
        self.heard = 0
        self.lag = 0.0  # what answers took lately
        # others' work ahead, as answers told it
        self.wait = 0.0
        self.wait_at = 0
        self.rest_until = 0
        self.failures = 0  # trials in a row that failed
        self.silent = False
        self.full = False  # what is next here does not fit until an attempt ends
        self.recent: deque[tuple[int, float]] = deque()
        self.held: dict[str, Request] = {}

    def reserve(self, attempt: tuple[str, int], units: float, unit_us: float, now: int) -> None:
        """Book a slot behind the last."""
        begin = max(self.free, now)
        self.free = begin + units * unit_us
        self.slots[attempt] = Slot(begin, self.free, now, units, self.units_out)
        self.units_out += units

    def drop(self, attempt: tuple[str, int], now: int) -> Slot:
        """Take what is left of an attempt's slot out of the book; later slots move up."""
        slot = self.slots.pop(attempt)
        self.units_out = self.units_out - slot.units if self.slots else 0.0
        left = max(0.0, slot.end - max(slot.begin, now))
        for other in self.slots.values():
            if other.begin >= slot.end:
                other.begin -= left
                other.end -= left
        self.free -= left
        return slot

    def sent_since(self, then: int) -> float:
        """Units sent since then; what was sent before is forgotten."""
        while self.recent and self.recent[0][0] < then:
            self.sent -= self.recent.popleft()[1]
        return self.sent if self.recent else 0.0

    def quiet_since(self) -> int:
        """When the node, with work out, last gave a sign."""
        return max(self.heard, next(iter(self.slots.values())).sent)

    def learn(self, slot: Slot, now: int) -> int:
        """Learn the time per unit from a served request: time since the last answer, while work was out."""
        spent = max(0, now - max(slot.sent, self.heard))
        self.spent = self.spent * MEMORY + spent
        self.served = self.served * MEMORY + slot.units
        self.lag += (now - slot.sent - self.lag) * (1 - MEMORY) * 2
        return spent

    def warmth(self, now: int, cold_us: int) -> float:
        """How far a starting node has warmed up, from 0 to 1."""
        if not self.entry.started_us or cold_us <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.entry.started_us) / cold_us))


class Request:
    """A request from its arrival until its answer is given and no attempt is out."""

    __slots__ = (
        "aim_at",
        "ask",
        "attempts",
        "charged",
        "copied",
        "deadline",
        "done",
        "group",
        "hold_until",
        "klass",
        "lot",
        "out",
        "place",
        "queue",
        "ran_at",
        "ran_on",
        "started",
        "version",
        "volume",
        "wrote",
    )

    def __init__(
        self, ask: api.Arrival, klass: api.RequestClass, volume: Volume, now: int, waited: int, lot: float
    ) -> None:
        self.ask = ask
        self.klass = klass
        self.volume = volume
        self.queue: dict[str, Request] = {}  # where it is held
        self.place = ""
        self.aim_at = now - waited + klass.aim_us
        self.deadline = now + ask.time_left_us
        self.hold_until = now + int(HOLD_PART * ask.time_left_us)
        self.attempts = self.ran_at = 0
        self.lot = lot  # from 0 to 1, drawn once
        self.out: dict[int, Book] = {}
        self.group: list[Book] = []
        self.version = -1, 0  # of the node list and bounds that the group was formed from
        self.ran_on: Book | None = None  # where the first attempt went that may have run
        self.done = self.started = self.charged = self.copied = self.wrote = False
