"""A server connection on a transport that records what is written, and an application that answers on command."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from hophinge.fleet.transport.asgi import ClientGoneError, Receive, Scope, Send, answer, counted, read_body
from hophinge.fleet.transport.client_memory import MemoryReservation
from hophinge.fleet.transport.connection_context import MAX_JOINED_BYTES, memory_of
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.server import HttpServer
from hophinge.fleet.transport.server_connection import ServerConnection

FIRST = b"POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED = b"POST /chunked HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
UPGRADE = (
    b"POST /upgrade HTTP/1.1\r\nhost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABk\r\ncontent-length: 4\r\n\r\nbody"
)
GARBAGE = b"\x00 no request at all\r\n\r\n"
MAX_BODY = 1_000
WHOLE_BODIES = {"/early": b"early", "/empty": b"", "/large": b"x" * (MAX_JOINED_BYTES + 1)}  # by path
Play = Callable[["Wire", HttpServer], Awaitable[None]]


class RecordedMemory:
    """The memory of a connection without a limit, as a request uses it."""

    def __init__(self) -> None:
        self.reserved = 0

    def reserve(self, count: int) -> None:
        self.reserved += count

    def hold(self, count: int) -> None:
        self.reserved += count

    def release(self, count: int) -> None:
        self.reserved -= count


class Pipe(asyncio.Transport):
    """A transport that records what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written, self.closed, self.eof, self.paused, self.aborted = bytearray(), False, False, False, False
        self.unsent = 0
        self.writes = 0  # of at least a byte

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert not self.closed and not self.eof, "nothing is written after the close"
        self.written += data
        self.writes += bool(data)

    def write_eof(self) -> None:
        self.eof = True

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = self.aborted = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def get_write_buffer_size(self) -> int:
        return self.unsent


class Wire:
    """A connection, its transport, and an application that answers in three pieces; `held` delays all but the first."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.gone: list[str] = []
        self.bodies: list[bytes] = []
        self.fields: list[list[tuple[bytes, bytes]]] = []  # the headers of each request whose body was read
        self.go_on: dict[str, asyncio.Event] = {}
        self.held = False
        self.pipe = Pipe()
        self.connection: ServerConnection | None = None

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read a request completely, then answer it; `/unread` is answered without reading its body."""
        path = scope["path"]
        if path == "/unread":
            await self._answer(path, send)
            return
        with MemoryReservation(memory_of(scope)) as reservation:
            try:
                body = await read_body(counted(receive, reservation), MAX_BODY)
            except ClientGoneError:
                self.gone.append(path)
                return
            await self._respond(scope, body, send)

    async def _respond(self, scope: Scope, body: bytes, send: Send) -> None:
        path = scope["path"]
        self.begun.append(path)
        self.bodies.append(body)
        self.fields.append(list(scope["headers"]))
        if path in WHOLE_BODIES:
            await answer(send, 200, WHOLE_BODIES[path])
            return
        await self._answer(path, send)

    async def _answer(self, path: str, send: Send) -> None:
        gate = self.go_on[path] = asyncio.Event()
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"9")]})
        await send({"type": "http.response.body", "body": b"one", "more_body": True})
        if self.held:
            await gate.wait()
        await send({"type": "http.response.body", "body": b"two", "more_body": True})
        if path == "/broken":
            return
        await send({"type": "http.response.body", "body": b"end"})

    async def feed(self, data: bytes) -> None:
        """Pass received bytes to the connection, and let the event loop process them."""
        assert self.connection is not None
        if data and not self.pipe.closed:
            self.connection.data_received(data)
        await settle()

    def another(self, server: HttpServer) -> Pipe:
        """Open another connection to the same server."""
        pipe = Pipe()
        ServerConnection(
            server.context, config=server.config, server_state=server.server_state, app_state={}
        ).connection_made(pipe)
        return pipe

    def statuses(self) -> list[int]:
        """Return the statuses of the written answers; fails if the bytes are not a sequence of complete answers."""
        statuses, rest = [], bytes(self.pipe.written)
        while rest:
            head, end, rest = rest.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 ") and end, f"not the beginning of an answer: {head[:60]!r}"
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(fields[b"content-length"])
            assert len(rest) >= length, "an answer is truncated"
            statuses.append(int(head.split()[1]))
            rest = rest[length:]
        return statuses


async def settle() -> None:
    """Run 20 event-loop iterations, so that all tasks that can proceed do so."""
    for _ in range(20):
        await asyncio.sleep(0)


def played(play: Play) -> None:
    """Run a scenario on a new connection, and check that the server is left without tasks and connections."""

    async def run() -> None:
        wire = Wire()
        server = HttpServer(wire.app)
        server.update_bounds(ConnectionBounds(idle_s=30.0, header_s=5.0, header_bytes=400))
        server.config.load()
        connection = wire.connection = ServerConnection(
            server.context, config=server.config, server_state=server.server_state, app_state={}
        )
        connection.connection_made(wire.pipe)
        await play(wire, server)
        connection.connection_lost(None)
        await settle()
        assert not server.server_state.tasks and not server.server_state.connections

    asyncio.run(run())


def cuts(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield all ways to split bytes into two pieces."""
    for index in range(len(data) + 1):
        yield data[:index], data[index:]
