"""Bytes that the kernel has not taken yet: a request that ends meanwhile is never made whole at its brick."""

from __future__ import annotations

import asyncio
import socket

import pytest
from aiohttp import web

from hophinge.head.service import Service
from hophinge.net.backend_connection import BackendConnection
from tests.servers import Backend
from tests.stand_in import OBJECT, VOLUME, Wire, World, headers, run, until, world
from tests.test_net import READ, WRITE

LONG = bytes(range(256)) * 3600  # 0.9 MB, kept whole by a head; the kernels hold a small part of it
SMALL = 16 * 1024


class Stopped(Backend):
    """A brick that reads a first body only once its gate is open; `early` is answered before, byte by byte as it is."""

    def __init__(self, early: bytes = b"") -> None:
        super().__init__(0)
        self.gate, self.ended, self.early = asyncio.Event(), asyncio.Event(), early
        self.came = list[asyncio.BaseTransport | None]()
        self.whole = list[int]()  # bytes of each body that came whole

    async def open(self) -> None:
        await super().open()
        assert self.listener is not None
        self.listener.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.came.append(request.transport)
        first = len(self.came) == 1
        try:
            if first:
                if self.early:
                    assert request.transport is not None
                    request.transport.write(self.early)
                await self.gate.wait()
            self.whole.append(len(await request.read()))
            return await super().handle(request)
        finally:
            if first:
                self.ended.set()


@pytest.fixture(autouse=True)
def small_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    made = BackendConnection.connection_made

    def small(self: BackendConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        made(self, transport)

    monkeypatch.setattr(BackendConnection, "connection_made", small)


def with_stopped(early: bytes, test: object) -> None:
    async def main() -> None:
        async with world(backend := Stopped(early)) as made:
            service = await made.head()
            await test(made, service, await made.wire(service), backend)  # type: ignore[operator]
            await until(lambda: not service.exchange.open and not service.budget.used)

    run(main())


def unsent(service: Service) -> int:
    """Bytes for bricks that the kernel has not taken."""
    return sum(
        one.transport.get_write_buffer_size() for one in service.backends.registry.open if one.transport is not None
    )


@pytest.mark.parametrize("way", ["time-out", "head ends"])
def test_a_request_given_up_while_it_is_written_never_becomes_whole(way: str) -> None:
    async def test(made: World, service: Service, wire: Wire, backend: Stopped) -> None:
        wire.send(WRITE, headers(X_Remaining_Ms="300" if way == "time-out" else "30000"), "PUT", LONG)
        await until(lambda: len(backend.came) == 1 and unsent(service) > 100_000)
        if way == "time-out":
            assert (await wire.receive())[0] == 503
            await until(lambda: service.counters.counts["attempts_timeout"] == 1)  # the answer may go out before
        else:
            await made.kill(service)
        backend.gate.set()
        await backend.ended.wait()
        assert not backend.whole

    with_stopped(b"", test)


TURNED_AWAY = b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
ANOTHERS = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nanother's"


def test_nothing_is_written_behind_a_request_that_was_turned_away_before_it_was_whole() -> None:
    async def test(made: World, service: Service, wire: Wire, backend: Stopped) -> None:
        backend.objects[f"{VOLUME}/{OBJECT}"] = b"true"
        wire.send(WRITE, headers(1), "PUT", LONG)
        assert (await wire.receive())[::2] == (200, b"ok")
        assert service.counters.counts["attempts_full"] == 1
        wire.send(READ, headers(2))
        assert (await wire.receive())[0] == 200
        backend.gate.set()
        await backend.ended.wait()
        assert backend.came[0] not in backend.came[1:] and backend.whole == [len(LONG), 0]

    with_stopped(TURNED_AWAY, test)


def test_an_answer_to_what_has_not_been_sent_is_nobody_s() -> None:
    async def test(made: World, service: Service, wire: Wire, backend: Stopped) -> None:
        wire.send(WRITE, headers(1), "PUT", LONG)
        assert (await wire.receive())[::2] == (200, b"ok")
        counts = service.counters.counts
        assert (counts["attempts_reset"], counts["attempts_ok"]) == (1, 1)
        backend.gate.set()
        await backend.ended.wait()
        assert backend.whole == [len(LONG)]

    with_stopped(ANOTHERS, test)
