"""Connections to instances: idle times, reuse, and the detection of silent peers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from dataclasses import replace

import httpcore
import pytest

from hophinge.fleet.dataplane.connections import (
    CONTEXT,
    DEFAULT_MAX_IDLE_S,
    KEEP_ALIVE_FRACTION,
    InstanceConnection,
    InstanceEndedError,
    InstancePool,
    RequestContext,
)
from hophinge.fleet.dataplane.upstream import Call, Upstream, is_peer_silent
from hophinge.fleet.forwarding.headers import Fields, keep_alive_timeout_s


@pytest.mark.parametrize(
    ("value", "timeout_s"),
    [
        (b"timeout=5", 5.0),
        (b"timeout=5, max=100", 5.0),
        (b"max=100,Timeout=12", 12.0),
        (b"timeout=soon", None),
        (b"", None),
        (b"timeout", None),
        (b"timeout=-1", None),
    ],
)
def test_the_timeout_of_keep_alive_is_parsed(value: bytes, timeout_s: float | None) -> None:
    fields: Fields = [(b"content-length", b"0"), (b"Keep-Alive", value)]
    assert keep_alive_timeout_s(fields) == timeout_s


def test_connections_are_idle_as_long_as_the_instance_allows_and_reused() -> None:
    connections = 0
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=5\r\ncontent-length: 2\r\n\r\nok")

    async def serve_until_eof(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()
            await writer.wait_closed()
            closed.set()

    async def play() -> None:
        server = await asyncio.start_server(serve_until_eof, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        upstream = Upstream()
        call = Call(f"127.0.0.1:{port}", b"GET", b"/", [(b"host", b"a")], b"", 5.0)
        assert upstream._pool("i-1").max_idle_s == DEFAULT_MAX_IDLE_S
        for _ in range(3):
            async with upstream.call("i-1", call) as response:
                assert await response.aread() == b"ok"
        assert upstream.pools["i-1"].max_idle_s == 5.0 * KEEP_ALIVE_FRACTION
        await upstream.close()
        assert not upstream.pools
        await closed.wait()
        server.close()
        await server.wait_closed()

    asyncio.run(play())
    assert connections == 1


OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def _sent_targets(calls: list[Call], answers: dict[bytes, bytes]) -> list[list[bytes]]:
    """Send calls in sequence to a server that responds by target; return the targets received on each connection."""
    connections: list[list[bytes]] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received: list[bytes] = []
        connections.append(received)
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                received.append(head.split(b" ")[1])
                writer.write(answers.get(received[-1], OK))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    upstream = Upstream()
    for call in calls:
        async with upstream.call("i-1", replace(call, address=address)) as response:
            assert await response.aread() == b"ok"
    await upstream.close()
    server.close()
    return connections


def _call(target: bytes, context: RequestContext | None = None) -> Call:
    return Call("", b"GET", target, [(b"host", b"a")], b"", 5.0, context)


def test_a_connection_with_bytes_after_a_response_is_not_reused() -> None:
    """The surplus bytes arrive in one segment with the response: the parser buffers them before the next request."""
    calls = [_call(target) for target in (b"/first", b"/surplus", b"/next")]
    connections = asyncio.run(_sent_targets(calls, {b"/surplus": OK + b"no response at all"}))
    assert connections == [[b"/first", b"/surplus"], [b"/next"]]


def test_the_kernel_detects_a_silent_peer_well_before_the_client_gives_up() -> None:
    """Behind a partition nothing is acknowledged or refused: only these socket options end a connection."""
    options: dict[str, int] = {}

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        writer.close()

    async def play() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        upstream = Upstream()
        async with upstream.call("i-1", Call(address, b"GET", b"/", [(b"host", b"a")], b"", 5.0)) as response:
            sock = response.extensions["network_stream"].get_extra_info("socket")
            options["unacknowledged_ms"] = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            options["probes"] = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            options["silent_s"] = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
            options["between_s"] = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
            await response.aread()
        await upstream.close()
        server.close()

    asyncio.run(play())
    assert 0 < options["unacknowledged_ms"] <= 500
    assert options["probes"] == 1
    assert options["silent_s"] == options["between_s"] == 1


def _caused_by(error: Exception, cause: Exception) -> Exception:
    error.__cause__ = cause
    return error


@pytest.mark.parametrize(
    ("error", "is_silent"),
    [
        (httpcore.ConnectTimeout(), True),
        (_caused_by(httpcore.ReadError(), OSError(errno.ETIMEDOUT, "timed out")), True),
        (_caused_by(httpcore.ConnectError(), OSError(errno.EHOSTUNREACH, "no route")), True),
        (_caused_by(httpcore.ConnectError(), OSError(errno.ECONNREFUSED, "refused")), False),
        (_caused_by(httpcore.ReadError(), OSError(errno.ECONNRESET, "reset")), False),
        (InstanceEndedError("ended"), False),
        (httpcore.PoolTimeout(), False),
        (TimeoutError(), False),
    ],
)
def test_a_refused_or_reset_connection_is_not_silent(error: Exception, is_silent: bool) -> None:
    assert is_peer_silent(error) == is_silent


def test_a_request_is_never_sent_twice_on_one_connection() -> None:
    """Guards against a late response to the first send that counts as that to the second: both have the same id."""
    contexts = {b"/a": RequestContext(), b"/b": RequestContext()}
    calls = [_call(target, contexts[target]) for target in (b"/a", b"/b", b"/a", b"/b", b"/b")]
    connections = asyncio.run(_sent_targets(calls, {}))
    assert connections == [[b"/a", b"/b"], [b"/a", b"/b"], [b"/b"]]


def test_a_connection_that_was_unavailable_for_a_request_may_carry_it_later() -> None:
    """Guards against a connection that is closed for a request that was never sent on it."""

    async def play() -> set[InstanceConnection]:
        connection = InstanceConnection(InstancePool(), httpcore.Origin(b"http", b"127.0.0.1", 9))
        assert connection.claims.acquire(5.0) is not None, "another request is in flight on it"
        context = RequestContext()
        extensions = {"timeout": {"read": 5.0}, CONTEXT: context}
        with pytest.raises(httpcore.ConnectionNotAvailable):
            await connection.handle_async_request(httpcore.Request("GET", "http://127.0.0.1:9/", extensions=extensions))
        return context.carriers

    assert asyncio.run(play()) == set()
