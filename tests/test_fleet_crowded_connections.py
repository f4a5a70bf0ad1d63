"""What clients make a server hold: requests ahead, unread responses, uploads and connections, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import httptools
import pytest

from hophinge.fleet.transport.client_memory import ClientMemory, BodyMemoryFullError, MemoryLimits, SMALL_BYTES
from hophinge.fleet.transport.connection_state import CloseReason, ConnectionBounds
from hophinge.fleet.transport.message_boundaries import MessageBoundaries
from hophinge.fleet.transport.server import HttpServer
from hophinge.fleet.transport.parse_scheduler import TURN_S, ParseScheduler
from hophinge.fleet.transport.server_connection import MAX_BYTES_PER_TURN, MAX_PIPELINED, STALL_S, ServerConnection
from tests import connection_wire
from tests.connection_wire import CHUNKED, FIRST, GARBAGE, Pipe, Wire, played, settle

SHORT = b"GET /s HTTP/1.1\r\n\r\n"
UPLOAD = b"PUT /u HTTP/1.1\r\ncontent-length: %d\r\n\r\n"
READ_BYTES = 256 << 10  # that asyncio reads at once


CHUNKED_HEADER = CHUNKED[: CHUNKED.index(b"\r\n\r\n") + 4]


class TurnLoop:
    """An event loop whose time passes only with the work that is done."""

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[Callable[[], object]] = []

    def time(self) -> float:
        return self.now

    def call_soon(self, callback: Callable[[], object], /) -> object:
        self.scheduled.append(callback)
        return None

    def run_once(self) -> None:
        """Run what was scheduled so far."""
        scheduled, self.scheduled = self.scheduled, []
        for callback in scheduled:
            callback()


class SlowParser:
    """A connection whose part takes half of the time of an iteration, and that always has more to parse."""

    def __init__(self, loop: TurnLoop, scheduler: ParseScheduler) -> None:
        self.loop, self.scheduler, self.turns = loop, scheduler, 0

    def parse_on(self) -> None:
        self.turns += 1
        self.loop.now += TURN_S / 2
        self.scheduler.add(self.loop, self)


@pytest.fixture(autouse=True)
def _large_bodies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the application of a wire read large bodies."""
    monkeypatch.setattr(connection_wire, "MAX_BODY", 1 << 20)


async def _release(wire: Wire) -> None:
    """Let every response go on, also of requests that begin meanwhile."""
    wire.held = False
    for gate in wire.go_on.values():
        gate.set()
    while wire.connection is not None and (wire.connection.cycles or wire.connection.waits_for_turn):
        await settle()


# Guards against clients whose chunks of one byte keep the event loop parsing, so that nobody else gets an answer.
def test_chunks_of_one_byte_are_parsed_a_few_at_a_time_between_other_work() -> None:
    chunks = b"1\r\nx\r\n" * 40_000

    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        wire.connection.data_received(CHUNKED_HEADER + chunks)
        assert wire.connection.parsed_to <= 3 * MAX_BYTES_PER_TURN
        for _ in range(20):
            before = wire.connection.parsed_to
            await asyncio.sleep(0)
            assert wire.connection.parsed_to - before <= 3 * MAX_BYTES_PER_TURN, "whoever asks for more"
        assert wire.connection.waits_for_turn and wire.pipe.paused

    played(play)


def test_connections_parse_in_turns_of_a_bounded_time() -> None:
    loop = TurnLoop()
    scheduler = ParseScheduler()
    parsers = [SlowParser(loop, scheduler) for _ in range(4)]
    for parser in parsers:
        scheduler.add(loop, parser)
        scheduler.add(loop, parser)
    assert len(loop.scheduled) == 1
    loop.run_once()
    assert [parser.turns for parser in parsers] == [1, 1, 0, 0], "other work goes on after TURN_S"
    scheduler.discard(parsers[2])
    loop.run_once()
    assert [parser.turns for parser in parsers] == [2, 1, 0, 1], "they take turns, and a dropped one has none"
    for parser in parsers:
        scheduler.discard(parser)
    loop.run_once()
    assert not loop.scheduled


def test_requests_sent_ahead_are_read_a_few_at_a_time() -> None:
    count = READ_BYTES // len(SHORT)

    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(SHORT * count)
        assert wire.connection is not None
        assert len(wire.connection.cycles) <= MAX_PIPELINED + 2
        assert wire.pipe.paused, "nothing more is read meanwhile"
        assert server.context.memory.used < 2 * READ_BYTES
        await _release(wire)
        assert wire.statuses() == [200] * count and len(wire.begun) == count
        assert not wire.pipe.paused and server.context.memory.used == 0

    played(play)


@pytest.mark.parametrize("garbage", [b"", GARBAGE])
def test_requests_sent_ahead_of_a_shutdown_are_all_rejected(garbage: bytes) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + SHORT * 100 + garbage)
        assert wire.connection is not None
        wire.connection.shutdown()
        assert not wire.pipe.closed
        await _release(wire)
        statuses = wire.statuses()
        # Those that had been read before the shutdown are served; 503 promises that the others have not run.
        served = statuses.index(503)
        assert 1 <= served <= MAX_PIPELINED + 3 and len(wire.begun) == served
        assert statuses[served:] == [503] * (101 - served) + ([400] if garbage else [])
        assert wire.pipe.closed or wire.pipe.eof

    played(play)


def test_a_client_that_leaves_discards_what_it_sent_ahead() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(SHORT * 1_000)
        assert wire.connection is not None
        wire.connection.eof_received()
        await settle()
        assert len(wire.begun) == 1 and not wire.connection.received
        wire.go_on["/s"].set()

    played(play)


def test_a_connection_lost_with_the_last_bytes_of_a_response_begins_no_other(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + SHORT * 3)

        def lose(data: bytes) -> None:
            wire.pipe.closed = data.endswith(b"end")

        monkeypatch.setattr(wire.pipe, "write", lose)
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first"]

    played(play)
    assert not caplog.records


def test_an_aborted_response_begins_no_other(caplog: pytest.LogCaptureFixture) -> None:
    """A write may exceed the memory for all clients: its own connection is then closed within it."""

    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.memory = ClientMemory(MemoryLimits(100_000, 0))
        wire.held = True
        await wire.feed(FIRST + SHORT * 3)
        wire.pipe.unsent = 1_000_000
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first"] and wire.pipe.aborted

    played(play)
    assert not caplog.records


def test_pieces_hold_the_ends_of_at_most_two_requests() -> None:
    """Whatever the requests are and however their bytes arrive, the parser completes few of them at a time."""

    class Parsed:
        def __init__(self) -> None:
            self.boundaries = MessageBoundaries()
            self.parser = httptools.HttpRequestParser(self)
            self.fields: list[tuple[bytes, bytes]] = []
            self.completed = 0

        def on_message_begin(self) -> None:
            self.fields = []

        def on_header(self, name: bytes, value: bytes) -> None:
            self.fields.append((name.lower(), value))

        def on_headers_complete(self) -> None:
            self.boundaries.begin_body(self.fields)

        def on_body(self, body: bytes) -> None:
            self.boundaries.consume_body(len(body))

        def on_message_complete(self) -> None:
            self.completed += 1

    for seed in range(200):
        random = Random(seed)
        kinds = [SHORT, FIRST, CHUNKED, b"\r\n" + SHORT, UPLOAD % 2_000 + bytes(2_000), UPLOAD % 0]
        requests = [random.choice(kinds) for _ in range(60)]
        data, parsed, begin = b"".join(requests), Parsed(), 0
        while begin < len(data):
            end = min(len(data), begin + random.choice((1, 3, 17, 200, 5_000)))
            chunk, at = data[begin:end], 0
            while at < len(chunk):
                before = parsed.completed
                size = parsed.boundaries.next_size(chunk, at, 400)
                assert 0 < size <= len(chunk) - at
                parsed.parser.feed_data(chunk[at : at + size])
                at += size
                assert parsed.completed - before <= 2, (seed, chunk)
            begin = end
        assert parsed.completed == len(requests)


def test_a_client_that_reads_nothing_is_closed() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.update_bounds(ConnectionBounds(idle_s=0.01, header_s=5.0, header_bytes=400))
        wire.held = True
        await wire.feed(FIRST)
        assert wire.connection is not None
        wire.pipe.unsent = 100_000
        wire.connection.pause_writing()
        wire.pipe.unsent = 50_000
        while wire.connection.write_timer is not None and not wire.pipe.aborted:
            await asyncio.sleep(0.001)
        assert wire.pipe.aborted
        wire.connection.connection_lost(None)
        assert server.context.close_reasons == {CloseReason.RESPONSE_UNREAD.value: 1}
        wire.go_on["/first"].set()

    played(play)


def test_a_client_that_reads_slowly_is_not_closed() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.update_bounds(ConnectionBounds(idle_s=0.005, header_s=5.0, header_bytes=400))
        wire.held = True
        await wire.feed(FIRST)
        assert wire.connection is not None
        wire.pipe.unsent = 100_000
        wire.connection.pause_writing()
        for _ in range(10):
            timer = wire.connection.write_timer
            wire.pipe.unsent -= 1_000
            while wire.connection.write_timer is timer:
                await asyncio.sleep(0)
        assert not wire.pipe.aborted
        wire.connection.resume_writing()
        assert wire.connection.write_timer is None
        await _release(wire)

    played(play)


def _another(wire: Wire, server: HttpServer) -> tuple[Pipe, ServerConnection]:
    before = set(server.connections())
    pipe = wire.another(server)
    [connection] = set(server.connections()) - before
    return pipe, connection


def test_the_largest_unread_response_is_given_up_first() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.memory = ClientMemory(MemoryLimits(100_000, 0))
        others = [_another(wire, server) for _ in range(3)]
        for size, (pipe, connection) in zip((60_000, 70_000, 20_000), others, strict=True):
            pipe.unsent = size
            connection._update_memory()
        assert [pipe.aborted for pipe, _ in others] == [False, True, False]
        for _, connection in others:
            connection.connection_lost(None)
        assert server.context.memory.used == 0

    played(play)


def _statuses(pipe: Pipe) -> list[int]:
    return [int(line.split()[1]) for line in bytes(pipe.written).split(b"\r\n") if line.startswith(b"HTTP/1.1")]


def test_a_stalled_upload_is_rejected_where_its_memory_is_needed() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.memory = ClientMemory(MemoryLimits(150_000, 0))
        pipe, connection = _another(wire, server)
        connection.data_received(UPLOAD % 200_000 + bytes(100_000))
        assert wire.connection is not None
        assert connection.is_incomplete() and not connection.is_stalled()
        connection.progress_since -= STALL_S + 1.0
        await wire.feed(UPLOAD % 100_000 + bytes(99_000))
        assert _statuses(pipe) == [503] and pipe.eof
        assert wire.connection.is_incomplete(), "the other one goes on"
        connection.connection_lost(None)

    played(play)


def test_of_two_uploads_the_earlier_one_is_completed() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.memory = ClientMemory(MemoryLimits(180_000, 0))
        await wire.feed(UPLOAD % 100_000 + bytes(90_000))
        assert wire.connection is not None
        pipe, connection = _another(wire, server)
        connection.data_received(UPLOAD % 200_000 + bytes(SMALL_BYTES + 10_000))
        await settle()
        assert connection.is_incomplete()
        await wire.feed(bytes(10_000))
        assert _statuses(pipe) == [503] and not wire.pipe.eof
        connection.connection_lost(None)

    played(play)


def test_a_reservation_beyond_the_limit_raises_and_is_released() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        memory = server.context.memory = ClientMemory(MemoryLimits(100, 20))
        _, connection = _another(wire, server)
        connection.reserve(120)
        with pytest.raises(BodyMemoryFullError):
            connection.reserve(1)
        connection.release(121)
        assert memory.used == 0
        connection.connection_lost(None)
        connection.reserve(10)
        connection.release(10)
        assert memory.used == 0, "a closed connection is not counted again"

    played(play)


def test_a_port_with_a_limit_of_its_own_does_not_share_it() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.max_connections = 1
        server.context.reserved_connections[9] = 2
        reserved = [_another(wire, server) for _ in range(2)]
        for _, connection in reserved:
            server.context.open_connections[connection.port] -= 1
            connection.port = 9
            server.context.open_connections[9] += 1
        assert server.context.connection_limit(9) == 2 and server.context.connection_limit(0) == 1
        for _, connection in reserved:
            connection.connection_lost(None)
        assert server.context.open_connections[9] == 0

    played(play)


def test_a_connection_that_lingers_is_closed_for_a_new_one_before_an_idle_one() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.max_connections = 3
        pipe, connection = _another(wire, server)
        connection.data_received(GARBAGE)
        assert pipe.eof and not pipe.closed
        idle, _ = _another(wire, server)
        newest, _ = _another(wire, server)
        assert pipe.aborted and not idle.closed and not newest.closed
        for each in server.connections():
            if each is not wire.connection:
                each.connection_lost(None)

    played(play)
