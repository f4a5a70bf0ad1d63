"""The time that an attempt tells its brick: at most what is left to its client, however late the attempt goes."""

from __future__ import annotations

import asyncio

import pytest

from hophinge.head.service import Service
from hophinge.net import frontend
from hophinge.net.clock import now_us
from tests.servers import Backend
from tests.stand_in import Wire, World, headers
from tests.test_net import READ, WRITE
from tests.test_net_connects import late
from tests.test_streams import LONG, with_head

TIME_MS, LATE_MS = 5000, 900


def moved(service: Service, by_us: int) -> None:
    """Move the exchange's clock on."""
    service.exchange.now_us = lambda: now_us() + by_us


@pytest.mark.parametrize("body", ["none", "kept", "on its way"])
def test_an_attempt_whose_connection_came_late_tells_what_is_left_by_then(
    body: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of a body on its way all may lie in the kernel by then, as nobody has taken what came before."""
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)

    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()
        service.backends.pool.connect_timeout_s = 30.0
        begun = late(monkeypatch, service.backends.connector, gate, set(range(9)))
        sent = {"none": b"", "kept": LONG[:60_000], "on its way": LONG}[body]
        wire.send(
            READ if body == "none" else WRITE,
            headers(X_Remaining_Ms=str(TIME_MS)),
            "GET" if body == "none" else "PUT",
            sent,
        )
        while not begun:
            await asyncio.sleep(0)
        moved(service, LATE_MS * 1000)
        gate.set()
        assert (await wire.receive())[0] == (404 if body == "none" else 200)
        assert service.counters.counts["bodies_streamed"] == (body == "on its way")
        assert 0 < int(backend.headers[0]["X-Remaining-Ms"]) <= TIME_MS - LATE_MS

    with_head(test)


def test_a_body_taken_late_leaves_its_attempt_no_more_time_than_it_was_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)

    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()
        service.backends.pool.connect_timeout_s = 30.0
        begun = late(monkeypatch, service.backends.connector, gate, set(range(9)))
        given = list[int]()
        whole = service.exchange.body_complete

        def noted(name: str) -> None:
            whole(name)
            given.append(service.exchange.open[name].deadline - service.exchange.now_us())

        monkeypatch.setattr(service.exchange, "body_complete", noted)
        wire.send(WRITE, headers(X_Remaining_Ms=str(TIME_MS)), "PUT", LONG)
        while not begun:
            await asyncio.sleep(0)
        moved(service, LATE_MS * 1000)
        gate.set()
        assert (await wire.receive())[0] == 200
        assert len(given) == 1 and 0 < given[0] <= (TIME_MS - LATE_MS) * 1000

    with_head(test)


def test_a_further_attempt_tells_what_is_left_by_then() -> None:
    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        async def die(request: object, __: bytes) -> None:
            moved(service, LATE_MS * 1000 * len(backend.seen))
            request.transport.abort()  # type: ignore[attr-defined]

        backend.behave = die
        wire.send(READ, headers(X_Remaining_Ms=str(TIME_MS)))
        assert (await wire.receive())[0] == 503
        told = [int(one["X-Remaining-Ms"]) for one in backend.headers]
        assert len(told) == 3
        assert all(0 < one <= TIME_MS - LATE_MS * at for at, one in enumerate(told))

    with_head(test)
