"""Others' work, waits and silence as one gateway of many sees them."""

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


# --- many gateways, each with its own sliver


def loaded(gate: Gateway, took: int = 400 * MS) -> None:
    """Let node 0 show a long wait of others' making: a quick answer, then one that took long."""
    gate.at(0, ask("quick", units=1, volume="z"))
    gate.at(10 * MS, end("quick", Result.OK))
    gate.at(0, ask("slow", units=1, volume="z"))
    gate.at(took, end("slow", Result.OK, took=took))


def spend_reserve(gate: Gateway, volume: str) -> None:
    held = gate.scheduler.volumes.get(volume)
    assert held is not None
    held.reserve.level, held.reserve.rate, held.reserve.updated_at = 0.0, 0.0, gate.now


def test_others_work_holds_back_what_earns_less_and_not_the_reserve() -> None:
    """One request out at each of many gateways was a queue that no book showed (i959d22, ie3d5fc)."""
    gate = Gateway()
    gate.at(0, ask("first", units=1, volume="greedy"))
    gate.at(10 * MS, end("first", Result.OK))
    loaded(gate)
    spend_reserve(gate, "greedy")
    assert not gate.sends(0, ask("beyond", units=1, volume="greedy"))
    assert gate.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]


def test_reserve_waits_longer_than_what_earns_less() -> None:
    """Reserve was refused at three quarters of an aim of others' work, though it would still have been in time."""
    gate = Gateway()
    gate.at(0, ask("first", units=1, volume="greedy"))
    gate.at(10 * MS, end("first", Result.OK))
    spend_reserve(gate, "greedy")
    book = gate.scheduler.nodes["n0"]
    book.queue_delay, book.queue_delay_at = 0.6 * gate.scheduler.target_us, gate.now
    assert not gate.sends(0, ask("beyond", units=1, volume="greedy"))  # earns 0.4 of the full worth
    assert gate.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]
    gate = Gateway()
    gate.at(0, ask("first", units=1, volume="meek"))
    gate.at(10 * MS, end("first", Result.OK))
    book = gate.scheduler.nodes["n0"]
    book.queue_delay, book.queue_delay_at = 0.85 * gate.scheduler.target_us, gate.now
    assert gate.sends(0, ask("reserved", units=1, volume="meek")) == [("reserved", "n0")]


def test_an_idle_node_is_not_held_back_for_a_wait_seen_two_aims_ago() -> None:
    """Gateways held requests at bricks that had nothing out from anybody, for what a past answer told."""
    gate = Gateway()
    gate.at(0, ask("first", units=1, volume="greedy"))
    gate.at(10 * MS, end("first", Result.OK))
    spend_reserve(gate, "greedy")
    book = gate.scheduler.nodes["n0"]
    book.queue_delay, book.queue_delay_at = 0.9 * gate.scheduler.target_us, gate.now
    gate.at(600 * MS)
    assert gate.scheduler._queue_delay(book) < 0.4 * gate.scheduler.target_us
    assert gate.sends(0, ask("beyond", units=1, volume="greedy")) == [("beyond", "n0")]


def test_a_wait_once_seen_fades_at_nodes_not_seen_too() -> None:
    """Gateways that held all back heard no answer and went on holding after a burst (lakeshore big-2)."""
    gate = Gateway()
    for _ in range(9):
        loaded(gate)
    unseen = gate.scheduler.nodes["n1"]
    before = gate.scheduler._queue_delay(unseen)
    gate.at(3000 * MS)
    assert before > 40 * MS and gate.scheduler._queue_delay(unseen) < before / 3


def test_own_requests_ahead_are_no_work_of_others() -> None:
    """Few gateways held back behind their own work (lakeshore-yard big-1)."""
    gate = Gateway()
    for number in range(4):
        gate.at(0, ask(f"s{number}", units=1))
        gate.at(40 * MS, end(f"s{number}", Result.OK, took=40 * MS))
    gate.at(0, *(ask(f"r{number}", units=1, volume=f"v{number}") for number in range(3)))
    out = [name for name, request in gate.scheduler.requests.items() if request.in_flight]
    assert len(out) > 1
    for place, name in enumerate(out):
        gate.at(40 * MS, end(name, Result.OK, took=40 * MS * (place + 1)))
    assert gate.scheduler._queue_delay(gate.scheduler.nodes["n0"]) < 20 * MS


def test_an_idle_gateway_sets_no_timer_and_a_busy_one_few() -> None:
    """A steady tick at every gateway had full-size days cut off for CPU (lakeshore big-1)."""
    gate = Gateway()
    timers = 0
    for number in range(20):
        for _ in range(10):
            timers += sum(isinstance(one, SetTimer) for one in gate.at(10 * MS, TimerExpired(0)))
        gate.at(0, ask(f"r{number}"))
        timers += sum(isinstance(one, SetTimer) for one in gate.at(10 * MS, end(f"r{number}", Result.OK)))
    assert timers <= 2 * 20
    assert not [one for one in gate.run(3000 * MS)[3:] if isinstance(one, SetTimer)]


def test_a_client_whose_backend_cannot_be_reached_has_its_answer_before_half_of_its_time() -> None:
    """Connections that never came up took 250 ms each, and 750 ms were over with nothing written (zone+vast)."""
    gate = Gateway(nodes=(node(0),))
    gate.at(0, ask("slow", time_left=750 * MS))
    assert finals(gate.at(250 * MS, end("slow", Result.CONNECT_FAILED, took=250 * MS))) == [Refuse("slow", 0)]
    gate = Gateway(nodes=(node(0),))
    gate.at(0, ask("quick", time_left=750 * MS))
    actions = gate.at(2 * MS, end("quick", Result.CONNECT_FAILED, took=2 * MS)) + gate.run(360 * MS)
    assert any(isinstance(one, Send) for one in actions)  # refused at once: it may be back soon
    gate = Gateway(nodes=(node(0),))
    gate.at(0, ask("reached", time_left=750 * MS))
    assert not finals(gate.at(370 * MS, end("reached", Result.FULL, took=370 * MS)))


def test_a_bad_node_seen_once_a_second_gets_no_new_objects_until_it_has_served() -> None:
    """Its rest was over long before a head with little traffic came again, and its errors made it look free."""
    gate = Gateway(nodes=[node(number) for number in range(4)])
    gate.at(0, ask("read", shard=2), ask("other", shard=1))
    gate.at(5 * MS, end("read", Result.ERROR, "n2", took=5 * MS), end("other", Result.OK, "n1", took=20 * MS))
    gate.at(400 * MS, Departure("read"))
    places = []
    for number in range(12):
        [(name, where)] = gate.sends(1000 * MS, ask(f"new{number}", shard=-1))
        places.append(where)
        gate.at(20 * MS, end(name, Result.OK, where, took=20 * MS))
    assert "n2" not in places and len(set(places)) > 1
    gate.sends(0, ask("again", shard=2))
    gate.at(20 * MS, end("again", Result.OK, "n2", took=20 * MS))
    assert gate.scheduler.nodes["n2"].failures == 0
    alone = Gateway(nodes=(node(0),))
    alone.at(0, ask("read"))
    alone.at(5 * MS, end("read", Result.ERROR, took=5 * MS), Departure("read"))
    assert alone.sends(1000 * MS, ask("new", shard=-1)) == [("new", "n0")]


def test_what_is_overtaken_keeps_no_room() -> None:
    """Lost answers kept their room for two seconds and idle nodes refused (ikeja big-2-small)."""
    gate = Gateway()
    gate.at(0, ask("lost", units=5))
    gate.at(100 * MS, ask("next", units=1, volume="w"))
    gate.at(20 * MS, end("next", Result.OK, took=20 * MS))
    assert gate.scheduler.nodes["n0"].units_out == 0
    assert gate.sends(0, ask("big", units=6, volume="x")) == [("big", "n0")]


def test_a_node_silent_alone_is_tried_anew() -> None:
    gate = Gateway()
    gate.at(0, ask("lost"))
    gate.run(650 * MS)
    assert gate.sends(0, ask("trial", volume="w")) == [("trial", "n0")]
    assert not gate.sends(10 * MS, ask("more", volume="x"))


def test_an_impatient_client_has_not_waited_long() -> None:
    """With little time left a fresh request was taken for a late one (kathmandu rough-2)."""
    gate = Gateway()
    gate.at(0, ask("usual"), ask("short", shard=1, time_left=150 * MS), ask("retry", shard=1, time_left=1500 * MS))
    requests = gate.scheduler.requests
    assert requests["short"].target_at > requests["short"].deadline
    assert requests["retry"].target_at < gate.now


def test_a_stalled_gateway_accuses_no_node() -> None:
    """After a stall the clock jumps, and every node with work out looked hung (lakeshore-yard-later)."""
    gate = Gateway()
    gate.at(0, ask("a"))
    assert not [one for one in gate.at(900 * MS, TimerExpired(0)) if isinstance(one, Log)]
    assert not gate.scheduler.nodes["n0"].is_unresponsive
    gate.at(0, end("a", Result.OK, took=20 * MS))
    assert gate.scheduler._queue_delay(gate.scheduler.nodes["n0"]) < 20 * MS


def test_memory_stays_bounded_while_nodes_keys_and_volumes_come_and_go() -> None:
    gate = Gateway(nodes=())
    for number in range(300):
        name = f"m{number}"
        gate.at(1000 * MS, NodeList(ListKind.FULL, (node(0, name=name),)))
        for request, where in gate.sends(0, ask(f"r{number}", kind=ORDERED, volume=f"v{number}")):
            gate.at(100 * MS, end(request, Result.TIMEOUT, where, finished=True))
    one = gate.scheduler
    assert (
        max(len(one.nodes), len(one.requests), len(one.key_order), len(one.key_blocked_until), len(one.arrival_times))
        <= 10
    )
    assert (
        max(len(one.retry_times), len(one.fair_use), len(one.recheck_at), len(one.active_nodes), len(one.deadlines))
        <= 10
    )
    assert len(one.volumes) <= 62
    assert all(len(volume.excess_use) <= 3 for volume in one.volumes.values())


def test_odd_events_are_borne() -> None:
    gate = Gateway(nodes=(replace(node(0), kind=99), node(1)))
    gate.at(0, end("never", Result.OK), Departure("never"), StreamStarted("never", 0))
    gate.at(0, end("a", Result.OK, "unlisted"))
    assert gate.sends(0, ask("a", units=0)) == [("a", "n0")]
    gate.at(MS, end("a", Result.OK, took=0), end("a", Result.OK))
    assert not gate.scheduler.requests


def test_one_gateway_alone_serves() -> None:
    gate = Gateway(replace(SETTINGS, gateways=1), nodes=(node(0),))
    assert gate.sends(0, ask("a"), ask("b", shard=-1, volume="w"))


def test_the_example_of_the_readme_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    printed = capsys.readouterr().out
    assert "Send(request='r1', node='node-a', give_up_us=0)" in printed and "SetTimer(" in printed
