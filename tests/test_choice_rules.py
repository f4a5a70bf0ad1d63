"""The rules for sending, event by event: answers, effects, drains, cold nodes, limits, order, retry budget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hophinge.core.interface import (
    Departure,
    Fail,
    ListKind,
    NodeList,
    Phase,
    Refuse,
    Result,
    Send,
    StreamStarted,
    TimerExpired,
)
from tests.gateways import KEYED, LIMITED, MS, ORDERED, SETTINGS, T0, UNSAFE, Gateway, ask, end, finals, node


# --- rule 1: one answer in time


def test_every_request_is_answered_once_without_any_node() -> None:
    gateway = Gateway(nodes=())
    gateway.at(0, ask("a"), ask("b", shard=-1, kind=UNSAFE))
    answers = finals(gateway.run(3000 * MS))
    assert sorted(one.request for one in answers if isinstance(one, Refuse)) == ["a", "b"]
    assert len(answers) == 2


def test_timeout_at_the_deadline_is_answered_and_nothing_follows() -> None:
    gateway = Gateway()
    gateway.at(0, ask("a", kind=UNSAFE))
    assert finals(gateway.at(2000 * MS, end("a", Result.TIMEOUT))) == [Fail("a")]
    assert not [one for one in gateway.run(3000 * MS) if isinstance(one, Send | Refuse | Fail)]


def test_departure_and_late_outcome_of_an_ended_request() -> None:
    gateway = Gateway()
    gateway.at(0, ask("a"))
    assert not finals(gateway.at(MS, Departure("a"), Departure("a"), Departure("never")))
    assert not finals(gateway.at(MS, end("a", Result.ERROR, finished=True)))
    assert not gateway.scheduler.requests


def test_started_stream_is_not_answered_at_the_deadline() -> None:
    gateway = Gateway()
    gateway.at(0, ask("a"))
    gateway.at(MS, StreamStarted("a", 0))
    assert not finals(gateway.run(3000 * MS))


def test_unsent_request_is_refused_before_half_of_its_time_with_a_retry_delay() -> None:
    gateway = Gateway(replace(SETTINGS, allowed=replace(SETTINGS.allowed, retry_after_us=1000 * MS)), nodes=())
    gateway.at(0, ask("a"))
    assert not finals(gateway.run(420 * MS))
    assert finals(gateway.run(200 * MS)) == [Refuse("a", 600 * MS)]


def test_a_retry_with_little_time_left_is_refused_before_half_of_it_too() -> None:
    gateway = Gateway(replace(SETTINGS, allowed=replace(SETTINGS.allowed, retry_after_us=1000 * MS)), nodes=())
    gateway.at(0, ask("a", time_left=400 * MS))  # the target latency of the class is 300 ms
    assert finals(gateway.run(200 * MS)) == [Refuse("a", 600 * MS)]


def test_attempted_request_is_not_refused_at_half_of_its_time() -> None:
    gateway = Gateway()
    gateway.at(0, ask("a"))
    assert not finals(gateway.run(1900 * MS))


def test_retry_delay_is_within_what_the_deployment_allows() -> None:
    gateway = Gateway(replace(SETTINGS, allowed=replace(SETTINGS.allowed, retry_after_us=50 * MS)), nodes=())
    gateway.at(0, ask("a"))
    assert finals(gateway.run(1000 * MS)) == [Refuse("a", 50 * MS)]


# --- rule 2: no effect twice


@pytest.mark.parametrize("result", [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_unsafe_is_failed_once_it_may_have_run(result: Result) -> None:
    gateway = Gateway()
    gateway.at(0, ask("a", kind=UNSAFE))
    actions = gateway.at(10 * MS, end("a", result)) + gateway.run(2500 * MS)
    assert finals(actions) == [Fail("a")] and not [one for one in actions if isinstance(one, Send)]


def test_unsafe_is_retried_when_it_never_ran() -> None:
    gateway = Gateway()
    gateway.at(0, ask("a", shard=-1, kind=UNSAFE))
    where = next(iter(gateway.scheduler.requests["a"].in_flight.values())).entry.node
    actions = gateway.at(10 * MS, end("a", Result.FULL, where)) + gateway.run(200 * MS)
    assert len([one for one in actions if isinstance(one, Send)]) == 1


def test_keyed_stays_in_its_cell_and_window() -> None:
    gateway = Gateway()
    ((_, where),) = gateway.sends(0, ask("a", shard=-1, kind=KEYED))
    again = gateway.at(10 * MS, end("a", Result.RESET, where)) + gateway.run(400 * MS)
    assert [one.node for one in again if isinstance(one, Send)] == [where]
    late = gateway.at(700 * MS, end("a", Result.RESET, where, attempt=1))
    assert finals(late) == [Fail("a")]


# --- rules 3 and 4: drains and cold nodes


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_draining_node_gets_no_new_request(phase: Phase) -> None:
    gateway = Gateway()
    gateway.at(0, NodeList(ListKind.CHANGES, (node(0, phase),)))
    assert not gateway.sends(0, ask("a"))
    assert {where for _, where in gateway.sends(0, *(ask(f"w{n}", shard=-1) for n in range(4)))} == {"n1"}


def test_node_missing_from_a_full_list_is_gone_and_its_replacement_serves_its_queue() -> None:
    gateway = Gateway()
    gateway.at(0, NodeList(ListKind.FULL, (node(1),)))
    assert not gateway.sends(0, ask("a"))
    assert gateway.sends(MS, NodeList(ListKind.CHANGES, (node(0, name="new"),))) == [("a", "new")]


def test_cold_node_gets_this_gateways_share_in_any_window() -> None:
    gateway = Gateway(nodes=(node(0, started_us=T0 - MS),))
    sent = 0.0
    for number in range(40):
        for request, where in gateway.sends(20 * MS, ask(f"r{number}", units=1, volume=f"v{number}")):
            sent += 1
            gateway.at(MS, end(request, Result.OK, where))
    assert 0 < sent <= SETTINGS.rules.overload_multiple * 40


def test_cold_node_without_answers_gets_no_more_than_the_configured_units() -> None:
    gateway = Gateway(nodes=(node(0, started_us=T0 - MS),))
    asks = [ask(f"r{number}", units=1, volume=f"v{number}") for number in range(20)]
    assert len(gateway.sends(0, *asks)) <= SETTINGS.rules.slow_start_units / SETTINGS.gateways


# --- rule 5: limits


def test_limit_is_split_and_starts_empty_after_a_restart() -> None:
    gateway = Gateway()
    flood = [ask(f"r{number}", shard=number % 2, units=2, plan=1, gateways=2) for number in range(60)]
    assert not gateway.sends(0, *flood)
    units = 0.0
    for _ in range(100):
        for request, where in gateway.sends(10 * MS, TimerExpired(0)):
            units += 2
            gateway.at(0, end(request, Result.OK, where))
    assert 2 <= units <= LIMITED.limit / 2 * 1.1


# --- rule 6: order


def test_requests_of_a_key_run_in_order_with_a_pause_after_a_timeout() -> None:
    gateway = Gateway()
    both = ask("a", kind=ORDERED, key="k"), ask("b", kind=ORDERED, key="k", units=1)
    assert gateway.sends(0, *both) == [("a", "n0")]
    assert not gateway.sends(10 * MS, end("a", Result.TIMEOUT, finished=True))
    assert not gateway.sends(99 * MS - 1, TimerExpired(0))
    assert gateway.sends(2 * MS, TimerExpired(0)) == [("b", "n0")]


# --- rule 7: budget


def test_retries_stay_within_the_budget() -> None:
    gateway = Gateway()
    retries = 0
    for number in range(12):
        gateway.at(100 * MS, ask(f"r{number}", volume=f"v{number}"))
        for request in list(gateway.scheduler.requests.values()):
            for attempt, node_state in list(request.in_flight.items()):
                retries += attempt > 0
                gateway.at(0, end(request.arrival.request, Result.ERROR, node_state.entry.node, attempt))
        rules = SETTINGS.rules
        assert retries <= rules.budget_free + rules.budget_share * (number + 1)
    assert retries > 0


def test_arrivals_before_the_window_allow_no_retry() -> None:
    """Old arrivals were only dropped at the next one; a quiet gateway exceeded its budget (ikeja-store-later big-2)."""
    rules = replace(SETTINGS.rules, budget_free=0, budget_share=0.5)
    classes = tuple(replace(one, deadline_us=9000 * MS) for one in SETTINGS.classes)
    gateway = Gateway(replace(SETTINGS, rules=rules, classes=classes))
    for number in range(4):
        for request, where in gateway.sends(0, ask(f"old{number}")):
            gateway.at(MS, end(request, Result.OK, where))
    gateway.at(100 * MS, ask("a", time_left=9000 * MS))
    gateway.at(4950 * MS, end("a", Result.ERROR))
    assert not [one for one in gateway.run(2000 * MS) if isinstance(one, Send)]
