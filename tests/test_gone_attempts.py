"""Clients that go while an attempt of theirs waits or is out: nothing is written for them from then on."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from hophinge.core import interface as api
from hophinge.core.exchange import AttemptResult
from hophinge.head.service import Service
from hophinge.net import frontend
from hophinge.net.backend_connection import BackendConnection
from tests.servers import Backend, held_by
from tests.stand_in import Wire, World, headers, until
from tests.test_exchange import Desk
from tests.test_net import READ, WRITE
from tests.test_net_connects import late
from tests.test_streams import LONG, with_head

LONG_MS = "20000"


async def goes(service: Service, wire: Wire) -> None:
    """Close a client's connection and see that the head has heard of it."""
    departed = service.counters.counts["requests_departed"]
    wire.close()
    await until(lambda: service.counters.counts["requests_departed"] == departed + 1)


@pytest.mark.parametrize("body", ["none", "kept", "on its way"])
def test_one_whose_connection_comes_up_after_its_client_has_gone(body: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)

    async def test(made: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()
        service.backends.pool.connect_timeout_s = 30.0
        begun = late(monkeypatch, service.backends.connector, gate, set(range(9)))
        sent = {"none": b"", "kept": LONG[:60_000], "on its way": LONG[:-1]}[body]
        if body == "none":
            wire.send(READ, headers(X_Remaining_Ms=LONG_MS))
        else:
            fields = {**headers(X_Remaining_Ms=LONG_MS), "Content-Length": str(len(sent) + (body == "on its way"))}
            wire.writer.write(wire.head(WRITE, fields, "PUT") + sent)
        await until(lambda: bool(begun))
        await goes(service, wire)
        gate.set()
        await until(lambda: service.counters.counts["attempts_moot"] == 1)
        assert not backend.seen and service.metrics.relayed == 0 and service.counters.counts["attempts_sent"] == 1
        wire = await made.wire(service)
        wire.send(READ, headers(2))  # its connection serves the next one
        assert (await wire.receive())[0] == 404 and backend.connections == len(begun)

    with_head(test)


def test_one_that_gets_its_connection_in_the_very_turn_in_which_its_client_goes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test(made: World, service: Service, wire: Wire, backend: Backend) -> None:
        take, gone = service.backends.pool.acquire, headers(X_Remaining_Ms=LONG_MS)

        async def just_then(endpoint: str) -> BackendConnection:
            connection = await take(endpoint)
            service.exchange.depart(gone["X-Txn"])
            return connection

        monkeypatch.setattr(service.backends.pool, "acquire", just_then)
        wire.send(READ, gone)
        await until(lambda: service.counters.counts["attempts_moot"] == 1)
        wire = await made.wire(service)
        wire.send(READ, headers(2))
        assert (await wire.receive())[0] == 404
        assert len(backend.seen) == 1 == backend.connections

    with_head(test)


def test_one_in_line_before_another_leaves_that_one_the_connection() -> None:
    async def test(made: World, service: Service, wire: Wire, backend: Backend) -> None:
        pool, gate = service.backends.pool, asyncio.Event()
        pool.connect_timeout_s = 30.0
        backend.behave = held_by(gate)
        wire.send(READ, headers(1, X_Remaining_Ms=LONG_MS))
        await until(lambda: len(backend.seen) == 1)
        line, dial = pool.endpoints[backend.endpoint], asyncio.Event()

        async def never(_: str) -> BackendConnection:
            await dial.wait()
            raise OSError

        pool.connect = never
        second, third = await made.wire(service), await made.wire(service)
        for number, one in ((2, second), (3, third)):
            one.send(READ, headers(number, X_Remaining_Ms=LONG_MS))
            await until(lambda number=number: len(line.waiters) == number - 1)  # type: ignore[misc]
        await goes(service, second)
        backend.behave = None
        gate.set()
        assert [(await one.receive())[0] for one in (wire, third)] == [404, 404]
        assert [one["X-Txn"] for one in backend.headers] == [headers(at)["X-Txn"] for at in (1, 3)]
        await until(lambda: service.counters.counts["attempts_moot"] == 1)
        dial.set()

    with_head(test)


def test_one_that_fails_after_its_client_has_gone_is_not_tried_again() -> None:
    async def test(_: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()

        async def die(request: web.BaseRequest, __: bytes) -> None:
            await gate.wait()
            assert request.transport is not None
            request.transport.abort()

        backend.behave = die
        wire.send(READ, headers(X_Remaining_Ms=LONG_MS))
        await until(lambda: len(backend.seen) == 1)
        await goes(service, wire)
        gate.set()
        await until(lambda: not service.exchange.open and not service.exchange.scheduler.requests)
        assert service.counters.counts["attempts_sent"] == 1 == len(backend.seen)

    with_head(test)


@pytest.mark.parametrize("order", ["arrival", "reset", "reset first", "full list"])
def test_what_comes_in_one_turn_with_the_departure_sends_nothing(order: str) -> None:
    desk = Desk()
    desk.arrive("a")
    if order != "arrival":
        desk.loop.advance(0)
        assert len(desk.out) == 1
    if order == "reset first":
        desk.out[0].end(AttemptResult(api.Result.RESET))
    desk.exchange.depart("a")
    if order == "reset":
        desk.out[0].end(AttemptResult(api.Result.RESET))
    if order == "full list":
        desk.exchange.nodes(api.NodeList(api.ListKind.CHANGES, ()))
    desk.loop.advance(10_000_000)
    assert len(desk.out) == (order != "arrival") and not desk.answers["a"] and not desk.exchange.open
