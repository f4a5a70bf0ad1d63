"""Responses whose clients have reset their connections: they end at the first lost write, and no library logs a line.

Guards against up to 100 lines `socket.send() raised exception.` within 30 ms when a machine's clients are gone: events
of an instance that arrive together are written in one iteration of the event loop to a connection that has been reset,
and asyncio reports the loss only in a later iteration.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct

import pytest

from hophinge.fleet.transport.asgi import Receive, Scope, Send
from hophinge.fleet.transport.server import HttpServer, bind_listener

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNKS = 200
BOUND_S = 10.0


class BurstingApp:
    """Starts a response, waits until its client is gone, then writes many chunks in one iteration of the event loop."""

    def __init__(self) -> None:
        self.started, self.client_gone = asyncio.Event(), asyncio.Event()
        self.messages: list[str] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        assert (await receive())["type"] == "http.request"
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-type", b"text/plain")]})
        await send({"type": "http.response.body", "body": b"begin", "more_body": True})
        self.started.set()
        await self.client_gone.wait()
        for _ in range(CHUNKS):
            await send({"type": "http.response.body", "body": b"x" * 100, "more_body": True})
        # The disconnect is known at once, not only when the event loop reports it.
        self.messages.append((await asyncio.wait_for(receive(), BOUND_S))["type"])


async def _serve(app: BurstingApp) -> tuple[HttpServer, asyncio.Task[None], tuple[str, int]]:
    server = HttpServer(app)
    listener = bind_listener("127.0.0.1:0")
    listener.listen()
    serving = asyncio.get_running_loop().create_task(server.serve([listener]))
    return server, serving, listener.getsockname()


def _reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def test_a_burst_of_events_to_a_client_that_reset_its_connection_logs_nothing(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> BurstingApp:
        app = BurstingApp()
        server, serving, address = await _serve(app)
        client = socket.create_connection(address)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, REQUEST)
        await app.started.wait()
        [connection] = server.connections()
        assert connection.raw_transport is not None
        connection.raw_transport.pause_reading()  # so that a write detects the reset, as when reading is paused
        _reset(client)
        app.client_gone.set()
        while not app.messages:
            await asyncio.sleep(0)
        server.shutdown_requested.set()
        await serving
        return app

    with caplog.at_level(logging.WARNING, "asyncio"):
        app = asyncio.run(asyncio.wait_for(play(), BOUND_S))
    assert [record.message for record in caplog.records if "socket.send" in record.message] == []
    assert app.messages == ["http.disconnect"]


def test_other_connections_of_the_server_are_not_affected(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> bytes:
        app = BurstingApp()
        server, serving, address = await _serve(app)
        loop = asyncio.get_running_loop()
        lost, kept = socket.create_connection(address), socket.create_connection(address)
        for client in (lost, kept):
            client.setblocking(False)
            await loop.sock_sendall(client, REQUEST)
        while len(server.connections()) < 2:
            await asyncio.sleep(0)
        await app.started.wait()
        await asyncio.sleep(0)
        _reset(lost)
        app.client_gone.set()
        received = b""
        while received.count(b"x") < CHUNKS * 100:
            data = await loop.sock_recv(kept, 1 << 16)
            assert data, "the response ends early"
            received += data
        kept.close()
        while len(app.messages) < 2:
            await asyncio.sleep(0)
        server.shutdown_requested.set()
        await serving
        return received

    with caplog.at_level(logging.WARNING, "asyncio"):
        received = asyncio.run(asyncio.wait_for(play(), BOUND_S))
    assert received.startswith(b"HTTP/1.1 200 OK") and b"begin" in received
    assert not caplog.records
