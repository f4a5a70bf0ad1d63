"""A response that starts before its request's body is complete is sent completely, whatever ends the request.

Guards against the rejection of a late or invalid body that is written into the middle of the response.
"""

from __future__ import annotations

import pytest

from hophinge.fleet.transport.server import HttpServer
from tests.connection_wire import FIRST, Wire, played, settle

CHUNKED = b"POST /unread HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
BAD_CHUNK = b"no length\r\n"


@pytest.mark.parametrize("end", ["by its timeout", "by an invalid body", "by the shutdown"])
def test_a_started_response_is_complete_whatever_ends_its_request(end: str) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(CHUNKED)
        connection = wire.connection
        assert connection is not None and wire.pipe.written.endswith(b"one")
        if end == "by its timeout":
            connection.state.waiting_since -= 100.0
            connection._on_deadline()
        elif end == "by the shutdown":
            connection.shutdown()
        else:
            await wire.feed(BAD_CHUNK)
        await settle()
        assert wire.pipe.written.endswith(b"one") and not wire.pipe.closed
        wire.go_on["/unread"].set()
        await settle()
        assert wire.statuses() == [200] and (wire.pipe.eof or wire.pipe.closed)

    played(play)


def test_a_started_response_to_a_pipelined_request_is_not_aborted_either() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST)
        wire.held = True
        await wire.feed(CHUNKED + BAD_CHUNK[:3])
        await wire.feed(BAD_CHUNK[3:])
        wire.go_on["/unread"].set()
        await settle()
        assert wire.statuses()[0] == 200 and wire.pipe.eof

    played(play)
