"""Pipelined requests of a client's connection: read one at a time, and cancelled when the client goes."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Any, Protocol

from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from hophinge.core.counters import Counters
from hophinge.net.byte_budget import ByteBudget

HEAD_END = b"\r\n\r\n"  # of a head
MAX_PIPELINED_EACH = (
    256 * 1024
)  # bytes behind a request, from which on its client is read no further, and its close seen late
FAIR_PIPELINED_EACH = 64 * 1024  # of them, from which on a client floods when all of them hold more than they may
CLOSE_POLL_S = 0.04  # between looks for the end of a client that is not read: 0.1 s after it nothing may be sent on
CLIENT_READ_TIMEOUT_S = 10.0  # for a client to read what waits for it, and more for each byte
MIN_CLIENT_READ_RATE = 16_000  # bytes a second; slower ones hold a connection for too long
COALESCE_S = 0.01  # what comes within it came at once
HANGUP_EVENTS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


class PipelineOwner(Protocol):
    """The listener that owns the connections."""

    counters: Counters
    pipelined_bytes: ByteBudget


def length_to_head_end(before: bytes, data: bytearray) -> int:
    """Return the length of `data` up to a head's end, which may have begun in `before`; all of it where none ends."""
    at = (before + data[:3]).find(HEAD_END)
    if at >= 0:
        return at + len(HEAD_END) - len(before)
    at = data.find(HEAD_END)
    return at + len(HEAD_END) if at >= 0 else len(data)


def has_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed, even where unread bytes precede its end."""
    try:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), HANGUP_EVENTS)
        return any(events & HANGUP_EVENTS for _, events in poll.poll(0))
    except (AttributeError, OSError, ValueError):  # closed here already: it has no descriptor
        return False


class PipelinedConnection(RequestHandler):
    """A connection whose requests are read one at a time.

    aiohttp reads 32 ahead and then reads no more: it sees no close behind them, and sends on one after another for a
    client that has gone. What its parser cannot read takes those before it in the same read with it.
    """

    def __init__(self, manager: web.Server, owner: PipelineOwner, **params: Any) -> None:
        super().__init__(manager, **params)
        self.owner = owner
        self.answered = 0  # answered requests, including malformed ones
        self.pipelined = bytearray()  # received bytes behind the open request
        self.counted_bytes = 0  # bytes of it that the owner's budget counts
        self.arrivals = deque[tuple[int, float]]()  # sizes and times of the reads that make up `pipelined`
        self.last_arrival = 0.0  # arrival of the last byte passed to the parser
        self.parsed_tail = b""  # the last three bytes passed to the parser
        self.request_payload: StreamReader = EMPTY_PAYLOAD  # body of the last request read
        self.content_length: int | None = None  # of that body, where it is stated
        self.is_throttled = False  # reading is paused, as the client has sent too much
        self.hangup_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    @property
    def requests_read(self) -> int:
        """The number of requests read, including malformed ones."""
        return self._request_count

    @property
    def has_next_request(self) -> bool:
        """Whether a request has arrived behind the open one."""
        return self.requests_read > self.answered + 1 or HEAD_END in self.pipelined

    def connection_lost(self, exc: BaseException | None) -> None:
        """Discard what is buffered; called by asyncio."""
        self.discard_pipelined()
        if self.write_timer is not None:
            self.write_timer.cancel()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Cancel the open request: a client that shuts down its sending side has gone.

        The connection ends once all that was answered is written out, which may take its time.
        """
        if self._task_handler is not None:
            self._task_handler.cancel()
        if self.transport is not None:
            self.limit_close_time(self.transport)

    def limit_close_time(self, transport: asyncio.Transport) -> None:
        """Abort a closing transport whose client does not read the rest within a bound."""
        waiting = transport.get_write_buffer_size()
        if waiting:
            self._loop.call_later(CLIENT_READ_TIMEOUT_S + waiting / MIN_CLIENT_READ_RATE, transport.abort)

    def force_close(self) -> None:
        """Close once what is buffered has been written."""
        transport = self.transport
        super().force_close()
        if transport is not None:
            self.limit_close_time(transport)

    def pause_writing(self) -> None:
        """Start the time-out for a client that does not read; called by asyncio."""
        super().pause_writing()
        if self.transport is not None:
            waiting = self.transport.get_write_buffer_size()
            self.write_timer = self._loop.call_later(
                CLIENT_READ_TIMEOUT_S + waiting / MIN_CLIENT_READ_RATE, self.transport.abort
            )

    def resume_writing(self) -> None:
        """Stop that time-out; called by asyncio."""
        if self.write_timer is not None:
            self.write_timer.cancel()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Parse the next request and buffer what arrives behind it."""
        if (
            not self.parsed_tail
            and not self.pipelined
            and self._request_count == self.answered
            and (data.find(HEAD_END) == len(data) - len(HEAD_END) >= 0)
        ):
            # The usual case: one complete head on an idle connection.
            self.last_arrival = self._loop.time()
            self.parsed_tail = data[-3:]
            return self._parse(data)
        if not data:
            self._parse(data)  # a body that was paused goes on
        else:
            self._record_arrival(len(data))
        self.pipelined += data
        self.advance()

    def advance(self) -> None:
        """Parse up to the next request's end, if the requests before it are answered."""
        while (
            self.pipelined
            and not self._reading_paused
            and (
                # Where one body's end and the next head came in one piece the next has been read too.
                self.requests_read - self.answered < (1 if self.request_payload.is_eof() else 2)
            )
        ):
            size = self._next_parse_size()
            data = bytes(self.pipelined[:size])
            del self.pipelined[:size]
            self.parsed_tail = (self.parsed_tail + data)[-3:]
            self._consume_arrivals(size)
            self._parse(data)
        self._update_budget()
        self._throttle()

    def discard_pipelined(self) -> None:
        """Discard what was buffered behind the open request."""
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
            if not isinstance(message, _ErrInfo):
                if self.request_payload is not EMPTY_PAYLOAD and (stated := message.headers.get("Content-Length")):
                    self.content_length = int(stated)  # digits alone: the parser has seen to that
            elif not payload.is_eof():
                # The parser forgets the body that it could not read, and its request would wait for the rest.
                payload.set_exception(web.RequestPayloadError(message.message))

    def _record_arrival(self, size: int) -> None:
        now = self._loop.time()
        if self.arrivals and now - self.arrivals[-1][1] < COALESCE_S:
            size, now = size + self.arrivals[-1][0], self.arrivals.pop()[1]
        self.arrivals.append((size, now))

    def _consume_arrivals(self, size: int) -> None:
        while size:
            came, self.last_arrival = self.arrivals.popleft()
            if came > size:
                self.arrivals.appendleft((came - size, self.last_arrival))
            size -= min(size, came)

    def waited_s(self) -> float:
        """Return the seconds since the open request was completely received, when its client's time began."""
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
        """Return how many bytes to parse: up to the body's end, where its length is known, or a head's end."""
        if self.content_length is not None and not self.request_payload.is_eof():
            return min(len(self.pipelined), max(1, self.content_length - self.request_payload.total_bytes))
        return length_to_head_end(self.parsed_tail, self.pipelined)

    def _update_budget(self) -> None:
        self.owner.pipelined_bytes.used += len(self.pipelined) - self.counted_bytes
        self.counted_bytes = len(self.pipelined)

    def _throttle(self) -> None:
        exceeds_limit = len(self.pipelined) > MAX_PIPELINED_EACH
        if len(self.pipelined) > FAIR_PIPELINED_EACH and self.owner.pipelined_bytes.is_exhausted:
            # Clients send one request at a time; those that flood the head are not to end it for the others.
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
        """Check for a close that is hidden behind unread bytes."""
        self.hangup_timer = None
        if self.transport is None or self.transport.is_closing():
            return
        if has_hung_up(self.transport):
            self.transport.abort()
        else:
            self.hangup_timer = self._loop.call_later(CLOSE_POLL_S, self._check_hangup)
