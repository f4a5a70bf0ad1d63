"""What is known of the nodes: the time each takes for a unit, others' work there, silence, and so its room."""

from __future__ import annotations

import math
import random
from collections import deque

from hophinge.core import interface as api
from hophinge.core.choice.books import MEMORY, Book, Request, Slot
from hophinge.core.choice.volumes import Volume

CEILING = 32  # requests out at one node, the design's own ceiling
FLEET = 256  # requests out at one node by all gateways, where that leaves less than the ceiling
PART = 0.15  # part of the tightest aim that a node's units out may fill; the rest is for others
MEMORY_ALL = 0.98  # the same for all nodes together: about fifty answers count
SILENT = 1.0  # tightest aims without any answer after which a node with work out is taken as hung
FINE = 10  # looks within the tightest aim at a place where something is held
NOMINAL = 0.25  # quantile of time per unit, by machine kind, that counts as served without waiting
NOMINAL_STEP = 0.05  # part by which one answer moves that quantile
STALE = 2.0  # tightest aims after which what was seen of a node's wait counts for a third
PATIENCE = 1.0  # tightest aims that a request of full worth waits for others' work at a node
FRESH = 0.5  # weight of the newest answer in a node's wait


class Nodes:
    """The facts of one gateway, and what answers taught it of its nodes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        if settings.gateways < 1 or not settings.classes or not settings.plans or settings.tick_us < 1:
            raise ValueError("settings need a tick, gateways, classes and plans")
        if any(klass.aim_us <= 0 or klass.deadline_us <= 0 for klass in settings.classes):
            raise ValueError("a class needs an aim and a deadline above 0")
        self.settings = settings
        self.rules = settings.rules
        self.random = random.Random(seed)
        self.aim = min(klass.aim_us for klass in settings.classes)
        self.wake_us = max(settings.tick_us, self.aim // FINE)
        self.lead_us = self.wake_us + 2 * settings.tick_us  # an answer leaves so long before its deadline
        self.books: dict[str, Book] = {}
        self.shards: dict[int, list[Book]] = {}
        self.volumes: dict[str, Volume] = {}
        self.requests: dict[str, Request] = {}
        self.fresh: dict[str, Request] = {}  # held new objects, not bound to a node
        self.lost: dict[str, Request] = {}  # held reads whose shard no listed node holds
        self.turns: dict[tuple[str, str], list[Request]] = {}  # by volume and key, as key_rest
        self.key_rest: dict[tuple[str, str], int] = {}
        self.extra = deque[int]()
        self.taken = deque[int]()
        self.longest: dict[int, int] = {}
        self.version = 0  # of the node list held
        self.processes = 1  # that share this gateway's part: two while it is replaced
        self.deadlines: list[tuple[int, str]] = []
        self.copies: list[tuple[int, str]] = []  # when a second copy may go
        self.fair: dict[str, tuple[int, float]] = {}
        self.all_spent = self.all_served = 0.0  # by all nodes, for the time per unit of one not heard
        self.nominal: dict[int, float] = {}  # time per unit without waiting, by machine kind
        # of all nodes heard, lately
        self.usual_wait = 0.0
        self.usual_at = 0
        self.watch_due = self.woke_at = 0  # when it last found that it had stood still
        self.now = self.timer_at = 0  # when the next timer is due, 0: none is set
        self.full = False  # no node has room for the new object next in turn
        self.look: dict[str, None] = {}  # places (nodes, "" for new objects) to look at now
        self.again: dict[str, int] = {}  # places where something is held, and when to look again
        self.busy: dict[str, Book] = {}  # nodes with attempts out
        self.actions: list[api.Action] = []
        self.scorers: api.Scorers | None = None  # add times to nodes in `_place`

    @property
    def _mean_us(self) -> float:
        return self.all_spent / self.all_served if self.all_served else 0.0

    def _unit_us(self, book: Book) -> float:
        """Learned time per unit of a node, or the average of those heard."""
        return book.spent / book.served if book.served else self._mean_us

    def _nominal(self, book: Book) -> float:
        return self.nominal.get(book.entry.kind, self._mean_us)

    def _wait(self, book: Book) -> float:
        """Others' work ahead at a node; what was seen fades into what is usual at all nodes."""
        usual = self._usual_wait()
        return usual + (book.wait - usual) * self._known(book.wait_at) if book.wait_at else usual

    def _known(self, seen_at: int) -> float:
        return math.exp((seen_at - self.now) / (STALE * self.aim))

    def _usual_wait(self) -> float:
        """What nodes' waits were lately; it fades too, or who holds all back would never hear of better."""
        return self.usual_wait * self._known(self.usual_at)

    def _room(self, book: Book, units: float) -> bool:
        """The bound on units out: the learned rate times a part of the tightest aim, floored and capped."""
        last = max((slot.sent for slot in book.slots.values() if slot.units), default=0)
        lone = book.silent and self._usual_wait() < PART * self.aim
        if not last or (lone and self.now - last > 2 * SILENT * self.aim):
            return True  # one may go when none is out that may answer; what is silent alone is tried anew
        ceiling = max(1, min(CEILING, FLEET // self.settings.gateways) // self.processes)
        if book.silent or book.failures > 1 or len(book.slots) >= ceiling:
            return False
        # Many gateways' floors add up: where answers take longer than the part, the floor shrinks with them,
        # down to one request out. It covers every cause of slow answers; it costs rate where all work is big.
        floor = self.settings.most_units * min(1.0, PART * self.aim / max(book.lag, 1.0))
        bound = max(PART * self.aim / unit_us if (unit_us := self._unit_us(book)) > 0 else 0.0, floor)
        return book.units_out + units <= bound

    def _open(self, book: Book) -> bool:
        return book.rest_until <= self.now and self._room(book, min(1.0, self.settings.mean_units))

    def _look(self, node: str) -> None:
        """Look at a node's held requests, and at new objects, as something changed there."""
        self.full = False
        self.look[""] = None
        if book := self.books.get(node):
            book.full = False
            self.look[node] = None

    def _drop(self, book: Book, attempt: tuple[str, int]) -> Slot:
        slot, node = book.drop(attempt, self.now), book.entry.node
        if not book.slots:
            del self.busy[node]
        self._look(node)
        return slot

    def _served(self, book: Book, slot: Slot, took: int, done: int) -> None:
        """Learn from what a node has done, and when it was done."""
        # Nodes take requests in turn: what is out twice as long as one answered has lost its answer. A
        # book that kept room for it would leave an idle node unused until its client gives up.
        now = self.now
        for other in book.slots.values():
            if now - other.sent > 2 * (now - slot.sent):
                book.units_out -= other.units
                other.units = 0.0
        self.all_spent = self.all_spent * MEMORY_ALL + book.learn(slot, done)
        self.all_served = self.all_served * MEMORY_ALL + slot.units
        # Others' work, from an answer: what it took beyond the nominal time of our units, ahead too.
        units = max(slot.units, 1.0)
        nominal = self.nominal.get(book.entry.kind, took / units)
        nominal *= 1 + NOMINAL_STEP * (NOMINAL if took / units > nominal else NOMINAL - 1)
        self.nominal[book.entry.kind] = nominal
        wait = max(0.0, took - (slot.ahead + units) * nominal)
        before, usual = self._wait(book), self._usual_wait()
        self.usual_wait = usual + (wait - usual) * (1 - MEMORY)
        self.usual_at = self.now
        book.wait = before + (wait - before) * FRESH
        book.wait_at = self.now
        if book.silent:
            book.silent = False
            self.actions.append(api.Log(f"node {book.entry.node} answers again"))
        book.failures = 0

    def _watch_nodes(self) -> None:
        if self.settings.discovery is api.Discovery.ON_REQUEST and 0 <= self.watch_due <= self.now:
            self.actions.append(api.Watch())
            self.watch_due = self.now + max(self.rules.ask_within_us // 2, self.aim)
        for node, book in self.busy.items():
            if not book.silent and self.now - max(self.woke_at, book.quiet_since()) > SILENT * self.aim:
                book.silent = True
                self.actions.append(api.Log(f"node {node} has gone silent with {len(book.slots)} attempts out"))
