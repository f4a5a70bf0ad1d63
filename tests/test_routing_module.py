"""Tests of the router together with the scheduler: pools, retry budgets and hedged attempts."""

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
from tests.routes import NAMED_SETTINGS, POOLS, make_arrival, node_entry, make_router
from tests.test_choice import MS, T0


class RouterAndScheduler:
    """A router in front of a scheduler, with a clock that the test advances."""

    def __init__(self, text: str, *entries: NodeEntry) -> None:
        self.router, self.scheduler, self.now = make_router(text, *entries), Scheduler(NAMED_SETTINGS, 7), T0
        self.scheduler.handle(T0, [NodeList(ListKind.SAVED, tuple(self.router.failover_levels.entries.values()))])

    def handle(self, elapsed_us: int, *events: Event) -> list[Action]:
        self.now += elapsed_us
        return self.scheduler.handle(self.now, events)

    def arrive(self, arrival: Arrival) -> list[Action]:
        bounds = self.router.admit(self.now, arrival)
        assert isinstance(bounds, AdmittedRequest)
        return self.handle(0, structs.replace(arrival, bounds=bounds))

    def run(self, span: int, step: int = 5 * MS) -> list[Action]:
        return [action for _ in range(span // step) for action in self.handle(step, TimerExpired(0))]


def sent_nodes(actions: Iterable[Action]) -> list[str]:
    return [action.node for action in actions if isinstance(action, Send)]


def test_new_objects_are_sent_to_their_pool_only() -> None:
    pair = RouterAndScheduler(POOLS + "(route (pools b))", *(node_entry(index, index // 10) for index in range(20)))
    chosen = [node for index in range(40) for node in sent_nodes(pair.arrive(make_arrival(f"r{index}", units=0.1)))]
    assert len(chosen) >= 8 and all(int(node[1:]) >= 10 for node in chosen)


def test_waiting_requests_go_to_a_pool_that_returns() -> None:
    pair = RouterAndScheduler(POOLS + "(route (pools a))", node_entry(0, 0), node_entry(1, 0), node_entry(3, 1))
    for number in (0, 1):
        entry = node_entry(number, 0, Phase.DRAINING)
        pair.handle(0, NodeList(ListKind.CHANGES, (entry,)))  # the scheduler gets the change before the router
    assert sent_nodes(pair.arrive(make_arrival("r1"))) == []
    returned = NodeList(ListKind.CHANGES, (node_entry(1, 0),))
    pair.router.nodes(pair.now, returned)
    assert sent_nodes(pair.handle(0, returned)) == ["n1"]


def failed_outcome(name: str, node: str, attempt: int = 0, result: Result = Result.ERROR) -> Outcome:
    return Outcome(name, attempt, node, result, 10 * MS, False, 0, 0.0, {})


def test_failure_of_the_last_allowed_attempt_is_answered_at_once() -> None:
    pair = RouterAndScheduler("(retries (attempts 1))")
    (node,) = sent_nodes(pair.arrive(make_arrival("r1")))
    actions = pair.handle(10 * MS, failed_outcome("r1", node))
    assert [type(action) for action in actions if isinstance(action, Send | Refuse | Fail)] == [Refuse]


def test_exhausted_retry_budget_is_answered_at_once() -> None:
    pair = RouterAndScheduler("(retries (budget 50 %))")
    (first,) = sent_nodes(pair.arrive(make_arrival("r1")))
    assert any(isinstance(action, Refuse) for action in pair.handle(10 * MS, failed_outcome("r1", first)))
    (second,) = sent_nodes(pair.arrive(make_arrival("r2")))
    actions = pair.handle(10 * MS, failed_outcome("r2", second)) + pair.run(400 * MS)
    assert len(sent_nodes(actions)) == 1 and not any(isinstance(action, Refuse) for action in actions)


def test_hedged_attempt_goes_to_another_backend_and_the_first_answer_cancels_the_other() -> None:
    pair = RouterAndScheduler("(retries (second-copy 80 ms))")
    (first,) = sent_nodes(pair.arrive(make_arrival("r1")))
    assert sent_nodes(pair.run(75 * MS)) == []
    (second,) = sent_nodes(pair.run(30 * MS))
    assert second != first
    assert sent_nodes(pair.run(300 * MS)) == []  # at most two attempts at a time
    actions = pair.handle(1, Outcome("r1", 1, second, Result.OK, 10 * MS, True, 0, 0.0, {}))
    assert [action for action in actions if isinstance(action, Cancel)] == [Cancel("r1", 0)]
    pair.handle(1, Outcome("r1", 0, first, Result.CANCELLED, 10 * MS, True, 0, 0.0, {}))
    assert not pair.scheduler.requests and not pair.scheduler.active_nodes


def test_hedged_attempt_needs_another_backend_with_the_data_and_budget() -> None:
    single = RouterAndScheduler("(retries (second-copy 80 ms))")
    assert len(sent_nodes(single.arrive(make_arrival("r1", shard=1)))) == 1 and sent_nodes(single.run(300 * MS)) == []
    replicated = RouterAndScheduler(
        "(retries (second-copy 80 ms))", node_entry(0, 0, shard=1), node_entry(1, 0, shard=1)
    )
    assert (
        len(sent_nodes(replicated.arrive(make_arrival("r1", shard=1)))) == 1
        and len(sent_nodes(replicated.run(200 * MS))) == 1
    )
    no_budget = RouterAndScheduler("(retries (second-copy 80 ms) (budget 10 %))")
    assert len(sent_nodes(no_budget.arrive(make_arrival("r1")))) == 1 and sent_nodes(no_budget.run(300 * MS)) == []
