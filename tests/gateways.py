"""One gateway driven event by event: its settings, nodes, requests and ends as tests write them."""

from __future__ import annotations

from collections.abc import Iterable

from hophinge.core.choice import Scheduler
from hophinge.core.interface import (
    Action,
    Allowed,
    Arrival,
    DedupScope,
    Discovery,
    Effect,
    Event,
    Fail,
    ListKind,
    NodeEntry,
    NodeList,
    Outcome,
    Phase,
    Plan,
    Refuse,
    RequestClass,
    Result,
    Rules,
    Send,
    Settings,
    TimerExpired,
)

T0 = 50_000_000
MS = 1000
SAFE, KEYED, UNSAFE, ORDERED = range(4)


def klass(effect: Effect, in_order: bool = False) -> RequestClass:
    return RequestClass(
        target_latency_us=300 * MS,
        deadline_us=2000 * MS,
        effect=effect,
        scope=DedupScope.CELL,
        dedup_window_us=1000 * MS,
        value=2.0,
        late_value=0.1,
        in_order=in_order,
        stream=False,
    )


OPEN_PLAN = Plan(rate=5, reserve=5, weight=1, price=1, limit=0, limit_burst=0, limit_slack=0)
LIMITED = Plan(rate=2, reserve=1, weight=1, price=1, limit=10, limit_burst=20, limit_slack=2)
SETTINGS = Settings(
    me=0,
    gateways=2,
    tick_us=2 * MS,
    classes=(klass(Effect.SAFE), klass(Effect.KEYED), klass(Effect.UNSAFE), klass(Effect.KEYED, in_order=True)),
    plans=(OPEN_PLAN, LIMITED),
    rules=Rules(
        answer_grace_us=8 * MS,
        drain_grace_us=250 * MS,
        overload_multiple=4,
        overload_window_us=1000 * MS,
        slow_start_share=0.16,
        slow_start_us=10_000 * MS,
        slow_start_units=8,
        budget_free=3,
        budget_share=0.25,
        budget_us=5000 * MS,
        key_block_us=100 * MS,
        watch_within_us=10_000 * MS,
    ),
    allowed=Allowed(attempts=3, hedging=True, cancel=True, probes=False, retry_after_us=0),
    discovery=Discovery.PUSHED,
    mean_units=2,
    max_units=6,
    share_value=0.4,
    spare_value=0.1,
    meter_us=0,
    tells_elsewhere=False,
    report_fields=(),
    report_in_answers=False,
    probe_price=0,
)


def node(number: int, phase: Phase = Phase.ON, started_us: int = 0, name: str = "") -> NodeEntry:
    return NodeEntry(name or f"n{number}", 0, number, phase, 1.0, started_us)


def ask(
    name: str,
    shard: int = 0,
    kind: int = SAFE,
    units: float = 2,
    plan: int = 0,
    key: str = "",
    volume: str = "v",
    gateways: int = 1,
    time_left: int = 2000 * MS,
) -> Arrival:
    return Arrival(name, units, volume, kind, shard, gateways, key or name, time_left, kind != SAFE, plan)


def end(
    name: str, result: Result, where: str = "n0", attempt: int = 0, finished: bool | None = None, took: int = 10 * MS
) -> Outcome:
    done = result is Result.OK if finished is None else finished
    return Outcome(name, attempt, where, result, took, done, 0, 0.0, {})


class Gateway:
    """A scheduler and the clock that its test moves."""

    def __init__(self, settings: Settings = SETTINGS, nodes: Iterable[NodeEntry] = (node(0), node(1))) -> None:
        self.scheduler = Scheduler(settings, 7)
        self.now = T0
        self.at(0, NodeList(ListKind.SAVED, tuple(nodes)))

    def at(self, later: int, *events: Event) -> list[Action]:
        self.now += later
        return self.scheduler.handle(self.now, events)

    def sends(self, later: int, *events: Event) -> list[tuple[str, str]]:
        return [(one.request, one.node) for one in self.at(later, *events) if isinstance(one, Send)]

    def run(self, span: int, step: int = 10 * MS) -> list[Action]:
        found: list[Action] = []
        for _ in range(span // step):
            found += self.at(step, TimerExpired(0))
        return found


def finals(actions: Iterable[Action]) -> list[Action]:
    return [one for one in actions if isinstance(one, Refuse | Fail)]
