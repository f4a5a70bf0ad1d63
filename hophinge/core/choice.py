"""Every decision of hophinge; the types it works with are in hophinge/core/interface.py.

A new object's key is hashed to a group of nodes, and of these the one whose book frees earliest takes it.
A book holds when the units sent to its node from here should be done. What may not go yet is held, and leaves
by worth.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from hashlib import blake2b

from hophinge.core.interface import (
    Action, Arrival, Cancel, DedupScope, Departure, Discovery, Effect, Event, Fail, ListKind, Log, NodeEntry,
    NodeList, Outcome, Phase, Plan, Refuse, RequestClass, Result, Send, SetTimer, Settings, StreamStarted,
    TimerDue, Watch,
)

GROUP = 9               # members of a key's group: the paper's negotiating group, three times three replicas
CEILING = 32            # requests out at one node, the design's own ceiling
FLEET = 256             # requests out at one node by all gateways, where that leaves less than the ceiling
PART = 0.25             # part of the tightest aim that a node's units out may fill; the rest is for others
MEMORY = 0.9            # weight kept by what was learned at each new answer: about ten answers count
MEMORY_ALL = 0.98       # the same for all nodes together: about fifty answers count
SILENT = 1.0            # tightest aims without any answer after which a node with work out is taken as hung
RETRY_REST = 0.2        # tightest aims that a node rests after it failed or turned away an attempt
LONGEST_REST = 5        # doublings of that rest while trials go on failing: some seconds, as lists are late
COLD_PART = 0.5         # part of a cold node's reckoned allowance used: units only stand for work
SLACK_USED = 0.5        # part of a limit's slack used; the rest covers what rounding and clocks may add
HOLD_PART = 0.45        # part of its time that a request is held unsent
COME_BACK = 2.0         # tightest aims after which a refused client is told to come back
FINE = 10               # looks within the tightest aim at a place where something is held
NOMINAL = 0.25          # quantile of time per unit, by machine kind, that counts as served without waiting
NOMINAL_STEP = 0.05     # part by which one answer moves that quantile
STALE = 5.0             # tightest aims after which what was seen of a node's wait counts for a third
PATIENCE = 0.75         # tightest aims that a request of full worth waits for others' work at a node
FRESH = 0.5             # weight of the newest answer in a node's wait
FORGET_US = 60_000_000  # a volume unheard of for a minute is forgotten; no request lives that long
USE_MEMORY_S = 1.0      # seconds over which a volume's use counts: worth is dealt out second by second

NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})
FAILED = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.ERROR, Result.RESET})
MAY_RUN_ON = frozenset({Result.TIMEOUT, Result.RESET, Result.CANCELLED})


class Bucket:
    """A store of units that fills at a rate; it starts empty, as a predecessor may have spent it."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate, self.depth, self.level, self.at = rate, depth, level, now

    def fill(self, now: int, rate: float) -> float:
        """Bring the store up to now and tell its level."""
        self.level = min(self.depth, self.level + self.rate * (now - self.at) / 1e6)
        self.rate, self.at = rate, now
        return self.level


class Gauge:
    """Units that fade with time; its value is about the rate of the last while."""

    def __init__(self) -> None:
        self.units, self.at = 0.0, 0

    def add(self, now: int, units: float) -> None:
        """Count units."""
        self.units, self.at = self.rate(now) + units / USE_MEMORY_S, now

    def rate(self, now: int) -> float:
        """Units a second, lately."""
        return self.units * math.exp((self.at - now) / 1e6 / USE_MEMORY_S)


class Volume:
    """What this gateway knows of one volume: its plan's stores, its use here and everywhere."""

    def __init__(self, settings: Settings, plan_number: int, now: int) -> None:
        self.number, self.plan = plan_number, settings.plans[plan_number]
        self.gateways, self.seen = 1, now
        self.reserve = Bucket(0.0, self.plan.reserve + settings.most_units, settings.most_units, now)
        self.limit = Bucket(0.0, 0.0, 0.0, now)
        self.all_use = 0.0
        self.own = Gauge()
        self.beyond: dict[str, Gauge] = {}

    def spread(self, gateways: int, now: int, processes: int) -> None:
        """Split the limit by the most gateways heard of: whatever they send, the sum stays within it."""
        self.gateways, self.seen = max(self.gateways, gateways), now
        parts = self.gateways * processes
        self.limit.depth = (self.plan.limit_burst + SLACK_USED * self.plan.limit_slack) / parts
        self.limit.fill(now, self.plan.limit / parts)

    def within_limit(self, units: float, now: int) -> bool:
        """Tell whether the limit's part of this gateway has these units."""
        return self.plan.limit <= 0 or self.limit.fill(now, self.limit.rate) >= units

    def reserve_left(self, now: int) -> float:
        """Reserve still due here: this gateway's part is its part of the volume's use, by the meter."""
        own = self.own.rate(now)
        part = max(own / max(own, self.all_use, 1e-9), 1 / self.gateways)
        return self.reserve.fill(now, self.plan.reserve * part)


class Slot:
    """One attempt's time in a book."""

    __slots__ = ("ahead", "begin", "end", "sent", "units")

    def __init__(self, begin: float, end: float, sent: int, units: float, ahead: float) -> None:
        self.begin, self.end, self.sent, self.units, self.ahead = begin, end, sent, units, ahead


class Book:
    """A node as seen from here: its reservations, the time it takes for a unit, and its health."""

    def __init__(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.slots: dict[tuple[str, int], Slot] = {}
        self.free = 0.0
        self.units_out = 0.0
        self.spent = self.served = self.sent = 0.0      # sent: units of `recent`
        self.heard = 0
        self.lag = 0.0                  # what answers took lately
        self.wait, self.wait_at = 0.0, 0    # others' work ahead, as answers told it
        self.rest_until = 0
        self.failures = 0               # trials in a row that failed
        self.silent = False
        self.full = False               # what is next here does not fit until an attempt ends
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

    __slots__ = ("aim_at", "ask", "attempts", "charged", "copied", "deadline", "done", "group", "hold_until", "klass",
                 "lot", "out", "place", "queue", "ran_at", "ran_on", "started", "version", "volume", "wrote")

    def __init__(self, ask: Arrival, klass: RequestClass, volume: Volume, now: int, elapsed: int,
                 lot: float) -> None:
        self.ask, self.klass, self.volume = ask, klass, volume
        self.queue: dict[str, Request] | None = None    # where it is held
        self.place = ""
        self.aim_at = now - elapsed + klass.aim_us
        self.deadline = now + ask.time_left_us
        self.hold_until = now + int(HOLD_PART * ask.time_left_us)
        self.attempts = 0
        self.lot = lot                      # from 0 to 1, drawn once
        self.out: dict[int, Book] = {}
        self.group: list[Book] = []
        self.version = -1, 0                # of the node list and bounds that the group was formed from
        self.ran_on: Book | None = None     # where the first attempt went that may have run
        self.ran_at = 0
        self.done = self.started = self.charged = self.copied = self.wrote = False


Ready = tuple[float, int, str, Request, Book | None]


class Scheduler:
    """The decisions of one gateway. It reads no clock and does no I/O."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if settings.gateways < 1 or not settings.classes or not settings.plans or settings.tick_us < 1:
            raise ValueError("settings need a tick, gateways, classes and plans")
        if any(klass.aim_us <= 0 or klass.deadline_us <= 0 for klass in settings.classes):
            raise ValueError("a class needs an aim and a deadline above 0")
        self.settings = settings
        self.rules = settings.rules
        self.random = random.Random(seed)
        self.aim = min(klass.aim_us for klass in settings.classes)
        self.wake_us = max(settings.tick_us, self.aim // FINE)
        self.lead_us = self.wake_us + 2 * settings.tick_us      # an answer leaves so long before its deadline
        self.books: dict[str, Book] = {}
        self.shards: dict[int, list[Book]] = {}
        self.volumes: dict[str, Volume] = {}
        self.requests: dict[str, Request] = {}
        self.fresh: dict[str, Request] = {}     # held new objects, not bound to a node
        self.lost: dict[str, Request] = {}      # held reads whose shard no listed node holds
        self.turns: dict[str, list[Request]] = {}
        self.key_rest: dict[str, int] = {}
        self.extra: deque[int] = deque()
        self.taken: deque[int] = deque()
        self.longest: dict[int, int] = {}
        self.version = 0                        # of the node list held
        self.processes = 1                      # that share this gateway's part: two while it is replaced
        self.deadlines: list[tuple[int, str]] = []
        self.copies: list[tuple[int, str]] = []     # when a second copy may go
        self.fair: dict[str, tuple[int, float]] = {}
        self.all_spent = self.all_served = 0.0  # by all nodes, for the time per unit of one not heard
        self.nominal: dict[int, float] = {}     # time per unit without waiting, by machine kind
        self.usual_wait, self.usual_at = 0.0, 0     # of all nodes heard, lately
        self.watch_due = self.woke_at = 0       # when it last found that it had stood still
        self.now = self.timer_at = 0            # when the next timer is due, 0: none is set
        self.full = False                       # no node has room for the new object next in turn
        self.look: dict[str, None] = {}         # places (nodes, "" for new objects) to look at now
        self.again: dict[str, int] = {}         # places where something is held, and when to look again
        self.busy: dict[str, Book] = {}         # nodes with attempts out
        self.actions: list[Action] = []

    def handle(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take what came in at one moment and tell what to do."""
        self.now = now_us
        self.actions = []
        for event in events:
            match event:
                case Arrival():
                    self._arrival(event)
                case Outcome():
                    self._outcome(event)
                case NodeList():
                    self._node_list(event)
                case TimerDue():
                    if self.timer_at <= now_us:
                        # A gateway that stood still accuses no node of the silence meanwhile.
                        late = self.timer_at and now_us - self.timer_at > self.aim // FINE
                        self.timer_at, self.woke_at = 0, now_us if late else self.woke_at
                case Departure():
                    self._finish(event.request)
                case StreamStarted():
                    self._stream_started(event)
        self._watch_nodes()
        if self.copies:
            self._copy()
        for place, due in self.again.items():
            if due <= now_us:
                self.look[place] = None
        while self.look:
            places, self.look = list(self.look), {}
            self._dispatch(places)
        self._expire()
        self._set_timer()
        return self.actions

    def replan(self, plans: tuple[Plan, ...]) -> None:
        """Go on under changed figures of the same plans; what was taken stays taken."""
        self.settings = replace(self.settings, plans=plans)
        for volume in self.volumes.values():
            volume.plan = plans[volume.number]
            volume.reserve.depth = volume.plan.reserve + self.settings.most_units

    def avoided(self, now: int) -> list[str]:
        """Tell which listed nodes get nothing now by choice: they rest, or have gone silent."""
        return [node for node, book in self.books.items()
                if book.entry.phase is Phase.ON and (book.silent or book.rest_until > now)]

    def _set_timer(self) -> None:
        """Wake for what is due next; a steady tick would cost gateways times nodes."""
        while self.deadlines and self.deadlines[0][1] not in self.requests:
            heapq.heappop(self.deadlines)
        due = list(self.again.values())
        heard = [book.quiet_since() for book in self.busy.values() if not book.silent]
        due += [max(self.woke_at, at) + int(SILENT * self.aim) + 1 for at in heard]
        if self.deadlines:
            due.append(self.deadlines[0][0] - self.lead_us)
        if self.copies:
            due.append(self.copies[0][0])
        if self.settings.discovery is Discovery.ON_REQUEST and self.watch_due >= 0:
            due.append(self.watch_due)
        if due and (not self.timer_at or min(due) < self.timer_at):
            self.timer_at = max(min(due), self.now + self.settings.tick_us)
            self.actions.append(SetTimer(0, self.timer_at - self.now))

    # --- what came in

    def _node_list(self, event: NodeList) -> None:
        if event.kind is ListKind.ERROR:
            self.watch_due = self.now + self.aim
            return
        if event.kind is not ListKind.SAVED:
            self.watch_due = -1
        named = {entry.node for entry in event.entries}
        if event.kind is ListKind.FULL:
            for node, book in self.books.items():
                if node not in named:
                    book.entry = NodeEntry(node, book.entry.zone, book.entry.shard, Phase.GONE, 0.0, 0)
        for entry in event.entries:
            book = self.books.setdefault(entry.node, Book(entry))
            if entry.started_us > book.entry.started_us:
                book.spent = book.served = book.lag = 0.0
                book.failures, book.rest_until, book.silent, book.wait_at = 0, 0, False, 0
            book.entry = entry
        self.shards = {}
        self.version += 1
        for _, book in sorted(self.books.items()):
            if book.entry.phase is Phase.ON:
                self.shards.setdefault(book.entry.shard, []).append(book)
        waiting = [one for book in self.books.values() for one in book.held.values()] + list(self.lost.values())
        gone = [name for name, one in self.books.items() if one.entry.phase is Phase.GONE and not one.slots]
        for node in gone:
            del self.books[node]
            self.fair.pop(node, None)
            for volume in self.volumes.values():
                volume.beyond.pop(node, None)
        for book in self.books.values():
            book.held = {}
        self.lost.clear()
        self._look("")
        for request in waiting:
            self._hold(request)

    def _arrival(self, ask: Arrival) -> None:
        settings = self.settings
        self.taken.append(self.now)
        while self.taken and self.taken[0] <= self.now - self.rules.budget_us:
            self.taken.popleft()
        volume = self.volumes.get(ask.volume)
        if volume is None:
            for name in [name for name, one in self.volumes.items() if self.now - one.seen > FORGET_US]:
                del self.volumes[name]
            volume = self.volumes[ask.volume] = Volume(settings, ask.plan, self.now)
        volume.spread(ask.gateways if ask.gateways > 0 else settings.gateways, self.now, self.processes)
        klass = settings.classes[ask.klass]
        longest = self.longest[ask.klass] = max(self.longest.get(ask.klass, 0), ask.time_left_us)
        # Less time left than the aim: an impatient client, not one that has waited till all was late.
        waited = longest - ask.time_left_us if ask.time_left_us > klass.aim_us else 0
        request = Request(ask, klass, volume, self.now, waited, self.random.random())
        self.requests[ask.request] = request
        heapq.heappush(self.deadlines, (request.hold_until + self.lead_us, ask.request))
        if klass.in_order and ask.key:
            self.turns.setdefault(ask.key, []).append(request)
        self._hold(request)

    def _hold(self, request: Request) -> None:
        ask, bound = request.ask, request.ran_on
        if request.queue is not None:
            request.queue.pop(ask.request, None)
        if ask.shard < 0 and bound is None:
            request.queue = self.fresh
        else:
            there = self.shards.get(bound.entry.shard if ask.shard < 0 and bound else ask.shard, [])
            books = there if ask.bounds is None else [book for book in there if self._within(request, book)]
            request.queue = books[-1].held if books else self.lost
            request.place = books[-1].entry.node if books else "?"
        request.queue[ask.request] = request
        self.look[request.place] = None

    def _copy(self) -> None:
        """Hold again, for a second copy, what has been out for as long as its bounds state."""
        while self.copies and self.copies[0][0] <= self.now:
            request = self.requests.get(heapq.heappop(self.copies)[1])
            if request is None or request.done or request.started or len(request.out) != 1 or request.attempts != 1:
                continue
            others = any(self._may_take(request, book) for line in self.shards.values() for book in line)
            if others and self._may_repeat(request) and self._budget(request):
                request.copied = True
                self._hold(request)

    def _within(self, request: Request, book: Book) -> bool:
        """Whether a request's bounds, and its copy that is out, leave it a node."""
        ask, ran_on = request.ask, request.ran_on
        if book in request.out.values():
            return False
        shard = ask.shard if ask.shard >= 0 or ran_on is None else ran_on.entry.shard
        return ask.bounds is None or ask.bounds.takes(book.entry.node, shard)

    def _budget(self, request: Request) -> bool:
        return request.ask.bounds is None or request.ask.bounds.repeat(self.now, request.attempts)

    def _look(self, node: str) -> None:
        """Look at a node's held requests, and at new objects, as something changed there."""
        self.full = False
        self.look[""] = None
        if book := self.books.get(node):
            book.full = False
            self.look[node] = None

    def _stream_started(self, event: StreamStarted) -> None:
        """From here the client sets the pace: the node's book must not take it for the node's."""
        request = self.requests.get(event.request)
        if request is None or (book := request.out.get(event.attempt)) is None:
            return
        request.started = True
        attempt = (event.request, event.attempt)
        if attempt in book.slots:
            slot = self._drop(book, attempt)
            if not event.upward:
                done = min(self.now, slot.sent + event.elapsed_us) if event.elapsed_us else self.now
                self._served(book, slot, done - slot.sent, done)
                book.heard = self.now

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
        spent = book.learn(slot, done)
        self.all_spent = self.all_spent * MEMORY_ALL + spent
        self.all_served = self.all_served * MEMORY_ALL + slot.units
        self._learn_wait(book, slot, took)
        if book.silent:
            book.silent = False
            self.actions.append(Log(f"node {book.entry.node} answers again"))
        book.failures = 0

    def _outcome(self, event: Outcome) -> None:
        now, request = self.now, self.requests.get(event.request)
        book = self.books.get(event.node)
        attempt = (event.request, event.attempt)
        if request is not None and request.started:
            # Its slot went when the stream started. One that broke off on its way up still lacks its answer.
            request.out.pop(event.attempt, None)
            if event.result not in NEVER_RAN and request.ran_on is None:
                request.ran_on = book
            return self._finish(event.request) if event.finished else self._answer(request)
        if book is None or attempt not in book.slots:
            return None
        slot = self._drop(book, attempt)
        if event.result is Result.OK:
            self._served(book, slot, min(event.elapsed_us or now, now - slot.sent), now)
        elif event.result in FAILED and slot.sent >= book.rest_until:
            # A node that fails quickly looks free, and the list tells of its end seconds late (incident
            # ia4d3c1): it rests longer each time and gets one trial. A flaky node loses some rate.
            book.rest_until = now + int(RETRY_REST * self.aim * 2 ** min(book.failures, LONGEST_REST))
            book.failures += 1
        if event.result not in (Result.TIMEOUT, Result.CANCELLED):
            book.heard = now
        if request is None:
            return None
        if event.used > 0:
            request.volume.all_use = (event.used - 1) / 100 * request.volume.plan.rate
        request.out.pop(event.attempt, None)
        request.wrote = request.wrote or event.result not in (Result.CONNECT_FAILED, Result.MOOT)
        if event.result is Result.MOOT and self.extra and request.attempts > 1:
            self.extra.pop()
        if event.result not in NEVER_RAN and request.ran_on is None:
            request.ran_on, request.ran_at = book, slot.sent
        if event.result in MAY_RUN_ON and request.klass.in_order and self.rules.settle_us:
            self.key_rest = {key: until for key, until in self.key_rest.items() if until > now}
            self.key_rest[request.ask.key] = now + self.rules.settle_us
        if event.finished or request.done:
            if self.settings.allowed.cancel:
                self.actions += [Cancel(event.request, copy) for copy in request.out]
            self._finish(event.request)
        elif not request.out:
            # Another connection that takes as long to fail would leave its client unanswered past half of its time.
            last = request.deadline - self.wake_us if request.wrote else request.hold_until - event.elapsed_us
            if self._may_repeat(request) and now < last and self._budget(request):
                self._hold(request)
            else:
                self._answer(request)
        return None

    # --- answers

    def _may_repeat(self, request: Request) -> bool:
        """Whether any further attempt could ever pass the gate."""
        return not 0 < self.settings.allowed.attempts <= request.attempts and self._within_window(request)

    def _answer(self, request: Request) -> None:
        """Refuse where a repeat is harmless, else fail."""
        effect, name = request.klass.effect, request.ask.request
        safe = not request.attempts or (request.ran_on is None and not request.out)
        keyed = effect is Effect.KEYED and request.klass.scope is DedupScope.ALL
        if safe or effect is Effect.SAFE or keyed:
            advice = min(int(COME_BACK * self.aim), self.settings.allowed.retry_after_us)
            self.actions.append(Refuse(name, advice))
        else:
            self.actions.append(Fail(name))
        self._finish(name)

    def _finish(self, name: str) -> None:
        """No more is sent for a request that has its answer; it is forgotten once nothing of it is out."""
        request = self.requests.get(name)
        if request is None:
            return
        if not request.done:
            request.done = True
            if request.queue is not None:
                request.queue.pop(name, None)
        if request.out:
            return
        del self.requests[name]
        line = self.turns.get(request.ask.key)
        if line and request in line:
            line.remove(request)
            if line:
                self.look[line[0].place] = None
            else:
                del self.turns[request.ask.key]

    def _expire(self) -> None:
        """Answer what can no longer be served, before its client gives up."""
        soon = self.now + self.lead_us
        while self.deadlines and self.deadlines[0][0] <= soon:
            _, name = heapq.heappop(self.deadlines)
            request = self.requests.get(name)
            if request is None or request.done or request.started:
                continue
            unsent = not request.wrote and not request.out and request.hold_until <= self.now
            if unsent or request.deadline <= (self.now if request.out else soon):
                self._answer(request)
            else:
                last = request.deadline if request.wrote or request.out else request.hold_until + self.lead_us
                heapq.heappush(self.deadlines, (max(last, soon + 1), name))

    # --- nodes

    def _watch_nodes(self) -> None:
        if self.settings.discovery is Discovery.ON_REQUEST and 0 <= self.watch_due <= self.now:
            self.actions.append(Watch())
            self.watch_due = self.now + max(self.rules.ask_within_us // 2, self.aim)
        for node, book in self.busy.items():
            if not book.silent and self.now - max(self.woke_at, book.quiet_since()) > SILENT * self.aim:
                book.silent = True
                self.actions.append(Log(f"node {node} has gone silent with {len(book.slots)} attempts out"))

    @property
    def _mean_us(self) -> float:
        return self.all_spent / self.all_served if self.all_served else 0.0

    def _unit_us(self, book: Book) -> float:
        """Learned time per unit of a node, or the average of those heard."""
        return book.spent / book.served if book.served else self._mean_us

    def _learn_wait(self, book: Book, slot: Slot, took: int) -> None:
        """Take others' work from an answer: what it took beyond the nominal time of our units, ahead too."""
        units = max(slot.units, 1.0)
        nominal = self.nominal.get(book.entry.kind, took / units)
        nominal *= 1 + NOMINAL_STEP * (NOMINAL if took / units > nominal else NOMINAL - 1)
        self.nominal[book.entry.kind] = nominal
        wait = max(0.0, took - (slot.ahead + units) * nominal)
        before = self._wait(book)
        usual = self._usual_wait()
        self.usual_wait, self.usual_at = usual + (wait - usual) * (1 - MEMORY), self.now
        book.wait, book.wait_at = before + (wait - before) * FRESH, self.now

    def _wait(self, book: Book) -> float:
        """Others' work ahead at a node; what was seen fades into what is usual at all nodes."""
        usual = self._usual_wait()
        return usual + (book.wait - usual) * self._known(book.wait_at) if book.wait_at else usual

    def _known(self, seen_at: int) -> float:
        return math.exp((seen_at - self.now) / (STALE * self.aim))

    def _usual_wait(self) -> float:
        """What nodes' waits were lately; it fades too, or who holds all back would never hear of better."""
        return self.usual_wait * self._known(self.usual_at)

    def _nominal(self, book: Book) -> float:
        return self.nominal.get(book.entry.kind, self._mean_us)

    def _room(self, book: Book, units: float) -> bool:
        """The bound on units out: the learned rate times a part of the tightest aim, floored and capped."""
        last = max((slot.sent for slot in book.slots.values() if slot.units), default=0)
        lone = book.silent and self._usual_wait() < PART * self.aim
        if not last or (lone and self.now - last > 2 * SILENT * self.aim):
            return True     # one may go when none is out that may answer; what is silent alone is tried anew
        if book.silent or book.failures > 1 or len(book.slots) >= self._ceiling():
            return False
        unit_us = self._unit_us(book)
        # Many gateways' floors add up: where answers take longer than the part, the floor shrinks with them,
        # down to one request out. It covers every cause of slow answers; it costs rate where all work is big.
        floor = self.settings.most_units * min(1.0, PART * self.aim / max(book.lag, 1.0))
        bound = max(PART * self.aim / unit_us if unit_us > 0 else 0.0, floor)
        return book.units_out + units <= bound

    def _ceiling(self) -> int:
        return max(1, min(CEILING, FLEET // self.settings.gateways) // self.processes)

    def _group(self, request: Request) -> list[Book]:
        """The group of a key: the nodes of least rendezvous hash with it, which also settles ties."""
        key = request.ask.key or request.ask.request
        books = [book for line in self.shards.values() for book in line]
        if request.ask.bounds is not None:
            books = [book for book in books if self._within(request, book)]
        books.sort(key=lambda book: blake2b(f"{key}\0{book.entry.node}".encode(), digest_size=8).digest())
        return books[:GROUP]

    # --- what leaves

    def _worth(self, request: Request, place: str, wait: float) -> float:
        """Worth of serving a unit of the request now: class, price, what is still due, whether in time."""
        volume = request.volume
        return request.klass.worth * volume.plan.price * self._part(request, place, wait)

    def _part(self, request: Request, place: str, wait: float) -> float:
        """Part of its full worth that a unit of the request earns now."""
        volume, part = request.volume, 1.0
        if volume.reserve_left(self.now) < request.ask.units:
            own = volume.beyond.get(place)
            within = own is None or own.rate(self.now) <= self._fair(place) * volume.plan.weight
            part = self.settings.share_worth if within else self.settings.spare_worth
        return part if self.now + wait <= request.aim_at else part * request.klass.late_worth

    def _fair(self, place: str) -> float:
        """Mean use beyond the reserves at a node for each weight of the volumes that use it so."""
        at, level = self.fair.get(place, (-self.aim, 0.0))
        if self.now - at >= self.aim / FINE * 3:
            use = weight = 0.0
            for volume in self.volumes.values():
                gauge = volume.beyond.get(place)
                if gauge is not None and (rate := gauge.rate(self.now)) > 0.1:
                    use += rate
                    weight += volume.plan.weight
            level = use / weight if weight > 0 else 0.0
            self.fair[place] = self.now, level
        return level

    def _dispatch(self, places: list[str]) -> None:
        """Let what is held at some places go, that of most worth first."""
        ready: list[Ready] = []
        for place in places:
            book = self.books.get(place)
            held = book.held if book is not None else {} if place else self.fresh
            if self.again.get(place, self.now) <= self.now:
                self.again.pop(place, None)
                (book or self).full = False
            wait = 0.0
            if book is not None:
                if book.full or not self._open(book):
                    continue
                wait = max(book.free - self.now, self._wait(book))
            elif self.full:
                continue
            unit_us = self._nominal(book) if book is not None else 0.0
            for name, request in held.items():
                if self._may_go(request):
                    worth = self._worth(request, place, wait + request.ask.units * unit_us)
                    ready.append((-worth, request.aim_at, name, request, book))
        for _, _, _, request, chosen in self._shed(sorted(ready, key=lambda row: row[:3])):
            # What is next in turn and does not fit is waited for: smaller work would slip past it for ever,
            # and looking at the queue again for each arrival is what a flood made dear (incident i75347d).
            if chosen is None:
                if not self.full and not self._place(request):
                    self.full = True
            elif not chosen.full and not self._send(request, chosen):
                chosen.full = not self._room(chosen, request.ask.units)
        for place in places:
            book = self.books.get(place)
            held = book.held if book is not None else {} if place else self.fresh
            if held and place not in self.again:
                rests = [rest for rest in self.key_rest.values() if rest > self.now]
                self.again[place] = min([self.now + self.wake_us, *rests])

    def _open(self, book: Book) -> bool:
        return book.rest_until <= self.now and self._room(book, min(1.0, self.settings.mean_units))

    def _shed(self, ready: list[Ready]) -> list[Ready]:
        """Answer now what the work ahead keeps from its deadline; a flood isn't held (incident i75347d)."""
        ahead: dict[str, float] = {}
        kept = []
        for row in ready:
            request, book = row[3], row[4]
            place = book.entry.node if book is not None else ""
            unit_us = self._unit_us(book) if book is not None else self._mean_us / max(1, len(self.shards))
            wait = ahead[place] = ahead.get(place, 0.0) + request.ask.units * unit_us
            if self.now + wait > request.deadline and not request.attempts:
                self._answer(request)
            else:
                kept.append(row)
        return kept

    def _place(self, request: Request) -> bool:
        """A new object goes to the member of its key's group whose book, with it, frees earliest."""
        units, now = request.ask.units, self.now
        version = self.version, request.ask.bounds.version if request.ask.bounds is not None else 0
        if request.version != version or request.copied:
            request.version, request.group = version, self._group(request)
        members = [book for book in request.group if not book.full and not book.silent and self._open(book)]
        members.sort(key=lambda book: (
            book.failures > 0, max(book.free, now + self._wait(book)) + units * self._unit_us(book)))
        return any(self._send(request, book) for book in members)

    def _send(self, request: Request, book: Book) -> bool:
        """The one place that sends: every rule is a guard here."""
        ask, now = request.ask, self.now
        if not self._room(book, ask.units) or not self._may_go(request) or not self._may_take(request, book):
            return False
        # Others' work: what earns less leaves only for a shorter wait at the node. All gateways see that
        # wait, so reserve goes before share before spare without a word between them.
        wait = self._wait(book)
        part = self._part(request, book.entry.node, wait + ask.units * self._nominal(book))
        if wait > PATIENCE * self.aim * math.sqrt(part):
            return False
        if not request.charged:
            request.charged = True
            request.volume.limit.level -= ask.units
        volume = request.volume
        if volume.reserve_left(now) >= ask.units:
            volume.reserve.level -= ask.units
        else:
            for place in (book.entry.node, ""):
                volume.beyond.setdefault(place, Gauge()).add(now, ask.units)
        volume.own.add(now, ask.units)
        if request.attempts:
            self.extra.append(now)
        if request.queue is not None:
            request.queue.pop(ask.request, None)
            request.queue = None
        book.reserve((ask.request, request.attempts), ask.units, self._unit_us(book), now)
        book.sent = book.sent_since(now - self.rules.fall_us) + ask.units
        book.recent.append((now, ask.units))
        self.busy[book.entry.node] = book
        request.out[request.attempts] = book
        request.attempts += 1
        copies = self.settings.allowed.second_copies and request.klass.effect is Effect.SAFE
        if copies and ask.bounds is not None and ask.bounds.second_copy_us and not request.klass.in_order:
            heapq.heappush(self.copies, (now + ask.bounds.second_copy_us, ask.request))
        self.actions.append(Send(ask.request, book.entry.node, 0))
        return True

    def _may_go(self, request: Request) -> bool:
        """The rules that look at the request alone; none looks at what a send would be worth."""
        ask, klass, rules, now = request.ask, request.klass, self.rules, self.now
        # Answered once: nothing is sent for a request that has its answer, or whose client gives up.
        # One attempt at a time but for a second copy, which also keeps within what forbids those.
        if request.done or request.started or now >= request.deadline or len(request.out) > request.copied:
            return False
        if request.attempts:
            if not self._may_repeat(request):
                return False
            # Budget of further attempts in a sliding window; it ends open, so that no edge is counted short.
            if rules.budget_us:
                while self.extra and self.extra[0] < now - rules.budget_us:
                    self.extra.popleft()
                taken = sum(at > now - rules.budget_us for at in self.taken)
                if len(self.extra) + 1 > rules.budget_free + rules.budget_share * taken:
                    return False
        # Order: a key's requests one at a time, and a rest after an attempt that may still run.
        elif klass.in_order and ask.key and (
                self.turns[ask.key][0] is not request or self.key_rest.get(ask.key, 0) > now):
            return False
        # The plan's limit.
        return request.charged or request.volume.within_limit(ask.units, now)

    def _within_window(self, request: Request) -> bool:
        """Whether a request's class lets it run again, by its effect and the time since it may have run."""
        if request.ran_on is None or request.klass.effect is Effect.SAFE:
            return True
        window = request.ran_at + request.klass.dedup_window_us
        keyed = request.klass.effect is Effect.KEYED and not request.ask.keyless
        return keyed and self.now + self.settings.tick_us < window

    def _may_take(self, request: Request, book: Book) -> bool:
        """The rules that look at the node."""
        rules, now = self.rules, self.now
        if request.ask.bounds is not None and not self._within(request, book):
            return False
        # No double effect: a keyed request that may have run stays with the nodes that drop its repeat.
        if request.ran_on is not None and request.klass.effect is not Effect.SAFE:
            there, here = request.ran_on.entry, book.entry
            if request.klass.scope is DedupScope.ZONE and there.zone != here.zone:
                return False
            if request.klass.scope is DedupScope.CELL and there.shard != here.shard:
                return False
        # Drains, and the shard that holds the data.
        if book.entry.phase is not Phase.ON or 0 <= request.ask.shard != book.entry.shard:
            return False
        # Cold nodes: this gateway's even part of what a starting node bears within the rule's time.
        warm = book.warmth(now, rules.cold_us)
        return warm >= 1.0 or self._bears(request, book, rules.cold_share + (1 - rules.cold_share) * warm)

    def _bears(self, request: Request, book: Book, warm: float) -> bool:
        """Whether a starting node bears a request, of all that may come to it from other gateways."""
        rules, now, units = self.rules, self.now, request.ask.units
        sent = book.sent_since(now - rules.fall_us)
        usual = rules.fall_us / unit_us if (unit_us := self._unit_us(book)) > 0 else 0.0
        bears = rules.fall_multiple * warm
        most = max(rules.cold_units, COLD_PART * bears * usual) / self.processes
        if sent + units <= most / self.settings.gateways:
            return True
        # The even part of many gateways is under one request. So each lets through its seeded chance of its reads,
        # which sums up however many ask and however unevenly: one in the rule's time, and more once the node has
        # answered soon, as a volume's surge comes through few gateways. Late work needs no such node.
        soon = book.served > 0 and book.wait <= PATIENCE * self.aim
        few = sent + units <= most / max(1, request.ask.gateways) if soon else not sent
        chance = (1.0 if soon else COLD_PART) * bears / self.processes
        return few and request.lot < chance and (request.ask.shard >= 0 or soon) and now < request.aim_at
