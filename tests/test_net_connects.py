"""Connects to backends: when they are started and hedged, and which request gets them; last the decisions alone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.net.connection_attempts import MAX_HEDGED_CONNECTS, HEDGE_BURST, ConnectionAttempts, ConnectTimeEstimate
from tests.servers import Backend, held_by
from tests.stand_in import headers, run_in_real_time as run, until, world
from tests.test_net import READ

Create = Callable[..., Awaitable[object]]


def late(monkeypatch: pytest.MonkeyPatch, connector: object, gate: asyncio.Event, which: set[int]) -> list[int]:
    """Delay the connects with these numbers until the gate opens; returns the numbers of all started ones."""
    create: Create = connector._create_connection  # type: ignore[attr-defined]
    started = list[int]()

    async def slow(*parts: object) -> object:
        started.append(number := len(started))
        if number in which:
            await gate.wait()
        return await create(*parts)

    monkeypatch.setattr(connector, "_create_connection", slow)
    return started


def test_a_late_connect_is_hedged_and_still_used_afterwards(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, gate, backend = await made.head(), asyncio.Event(), made.backends[0]
            service.backends.pool.connect_timeout_s = 30.0  # no time-out ends the wait, even on a busy machine
            started = late(monkeypatch, service.backends.connector, gate, {0})
            wire = await made.wire(service)
            wire.send(READ, headers(X_Remaining_Ms="20000"))
            assert (await wire.receive())[0] == 404 and len(started) >= 2
            gate.set()
            opened = len(started)
            await until(lambda: backend.connections == opened)
            hold_answers = held_by(stop := asyncio.Event())
            backend.behave = hold_answers
            second = await made.wire(service)
            wire.send(READ, headers(1, X_Remaining_Ms="20000"))
            second.send(READ, headers(2, X_Remaining_Ms="20000"))
            await until(lambda: len(backend.seen) == 3)
            assert len(started) == opened  # the late connect serves the second request
            stop.set()
            assert [(await client.receive())[0] for client in (wire, second)] == [404, 404]
            assert len(backend.seen) == 3 and service.counters.counts["attempts_connect_failed"] == 0

    run(main())


def test_a_request_waiting_for_a_late_connect_gets_a_released_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, gate, backend = await made.head(), asyncio.Event(), made.backends[0]
            service.backends.pool.connect_timeout_s = 30.0
            service.backends.pool.estimate.hedge_credit = -1000.0  # no hedges
            started = late(monkeypatch, service.backends.connector, gate, {1})
            backend.behave = held_by(answers := asyncio.Event())
            first, second = await made.wire(service), await made.wire(service)
            first.send(READ, headers(1, X_Remaining_Ms="20000"))
            await until(lambda: len(backend.seen) == 1)
            second.send(READ, headers(2, X_Remaining_Ms="20000"))
            await until(lambda: len(started) == 2)
            answers.set()
            assert [(await client.receive())[0] for client in (first, second)] == [404, 404]
            assert len(started) == 2 and not gate.is_set() and backend.connections == 1
            gate.set()

    run(main())


def test_a_connect_of_a_departed_client_serves_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, gate, backend = await made.head(), asyncio.Event(), made.backends[0]
            service.backends.pool.connect_timeout_s = 30.0
            service.backends.pool.estimate.hedge_credit = -1000.0
            started = late(monkeypatch, service.backends.connector, gate, {0})
            leaving, staying = await made.wire(service), await made.wire(service)
            leaving.send(READ, headers(1, X_Remaining_Ms="20000"))
            await until(lambda: len(started) == 1)
            leaving.close()
            await until(lambda: service.counters.counts["requests_departed"] == 1)
            gate.set()
            await until(lambda: backend.connections == 1)
            staying.send(READ, headers(2, X_Remaining_Ms="20000"))
            assert (await staying.receive())[0] == 404
            assert len(started) == 1 and len(backend.seen) == 1

    run(main())


@given(st.lists(st.tuples(st.sampled_from(["ask", "up", "failed", "late", "gone"]), st.integers(0, 9)), max_size=60))
def test_connects_stay_within_their_bounds(steps: list[tuple[str, int]]) -> None:
    estimate, now, waiting, connected, regular_count, hedge_count = ConnectTimeEstimate(0.25), 0.0, 0, 0, 0, 0
    connects = ConnectionAttempts(estimate)
    for name, choice in steps:
        now += 0.001
        in_progress = list(connects.started_at)
        if name == "ask":
            waiting += 1
        elif name == "gone":
            waiting = max(0, waiting - 1)
        elif name == "late":
            now += estimate.late_after_s * choice / 5
        elif in_progress:
            connects.finish(in_progress[choice % len(in_progress)], now, name == "up")
            waiting = max(0, waiting - 1)
            connected += name == "up"
        before = len(connects.started_at)
        started = connects.start_needed(now, waiting, connected, 6)
        regular_count, hedge_count = (
            regular_count + sum(not is_hedge for _, is_hedge in started),
            hedge_count + sum(is_hedge for _, is_hedge in started),
        )
        assert len(connects.started_at) >= waiting and hedge_count <= HEDGE_BURST + regular_count / 2
        if any(is_hedge for _, is_hedge in started):
            assert (
                len(connects.started_at) <= waiting + MAX_HEDGED_CONNECTS and connected + len(connects.started_at) <= 6
            )
        assert waiting or len(connects.started_at) == before  # no connect without a waiting request
        assert 0.01 <= estimate.late_after_s <= 0.25 / 3
        late_at = connects.next_late_at(now)
        assert late_at is None or late_at > now
