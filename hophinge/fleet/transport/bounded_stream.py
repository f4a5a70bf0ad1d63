"""Bounds what one response may cost its reader: a network backend for httpcore, by its public interface.

httpcore and h11 bound a single incomplete event, but neither the number of events before a response (interim
responses, RFC 9110, 15.2), nor the bytes of a response, nor the framing around its body, nor the work between two
iterations of the event loop. A peer that exceeds a limit here loses its connection.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from enum import Enum
from typing import Any, Protocol, cast

import httpcore

from hophinge.fleet.transport.loop_turns import LoopTurns

KIB = 1 << 10
READ_BYTES = 256 * KIB  # the most that the event loop receives at once
MAX_PIECE_LINES = 64  # parsed before other work has its turn: a chunk takes two lines, a header field one
FREE_PIECES = 4  # of a response, that never wait for a turn: short responses are not held up by long ones
MAX_HEADER_BYTES = 64 * KIB  # of a response's header, with the interim responses before it
MAX_HEADER_LINES = 512  # of the same
FREE_FRAMING_BYTES = 16 * KIB  # of a response, before the ratio of framing to body counts
MAX_FRAMING_RATIO = 4  # received bytes for each byte of the body; chunks of two bytes have 3.5


class Limit(Enum):
    """The limits on a response; the values are part of log lines."""

    HEADER = "header"
    BODY = "body"
    FRAMING = "framing"
    EVENT = "event"
    TIME = "time"


class ResponseLimitError(httpcore.RemoteProtocolError):
    """A response exceeds a limit: its reader gives it up, and closes the connection."""

    def __init__(self, limit: Limit, received_bytes: int) -> None:
        super().__init__(f"response exceeds the limit on its {limit.value} after {received_bytes} bytes")
        self.limit = limit
        self.received_bytes = received_bytes


class BoundedStream(httpcore.AsyncNetworkStream):
    """A connection on which each response is bounded.

    A write begins a new request, and with it a new response. The limits on the header hold until `begin_body`.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream, turns: LoopTurns) -> None:
        self._stream = stream
        self._turns = turns
        self._received = b""  # of which the bytes from `_position` are not parsed yet
        self._position = 0
        self.begin_header()

    def begin_header(self) -> None:
        """Begin to await the header of a response."""
        self.received_bytes = self._piece_bytes = 0
        self._lines = 0
        self._pieces = 0
        self._is_header = True

    def begin_body(self) -> None:
        """Begin to read the body of a response whose header is complete."""
        self.received_bytes = self._piece_bytes = 0
        self._is_header = False

    def check_framing(self, body_bytes: int) -> None:
        """Check the bytes received for a body, but for the latest piece, which may hold bytes behind the response.

        Raises:
            ResponseLimitError: The framing is too large for `body_bytes` of the body.

        """
        earlier_bytes = self.received_bytes - self._piece_bytes
        if earlier_bytes > FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes:
            raise ResponseLimitError(Limit.FRAMING, self.received_bytes)

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes were received that nothing has asked for yet."""
        return self._position < len(self._received)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next piece of what was received.

        Raises:
            ResponseLimitError: The header, with the interim responses before it, is too large.

        """
        if not self.has_unparsed:
            self._received = await self._stream.read(max(max_bytes, READ_BYTES), timeout)
            self._position = 0
        self._pieces += 1
        if self._pieces > FREE_PIECES:
            await self._turns.wait_for_turn()
        piece = self._next_piece(max_bytes)
        self._count(piece)
        return piece

    def _next_piece(self, max_bytes: int) -> bytes:
        begin = end = self._position
        limit = min(len(self._received), begin + max_bytes)
        for _ in range(MAX_PIECE_LINES):
            end = self._received.find(b"\n", end, limit) + 1
            if not end:
                end = limit
                break
        self._position = end
        if begin == 0 and end == len(self._received):
            piece, self._received, self._position = self._received, b"", 0
            return piece
        return self._received[begin:end]

    def _count(self, piece: bytes) -> None:
        """Count a piece; the last one of a header may hold the beginning of the body, and does not exceed its limit."""
        is_too_large = self.received_bytes > MAX_HEADER_BYTES or self._lines > MAX_HEADER_LINES
        if self._is_header and is_too_large:
            raise ResponseLimitError(Limit.HEADER, self.received_bytes)
        self._piece_bytes = len(piece)
        self.received_bytes += len(piece)
        self._lines += piece.count(b"\n")

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request."""
        self.begin_header()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection, and drop what was received."""
        self._received, self._position = b"", 0
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return information on the connection, as httpcore names it."""
        if info == "is_readable" and self.has_unparsed:
            return True
        return self._stream.get_extra_info(info)


class BodyStream(Protocol):
    """The body of a response, as httpcore gives it."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks as they arrive."""

    async def aclose(self) -> None:
        """Close the response."""


class BoundedBody:
    """The body of a response, whose framing is bounded."""

    def __init__(self, body: BodyStream, connection: BoundedStream) -> None:
        self._body = body
        self._connection = connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks as they arrive.

        Raises:
            ResponseLimitError: The framing is too large for the body.

        """
        self._connection.begin_body()
        body_bytes = 0
        async for chunk in self._body:
            body_bytes += len(chunk)
            self._connection.check_framing(body_bytes)
            yield chunk

    async def aclose(self) -> None:
        """Close the response."""
        await self._body.aclose()


def network_stream(response: httpcore.Response) -> BoundedStream:
    """Return the connection that a response was received on, which a `BoundedBackend` has opened.

    Raises:
        httpcore.RemoteProtocolError: The response switches to another protocol, which no request asks for.

    """
    connection = response.extensions["network_stream"]
    if not isinstance(connection, BoundedStream):
        raise httpcore.RemoteProtocolError("the response switches to another protocol")
    return connection


def bounded_body(response: httpcore.Response) -> BoundedBody:
    """Return the body of a response, bounded; see `network_stream`."""
    return BoundedBody(cast(BodyStream, response.stream), network_stream(response))


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on which each response is bounded."""

    def __init__(self, turns: LoopTurns) -> None:
        self._turns = turns
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return BoundedStream(stream, self._turns)

    async def sleep(self, seconds: float) -> None:
        """Wait, as httpcore does between attempts to connect."""
        await self._backend.sleep(seconds)
