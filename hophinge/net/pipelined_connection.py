"""Pipelined requests on a client's connection: parsed one at a time, and cancelled when the client disconnects."""

from __future__ import annotations

import asyncio
import re
import select
from collections import deque
from typing import Any, Protocol, cast

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from hophinge.core.counters import Counters
from hophinge.net.bounded_reads import BoundedReads
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.chunk_framing import is_framing_too_long

HEAD_END = b"\r\n\r\n"
LINE_ENDS = re.compile(rb"[\r\n]+")
# Buffered bytes behind the open request above which reading is paused; a close is then only detected by polling.
MAX_PIPELINED_EACH = 256 * 1024
# Such bytes above which a connection counts as flooding while the budget of all connections is exhausted.
FAIR_PIPELINED_EACH = 64 * 1024
# Between checks whether a client has disconnected while reading is paused: 0.1 s after the close none of its requests
# may be forwarded any more.
CLOSE_POLL_S = 0.04
CLIENT_READ_TIMEOUT_S = 10.0  # for a client to read the bytes that wait for it, plus time for each byte
MIN_CLIENT_READ_RATE = 16_000  # bytes per second; slower clients occupy a connection for too long
MAX_PIECES_PER_TURN = 64  # parsed for one connection in an iteration of the event loop
COALESCE_S = 0.01  # reads within this time count as one arrival
HANGUP_EVENTS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


class PipelineOwner(Protocol):
    """The listener that owns the connections."""

    counters: Counters
    pipelined_bytes: ByteBudget


def length_of_empty_lines(data: bytearray) -> int:
    """Return the length of the line ends that `data` begins with."""
    line_ends = LINE_ENDS.match(data)
    return line_ends.end() if line_ends is not None else 0


def length_to_head_end(before: bytes, data: bytearray) -> int:
    """Return the length of `data` up to a head's end, which may begin in `before`; all of it if there is none."""
    index = (before + data[:3]).find(HEAD_END)
    if index >= 0:
        return index + len(HEAD_END) - len(before)
    index = data.find(HEAD_END)
    return index + len(HEAD_END) if index >= 0 else len(data)


def has_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed the connection, even if bytes before that are unread."""
    try:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        return any(events & HANGUP_EVENTS for _, events in poll.poll(0))
    except (AttributeError, OSError, ValueError):  # already closed here: there is no file descriptor
        return False


class PipelinedConnection(RequestHandler):
    """A connection whose requests are parsed one at a time.

    aiohttp parses up to 32 requests ahead and then stops reading: it does not see a close behind them, and processes
    one after another for a client that has disconnected. A malformed request also makes its parser drop the requests
    before it in the same read.
    """

    def __init__(self, manager: web.Server, owner: PipelineOwner, **params: Any) -> None:
        super().__init__(manager, **params)
        self.owner = owner
        self.answered = 0  # answered requests, including malformed ones
        self.pipelined = bytearray()  # received bytes that are not parsed yet, behind the open request
        self.counted_bytes = 0  # bytes of `pipelined` that are counted in the owner's budget
        self.arrivals = deque[tuple[int, float]]()  # sizes and loop times of the reads that make up `pipelined`
        self.last_arrival = 0.0  # loop time at which the last byte passed to the parser arrived
        self.parsed_tail = b""  # the last three bytes passed to the parser
        self.request_payload: StreamReader = EMPTY_PAYLOAD  # body of the last parsed request
        self.content_length: int | None = None  # of that body, if stated
        self.chunked_bytes = 0  # received of that body, if it has no stated length
        self.is_advance_scheduled = False
        self.is_throttled = False  # reading is paused because the client has sent too much
        self.hangup_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    @property
    def requests_read(self) -> int:
        """The number of parsed requests, including malformed ones."""
        return self._request_count

    @property
    def parses_framing(self) -> bool:
        """Whether the next bytes are of a head or of chunks."""
        return self.content_length is None or self.request_payload.is_eof()

    @property
    def may_read(self) -> bool:
        """Whether neither this connection nor aiohttp has paused reading."""
        return not self.is_throttled and not self._reading_paused and not self._buffer_paused

    @property
    def has_next_request(self) -> bool:
        """Whether a request has arrived behind the open one."""
        return self.requests_read > self.answered + 1 or HEAD_END in self.pipelined

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read in bounded pieces; called by asyncio."""
        super().connection_made(transport)
        tcp = cast(asyncio.Transport, transport)
        tcp.set_protocol(BoundedReads(self, tcp, self._loop))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Discard the buffered bytes; called by asyncio."""
        self.discard_pipelined()
        if self.write_timer is not None:
            self.write_timer.cancel()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Cancel the open request: a client that shuts down its sending side counts as disconnected.

        The connection closes once the buffered answers have been written, for which the time is bounded.
        """
        if self._task_handler is not None:
            self._task_handler.cancel()
        if self.transport is not None:
            self.limit_close_time(self.transport)

    def limit_close_time(self, transport: asyncio.Transport) -> None:
        """Abort a closing transport if the client does not read the remaining bytes in time."""
        unsent = transport.get_write_buffer_size()
        if unsent:
            self._loop.call_later(CLIENT_READ_TIMEOUT_S + unsent / MIN_CLIENT_READ_RATE, transport.abort)

    def force_close(self) -> None:
        """Close the connection once the buffered bytes have been written."""
        transport = self.transport
        super().force_close()
        if transport is not None:
            self.limit_close_time(transport)

    def pause_writing(self) -> None:
        """Start the time-out for a client that does not read; called by asyncio."""
        super().pause_writing()
        if self.transport is not None:
            unsent = self.transport.get_write_buffer_size()
            self.write_timer = self._loop.call_later(
                CLIENT_READ_TIMEOUT_S + unsent / MIN_CLIENT_READ_RATE, self.transport.abort
            )

    def resume_writing(self) -> None:
        """Stop the time-out of `pause_writing`; called by asyncio."""
        if self.write_timer is not None:
            self.write_timer.cancel()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse the next request and buffer the bytes behind it; called by asyncio."""
        if (
            not self.parsed_tail
            and not self.pipelined
            and self._request_count == self.answered
            and (data.find(HEAD_END) == len(data) - len(HEAD_END) >= 0)
        ):
            # The most frequent case: exactly one complete head on an idle connection.
            self.last_arrival = self._loop.time()
            self.parsed_tail = data[-3:]
            return self._parse(data)
        if not data:
            self._parse(data)  # resumes a paused body
        else:
            self._record_arrival(len(data))
        self.pipelined += data
        self.advance()

    def advance(self) -> None:
        """Parse up to the end of the next request, if the requests before it have been answered.

        What takes many pieces goes on in the next iteration of the event loop.
        """
        if self.is_advance_scheduled:
            return
        pieces = 0
        while (
            self.pipelined
            and not self._reading_paused
            and (
                # If the end of a body and the next head were parsed in one piece, one more request has been read.
                self.requests_read - self.answered < (1 if self.request_payload.is_eof() else 2)
            )
        ):
            pieces += 1
            if pieces > MAX_PIECES_PER_TURN:
                self._schedule_advance()
                break
            size = self._next_parse_size()
            data = bytes(self.pipelined[:size])
            del self.pipelined[:size]
            self.parsed_tail = (self.parsed_tail + data)[-3:]
            self._consume_arrivals(size)
            self._parse(data)
        self._update_budget()
        self._throttle()

    def _schedule_advance(self) -> None:
        if not self.is_advance_scheduled:
            self.is_advance_scheduled = True
            self._loop.call_soon(self._advance_later)

    def _advance_later(self) -> None:
        self.is_advance_scheduled = False
        if self.transport is not None:
            self.advance()

    def discard_pipelined(self) -> None:
        """Discard the bytes buffered behind the open request."""
        self.pipelined.clear()
        self.arrivals.clear()
        self._update_budget()
        self.is_throttled = False
        if self.hangup_timer is not None:
            self.hangup_timer.cancel()
            self.hangup_timer = None

    def _parse(self, data: bytes) -> None:
        count, payload = self._request_count, self.request_payload
        super().data_received(data)
        if self._request_count != count and self._messages:
            message, self.request_payload = self._messages[-1]
            self.content_length = None
            self.chunked_bytes = 0
            if not isinstance(message, _ErrInfo):
                if self.request_payload is not EMPTY_PAYLOAD and (stated := message.headers.get("Content-Length")):
                    self.content_length = int(stated)  # only digits: the parser has checked that
            elif not payload.is_eof():
                # The parser drops a body that it could not parse; without an error its request would wait for the rest.
                payload.set_exception(web.RequestPayloadError(message.message))
        elif self.content_length is None and not payload.is_eof():
            self._check_framing(len(data), payload)

    def _check_framing(self, received: int, payload: StreamReader) -> None:
        """Fail a chunked body whose framing is too long."""
        self.chunked_bytes += received
        if is_framing_too_long(self.chunked_bytes, payload.total_bytes) and payload.exception() is None:
            payload.set_exception(web.RequestPayloadError("the chunk framing is too long"))

    def _record_arrival(self, size: int) -> None:
        now = self._loop.time()
        if self.arrivals and now - self.arrivals[-1][1] < COALESCE_S:
            size, now = size + self.arrivals[-1][0], self.arrivals.pop()[1]
        self.arrivals.append((size, now))

    def _consume_arrivals(self, size: int) -> None:
        while size:
            arrived, self.last_arrival = self.arrivals.popleft()
            if arrived > size:
                self.arrivals.appendleft((arrived - size, self.last_arrival))
            size -= min(size, arrived)

    def waited_s(self) -> float:
        """Return the seconds since the open request was received, from which its client's remaining time counts."""
        return max(0.0, self._loop.time() - self.last_arrival)

    def request_answered(self, keeps_open: bool) -> None:
        """Record an answered request, and parse the next if the connection stays open."""
        self.answered += 1
        if self.requests_read == self.answered:
            self.request_payload = EMPTY_PAYLOAD
            self.parsed_tail = b""
        if keeps_open and self.pipelined:
            self.advance()

    def _next_parse_size(self) -> int:
        """Return how many bytes to parse: up to the end of the body, if its length is known, or of a head."""
        if self.content_length is not None and not self.request_payload.is_eof():
            return min(len(self.pipelined), max(1, self.content_length - self.request_payload.total_bytes))
        return length_of_empty_lines(self.pipelined) or length_to_head_end(self.parsed_tail, self.pipelined)

    def _update_budget(self) -> None:
        self.owner.pipelined_bytes.used += len(self.pipelined) - self.counted_bytes
        self.counted_bytes = len(self.pipelined)

    def _throttle(self) -> None:
        exceeds_limit = len(self.pipelined) > MAX_PIPELINED_EACH
        if len(self.pipelined) > FAIR_PIPELINED_EACH and self.owner.pipelined_bytes.is_exhausted:
            # Normal clients send one request at a time; flooding ones must not make the head unusable for others.
            self.owner.counters.add("connections_flooding")
            if self.transport is not None:
                self.transport.abort()
        elif exceeds_limit != self.is_throttled:
            self.is_throttled = exceeds_limit
            if exceeds_limit:
                self._pause_transport_reading()
            elif not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self.hangup_timer is None:
            self.hangup_timer = self._loop.call_later(CLOSE_POLL_S, self._check_hangup)

    def _resume_transport_reading(self) -> None:
        if self.is_throttled:
            return
        if self.hangup_timer is not None:
            self.hangup_timer.cancel()
            self.hangup_timer = None
        super()._resume_transport_reading()

    def _check_hangup(self) -> None:
        """Abort the connection if the client has closed it, which unread bytes can hide."""
        self.hangup_timer = None
        if self.transport is None or self.transport.is_closing():
            return
        if has_hung_up(self.transport):
            self.transport.abort()
        else:
            self.hangup_timer = self._loop.call_later(CLOSE_POLL_S, self._check_hangup)
