"""A simulation of the requests that a fleet of heads sends to backends that start cold, checked against the rule.

It runs in virtual time. Heads have uneven traffic and serve volumes; the requests of a volume arrive through a few of
the heads, which change over time. Backends start cold, one or several at once, under new names or under names that
heads know as warm. Each head learns of a start at a time of its own.
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
POWER = 75.0  # units per second that a standard warm backend serves
MEAN = 2.0  # units of a mean request
UNITS = 1, 1, 1, 2, 2, 3, 4  # of the requests, drawn with equal probability
LEFT = 750 * MS  # for which a client waits for its response
MIN_INFORMED_FRACTION = 2 / 3  # of the work in an overload: with more from informed heads the rule is broken


@dataclass(frozen=True)
class Fleet:
    """The parameters of one simulated fleet; powers and loads are fractions of POWER."""

    heads: int = 30
    load: float = 1.0  # requested of each backend
    fresh: float = 0.0  # fraction of the requests that write new objects
    power: float = 1.0  # of the cold backends once they are warm
    cold: int = 1  # backends that start cold
    warm: int = 2  # backends that are warm from the start
    skew: float = 0.7  # exponent by which the traffic of heads decreases with their number
    hosts: int = 3  # heads per volume
    volumes: int = 6  # per backend
    burst: float = 1.0  # factor of the load for BURST_S from BURST_AT
    moves_s: float = 3.0  # mean time between changes of a volume's busiest head
    notice_s: float = 0.0  # within which heads learn of a start
    is_known: bool = False  # the cold backends are known to heads as warm until these learn of the start
    share: float = RULES.slow_start_share  # of the power at the start; the rules give the minimum
    warmup_s: float = RULES.slow_start_us / SECOND
    uses_own_capacity: bool = False  # the allowance follows the real capacity, not the minimum from the rules
    noise: float = 0.3  # standard deviation of the logarithm of a request's work per unit
    start_spread_s: float = 0.5  # within which the cold backends start
    restarted: float = 0.0  # fraction of the heads that restart at RESTART_AT and keep only their node list
    configured_heads: int = 0  # head count in the settings; 0 for the real number
    duration_s: float = 9.0


BURST_AT, BURST_S = 3.0, 2.0  # seconds, as RESTART_AT
RESTART_AT = 4.0


class Backend:
    """A backend that serves requests one after another, and records the work that reaches it while it is cold."""

    def __init__(self, name: str, shard: int, power: float, started: int, fleet: Fleet) -> None:
        self.name, self.shard, self.power, self.started, self.fleet = name, shard, power, started, fleet
        self.free_at = 0.0
        self.window: deque[tuple[int, float, bool]] = deque()  # time, units, and whether the head was informed
        self.work = self.informed_work = 0.0  # units in the window
        self.max_fraction = 0.0  # of the allowance, over windows in which an overload would break the rule
        self.overload = ""  # "" for none, "broken" if it breaks the rule, "untold" if uninformed heads caused it
        self.received = 0  # requests while cold

    def capacity(self, now: float, share: float, warmup_s: float) -> float:
        """Return the power at a time for a start with a fraction of the power and a linear warmup."""
        if not self.started:
            return self.power
        return self.power * min(1.0, share + (1 - share) * max(0.0, now - self.started) / SECOND / warmup_s)

    def allowed(self, now: float) -> float:
        """Return how many mean requests the rule allows in a window."""
        fleet = self.fleet if self.fleet.uses_own_capacity else Fleet()
        min_capacity = self.capacity(now, fleet.share, fleet.warmup_s)
        return (
            max(RULES.slow_start_units, RULES.overload_multiple * min_capacity * RULES.overload_window_us / SECOND)
            / MEAN
        )

    def serve(self, now: int, units: float, is_informed: bool) -> float:
        """Queue a request's work, and return when it is done."""
        begin = max(self.free_at, float(now))
        self.free_at = begin + units / self.capacity(begin, self.fleet.share, self.fleet.warmup_s) * SECOND
        is_cold = 0 <= now - self.started < RULES.slow_start_us
        if self.started and is_cold and not self.overload:
            self.received += 1
            self.window.append((now, units, is_informed))
            self.work, self.informed_work = self.work + units, self.informed_work + units * is_informed
            while self.window[0][0] <= now - RULES.overload_window_us:
                _, expired, was_informed = self.window.popleft()
                self.work, self.informed_work = self.work - expired, self.informed_work - expired * was_informed
            allowed = self.allowed(max(self.started, now - RULES.overload_window_us))  # the minimum within the window
            fraction = self.work / MEAN / (allowed + 2 * math.sqrt(allowed) + 2)
            breaks_rule = self.informed_work > MIN_INFORMED_FRACTION * self.work
            self.max_fraction = max(self.max_fraction, fraction if breaks_rule else 0.0)
            if fraction > 1:
                self.overload = "broken" if breaks_rule else "untold"
        return self.free_at


class FleetSimulation:
    """One run of a fleet with a random seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet, self.random = fleet, random.Random(seed)
        self.settings = replace(
            SETTINGS,
            gateways=fleet.configured_heads or fleet.heads,
            rules=RULES,
            classes=(klass(Effect.SAFE),),
            mean_units=MEAN,
            max_units=8,
        )
        self.heads = [Scheduler(self.settings, 1000 * seed + at) for at in range(fleet.heads)]
        self.weights = [1 / (1 + at) ** fleet.skew for at in range(fleet.heads)]
        self.random.shuffle(self.weights)
        self.events: list[tuple[int, int, int, Event | None]] = []
        self.event_count = self.request_count = self.served = 0
        starts = [T0 + int(self.random.uniform(0, fleet.start_spread_s) * SECOND) + 1 for _ in range(fleet.cold)]
        self.backends = [
            Backend(f"cold-{at}", at, fleet.power * POWER, start, fleet) for at, start in enumerate(starts)
        ]
        self.backends += [Backend(f"warm-{at}", fleet.cold + at, POWER, 0, fleet) for at in range(fleet.warm)]
        self.by_name = {backend.name: backend for backend in self.backends}
        self.informed_at: dict[tuple[int, str], int] = {}  # by head and backend
        for head in range(fleet.heads):
            saved = tuple(self.entry(backend, 0) for backend in self.backends if fleet.is_known or not backend.started)
            self.schedule(T0 - SECOND, head, NodeList(ListKind.SAVED, saved))
            for backend in self.backends[: fleet.cold]:
                at = backend.started + int(self.random.uniform(0, fleet.notice_s) * SECOND)
                self.informed_at[head, backend.name] = at
                self.schedule(at, head, NodeList(ListKind.CHANGES, (self.entry(backend, backend.started),)))
        for head in self.random.sample(range(fleet.heads), int(fleet.restarted * fleet.heads)):
            self.schedule(T0 + int(RESTART_AT * SECOND), head, None)
        self.moves_at: dict[str, float] = {}  # by volume: the next change of its busiest head
        self.busiest_heads: dict[str, int] = {}  # by volume

    def entry(self, backend: Backend, started: int) -> NodeEntry:
        return NodeEntry(backend.name, 0, backend.shard, Phase.ON, backend.power / POWER, started)

    def schedule(self, when: int, head: int, event: Event | None) -> None:
        """Schedule an event of a head; None restarts it."""
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, head, event))

    def send_request(self, now: float) -> None:
        """Send a client's request to one of the heads of its volume."""
        random_source, fleet = self.random, self.fleet
        self.request_count += 1
        shard = random_source.randrange(len(self.backends))
        volume = f"v{shard}-{random_source.randrange(fleet.volumes)}"
        if now >= self.moves_at.get(volume, 0.0):
            self.moves_at[volume] = now + random_source.expovariate(1 / fleet.moves_s) * SECOND
            self.busiest_heads[volume] = random_source.choices(range(fleet.heads), self.weights)[0]
        first, hosts = self.busiest_heads[volume], min(fleet.hosts, fleet.heads)
        head = (first + (0 if random_source.random() < 0.6 else random_source.randrange(hosts))) % fleet.heads
        name, is_new = f"{self.request_count:016x}", random_source.random() < fleet.fresh
        self.schedule(
            int(now),
            head,
            Arrival(
                name,
                float(random_source.choice(UNITS)),
                volume,
                0,
                -1 if is_new else shard,
                hosts,
                name,
                LEFT,
                is_new,
                0,
            ),
        )

    def run(self) -> FleetSimulation:
        """Run the simulation to its end."""
        fleet, now = self.fleet, float(T0 - SECOND)
        while now < T0 + fleet.duration_s * SECOND:
            burst = fleet.burst if BURST_AT <= (now - T0) / SECOND < BURST_AT + BURST_S else 1.0
            rate = fleet.load * burst * POWER / MEAN * len(self.backends)
            now += self.random.expovariate(rate) * SECOND
            self.send_request(now)
        while self.events:
            when, _, head, event = heapq.heappop(self.events)
            if event is None:
                self.heads[head] = Scheduler(self.settings, self.event_count)
                event = NodeList(
                    ListKind.SAVED,
                    tuple(
                        self.entry(
                            backend, backend.started if self.informed_at.get((head, backend.name), 0) <= when else 0
                        )
                        for backend in self.backends
                    ),
                )
            for action in self.heads[head].handle(when, [event]):
                self.apply(when, head, action)
        return self

    def noise(self) -> float:
        """Draw a request's work per unit; its mean is 1."""
        return self.random.lognormvariate(-(self.fleet.noise**2) / 2, self.fleet.noise)

    def apply(self, when: int, head: int, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(when + action.delay_us, head, TimerExpired(action.token))
        if isinstance(action, Send):
            backend, request = self.by_name[action.node], self.heads[head].requests[action.request]
            work, attempt = request.arrival.units * self.noise(), request.attempts - 1
            is_informed = when >= self.informed_at.get((head, backend.name), 0)
            done_at = backend.serve(when, work, is_informed)
            ok = done_at < request.deadline
            self.served += ok
            ends = int(done_at) if ok else request.deadline
            result = Result.OK if ok else Result.TIMEOUT
            self.schedule(
                ends, head, Outcome(action.request, attempt, backend.name, result, ends - when, True, 0, 0.0, {})
            )

    @property
    def broken_count(self) -> int:
        """The number of backends at which the rule was broken."""
        return sum(backend.overload == "broken" for backend in self.backends)

    @property
    def max_fraction(self) -> float:
        """The largest fraction of the allowance, over all cold backends and windows."""
        return max(backend.max_fraction for backend in self.backends)
