"""One connection to a backend: passes one well-formed answer per request to aiohttp and closes on anything else.

aiohttp's client parser is made to be lenient, and what reaches a connection that waits in the pool it keeps for the
next request. Here a client must never get what was made for another, so each answer's head is checked and its body
counted before aiohttp sees them.
"""

from __future__ import annotations

import asyncio
import re
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from hophinge.net.byte_budget import ByteBudget
from hophinge.net.payload import MAX_LONG_BODY
from hophinge.net.connection_registry import ConnectionRegistry

MAX_HEAD = 16 * 1024  # of an answer, the 1xx heads in front of it among it
STALL_TIMEOUT_S = 0.5  # between bytes of an answer: a backend works before it answers, not while it does
STREAM_STALL_TIMEOUT_S = 5.0  # the same once the answer is being forwarded: no other attempt could replace it
READ_HIGH_WATER = 128 * 1024  # bytes buffered of one answer; the rest waits in the kernel, then at the backend
MAX_CHUNK_FRAMING = 512 * 1024  # of a chunked body beyond as much as the body itself: 64 KiB byte by byte are 384 KiB
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
    """A malformed answer of a backend; its request may have run."""


def body_length(head: re.Match[bytes]) -> int | None:
    """Return an answer's body length, CHUNKED or UNTIL_CLOSE; None where its head states none (RFC 9112, 6.3)."""
    lengths, codings = CONTENT_LENGTH.findall(head[2]), TRANSFER_ENCODING.findall(head[2])
    if codings:
        return CHUNKED if [one.lower() for one in codings] == [b"chunked"] and not lengths else None
    if len(lengths) == 1 and lengths[0].isdigit() and len(lengths[0]) < 10 and int(lengths[0]) <= MAX_LONG_BODY:
        return int(lengths[0])
    if not lengths and head[1] == b"200" and (CONNECTION_CLOSE.search(head[2]) or head[0].startswith(b"HTTP/1.0")):
        return UNTIL_CLOSE  # announced; a head that merely lost its length does not say so
    return 0 if not lengths and head[1] != b"200" else None  # a refusal needs no body; its connection ends


class BackendConnection(ResponseHandler):
    """A connection in one of the states new, idle (in the pool), taken (a request is to be sent), head or body."""

    def __init__(self, loop: asyncio.AbstractEventLoop, registry: ConnectionRegistry, budget: ByteBudget) -> None:
        super().__init__(loop)
        self.registry = registry
        self.endpoint = ""
        self.budget = budget
        # bytes not yet read; reading stands still
        self.buffered_bytes = 0
        self.is_paused = False
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
    def has_unsent(self) -> bool:
        """Whether written bytes still wait here: the last request has not completely gone out."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """Close the connection and drop unsent bytes: a graceful close would go on sending a request that is over."""
        if self.transport is not None and self.has_unsent:
            self.transport.abort()
        super().close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection; called by asyncio."""
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self.endpoint = f"{host}:{port}"
        self.registry.add(self)

    def become_idle(self) -> None:
        """Become idle: the registry may evict it from now on."""
        self.state = "idle"
        if self in self.registry.open:
            self.registry.add(self)

    def set_response_params(self, **params: Any) -> None:
        """Expect an answer; called by aiohttp before a request is written."""
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
            # Bytes beyond the answer must not be read as the next one.
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
                return self._fail("a head that is too long")
            if end < 4:
                if not STATUS_LINE_START.startswith(self.head[: len(STATUS_LINE_START)]):
                    self._fail("no head")
                return None
            if complete_head is None:
                return self._fail("a malformed head")
            rest = bytes(self.head[end:])
            if complete_head[1][:1] == b"1":
                if complete_head[1] == b"101":
                    return self._fail("a change of protocol")
                self.framing_bytes += end  # an interim (1xx) answer is skipped
                self.head = bytearray(rest)
                continue
            length = body_length(complete_head)
            if length is None:
                return self._fail("no sound length")
            text = bytes(self.head[:end])
            if length == 0 and not CONTENT_LENGTH.search(text):
                self._should_close = True
                text = text[:-2] + b"Content-Length: 0\r\n\r\n"  # else aiohttp waits for the connection's end
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
                self._fail("malformed chunks")  # aiohttp sets the error on the connection, not on the body being read
            elif body is None or body.is_eof():
                self.state = "idle"
            elif self.framing_bytes > MAX_CHUNK_FRAMING + 2 * body.total_bytes:
                self._fail("more framing than body")  # endless extensions, or a flood of the smallest chunks
            return
        expected, surplus = data[: self.body_remaining], data[self.body_remaining :]
        self.body_remaining -= len(expected)
        if surplus:
            self._should_close = True  # surplus bytes: this answer is complete, the connection is not reused
        if expected:
            super().data_received(expected)
        if not self.body_remaining and self.state == "body":
            self.state = "idle"

    def update_flow_control(self) -> None:
        """Pause or resume reading by the bytes buffered here and over all connections."""
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
            self._set_stall_timer(False)  # the backend is not to blame while nobody reads
        else:
            self.transport.resume_reading()
            self._set_stall_timer(self.state != "idle")

    def allow_slow_stream(self) -> None:
        """Allow the longer stall time-out of an answer that is being forwarded."""
        self.stall_timeout_s = STREAM_STALL_TIMEOUT_S
        self._set_stall_timer(self.state != "idle" and not self.is_paused)

    def _set_stall_timer(self, active: bool) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if active:
            self.stall_timer = self._loop.call_later(self.stall_timeout_s, self._fail, "an answer that stands still")

    def _fail(self, reason: str) -> None:
        self.state = "idle"
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(BackendProtocolError(reason))
        self.set_exception(BackendProtocolError(reason))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Finish the answer, if one is open, and unregister; called by asyncio."""
        if (
            self.state == "body"
            and self.body_remaining == UNTIL_CLOSE
            and exc is not None
            and self._payload is not None
        ):
            self._payload.set_exception(
                BackendProtocolError("an answer that broke off")
            )  # only a clean close completes it
        self.state = "idle"
        self._set_stall_timer(False)
        self.budget.used -= self.buffered_bytes
        self.buffered_bytes = 0
        self.registry.open.pop(self, None)
        super().connection_lost(exc)
