"""A server's connection between a parser and an application: every cut of the bytes into pieces, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import pytest

from hophinge.fleet.transport.asgi import ClientGoneError, Receive, Scope, Send, answer, read_body
from hophinge.fleet.transport.connection_state import ConnectionBounds, Ending
from hophinge.fleet.transport.server import HttpServer
from hophinge.fleet.transport.server_connection import MOST_WAITING, ServerConnection

FIRST = b"POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello"
CHUNKED = b"POST /chunked HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
UPGRADE = (b"POST /upgrade HTTP/1.1\r\nhost: a\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
           b"HTTP2-Settings: AAMAAABk\r\ncontent-length: 4\r\n\r\nbody")
GARBAGE = b"\x00 no request at all\r\n\r\n"
MOST_BODY = 1_000
Play = Callable[["Wire", HttpServer], Awaitable[None]]


class Pipe(asyncio.Transport):
    """A transport that keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written, self.closed, self.eof, self.paused, self.aborted = bytearray(), False, False, False, False
        self.unsent = 0

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert not self.closed and not self.eof, "nothing is written behind the close"
        self.written += data

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
    """A connection, its transport, and an application that answers in three pieces when it is let."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.gone: list[str] = []
        self.bodies: list[bytes] = []
        self.go_on: dict[str, asyncio.Event] = {}
        self.held = False
        self.pipe = Pipe()
        self.connection: ServerConnection | None = None

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Read a request whole, then answer with its path."""
        path = scope["path"]
        try:
            body = await read_body(receive, MOST_BODY)
        except ClientGoneError:
            self.gone.append(path)
            return
        self.begun.append(path)
        self.bodies.append(body)
        gate = self.go_on[path] = asyncio.Event()
        if path == "/early":
            await answer(send, 200, b"early")
            return
        await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"9")]})
        await send({"type": "http.response.body", "body": b"one", "more_body": True})
        if self.held:
            await gate.wait()
        await send({"type": "http.response.body", "body": b"two", "more_body": True})
        if path == "/broken":
            return
        await send({"type": "http.response.body", "body": b"end"})

    async def feed(self, data: bytes) -> None:
        """Let bytes come, and all that follows from them."""
        assert self.connection is not None
        if data and not self.pipe.closed:
            self.connection.data_received(data)
        await settle()

    def statuses(self) -> list[int]:
        """Read what was written as whole answers; anything else fails."""
        found, rest = [], bytes(self.pipe.written)
        while rest:
            head, end, rest = rest.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 ") and end, f"no answer begins with {head[:60]!r}"
            lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(lines[b"content-length"])
            assert len(rest) >= length, "an answer lacks its end"
            found.append(int(head.split()[1]))
            rest = rest[length:]
        return found


async def settle() -> None:
    """Let all go on that can."""
    for _ in range(20):
        await asyncio.sleep(0)


def played(play: Play) -> None:
    """Play something on a connection."""
    async def run() -> None:
        wire = Wire()
        server = HttpServer(wire.app)
        server.bound(ConnectionBounds(rest_s=30.0, header_s=5.0, header_bytes=400))
        server.config.load()
        connection = wire.connection = ServerConnection(
            server.context, config=server.config, server_state=server.server_state, app_state={})
        connection.connection_made(wire.pipe)
        await play(wire, server)
        connection.connection_lost(None)
        await settle()
        assert not server.server_state.tasks and not server.server_state.connections

    asyncio.run(run())


def cuts(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Tell all ways to cut bytes into two pieces."""
    for at in range(len(data) + 1):
        yield data[:at], data[at:]


@pytest.mark.parametrize("behind", [GARBAGE, b""])
def test_however_requests_are_cut_into_pieces_each_has_its_answer_and_what_is_none_a_400_behind_them(
        behind: bytes) -> None:
    data = FIRST + UPGRADE + CHUNKED + behind
    for first, second in cuts(data):
        async def play(wire: Wire, server: HttpServer, first: bytes = first, second: bytes = second) -> None:
            await wire.feed(first)
            await wire.feed(second)
            assert wire.statuses() == [200, 200, 200, *([400] if behind else [])]
            assert (wire.begun, wire.bodies) == (["/first", "/upgrade", "/chunked"], [b"hello", b"body", b"abc"])
            assert wire.pipe.eof is bool(behind)

        played(play)


def test_what_comes_while_an_answer_is_held_back_waits_for_its_end() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        for piece in (CHUNKED[:30], CHUNKED[30:] + GARBAGE):
            await wire.feed(piece)
        assert wire.begun == ["/first"] and wire.pipe.written.endswith(b"one") and not wire.pipe.eof
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first", "/chunked"] and wire.pipe.written.endswith(b"one")
        wire.go_on["/chunked"].set()
        await settle()
        assert wire.statuses() == [200, 200, 400] and wire.pipe.eof
        assert wire.connection is not None
        wire.connection.connection_lost(None)
        assert server.context.ends == {Ending.BAD_BYTES.value: 1}

    played(play)


def test_a_request_read_behind_the_process_s_end_is_refused_in_its_turn() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        assert wire.connection is not None
        wire.connection.shutdown()
        await wire.feed(CHUNKED + UPGRADE + FIRST[:20])
        assert not wire.pipe.closed
        wire.go_on["/first"].set()
        await settle()
        assert wire.statuses() == [200, 503, 503] and wire.begun == ["/first"] and wire.pipe.closed

    played(play)


def test_an_answer_that_has_not_begun_says_that_it_is_the_last_one() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        await wire.feed(FIRST[:-1])
        wire.connection.shutdown()
        assert not wire.pipe.closed, "its body may still come"
        await wire.feed(FIRST[-1:])
        assert wire.statuses() == [200] and b"connection: close" in wire.pipe.written and wire.pipe.closed

    played(play)


@pytest.mark.parametrize("half", [FIRST[:10], b"\r\n", b""])
def test_the_process_s_end_closes_a_connection_on_which_nothing_is_owed(half: bytes) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        await wire.feed(half)
        wire.connection.shutdown()
        assert wire.pipe.closed and not wire.pipe.written

    played(play)


def test_an_answer_that_breaks_off_closes_at_once_and_takes_what_waits_with_it() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST.replace(b"/first", b"/broken") + CHUNKED)
        assert wire.pipe.closed and wire.begun == ["/broken"] and wire.pipe.written.endswith(b"onetwo")
        assert wire.connection is not None
        wire.connection.connection_lost(None)
        assert server.context.ends == {Ending.BROKEN_ANSWER.value: 1}

    played(play)


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_a_client_that_leaves_is_seen_by_what_is_under_way_and_nothing_that_waits_is_begun(
        error: Exception | None) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + CHUNKED)
        assert wire.connection is not None
        (cycle, waiting) = wire.connection.cycles
        if error is None:
            wire.connection.eof_received()
            assert cycle.disconnected and waiting.disconnected, "it is seen before what was written has gone out"
        wire.connection.connection_lost(error)
        assert cycle.disconnected and waiting.disconnected
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first"]
        ending = Ending.CLIENT_CLOSED if error is None else Ending.CLIENT_RESET
        assert server.context.ends == {ending.value: 1}

    played(play)


def test_a_body_that_does_not_come_is_given_up_with_408() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST[:-2])
        assert wire.connection is not None
        wire.connection.state.since -= 100.0
        wire.connection._on_time()
        await settle()
        assert wire.statuses() == [408] and wire.gone == ["/first"] and wire.pipe.eof and not wire.begun

    played(play)


def test_a_client_that_is_not_read_for_our_sake_is_not_late() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST[:-2])
        assert wire.connection is not None
        wire.connection.flow.pause_reading()
        wire.connection.state.since -= 100.0
        wire.connection._on_time()
        await settle()
        assert not wire.pipe.written and not wire.gone

    played(play)


def test_a_header_without_an_end_is_refused_at_its_bound() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(b"GET / HTTP/1.1\r\nx: ")
        for _ in range(20):
            await wire.feed(b"z" * 30)
        assert wire.statuses() == [431] and wire.pipe.eof

    played(play)


def test_a_client_that_sends_on_and_on_is_not_read_beyond_some_requests() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        for number in range(MOST_WAITING):
            assert not wire.pipe.paused, number
            await wire.feed(CHUNKED)
        assert wire.pipe.paused
        wire.held = False
        wire.go_on["/first"].set()
        await settle()
        assert not wire.pipe.paused and wire.statuses() == [200] * (1 + MOST_WAITING)

    played(play)


def test_a_client_that_does_not_read_what_was_written_is_given_up_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.fleet.transport.server_connection.FLUSH_S", 0.0)

    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST)
        wire.pipe.unsent = 9
        assert wire.connection is not None and wire.connection.owed()[0].endswith("answered, 9 bytes not sent")
        wire.connection.shutdown()
        while not wire.pipe.aborted:
            await asyncio.sleep(0)

    played(play)


def test_connect_is_no_request_that_is_served() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n")
        assert wire.statuses() == [400] and not wire.begun

    played(play)
