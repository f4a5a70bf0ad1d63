"""A connection to a backend: passes one well-formed answer per request to aiohttp and closes on anything else.

aiohttp's client parser is lenient by design, and it keeps bytes that arrive on an idle pooled connection for the next
request. A client must never get an answer meant for another client, so each answer's head is validated and the length
of its body enforced before aiohttp sees them.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any, cast

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from hophinge.net.bounded_reads import BoundedReads
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.chunk_framing import is_framing_too_long
from hophinge.net.payload import MAX_LONG_BODY
from hophinge.net.connection_registry import ConnectionRegistry

MAX_HEAD = 16 * 1024  # bytes of an answer's head, including the interim (1xx) heads before it
STALL_TIMEOUT_S = 0.5  # between bytes of an answer: a backend does its work before it begins to answer
STREAM_STALL_TIMEOUT_S = 5.0  # the same while the answer is being forwarded, when no other attempt can replace it
READ_HIGH_WATER = 128 * 1024  # bytes buffered of one answer; the rest waits in the socket buffers and at the backend
STATUS_LINE_START = b"HTTP/1."
HEAD = re.compile(
    rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\r\n\0]*)?\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n)*)\r\n"
)
CONTENT_LENGTH = re.compile(rb"(?im)^content-length:[ \t]*([^\r\n]*?)[ \t]*\r$")
TRANSFER_ENCODING = re.compile(rb"(?im)^transfer-encoding:[ \t]*([^\r\n]*?)[ \t]*\r$")
CONNECTION_CLOSE = re.compile(rb"(?im)^connection:[ \t]*close[ \t]*\r$")
CHUNKED, UNTIL_CLOSE = -1, -2


class BackendProtocolError(ClientPayloadError):
    """A malformed answer of a backend; the backend may have executed the request."""


def body_length(head: re.Match[bytes]) -> int | None:
    """Return an answer's body length, CHUNKED or UNTIL_CLOSE; None if the head states none (RFC 9112, 6.3)."""
    lengths, codings = CONTENT_LENGTH.findall(head[2]), TRANSFER_ENCODING.findall(head[2])
    if codings:
        return CHUNKED if [coding.lower() for coding in codings] == [b"chunked"] and not lengths else None
    if len(lengths) == 1 and lengths[0].isdigit() and len(lengths[0]) < 10 and int(lengths[0]) <= MAX_LONG_BODY:
        return int(lengths[0])
    if not lengths and head[1] == b"200" and (CONNECTION_CLOSE.search(head[2]) or head[0].startswith(b"HTTP/1.0")):
        return UNTIL_CLOSE  # only if announced: otherwise the length is missing by mistake
    return 0 if not lengths and head[1] != b"200" else None  # an error answer needs no body; its connection is closed


class BackendConnection(ResponseHandler):
    """A connection. Its state is new, idle (in the pool), taken (to send a request), head or body (being read)."""

    def __init__(self, loop: asyncio.AbstractEventLoop, registry: ConnectionRegistry, budget: ByteBudget) -> None:
        super().__init__(loop)
        self.registry = registry
        self.endpoint = ""
        self.budget = budget
        self.buffered_bytes = 0  # received but not read from the payload yet
        self.is_paused = False  # reading from the socket is paused
        self.stall_timeout_s = STALL_TIMEOUT_S
        self.state = "new"
        self.head = bytearray()
        self.body_remaining = 0
        self.framing_bytes = 0
        self.stall_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is in the pool."""
        return self.state == "idle"

    @property
    def parses_framing(self) -> bool:
        """Whether the next bytes are of a header or of chunks."""
        return self.state != "body" or self.body_remaining == CHUNKED

    @property
    def may_read(self) -> bool:
        """Whether neither this connection nor aiohttp has paused reading."""
        return not self.is_paused and not self._reading_paused and not self._buffer_paused

    @property
    def has_unsent(self) -> bool:
        """Whether the write buffer holds bytes: the last request has not been sent completely."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Close the connection and discard unsent bytes: a graceful close would go on sending an abandoned request."""
        if self.transport is not None and self.has_unsent:
            self.transport.abort()
        super().close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection; called by asyncio."""
        super().connection_made(transport)
        tcp = cast(asyncio.Transport, transport)
        tcp.set_protocol(BoundedReads(self, tcp, self._loop))
        host, port = transport.get_extra_info("peername")[:2]
        self.endpoint = f"{host}:{port}"
        self.registry.add(self)

    def become_idle(self) -> None:
        """Mark the connection as idle: the registry may evict it from now on."""
        self.state = "idle"
        if self in self.registry.open:
            self.registry.add(self)

    def set_response_params(self, **params: Any) -> None:
        """Expect an answer; called before a request is written."""
        self.state = "head"
        self.head = bytearray()
        self.framing_bytes = 0
        self.stall_timeout_s = STALL_TIMEOUT_S
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; called by asyncio."""
        if self.state == "head":
            self._receive_head(data)
        elif self.state == "body":
            self._receive_body(data)
        elif data:
            # Bytes after the answer must not be read as the answer to the next request.
            self._should_close = True
            if self.transport is not None:
                self.transport.close()
        if self.state == "idle":
            self._set_stall_timer(False)
            if self in self.registry.open:
                self.registry.add(self)
        elif data:
            self._set_stall_timer(True)
        self.update_flow_control()

    def _receive_head(self, data: bytes) -> None:
        self.head += data
        while self.state == "head" and self.head:
            end = self.head.find(b"\r\n\r\n") + 4
            complete_head = HEAD.fullmatch(self.head, 0, end) if end > 3 else None
            if self.framing_bytes + max(len(self.head) if end < 4 else end, 0) > MAX_HEAD:
                return self._fail("the answer's head is too long")
            if end < 4:
                if not STATUS_LINE_START.startswith(self.head[: len(STATUS_LINE_START)]):
                    self._fail("the answer does not begin with a status line")
                return None
            if complete_head is None:
                return self._fail("the answer's head is malformed")
            rest = bytes(self.head[end:])
            if complete_head[1][:1] == b"1":
                if complete_head[1] == b"101":
                    return self._fail("the backend switched protocols")
                self.framing_bytes += end  # an interim (1xx) answer is skipped
                self.head = bytearray(rest)
                continue
            length = body_length(complete_head)
            if length is None:
                return self._fail("the answer states no valid body length")
            text = bytes(self.head[:end])
            if length == 0 and not CONTENT_LENGTH.search(text):
                self._should_close = True
                text = text[:-2] + b"Content-Length: 0\r\n\r\n"  # without it aiohttp reads until the connection closes
            self.head = bytearray()
            self.body_remaining = length
            self.state = "body"
            super().data_received(text)
            self._receive_body(rest)
        return None

    def _receive_body(self, data: bytes) -> None:
        if self.body_remaining == UNTIL_CLOSE:
            super().data_received(data)
            return
        if self.body_remaining == CHUNKED:
            body = self._payload
            super().data_received(data)
            self.framing_bytes += len(data)
            if self.exception() is not None:
                # aiohttp fails the connection, but not the body being read.
                self._fail("the chunked encoding is malformed")
            elif body is None or body.is_eof():
                self.state = "idle"
            elif is_framing_too_long(self.framing_bytes, body.total_bytes):
                self._fail("the chunk framing is too long")
            return
        expected, surplus = data[: self.body_remaining], data[self.body_remaining :]
        self.body_remaining -= len(expected)
        if surplus:
            self._should_close = True  # this answer is complete, but the connection must not be reused
        if expected:
            super().data_received(expected)
        if not self.body_remaining and self.state == "body":
            self.state = "idle"

    def update_flow_control(self) -> None:
        """Pause or resume reading, by the bytes buffered on this connection and on all connections."""
        payload = self._payload
        buffered = payload._size if payload is not None else 0
        self.budget.used += buffered - self.buffered_bytes
        self.buffered_bytes = buffered
        must_pause = buffered > READ_HIGH_WATER or (buffered > 0 and self.budget.is_exhausted)
        if must_pause == self.is_paused or self.transport is None or self.transport.is_closing():
            return
        self.is_paused = not self.is_paused
        if self.is_paused:
            self.transport.pause_reading()
            self._set_stall_timer(False)  # the backend cannot send while reading is paused
        else:
            self.transport.resume_reading()
            self._set_stall_timer(self.state != "idle")

    def allow_slow_stream(self) -> None:
        """Use the longer stall time-out of an answer that is being forwarded."""
        self.stall_timeout_s = STREAM_STALL_TIMEOUT_S
        self._set_stall_timer(self.state != "idle" and not self.is_paused)

    def _set_stall_timer(self, active: bool) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if active:
            self.stall_timer = self._loop.call_later(self.stall_timeout_s, self._fail, "the answer has stalled")

    def _fail(self, reason: str) -> None:
        self.state = "idle"
        self.registry.cut_off_log.record(self._loop.time(), self.endpoint, reason)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(BackendProtocolError(reason))
        self.set_exception(BackendProtocolError(reason))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Finish the answer, if one is being read, and unregister; called by asyncio."""
        if (
            self.state == "body"
            and self.body_remaining == UNTIL_CLOSE
            and exc is not None
            and self._payload is not None
        ):
            # Only a clean close ends a body without a stated length.
            self._payload.set_exception(BackendProtocolError("the connection was lost before the answer was complete"))
        self.state = "idle"
        self._set_stall_timer(False)
        self.budget.used -= self.buffered_bytes
        self.buffered_bytes = 0
        self.registry.open.pop(self, None)
        super().connection_lost(exc)
