"""A model of what a whole fleet of modules sends to bricks that start cold, judged by the rule's own words.

Virtual time. Heads of uneven traffic serve volumes that come through a few of them each and move; bricks start cold,
alone or many at once, under new names or as ones that heads take for warm; heads hear of it at moments of their own.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, replace

from hophinge.core.choice import Scheduler
from hophinge.core.interface import (
    Action,
    Arrival,
    Effect,
    Event,
    ListKind,
    NodeEntry,
    NodeList,
    Outcome,
    Phase,
    Result,
    Send,
    SetTimer,
    TimerExpired,
)
from tests.test_choice import MS, SETTINGS, T0, klass

SECOND = 1000 * MS
RULES = replace(
    SETTINGS.rules,
    overload_multiple=2.5,
    overload_window_us=1500 * MS,
    slow_start_share=0.18,
    slow_start_us=17 * SECOND,
    slow_start_units=30,
)
POWER = 75.0  # units a second of a usual warm brick
MEAN = 2.0  # units of a request of mean work
UNITS = 1, 1, 1, 2, 2, 3, 4
LEFT = 750 * MS  # how long a client waits
TOLD_PART = 2 / 3  # of a fall's work from heads that had been told, beyond which the rule is broken


@dataclass(frozen=True)
class Fleet:
    """One way of being; powers and loads in parts of a usual warm brick's power."""

    heads: int = 30
    load: float = 1.0  # asked of each brick
    fresh: float = 0.0  # part of the requests that are new objects
    power: float = 1.0  # of the cold bricks, warm
    cold: int = 1
    warm: int = 2
    skew: float = 0.7  # heads' weights fall with their number to this power
    hosts: int = 3  # heads of a volume
    volumes: int = 6  # at each brick
    burst: float = 1.0  # times the load, for two seconds from BURST_AT on
    moves_s: float = 3.0  # a volume's busiest head changes so often
    told_s: float = 0.0  # heads are told of the start within so long
    returns: bool = False  # a brick of a lost zone: until told, heads take it for the warm one it was
    share: float = RULES.slow_start_share  # capacity at the start; the rules tell the least
    warms_s: float = RULES.slow_start_us / SECOND
    own: bool = False  # judged by its own capacity, not by the least that the rules tell
    noise: float = 0.3  # deviation of a request's work from its units
    within_s: float = 0.5  # the cold bricks start within so long
    killed: float = 0.0  # part of the heads that forget all at KILLED_AT, but for their list
    counted: int = 0  # heads that the settings tell of; 0: as many as there are
    span_s: float = 9.0


BURST_AT, BURST_S = 3.0, 2.0
KILLED_AT = 4.0


class Backend:
    """It serves in turn, and counts what reaches it while it is cold."""

    def __init__(self, name: str, shard: int, power: float, started: int, fleet: Fleet) -> None:
        self.name, self.shard, self.power, self.started, self.fleet = name, shard, power, started, fleet
        self.free = 0.0
        self.window: deque[tuple[int, float, bool]] = deque()
        self.work = self.told = 0.0
        self.most = 0.0  # largest part of what the rule bears, of windows that would break it
        self.fell = ""  # "", "broken" or "untold"
        self.got = 0

    def capacity(self, now: float, share: float, warms_s: float) -> float:
        """Tell its power at a moment, were it to start at a share and warm up evenly."""
        if not self.started:
            return self.power
        return self.power * min(1.0, share + (1 - share) * max(0.0, now - self.started) / SECOND / warms_s)

    def allowed(self, now: float) -> float:
        """Tell how many requests of mean work the settings allow it."""
        fleet = self.fleet if self.fleet.own else Fleet()
        least = self.capacity(now, fleet.share, fleet.warms_s)
        return max(RULES.slow_start_units, RULES.overload_multiple * least * RULES.overload_window_us / SECOND) / MEAN

    def take(self, now: int, units: float, told: bool) -> float:
        """Take a request's work, and tell when it is done."""
        begin = max(self.free, float(now))
        self.free = begin + units / self.capacity(begin, self.fleet.share, self.fleet.warms_s) * SECOND
        cold = 0 <= now - self.started < RULES.slow_start_us
        if self.started and cold and not self.fell:
            self.got += 1
            self.window.append((now, units, told))
            self.work, self.told = self.work + units, self.told + units * told
            while self.window[0][0] <= now - RULES.overload_window_us:
                _, gone, knew = self.window.popleft()
                self.work, self.told = self.work - gone, self.told - gone * knew
            number = self.allowed(max(self.started, now - RULES.overload_window_us))  # the least within the window
            part = self.work / MEAN / (number + 2 * math.sqrt(number) + 2)
            broken = self.told > TOLD_PART * self.work
            self.most = max(self.most, part if broken else 0.0)
            if part > 1:
                self.fell = "broken" if broken else "untold"
        return self.free


class Day:
    """One run of a fleet under a seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.lots = fleet, random.Random(seed)
        self.settings = replace(
            SETTINGS,
            gateways=fleet.counted or fleet.heads,
            rules=RULES,
            classes=(klass(Effect.SAFE),),
            mean_units=MEAN,
            max_units=8,
        )
        self.heads = [Scheduler(self.settings, 1000 * seed + at) for at in range(fleet.heads)]
        self.weights = [1 / (1 + at) ** fleet.skew for at in range(fleet.heads)]
        self.lots.shuffle(self.weights)
        self.events: list[tuple[int, int, int, Event | None]] = []
        self.number = self.asked = self.served = 0
        starts = [T0 + int(self.lots.uniform(0, fleet.within_s) * SECOND) + 1 for _ in range(fleet.cold)]
        self.backends = [
            Backend(f"cold-{at}", at, fleet.power * POWER, start, fleet) for at, start in enumerate(starts)
        ]
        self.backends += [Backend(f"warm-{at}", fleet.cold + at, POWER, 0, fleet) for at in range(fleet.warm)]
        self.by_name = {backend.name: backend for backend in self.backends}
        self.hears: dict[tuple[int, str], int] = {}
        for head in range(fleet.heads):
            saved = tuple(self.entry(backend, 0) for backend in self.backends if fleet.returns or not backend.started)
            self.push(T0 - SECOND, head, NodeList(ListKind.SAVED, saved))
            for backend in self.backends[: fleet.cold]:
                at = backend.started + int(self.lots.uniform(0, fleet.told_s) * SECOND)
                self.hears[head, backend.name] = at
                self.push(at, head, NodeList(ListKind.CHANGES, (self.entry(backend, backend.started),)))
        for head in self.lots.sample(range(fleet.heads), int(fleet.killed * fleet.heads)):
            self.push(T0 + int(KILLED_AT * SECOND), head, None)
        self.moves: dict[str, float] = {}
        self.leads: dict[str, int] = {}

    def entry(self, backend: Backend, started: int) -> NodeEntry:
        return NodeEntry(backend.name, 0, backend.shard, Phase.ON, backend.power / POWER, started)

    def push(self, when: int, head: int, event: Event | None) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, head, event))

    def ask(self, now: float) -> None:
        """Bring a client's request to a head of its volume's."""
        lots, fleet = self.lots, self.fleet
        self.asked += 1
        shard = lots.randrange(len(self.backends))
        volume = f"v{shard}-{lots.randrange(fleet.volumes)}"
        if now >= self.moves.get(volume, 0.0):
            self.moves[volume] = now + lots.expovariate(1 / fleet.moves_s) * SECOND
            self.leads[volume] = lots.choices(range(fleet.heads), self.weights)[0]
        first, hosts = self.leads[volume], min(fleet.hosts, fleet.heads)
        head = (first + (0 if lots.random() < 0.6 else lots.randrange(hosts))) % fleet.heads
        name, new = f"{self.asked:016x}", lots.random() < fleet.fresh
        self.push(
            int(now),
            head,
            Arrival(name, float(lots.choice(UNITS)), volume, 0, -1 if new else shard, hosts, name, LEFT, new, 0),
        )

    def run(self) -> Day:
        fleet, now = self.fleet, float(T0 - SECOND)
        while now < T0 + fleet.span_s * SECOND:
            burst = fleet.burst if BURST_AT <= (now - T0) / SECOND < BURST_AT + BURST_S else 1.0
            rate = fleet.load * burst * POWER / MEAN * len(self.backends)
            now += self.lots.expovariate(rate) * SECOND
            self.ask(now)
        while self.events:
            when, _, head, event = heapq.heappop(self.events)
            if event is None:
                self.heads[head] = Scheduler(self.settings, self.number)
                event = NodeList(
                    ListKind.SAVED,
                    tuple(
                        self.entry(backend, backend.started if self.hears.get((head, backend.name), 0) <= when else 0)
                        for backend in self.backends
                    ),
                )
            for action in self.heads[head].handle(when, [event]):
                self.act(when, head, action)
        return self

    def noise(self) -> float:
        """Draw a request's work in parts of what its units stand for; its mean is 1."""
        return self.lots.lognormvariate(-(self.fleet.noise**2) / 2, self.fleet.noise)

    def act(self, when: int, head: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.push(when + action.delay_us, head, TimerExpired(action.token))
        if isinstance(action, Send):
            backend, request = self.by_name[action.node], self.heads[head].requests[action.request]
            work, attempt = request.arrival.units * self.noise(), request.attempts - 1
            told = when >= self.hears.get((head, backend.name), 0)
            free = backend.take(when, work, told)
            ok = free < request.deadline
            self.served += ok
            ends = int(free) if ok else request.deadline
            result = Result.OK if ok else Result.TIMEOUT
            self.push(ends, head, Outcome(action.request, attempt, backend.name, result, ends - when, True, 0, 0.0, {}))

    @property
    def broken(self) -> int:
        """Count the bricks at which the rule is broken."""
        return sum(backend.fell == "broken" for backend in self.backends)

    @property
    def most(self) -> float:
        """Tell the largest part of what the rule bears, over all cold bricks and windows."""
        return max(backend.most for backend in self.backends)
