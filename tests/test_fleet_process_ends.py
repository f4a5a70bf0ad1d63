"""The end of a process, and of a step in it, with something still owed: what others have of it goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from loguru import logger

from hophinge.fleet.transport.asgi import Receive, Scope, Send, answer, read_body
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.server import HttpServer, bind_listener

BOUND_S = 20.0
LARGE = bytes(6 << 20)  # more than the kernel's buffers of one connection take


App = Callable[[Scope, Receive, Send], Awaitable[None]]


async def _app(scope: Scope, receive: Receive, send: Send) -> None:
    await read_body(receive, 1_000)
    await answer(send, 200, LARGE if scope["path"] == "/large" else b"small")


async def _serve(play: Callable[[HttpServer, str, int], Awaitable[None]], app: App = _app) -> None:
    server, sock = HttpServer(app), bind_listener("127.0.0.1:0")
    host, port = sock.getsockname()
    serving = asyncio.create_task(server.serve([sock]))
    while not server.started:
        await asyncio.sleep(0)
    async with asyncio.timeout(BOUND_S):
        await play(server, host, port)
    server.stop_listening()
    server.close_idle()
    serving.cancel()


def test_a_buffered_response_is_sent_before_the_process_ends() -> None:
    """The head waited for its requests' work alone; an answer that a slow client had not read yet was lost with it."""

    async def play(server: HttpServer, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 12)
        writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        while not server.server_state.total_requests:
            await asyncio.sleep(0)
        assert not server.server_state.tasks or await _idle(server)
        finishing = asyncio.create_task(server.drain(asyncio.get_running_loop().time() + BOUND_S))
        for _ in range(50):
            await asyncio.sleep(0)
        assert not finishing.done() and server.outstanding_responses()
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(LARGE)) == LARGE
        assert await reader.read() == b""
        await finishing
        assert not server.outstanding_responses()
        writer.close()

    asyncio.run(_serve(play))


async def _idle(server: HttpServer) -> bool:
    while server.server_state.tasks:
        await asyncio.sleep(0)
    return True


def test_the_drain_ends_at_its_deadline_and_logs_outstanding_responses(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    sink = logger.add(events.append, format="{message}")

    async def play(server: HttpServer, host: str, port: int) -> None:
        _, writer = await asyncio.open_connection(host, port, limit=1 << 12)
        writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        while not server.server_state.total_requests:
            await asyncio.sleep(0)
        await server.drain(asyncio.get_running_loop().time())
        assert len(events) == 1 and events[0].startswith(
            "connection aborted side=process path=/large client=127.0.0.1:"
        )
        assert " unsent_bytes=" in events[0]
        writer.close()

    try:
        asyncio.run(_serve(play))
    finally:
        logger.remove(sink)


def test_the_cleanup_after_a_response_is_completed_before_the_process_ends() -> None:
    """Seen in a soak beside load: the end cancelled it, and told of a cut answer that its client had got whole."""
    go_on, tidied = asyncio.Event(), False

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        nonlocal tidied
        await answer(send, 200, b"small", [(b"connection", b"close")])
        await go_on.wait()
        tidied = True

    async def play(server: HttpServer, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await reader.read()).endswith(b"small")
        while server.server_state.connections:
            await asyncio.sleep(0)
        finishing = asyncio.create_task(server.drain(asyncio.get_running_loop().time() + BOUND_S))
        await asyncio.sleep(0)
        go_on.set()
        await finishing
        assert tidied
        writer.close()

    asyncio.run(_serve(play, app))


def test_pending_requests_are_answered_before_the_process_ends() -> None:
    """Seen in a soak beside load: a change that waited for the chain got no answer as its member ended."""
    known: asyncio.Future[int]

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await answer(send, await known)

    async def play(server: HttpServer, host: str, port: int) -> None:
        nonlocal known
        known = asyncio.get_running_loop().create_future()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
        while not server.server_state.tasks:
            await asyncio.sleep(0)
        await server.drain(asyncio.get_running_loop().time(), lambda: known.set_result(503))
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        writer.close()

    asyncio.run(_serve(play, app))


def test_a_longer_idle_time_applies_to_connections_that_are_idle_already() -> None:
    async def play(server: HttpServer, host: str, port: int) -> None:
        server.update_bounds(ConnectionBounds(idle_s=2.0))
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await reader.readuntil(b"small")).startswith(b"HTTP/1.1 200")
        (connection,) = server.connections()
        loop, state = asyncio.get_running_loop(), connection.state
        due = state.deadline
        assert due is not None and due <= loop.time() + 2.0
        assert connection.timer is not None and connection.timer.when() <= due, "a timer looks by then"
        server.update_bounds(ConnectionBounds(idle_s=60.0))
        longer = state.deadline
        assert longer is not None and longer > loop.time() + 50.0
        server.update_bounds(ConnectionBounds(idle_s=2.0))
        assert state.deadline == longer, "it keeps the time that it began with"
        writer.write(b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n")
        await reader.readuntil(b"small")
        due = state.deadline
        assert due is not None and due <= loop.time() + 2.0, "the next rest is by the time in force"
        assert connection.timer.when() <= due
        writer.close()

    asyncio.run(_serve(play))


# Guards against requests without an answer: each began as the one before it was rejected, and nothing rejected it.
def test_requests_that_wait_behind_pending_ones_are_rejected_before_the_process_ends() -> None:
    pending: list[asyncio.Future[int]] = []

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        pending.append(asyncio.get_running_loop().create_future())
        await answer(send, await pending[-1])

    def reject() -> None:
        for future in pending:
            future.set_result(503)

    async def play(server: HttpServer, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n" * 3)
        while not pending or len(server.connections()[0].cycles) < 3:
            await asyncio.sleep(0)
        await server.drain(asyncio.get_running_loop().time(), reject)
        assert (await reader.read()).count(b"HTTP/1.1 503") == 3 and len(pending) == 1
        writer.close()

    asyncio.run(_serve(play, app))
