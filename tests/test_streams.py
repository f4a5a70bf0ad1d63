"""Long bodies both ways, and the forms that HTTP/1.1 allows."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from hophinge.net import frontend
from hophinge.head.service import Service
from tests.stand_in import OBJECT, VOLUME, Behaviour, Backend, Wire, World, headers, run, until, world
from tests.test_net import READ, WRITE

LONG = bytes(range(256)) * 1024  # 256 KiB
Test = Callable[[World, Service, Wire, Backend], Awaitable[None]]


def with_head(test: Test) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made_world:
            service = await made_world.head()
            await test(made_world, service, await made_world.wire(service), made_world.backends[0])
            await until(lambda: not service.exchange.open and not service.budget.used)

    run(main())


def parts(gate: asyncio.Event, first: int, stated: bool = True, ended: asyncio.Event | None = None) -> Behaviour:
    """Answer with LONG, the rest of it once the gate is open."""

    async def behave(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(LONG))} if stated else {})
        try:
            await response.prepare(request)
            await response.write(LONG[:first])
            await gate.wait()
            await response.write(LONG[first:])
            await response.write_eof()
        finally:
            if ended is not None:
                ended.set()
        return response

    return behave


async def body_of(wire: Wire) -> bytes:
    """Read a body in chunks."""
    body = b""
    while size := int(await wire.reader.readuntil(b"\r\n"), 16):
        body += (await wire.reader.readexactly(size + 2))[:-2]
    return body + await wire.reader.readexactly(2) and body


def test_a_long_answer_is_passed_on_as_it_comes_and_no_deadline_cuts_it() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()
        backend.behave = parts(gate, 1000)
        wire.send(READ, headers(X_Remaining_Ms="600"))
        head = await wire.reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head and await wire.reader.readexactly(1000) == LONG[:1000]
        await asyncio.sleep(0.75)  # past its client's time: the answer's first byte was in it
        assert service.metrics.open == 1 and not any(service.metrics.ended.values())
        gate.set()
        assert await wire.reader.readexactly(len(LONG) - 1000) == LONG[1000:]
        await until(lambda: service.metrics.ended["record-read", "fulfilled"] == 1)
        wire.send(READ, headers(2))  # the connections on both sides go on
        assert (await wire.receive())[2] == LONG and backend.connections == 1

    with_head(test)


def test_one_of_unknown_length_is_passed_on_in_chunks() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        gate = asyncio.Event()
        backend.behave = parts(gate, 70_000, stated=False)
        wire.send(READ, headers())
        assert b"chunked" in await wire.reader.readuntil(b"\r\n\r\n")
        gate.set()
        assert await body_of(wire) == LONG

    with_head(test)


def test_one_that_breaks_off_ends_so_that_its_client_can_tell_and_is_not_tried_again() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        async def break_off(request: web.BaseRequest, body: bytes) -> web.StreamResponse:
            response = web.StreamResponse(headers={"Content-Length": str(len(LONG))})
            await response.prepare(request)
            await response.write(LONG[:100_000])
            await asyncio.sleep(0.05)
            assert request.transport is not None
            request.transport.abort()
            return response

        backend.behave = break_off
        wire.send(READ, headers())
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await wire.receive()
        assert len(backend.seen) == 1
        await until(lambda: service.metrics.ended["record-read", "faulted"] == 1)

    with_head(test)


def test_a_client_that_does_not_read_holds_its_backend_and_little_memory() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        wire.reader._limit = 1 << 10  # type: ignore[attr-defined]    # its client takes next to nothing
        size, written = 30 << 20, 0

        async def much(request: web.BaseRequest, body: bytes) -> web.StreamResponse:
            nonlocal written
            response = web.StreamResponse(headers={"Content-Length": str(size)})
            await response.prepare(request)
            for _ in range(size >> 16):
                await response.write(bytes(1 << 16))
                written += 1 << 16
            return response

        backend.behave = much
        wire.send(READ, headers())
        await until(lambda: written > 0)
        last = -1
        while written != last:
            last = written
            await asyncio.sleep(0.2)
        assert 0 < written < size and service.budget.used < 1 << 20
        await wire.reader.readuntil(b"\r\n\r\n")
        assert len(await wire.reader.readexactly(size)) == size

    with_head(test)


def test_a_client_that_leaves_frees_the_backend() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        ended = asyncio.Event()
        backend.behave = parts(asyncio.Event(), 1000, ended=ended)
        wire.send(READ, headers())
        await wire.reader.readuntil(b"\r\n\r\n")
        wire.close()
        await ended.wait()
        await until(lambda: service.metrics.open == 0)

    with_head(test)


@pytest.mark.parametrize(("announced", "clean", "status"), [(True, True, 200), (True, False, 503), (False, True, 503)])
def test_an_answer_without_a_length_is_whole_if_its_close_was_announced_and_clean(
    announced: bool, clean: bool, status: int
) -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        async def close(request: web.BaseRequest, body: bytes) -> web.StreamResponse:
            transport = request.transport
            assert transport is not None
            head = b"HTTP/1.1 200 OK\r\n" + (b"Connection: close\r\n" if announced else b"")
            transport.write(head + b"\r\nkept")
            await asyncio.sleep(0.01)
            if not clean:  # closed so, the kernel resets it
                linger = struct.pack("ii", 1, 0)
                transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.close()
            raise ConnectionResetError

        backend.behave = close
        wire.send(READ, headers())
        found, _, body = await wire.receive()
        assert found == status and (body == b"kept") is (status == 200)
        assert len(backend.seen) == (1 if status == 200 else 3)

    with_head(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_request_body_is_passed_on_while_it_comes_and_its_time_runs_from_the_last_byte(
    chunked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)

    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        fields = headers(X_Remaining_Ms="500")
        fields |= {"Transfer-Encoding": "chunked"} if chunked else {"Content-Length": str(len(LONG))}
        wire.writer.write(wire.head(WRITE, fields, "PUT"))
        for at in range(0, len(LONG), 32_768):
            piece = LONG[at : at + 32_768]
            wire.writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await asyncio.sleep(0.08)
        if chunked:
            wire.writer.write(b"0\r\n\r\n")
        assert (await wire.receive())[0] == 200
        assert backend.objects[f"{VOLUME}/{OBJECT}"] == LONG
        assert service.counters.counts["bodies_streamed"] == 1 and service.metrics.relayed == 1
        assert not any(book.is_unresponsive for book in service.exchange.scheduler.nodes.values())

    with_head(test)


def test_a_long_request_body_that_never_becomes_whole_runs_nowhere(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MAX_RETAINED_BODY", 100_000)

    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        wire.writer.write(wire.head(WRITE, {**headers(), "Content-Length": str(len(LONG))}, "PUT") + LONG[:200_000])
        await until(lambda: service.counters.counts["attempts_sent"] == 1)
        wire.close()
        await until(lambda: not service.exchange.open and service.metrics.open == 0)
        assert not backend.seen and service.metrics.relayed == 0

    with_head(test)


HEADER = "".join(f"{name}: {text}\r\n" for name, text in headers().items()).encode()
ODD = "".join(f"{name.upper()}:\t {text} \t\r\n" for name, text in headers().items()).encode()


@pytest.mark.parametrize(
    ("request_bytes", "body"),
    [
        (b"GET http://origin.svc%b HTTP/1.1\r\nHost: a\r\n%b\r\n" % (READ.encode(), HEADER), None),
        (b"GET %b HTTP/1.1\r\nhOsT:a\r\n%b\r\n" % (READ.encode(), ODD), None),
        (b"GET %b HTTP/1.1\r\nHost: a\r\n%bContent-Length: 0\r\n\r\n" % (READ.encode(), HEADER), None),
        (
            b"GET %b HTTP/1.1\r\nHost: a\r\n%bTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (READ.encode(), HEADER),
            None,
        ),
        (b"PUT %b HTTP/1.1\r\nHost: a\r\n%bContent-Length: 0\r\n\r\n" % (WRITE.encode(), HEADER), b""),
        (
            b'PUT %b HTTP/1.1\r\nHost: a\r\n%bTransfer-Encoding: Chunked\r\n\r\n3;a="b"\r\nabc\r\n1\r\nd\r\n'
            b"0;x\r\nX-Trailer: y\r\n\r\n" % (WRITE.encode(), HEADER),
            b"abcd",
        ),
        (b"\r\nPUT %b HTTP/1.1\r\nHost: a\r\n%bContent-Length: 4\r\n\r\nabcd" % (WRITE.encode(), HEADER), b"abcd"),
    ],
)
@pytest.mark.parametrize("size", [1, 7, 1 << 16])
def test_every_form_of_a_request_is_understood_however_it_is_cut(
    request_bytes: bytes, body: bytes | None, size: int
) -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        backend.objects[f"{VOLUME}/{OBJECT}"] = b"kept"
        for at in range(0, len(request_bytes), size):
            wire.writer.write(request_bytes[at : at + size])
            await wire.writer.drain()
            if size < 100:
                await asyncio.sleep(0)
        status, _, got = await wire.receive()
        assert (status, got) == (200, b"kept" if body is None else b"ok")
        assert body is None or backend.objects[f"{VOLUME}/{OBJECT}"] == body
        assert backend.seen[0][1] == (READ if body is None else WRITE)

    with_head(test)


def test_a_head_may_take_longer_than_a_connection_may_rest() -> None:
    async def test(made_world: World, service: Service, wire: Wire, backend: Backend) -> None:
        service.front.idle_timeout_s = 0.15
        wire = await made_world.wire(service)
        for number in (1, 2):
            text = wire.head(READ, headers(number))
            wire.writer.write(text[:20])
            await asyncio.sleep(0.3)
            wire.writer.write(text[20:])
            assert (await wire.receive())[0] == 404
        assert await wire.ended()  # at rest it still ends

    with_head(test)
