"""A server's connection between a parser and an application: every split of the bytes in chunks, without sockets."""

from __future__ import annotations

import asyncio

import pytest

from hophinge.fleet.transport.client_memory import ClientMemory, BodyMemoryFullError, MemoryLimits, MemoryReservation
from hophinge.fleet.transport.connection_state import CloseReason
from hophinge.fleet.transport.server import HttpServer
from hophinge.fleet.transport.server_connection import MAX_PIPELINED
from tests.connection_wire import CHUNKED, FIRST, GARBAGE, UPGRADE, WHOLE_BODIES, Wire, cuts, played, settle


@pytest.mark.parametrize("trailing", [GARBAGE, b""])
def test_requests_in_any_chunks_are_answered_and_invalid_bytes_get_400_after_them(
    trailing: bytes,
) -> None:
    data = FIRST + UPGRADE + CHUNKED + trailing
    for first, second in cuts(data):

        async def play(wire: Wire, server: HttpServer, first: bytes = first, second: bytes = second) -> None:
            await wire.feed(first)
            await wire.feed(second)
            assert wire.statuses() == [200, 200, 200, *([400] if trailing else [])]
            assert (wire.begun, wire.bodies) == (["/first", "/upgrade", "/chunked"], [b"hello", b"body", b"abc"])
            assert wire.pipe.eof is bool(trailing)

        played(play)


def test_pipelined_requests_wait_for_a_delayed_response() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        for chunk in (CHUNKED[:30], CHUNKED[30:] + GARBAGE):
            await wire.feed(chunk)
        assert wire.begun == ["/first"] and wire.pipe.written.endswith(b"one") and not wire.pipe.eof
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first", "/chunked"] and wire.pipe.written.endswith(b"one")
        wire.go_on["/chunked"].set()
        await settle()
        assert wire.statuses() == [200, 200, 400] and wire.pipe.eof
        assert wire.connection is not None
        wire.connection.connection_lost(None)
        assert server.context.close_reasons == {CloseReason.INVALID_REQUEST.value: 1}

    played(play)


# A process killed between two writes left its client a header with status 200 and no body.
@pytest.mark.parametrize("path", ["/early", "/empty"])
@pytest.mark.parametrize("method", ["POST", "HEAD"])
def test_the_header_and_the_body_of_a_whole_response_leave_in_one_write(method: str, path: str) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        request = f"{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode()
        body = b"" if method == "HEAD" else WHOLE_BODIES[path]
        for answered in (1, 2):
            await wire.feed(request)
            assert wire.pipe.writes == answered and wire.pipe.written.endswith(b"\r\n\r\n" + body)

    played(play)


def test_a_response_too_large_to_be_joined_to_its_header_is_sent_whole() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n" * 2)
        assert wire.statuses() == [200, 200] and wire.pipe.writes == 4

    played(play)


def test_a_response_sent_in_pieces_starts_with_its_header() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        assert wire.pipe.written.startswith(b"HTTP/1.1 200") and wire.pipe.writes == 2
        wire.go_on["/first"].set()
        await settle()
        assert wire.statuses() == [200]

    played(play)


def test_a_request_read_during_shutdown_is_rejected_in_turn() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        assert wire.connection is not None
        wire.connection.shutdown()
        await wire.feed(CHUNKED + UPGRADE + FIRST[:20])
        assert not wire.pipe.closed
        wire.go_on["/first"].set()
        await settle()
        assert wire.statuses() == [200, 503, 503] and wire.begun == ["/first"] and wire.pipe.eof
        assert wire.pipe.written.count(b"connection: close") == 1, "only the last response announces the close"

    played(play)


def test_a_response_that_starts_after_shutdown_announces_the_close() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        await wire.feed(FIRST[:-1])
        wire.connection.shutdown()
        assert not wire.pipe.closed, "its body may still arrive"
        await wire.feed(FIRST[-1:])
        assert wire.statuses() == [200] and b"connection: close" in wire.pipe.written and wire.pipe.eof

    played(play)


@pytest.mark.parametrize("incomplete", [FIRST[:10], b"\r\n", b""])
def test_shutdown_closes_a_connection_with_nothing_outstanding(incomplete: bytes) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        assert wire.connection is not None
        await wire.feed(incomplete)
        wire.connection.shutdown()
        assert wire.pipe.closed and not wire.pipe.written

    played(play)


def test_an_aborted_response_closes_at_once_and_drops_pipelined_requests() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST.replace(b"/first", b"/broken") + CHUNKED)
        assert wire.pipe.closed and wire.begun == ["/broken"] and wire.pipe.written.endswith(b"onetwo")
        assert wire.connection is not None
        wire.connection.connection_lost(None)
        assert server.context.close_reasons == {CloseReason.RESPONSE_ABORTED.value: 1}

    played(play)


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_a_disconnect_reaches_the_request_in_flight_and_no_waiting_one_begins(
    error: Exception | None,
) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST + CHUNKED)
        assert wire.connection is not None
        (cycle, waiting) = wire.connection.cycles
        if error is None:
            wire.connection.eof_received()
            assert cycle.disconnected and waiting.disconnected, (
                "the disconnect is reported before the written data is sent"
            )
        wire.connection.connection_lost(error)
        assert cycle.disconnected and waiting.disconnected
        wire.go_on["/first"].set()
        await settle()
        assert wire.begun == ["/first"]
        reason = CloseReason.CLIENT_CLOSED if error is None else CloseReason.CLIENT_RESET
        assert server.context.close_reasons == {reason.value: 1}

    played(play)


# Guards against a legal request that no instance gets: the client library rejects such a value, and 502 was sent.
@pytest.mark.parametrize("white_space", [b" ", b"\t", b" \t "])
def test_white_space_behind_a_field_value_is_no_part_of_it(white_space: bytes) -> None:
    data = FIRST.replace(b"host: a", b"host: a" + white_space + b"\r\nx-note: b c" + white_space)
    for first, second in cuts(data):

        async def play(wire: Wire, server: HttpServer, first: bytes = first, second: bytes = second) -> None:
            await wire.feed(first)
            await wire.feed(second)
            assert wire.fields == [[(b"host", b"a"), (b"x-note", b"b c"), (b"content-length", b"5")]]
            assert wire.statuses() == [200]

        played(play)


def test_a_body_that_does_not_arrive_gets_408() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST[:-2])
        assert wire.connection is not None
        wire.connection.state.waiting_since -= 100.0
        wire.connection._on_deadline()
        await settle()
        assert wire.statuses() == [408] and wire.gone == ["/first"] and wire.pipe.eof and not wire.begun

    played(play)


def test_a_client_is_not_late_while_the_server_does_not_read() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST[:-2])
        assert wire.connection is not None
        wire.connection.flow.pause_reading()
        wire.connection.state.waiting_since -= 100.0
        wire.connection._on_deadline()
        await settle()
        assert not wire.pipe.written and not wire.gone

    played(play)


def test_an_endless_header_is_rejected_at_its_size_limit() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(b"GET / HTTP/1.1\r\nx: ")
        for _ in range(20):
            await wire.feed(b"z" * 30)
        assert wire.statuses() == [431] and wire.pipe.eof

    played(play)


def test_reading_pauses_at_the_limit_of_pipelined_requests() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(FIRST)
        for number in range(MAX_PIPELINED):
            assert not wire.pipe.paused, number
            await wire.feed(CHUNKED)
        assert wire.pipe.paused
        wire.held = False
        wire.go_on["/first"].set()
        await settle()
        assert not wire.pipe.paused and wire.statuses() == [200] * (1 + MAX_PIPELINED)

    played(play)


def test_a_client_that_reads_nothing_is_aborted_and_a_slow_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hophinge.fleet.transport.closing.FLUSH_CHECK_INTERVAL_S", 0.0)

    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST)
        wire.pipe.unsent = 9
        assert wire.connection is not None and wire.connection.outstanding_responses()[0].endswith(
            "response=complete unsent_bytes=9"
        )
        checks = 0

        def unsent_bytes() -> int:
            nonlocal checks
            checks += 1
            return max(3, 9 - checks)

        monkeypatch.setattr(wire.pipe, "get_write_buffer_size", unsent_bytes)
        wire.connection.shutdown()
        while not wire.pipe.aborted:
            await asyncio.sleep(0)
        assert checks == 7, "it is aborted once nothing was sent between two checks"

    played(play)


def test_connect_is_rejected() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(b"CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n")
        assert wire.statuses() == [400] and not wire.begun

    played(play)


def test_the_longest_idle_connection_is_closed_above_the_limit() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        server.context.max_connections = 2
        wire.held = True
        await wire.feed(FIRST)
        idle = [wire.another(server) for _ in range(2)]
        assert [pipe.closed for pipe in idle] == [True, False] and not wire.pipe.closed
        newest = wire.another(server)
        assert [pipe.closed for pipe in (*idle, newest)] == [True, True, False]
        wire.go_on["/first"].set()
        await settle()
        assert wire.statuses() == [200] and not wire.pipe.closed
        for connection in server.connections():
            connection.connection_lost(None)
        assert server.context.close_reasons == {CloseReason.AT_CAPACITY.value: 2}

    played(play)


def test_all_bodies_share_one_memory_limit() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        memory = server.context.memory = ClientMemory(MemoryLimits(10, 0))
        wire.another(server)
        first, second = server.connections()
        with MemoryReservation(first) as reservation:
            reservation.extend(8)
            with MemoryReservation(second) as other, pytest.raises(BodyMemoryFullError):
                other.extend(3)
            with MemoryReservation(second) as other:
                other.extend(2)
                assert memory.used == 10
        assert memory.used == 0
        for connection in server.connections():
            connection.connection_lost(None)

    played(play)


def test_rejecting_a_client_that_reset_its_connection_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error of the rejection that is raised in another response, as a fault of the head."""

    def raise_not_connected() -> None:
        raise OSError(107, "Transport endpoint is not connected")

    async def play(wire: Wire, server: HttpServer) -> None:
        monkeypatch.setattr(wire.pipe, "write_eof", raise_not_connected)
        await wire.feed(FIRST + GARBAGE)
        assert wire.statuses() == [200, 400] and wire.pipe.closed

    played(play)


def test_trailer_fields_are_not_fields_of_the_request() -> None:
    """Guards against a second request id, model or prompt that is forwarded in addition to the client's own."""
    trailers = b"0\r\nHophinge-Request-Id: other\r\nHophinge-Model: x\r\n\r\n"
    data = CHUNKED.replace(b"0\r\n\r\n", trailers) + FIRST
    for first, second in cuts(data):

        async def play(wire: Wire, server: HttpServer, first: bytes = first, second: bytes = second) -> None:
            await wire.feed(first)
            await wire.feed(second)
            assert wire.statuses() == [200, 200]
            assert wire.bodies == [b"abc", b"hello"]
            names = [[name for name, _ in fields] for fields in wire.fields]
            assert names == [[b"host", b"transfer-encoding"], [b"host", b"content-length"]]

        played(play)
