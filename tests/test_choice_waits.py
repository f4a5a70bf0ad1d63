"""Waits for other gateways' work and unresponsive nodes, as one gateway of many observes them."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from hophinge.core.interface import (
    Departure,
    ListKind,
    Log,
    NodeList,
    Refuse,
    Result,
    Send,
    SetTimer,
    StreamStarted,
    TimerExpired,
)
from tests.gateways import MS, ORDERED, SETTINGS, Gateway, ask, end, finals, node


# --- many gateways, each with a small share


def loaded(gateway: Gateway, took: int = 400 * MS) -> None:
    """Let node 0 show a long wait for others' work: a quick answer, then a slow one."""
    gateway.at(0, ask("quick", units=1, volume="z"))
    gateway.at(10 * MS, end("quick", Result.OK))
    gateway.at(0, ask("slow", units=1, volume="z"))
    gateway.at(took, end("slow", Result.OK, took=took))


def spend_reserve(gateway: Gateway, volume: str) -> None:
    volume_state = gateway.scheduler.volumes.get(volume)
    assert volume_state is not None
    volume_state.reserve.level, volume_state.reserve.rate, volume_state.reserve.updated_at = 0.0, 0.0, gateway.now


def test_a_wait_for_others_work_delays_requests_of_less_value_and_not_the_reserve() -> None:
    """One request in flight from each of many gateways made a queue that no gateway knew of (i959d22, ie3d5fc)."""
    gateway = Gateway()
    gateway.at(0, ask("first", units=1, volume="greedy"))
    gateway.at(10 * MS, end("first", Result.OK))
    loaded(gateway)
    spend_reserve(gateway, "greedy")
    assert not gateway.sends(0, ask("beyond", units=1, volume="greedy"))
    assert gateway.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]


def test_the_reserve_accepts_a_longer_wait_than_requests_of_less_value() -> None:
    """Reserved work was refused at a wait of three quarters of the target, though it would have been in time."""
    gateway = Gateway()
    gateway.at(0, ask("first", units=1, volume="greedy"))
    gateway.at(10 * MS, end("first", Result.OK))
    spend_reserve(gateway, "greedy")
    node_state = gateway.scheduler.nodes["n0"]
    node_state.queue_delay, node_state.queue_delay_at = 0.6 * gateway.scheduler.target_us, gateway.now
    assert not gateway.sends(0, ask("beyond", units=1, volume="greedy"))  # earns 0.4 of the full value
    assert gateway.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]
    gateway = Gateway()
    gateway.at(0, ask("first", units=1, volume="meek"))
    gateway.at(10 * MS, end("first", Result.OK))
    node_state = gateway.scheduler.nodes["n0"]
    node_state.queue_delay, node_state.queue_delay_at = 0.85 * gateway.scheduler.target_us, gateway.now
    assert gateway.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]


def test_an_idle_node_gets_requests_although_a_wait_was_observed_two_targets_ago() -> None:
    """Gateways queued requests for idle bricks because of a wait that an earlier answer had shown."""
    gateway = Gateway()
    gateway.at(0, ask("first", units=1, volume="greedy"))
    gateway.at(10 * MS, end("first", Result.OK))
    spend_reserve(gateway, "greedy")
    node_state = gateway.scheduler.nodes["n0"]
    node_state.queue_delay, node_state.queue_delay_at = 0.9 * gateway.scheduler.target_us, gateway.now
    gateway.at(600 * MS)
    assert gateway.scheduler._queue_delay(node_state) < 0.4 * gateway.scheduler.target_us
    assert gateway.sends(0, ask("beyond", units=1, volume="greedy")) == [("beyond", "n0")]


def test_an_observed_wait_decays_also_for_nodes_without_observations() -> None:
    """After a burst, gateways that held back all requests got no answers and went on so (lakeshore big-2)."""
    gateway = Gateway()
    for _ in range(9):
        loaded(gateway)
    unobserved = gateway.scheduler.nodes["n1"]
    before = gateway.scheduler._queue_delay(unobserved)
    gateway.at(3000 * MS)
    assert before > 40 * MS and gateway.scheduler._queue_delay(unobserved) < before / 3


def test_own_requests_ahead_do_not_count_as_work_of_others() -> None:
    """With few gateways, requests were held back because of the gateway's own work (lakeshore-yard big-1)."""
    gateway = Gateway()
    for number in range(4):
        gateway.at(0, ask(f"s{number}", units=1))
        gateway.at(40 * MS, end(f"s{number}", Result.OK, took=40 * MS))
    gateway.at(0, *(ask(f"r{number}", units=1, volume=f"v{number}") for number in range(3)))
    in_flight = [name for name, request in gateway.scheduler.requests.items() if request.in_flight]
    assert len(in_flight) > 1
    for position, name in enumerate(in_flight):
        gateway.at(40 * MS, end(name, Result.OK, took=40 * MS * (position + 1)))
    assert gateway.scheduler._queue_delay(gateway.scheduler.nodes["n0"]) < 20 * MS


def test_an_idle_gateway_sets_no_timer_and_a_busy_one_few() -> None:
    """With a periodic tick at every gateway, full-size days exceeded the CPU limit (lakeshore big-1)."""
    gateway = Gateway()
    timers = 0
    for number in range(20):
        for _ in range(10):
            timers += sum(isinstance(one, SetTimer) for one in gateway.at(10 * MS, TimerExpired(0)))
        gateway.at(0, ask(f"r{number}"))
        timers += sum(isinstance(one, SetTimer) for one in gateway.at(10 * MS, end(f"r{number}", Result.OK)))
    assert timers <= 2 * 20
    assert not [one for one in gateway.run(3000 * MS)[3:] if isinstance(one, SetTimer)]


def test_a_client_of_an_unreachable_backend_gets_its_answer_before_half_of_its_time() -> None:
    """Failed connection attempts took 250 ms each, so that 750 ms passed with nothing sent (zone+vast)."""
    gateway = Gateway(nodes=(node(0),))
    gateway.at(0, ask("slow", time_left=750 * MS))
    assert finals(gateway.at(250 * MS, end("slow", Result.CONNECT_FAILED, took=250 * MS))) == [Refuse("slow", 0)]
    gateway = Gateway(nodes=(node(0),))
    gateway.at(0, ask("quick", time_left=750 * MS))
    actions = gateway.at(2 * MS, end("quick", Result.CONNECT_FAILED, took=2 * MS)) + gateway.run(360 * MS)
    assert any(isinstance(one, Send) for one in actions)  # refused at once: the backend may be back soon
    gateway = Gateway(nodes=(node(0),))
    gateway.at(0, ask("reached", time_left=750 * MS))
    assert not finals(gateway.at(370 * MS, end("reached", Result.FULL, took=370 * MS)))


def test_a_failing_node_used_once_a_second_gets_no_new_objects_until_it_has_served() -> None:
    """With little traffic its backoff had always ended before the next request, and its errors made it look idle."""
    gateway = Gateway(nodes=[node(number) for number in range(4)])
    gateway.at(0, ask("read", shard=2), ask("other", shard=1))
    gateway.at(5 * MS, end("read", Result.ERROR, "n2", took=5 * MS), end("other", Result.OK, "n1", took=20 * MS))
    gateway.at(400 * MS, Departure("read"))
    chosen = []
    for number in range(12):
        [(name, where)] = gateway.sends(1000 * MS, ask(f"new{number}", shard=-1))
        chosen.append(where)
        gateway.at(20 * MS, end(name, Result.OK, where, took=20 * MS))
    assert "n2" not in chosen and len(set(chosen)) > 1
    gateway.sends(0, ask("again", shard=2))
    gateway.at(20 * MS, end("again", Result.OK, "n2", took=20 * MS))
    assert gateway.scheduler.nodes["n2"].failures == 0
    alone = Gateway(nodes=(node(0),))
    alone.at(0, ask("read"))
    alone.at(5 * MS, end("read", Result.ERROR, took=5 * MS), Departure("read"))
    assert alone.sends(1000 * MS, ask("new", shard=-1)) == [("new", "n0")]


def test_an_overtaken_attempt_reserves_no_units() -> None:
    """Attempts without answers kept units reserved for two seconds, and idle nodes got nothing (ikeja big-2-small)."""
    gateway = Gateway()
    gateway.at(0, ask("lost", units=5))
    gateway.at(100 * MS, ask("next", units=1, volume="w"))
    gateway.at(20 * MS, end("next", Result.OK, took=20 * MS))
    assert gateway.scheduler.nodes["n0"].units_out == 0
    assert gateway.sends(0, ask("big", units=6, volume="x")) == [("big", "n0")]


def test_a_node_that_alone_is_unresponsive_is_tried_again() -> None:
    gateway = Gateway()
    gateway.at(0, ask("lost"))
    gateway.run(650 * MS)
    assert gateway.sends(0, ask("trial", volume="w")) == [("trial", "n0")]
    assert not gateway.sends(10 * MS, ask("more", volume="x"))


def test_a_request_with_little_time_left_is_not_taken_for_a_retry() -> None:
    """A new request with little time left was taken for a late one (kathmandu rough-2)."""
    gateway = Gateway()
    gateway.at(0, ask("usual"), ask("short", shard=1, time_left=150 * MS), ask("retry", shard=1, time_left=1500 * MS))
    requests = gateway.scheduler.requests
    assert requests["short"].target_at > requests["short"].deadline
    assert requests["retry"].target_at < gateway.now


def test_after_a_stall_a_gateway_marks_no_node_as_unresponsive() -> None:
    """After a stall of the process, all nodes with attempts in flight looked unresponsive (lakeshore-yard-later)."""
    gateway = Gateway()
    gateway.at(0, ask("a"))
    assert not [one for one in gateway.at(900 * MS, TimerExpired(0)) if isinstance(one, Log)]
    assert not gateway.scheduler.nodes["n0"].is_unresponsive
    gateway.at(0, end("a", Result.OK, took=20 * MS))
    assert gateway.scheduler._queue_delay(gateway.scheduler.nodes["n0"]) < 20 * MS


def test_memory_stays_bounded_while_nodes_keys_and_volumes_come_and_go() -> None:
    gateway = Gateway(nodes=())
    for number in range(300):
        name = f"m{number}"
        gateway.at(1000 * MS, NodeList(ListKind.FULL, (node(0, name=name),)))
        for request, where in gateway.sends(0, ask(f"r{number}", kind=ORDERED, volume=f"v{number}")):
            gateway.at(100 * MS, end(request, Result.TIMEOUT, where, finished=True))
    scheduler = gateway.scheduler
    assert (
        max(
            len(scheduler.nodes),
            len(scheduler.requests),
            len(scheduler.key_order),
            len(scheduler.key_blocked_until),
            len(scheduler.arrival_times),
        )
        <= 10
    )
    assert (
        max(
            len(scheduler.retry_times),
            len(scheduler.fair_use),
            len(scheduler.recheck_at),
            len(scheduler.active_nodes),
            len(scheduler.deadlines),
        )
        <= 10
    )
    assert len(scheduler.volumes) <= 62
    assert all(len(volume.excess_use) <= 3 for volume in scheduler.volumes.values())


def test_unexpected_events_are_accepted() -> None:
    gateway = Gateway(nodes=(replace(node(0), kind=99), node(1)))
    gateway.at(0, end("never", Result.OK), Departure("never"), StreamStarted("never", 0))
    gateway.at(0, end("a", Result.OK, "unlisted"))
    assert gateway.sends(0, ask("a", units=0)) == [("a", "n0")]
    gateway.at(MS, end("a", Result.OK, took=0), end("a", Result.OK))
    assert not gateway.scheduler.requests


def test_one_gateway_alone_serves() -> None:
    gateway = Gateway(replace(SETTINGS, gateways=1), nodes=(node(0),))
    assert gateway.sends(0, ask("a"), ask("b", shard=-1, volume="w"))


def test_the_example_of_the_readme_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    printed = capsys.readouterr().out
    assert "Send(request='r1', node='node-a', give_up_us=0)" in printed and "SetTimer(" in printed
