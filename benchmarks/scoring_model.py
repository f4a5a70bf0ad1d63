"""Ten heads in virtual time: their real modules and scorers, bricks that serve in turn, a board that is heard late."""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from hophinge.cluster.interface import Entry, EntryVersion, Topic
from hophinge.core import interface as api
from hophinge.core.choice import Scheduler
from hophinge.scoring import encoding, latency, outlook, suspicion
from hophinge.scoring.engine import ScoringEngine, PutEntry
from hophinge.scoring.interface import Scorer, Setting, Surroundings
from hophinge.scoring.sharing import HEARTBEAT_US, MergeFunction

S, MS = 1_000_000, 1_000
HEADS, BACKENDS = 10, 24
WORK_US, FAIL_US = 12 * MS, 2 * MS  # of a brick for a request, mean of exponential times; until it fails one
FAIL_FROM = 8 * S
RESTART_EVERY_US = 4 * S
HEARD_LATE_US = 500 * MS  # what an entry takes to all heads
NAMES = [f"brick-{number:02d}" for number in range(BACKENDS)]
FAILING, ACCUSED = NAMES[3], NAMES[11]
MAX_PART = 0.25
AIM_US = 300 * MS
KLASS = api.RequestClass(
    target_latency_us=AIM_US,
    deadline_us=2 * S,
    effect=api.Effect.SAFE,
    scope=api.DedupScope.ALL,
    dedup_window_us=S,
    value=2.0,
    late_value=0.1,
    in_order=False,
    stream=False,
)
PLAN = api.Plan(rate=1000, reserve=1000, weight=1, price=1, limit=0, limit_burst=0, limit_slack=0)
SETTINGS = api.Settings(
    me=0,
    gateways=HEADS,
    tick_us=MS,
    classes=(KLASS,),
    plans=(PLAN,),
    rules=api.Rules(
        answer_grace_us=8 * MS,
        drain_grace_us=250 * MS,
        overload_multiple=4,
        overload_window_us=S,
        slow_start_share=0.16,
        slow_start_us=10 * S,
        slow_start_units=8,
        budget_free=10,
        budget_share=0.5,
        budget_us=5 * S,
        key_block_us=0,
        watch_within_us=10 * S,
    ),
    allowed=api.Allowed(attempts=3, hedging=False, cancel=False, probes=False, retry_after_us=S),
    discovery=api.Discovery.PUSHED,
    mean_units=1,
    max_units=4,
    share_value=0.4,
    spare_value=0.1,
    meter_us=0,
    tells_elsewhere=False,
    report_fields=(),
    report_in_answers=False,
    probe_price=0,
)
LIST = api.NodeList(
    api.ListKind.FULL,
    tuple(api.NodeEntry(name, number % 3, number, api.Phase.ON, 1.0, 0) for number, name in enumerate(NAMES)),
)
VERSIONS = {"latency": "latency-1", "suspicion": "suspicion-1", "outlook": ""}


def scorers() -> dict[str, Scorer]:
    """Make the three at work."""
    setting = Setting(AIM_US, AIM_US * MAX_PART)
    return {
        "latency": latency.Latency(latency.Parameters(), setting),
        "suspicion": suspicion.Suspicion(suspicion.Parameters(), setting),
        "outlook": outlook.Outlook(outlook.Parameters(), setting),
    }


class Head:
    """One head's module and scorers."""

    def __init__(self, number: int, seed: int, scored: bool, shared: bool, merge: MergeFunction | None) -> None:
        self.name, self.number = f"head-{number}", number
        self.module = Scheduler(SETTINGS, seed)
        self.engine: ScoringEngine | None = None
        if scored:
            more: dict[str, Any] = {} if merge is None else {"merge": merge}
            self.engine = ScoringEngine(
                scorers(),
                VERSIONS,
                AIM_US * MAX_PART,
                1e6,
                lambda: 0,
                lambda text: None,
                Surroundings(SETTINGS.rules.slow_start_us),
                **more,
            )
            if shared:
                self.engine.share_as(self.name)
            self.module.scorers = self.engine
        self.sent: dict[str, int] = {}  # attempts so far, by open request


class Model:
    """One history; `met` counts requests that met a failure, by second since the brick began to fail."""

    NEVER = 10**12

    def __init__(
        self,
        seed: int,
        scored: bool,
        shared: bool,
        rate: float,
        seconds: int,
        fail_part: float,
        liars: int = 0,
        merge: MergeFunction | None = None,
        restarts: bool = False,
        mended: int = 0,
    ) -> None:
        self.random, self.liars = random.Random(seed), liars
        self.make: Callable[[int], Head] = lambda number: Head(number, seed + number, scored, shared, merge)
        self.heads = [self.make(number) for number in range(HEADS)]
        self.mended = mended * S or self.NEVER  # when the brick fails no more
        self.by_span: Counter[int] = Counter()  # sends to it, by 10 s since then
        self.all_by_span: Counter[int] = Counter()
        self.restarts, self.rate, self.until, self.fail_part = restarts, rate, seconds * S, fail_part
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now = 0
        self.free = dict.fromkeys(NAMES, 0)
        self.board: dict[tuple[str, str], tuple[int, Entry]] = {}  # when it is heard by all
        self.heard: dict[tuple[str, str], Entry] = {}
        self.versions = itertools.count(1)
        self.placed: Counter[str] = Counter()  # by honest heads, once liars speak, by brick
        self.met: set[str] = set()
        self.met_by_second: Counter[int] = Counter()
        self.served, self.unserved = 0, 0
        self.took: list[int] = []
        self.since: dict[str, int] = {}
        self.told_bytes = 0

    def at(self, when: int, what: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.queue, (when, next(self.order), what))

    def run(self) -> Model:
        """Go through the history."""
        for head in self.heads:
            self.handle(head, LIST)
            self.at(S + head.number * 97 * MS, partial(self.tick, head.number))
            if self.restarts:
                self.at(FAIL_FROM + (head.number + 1) * RESTART_EVERY_US, partial(self.restart, head.number))
        self.at(0, self.arrive)
        while self.queue and self.queue[0][0] < self.until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        return self

    def restart(self, number: int) -> None:
        """Replace a head by a new process, which knows nothing but its list."""
        self.heads[number] = self.make(number)
        self.handle(self.heads[number], LIST)

    def arrive(self) -> None:
        """Let one request come to a head."""
        head, name = self.random.choice(self.heads), f"r{next(self.order)}"
        self.at(self.now + round(self.random.expovariate(self.rate / S)), self.arrive)
        self.since[name] = self.now
        head.sent[name] = 0
        self.handle(head, api.Arrival(name, 1.0, "v", 0, -1, HEADS, name, 2 * S, False, 0))

    def handle(self, head: Head, event: api.Event) -> None:
        """Tell the module, and do what it says."""
        for action in head.module.handle(self.now, [event]):
            match action:
                case api.Send():
                    self.send(head, action)
                case api.SetTimer():
                    self.at(self.now + action.delay_us, partial(self.handle, head, api.TimerExpired(action.token)))
                case api.Refuse() | api.Fail():
                    self.unserved += 1

    def send(self, head: Head, action: api.Send) -> None:
        """Have a brick work on an attempt."""
        attempt, head.sent[action.request] = head.sent[action.request], head.sent[action.request] + 1
        node, sent = action.node, self.now
        if self.now >= FAIL_FROM and head.number >= self.liars:
            self.placed[node] += 1
            if self.now >= self.mended:
                span = (self.now - self.mended) // (10 * S)
                self.by_span[span] += node == FAILING
                self.all_by_span[span] += 1
        if node == FAILING and FAIL_FROM <= self.now < self.mended and self.random.random() < self.fail_part:
            result, done = api.Result.ERROR, self.now + FAIL_US
        else:
            result = api.Result.OK
            done = self.free[node] = max(self.now, self.free[node]) + round(self.random.expovariate(1 / WORK_US))

        def ended() -> None:
            if result is api.Result.OK:
                self.served += 1
                if sent >= FAIL_FROM:
                    self.took.append(self.now - self.since[action.request])
            elif action.request not in self.met:
                self.met.add(action.request)
                self.met_by_second[(self.now - FAIL_FROM) // S] += 1
            if head.engine is not None:
                head.engine.heard(self.now, node, result, self.now - sent)
            self.handle(
                head,
                api.Outcome(
                    action.request, attempt, node, result, self.now - sent, result is api.Result.OK, 0, 0.0, {}
                ),
            )

        self.at(done, ended)

    def tick(self, number: int) -> None:
        """Merge and tell; a liar says what it wants to."""
        head = self.heads[number]
        engine = head.engine
        if engine is None:
            return
        self.at(self.now + S, partial(self.tick, number))
        for at, (when, entry) in list(self.board.items()):
            if when <= self.now:
                self.heard[at] = entry
                del self.board[at]
        for action in engine.tick(self.now, frozenset(NAMES), self.heard.values()):
            engine.confirm(action)
            if isinstance(action, PutEntry) and (head.number >= self.liars or self.now < FAIL_FROM):
                self.put(head, action.key, action.value)
        if head.number < self.liars and self.now >= FAIL_FROM:
            for scorer in ("latency", "suspicion"):
                for chunk, value in encoding.encode(VERSIONS[scorer], self.now // HEARTBEAT_US, {ACCUSED: 1.0})[
                    0
                ].items():
                    self.put(head, encoding.entry_key(scorer, chunk), value)

    def put(self, head: Head, key: str, value: bytes) -> None:
        """Set an entry, heard by all a while later."""
        self.told_bytes += len(value)
        entry = Entry(head.name, Topic.WEIGHTS, key, EntryVersion(1, next(self.versions)), value)
        self.board[head.name, key] = self.now + HEARD_LATE_US, entry
