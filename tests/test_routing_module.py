"""Router and core together: pools, retry budgets and hedged attempts."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from hophinge.core.choice import Scheduler
from hophinge.core.interface import (
    Action,
    Arrival,
    Cancel,
    Event,
    Fail,
    ListKind,
    NodeEntry,
    NodeList,
    Outcome,
    Phase,
    Refuse,
    Result,
    Send,
    TimerExpired,
)
from hophinge.routing.admitted_request import AdmittedRequest
from tests.routes import NAMED, POOLS, ask, backend, router
from tests.test_choice import MS, T0


class Pair:
    """A router before a module, and the clock that a test moves."""

    def __init__(self, text: str, *entries: NodeEntry) -> None:
        self.router, self.module, self.now = router(text, *entries), Scheduler(NAMED, 7), T0
        self.module.handle(T0, [NodeList(ListKind.SAVED, tuple(self.router.failover_levels.entries.values()))])

    def at(self, later: int, *events: Event) -> list[Action]:
        self.now += later
        return self.module.handle(self.now, events)

    def arrive(self, arrival: Arrival) -> list[Action]:
        bounds = self.router.admit(self.now, arrival)
        assert isinstance(bounds, AdmittedRequest)
        return self.at(0, structs.replace(arrival, bounds=bounds))

    def run(self, span: int, step: int = 5 * MS) -> list[Action]:
        return [action for _ in range(span // step) for action in self.at(step, TimerExpired(0))]


def sends(actions: Iterable[Action]) -> list[str]:
    return [one.node for one in actions if isinstance(one, Send)]


def test_new_objects_are_sent_to_their_pool_only() -> None:
    pair = Pair(POOLS + "(route (pools b))", *(backend(at, at // 10) for at in range(20)))
    chosen = [node for at in range(40) for node in sends(pair.arrive(ask(f"r{at}", units=0.1)))]
    assert len(chosen) >= 8 and all(int(node[1:]) >= 10 for node in chosen)


def test_waiting_requests_go_to_a_pool_that_returns() -> None:
    pair = Pair(POOLS + "(route (pools a))", backend(0, 0), backend(1, 0), backend(3, 1))
    for number in (0, 1):
        entry = backend(number, 0, Phase.DRAINING)
        pair.at(0, NodeList(ListKind.CHANGES, (entry,)))  # the module hears of it before the router
    assert sends(pair.arrive(ask("r1"))) == []
    back = NodeList(ListKind.CHANGES, (backend(1, 0),))
    pair.router.nodes(pair.now, back)
    assert sends(pair.at(0, back)) == ["n1"]


def failed(name: str, node: str, attempt: int = 0, result: Result = Result.ERROR) -> Outcome:
    return Outcome(name, attempt, node, result, 10 * MS, False, 0, 0.0, {})


def test_attempts_above_the_version_s_maximum_are_answered_at_once() -> None:
    pair = Pair("(retries (attempts 1))")
    (node,) = sends(pair.arrive(ask("r1")))
    actions = pair.at(10 * MS, failed("r1", node))
    assert [type(one) for one in actions if isinstance(one, Send | Refuse | Fail)] == [Refuse]


def test_exhausted_retry_budget_is_answered_at_once() -> None:
    pair = Pair("(retries (budget 50 %))")
    (one,) = sends(pair.arrive(ask("r1")))
    assert any(isinstance(action, Refuse) for action in pair.at(10 * MS, failed("r1", one)))
    (two,) = sends(pair.arrive(ask("r2")))
    actions = pair.at(10 * MS, failed("r2", two)) + pair.run(400 * MS)
    assert len(sends(actions)) == 1 and not any(isinstance(action, Refuse) for action in actions)


def test_hedged_attempt_goes_to_another_backend_and_the_first_answer_cancels_the_other() -> None:
    pair = Pair("(retries (second-copy 80 ms))")
    (first,) = sends(pair.arrive(ask("r1")))
    assert sends(pair.run(75 * MS)) == []
    (second,) = sends(pair.run(30 * MS))
    assert second != first
    assert sends(pair.run(300 * MS)) == []  # two copies, never three
    actions = pair.at(1, Outcome("r1", 1, second, Result.OK, 10 * MS, True, 0, 0.0, {}))
    assert [one for one in actions if isinstance(one, Cancel)] == [Cancel("r1", 0)]
    pair.at(1, Outcome("r1", 0, first, Result.CANCELLED, 10 * MS, True, 0, 0.0, {}))
    assert not pair.module.requests and not pair.module.active_nodes


def test_hedged_attempt_needs_another_backend_with_the_data_and_budget() -> None:
    alone = Pair("(retries (second-copy 80 ms))")
    assert len(sends(alone.arrive(ask("r1", shard=1)))) == 1 and sends(alone.run(300 * MS)) == []
    two = Pair("(retries (second-copy 80 ms))", backend(0, 0, shard=1), backend(1, 0, shard=1))
    assert len(sends(two.arrive(ask("r1", shard=1)))) == 1 and len(sends(two.run(200 * MS))) == 1
    dry = Pair("(retries (second-copy 80 ms) (budget 10 %))")
    assert len(sends(dry.arrive(ask("r1")))) == 1 and sends(dry.run(300 * MS)) == []
