"""An answer that has begun before its request's body came whole: whatever ends the request, the answer goes out whole.

Found by reading: the refusal of a body that does not come, or that cannot be read, was written within the answer.
"""

from __future__ import annotations

import pytest

from hophinge.fleet.transport.server import HttpServer
from tests.connection_wire import FIRST, Wire, played, settle

CHUNKED = b"POST /unread HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
BAD_CHUNK = b"no length\r\n"


@pytest.mark.parametrize("ended", ["by its time", "by bytes that are none of a body", "by the process's end"])
def test_a_started_response_is_complete_whatever_ends_its_request(ended: str) -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        wire.held = True
        await wire.feed(CHUNKED)
        connection = wire.connection
        assert connection is not None and wire.pipe.written.endswith(b"one")
        if ended == "by its time":
            connection.state.waiting_since -= 100.0
            connection._on_deadline()
        elif ended == "by the process's end":
            connection.shutdown()
        else:
            await wire.feed(BAD_CHUNK)
        await settle()
        assert wire.pipe.written.endswith(b"one") and not wire.pipe.closed
        wire.go_on["/unread"].set()
        await settle()
        assert wire.statuses() == [200] and (wire.pipe.eof or wire.pipe.closed)

    played(play)


def test_one_that_has_begun_behind_another_is_not_cut_either() -> None:
    async def play(wire: Wire, server: HttpServer) -> None:
        await wire.feed(FIRST)
        wire.held = True
        await wire.feed(CHUNKED + BAD_CHUNK[:3])
        await wire.feed(BAD_CHUNK[3:])
        wire.go_on["/unread"].set()
        await settle()
        assert wire.statuses()[0] == 200 and wire.pipe.eof

    played(play)
