"""One connection to a brick: hands aiohttp a single sound answer to each request, and ends at whatever else comes.

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

from hophinge.net.budget import Budget
from hophinge.net.payload import MAX_LONG
from hophinge.net.roll import Roll

MAX_HEAD = 16 * 1024  # of an answer, the 1xx heads in front of it among it
STALL_S = 0.5  # an answer that has begun comes on: a brick works before it answers, not within
STREAM_STALL_S = 5.0  # the same once it is passed on: nothing else could be done with its request
HIGH = 128 * 1024  # held of one answer; the rest waits in the kernel, and then at the brick
MAX_FRAMING = 512 * 1024  # of a chunked body beyond as much as the body itself: 64 KiB byte by byte are 384 KiB
START = b"HTTP/1."
HEAD = re.compile(
    rb"HTTP/1\.[01] ([1-5][0-9]{2})(?: [^\r\n\0]*)?\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n)*)\r\n"
)
LENGTH = re.compile(rb"(?im)^content-length:[ \t]*([^\r\n]*?)[ \t]*\r$")
CODING = re.compile(rb"(?im)^transfer-encoding:[ \t]*([^\r\n]*?)[ \t]*\r$")
CLOSE = re.compile(rb"(?im)^connection:[ \t]*close[ \t]*\r$")
CHUNKED, UNTIL_CLOSE = -1, -2


class SpoiltError(ClientPayloadError):
    """An answer that is not one; its request may have run."""


def length(head: re.Match[bytes]) -> int | None:
    """Tell how long an answer's body is, CHUNKED, UNTIL_CLOSE, or None where its head does not say so soundly."""
    lengths, codings = LENGTH.findall(head[2]), CODING.findall(head[2])
    if codings:
        return CHUNKED if [one.lower() for one in codings] == [b"chunked"] and not lengths else None
    if len(lengths) == 1 and lengths[0].isdigit() and len(lengths[0]) < 10 and int(lengths[0]) <= MAX_LONG:
        return int(lengths[0])
    if not lengths and head[1] == b"200" and (CLOSE.search(head[2]) or head[0].startswith(b"HTTP/1.0")):
        return UNTIL_CLOSE  # announced; a head that merely lost its length does not say so
    return 0 if not lengths and head[1] != b"200" else None  # a refusal needs no body; its connection ends


class BackendConnection(ResponseHandler):
    """States: new, idle (nobody uses it), taken (a request is to go), head, body; `left`: what the body still lacks."""

    def __init__(self, loop: asyncio.AbstractEventLoop, roll: Roll, budget: Budget) -> None:
        super().__init__(loop)
        self.roll, self.endpoint, self.budget = roll, "", budget
        self.held, self.waits, self.stall_s = 0, False, STALL_S  # bytes not yet read; reading stands still
        self.state, self.head, self.left, self.passed = "new", bytearray(), 0, 0
        self.stall: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether it waits in the pool."""
        return self.state == "idle"

    @property
    def unsent(self) -> bool:
        """Whether bytes written wait here for the kernel to take them: the last request is not whole at its brick."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close(self) -> None:
        """End it. What is unsent stays so: a close would go on sending, and its request is over."""
        if self.transport is not None and self.unsent:
            self.transport.abort()
        super().close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self.endpoint = f"{host}:{port}"
        self.roll.add(self)

    def rest(self) -> None:
        """Wait in the pool, as one that may go when there are too many."""
        self.state = "idle"
        if self in self.roll.open:
            self.roll.add(self)

    def set_response_params(self, **params: Any) -> None:
        """Await an answer; called by aiohttp as a request is about to be written."""
        self.state, self.head, self.passed, self.stall_s = "head", bytearray(), 0, STALL_S
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes off the network."""
        if self.state == "head":
            self._take_head(data)
        elif self.state == "body":
            self._take_body(data)
        elif data:
            # More than the answer was: it must not be taken for the next one.
            self._should_close = True
            if self.transport is not None:
                self.transport.close()
        if self.state == "idle":
            self._stalls(False)
            if self in self.roll.open:
                self.roll.add(self)
        elif data:
            self._stalls(True)
        self.weigh()

    def _take_head(self, data: bytes) -> None:
        self.head += data
        while self.state == "head" and self.head:
            end = self.head.find(b"\r\n\r\n") + 4
            whole = HEAD.fullmatch(self.head, 0, end) if end > 3 else None
            if self.passed + max(len(self.head) if end < 4 else end, 0) > MAX_HEAD:
                return self._spoil("a head that is too long")
            if end < 4:
                if not START.startswith(self.head[: len(START)]):
                    self._spoil("no head")
                return None
            if whole is None:
                return self._spoil("a malformed head")
            rest = bytes(self.head[end:])
            if whole[1][:1] == b"1":
                if whole[1] == b"101":
                    return self._spoil("a change of protocol")
                self.passed += end  # an interim answer in front is passed over
                self.head = bytearray(rest)
                continue
            found = length(whole)
            if found is None:
                return self._spoil("no sound length")
            text = bytes(self.head[:end])
            if found == 0 and not LENGTH.search(text):
                self._should_close = True
                text = text[:-2] + b"Content-Length: 0\r\n\r\n"  # else aiohttp waits for the connection's end
            self.head, self.left, self.state = bytearray(), found, "body"
            super().data_received(text)
            self._take_body(rest)
        return None

    def _take_body(self, data: bytes) -> None:
        if self.left == UNTIL_CLOSE:
            super().data_received(data)
            return
        if self.left == CHUNKED:
            body = self._payload
            super().data_received(data)
            self.passed += len(data)
            if self.exception() is not None:
                self._spoil("malformed chunks")  # aiohttp tells the connection, not the body that is being read
            elif body is None or body.is_eof():
                self.state = "idle"
            elif self.passed > MAX_FRAMING + 2 * body.total_bytes:
                self._spoil("more framing than body")  # endless extensions, or a flood of the smallest chunks
            return
        own, rest = data[: self.left], data[self.left :]
        self.left -= len(own)
        if rest:
            self._should_close = True  # a second copy or noise: this answer is whole, the connection is done
        if own:
            super().data_received(own)
        if not self.left and self.state == "body":
            self.state = "idle"

    def weigh(self) -> None:
        """Look at what is held, after bytes came or were read: with too much, reading stands still."""
        payload = self._payload
        held = payload._size if payload is not None else 0
        self.budget.held += held - self.held
        self.held = held
        waits = held > HIGH or (held > 0 and self.budget.full)
        if waits == self.waits or self.transport is None or self.transport.is_closing():
            return
        self.waits = not self.waits
        if self.waits:
            self.transport.pause_reading()
            self._stalls(False)  # the brick is not to blame for what nobody takes
        else:
            self.transport.resume_reading()
            self._stalls(self.state != "idle")

    def stream(self) -> None:
        """Note that its answer is passed on from now on."""
        self.stall_s = STREAM_STALL_S
        self._stalls(self.state != "idle" and not self.waits)

    def _stalls(self, on: bool) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        if on:
            self.stall = self._loop.call_later(self.stall_s, self._spoil, "an answer that stands still")

    def _spoil(self, why: str) -> None:
        self.state = "idle"
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(SpoiltError(why))
        self.set_exception(SpoiltError(why))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Take the connection's end."""
        if self.state == "body" and self.left == UNTIL_CLOSE and exc is not None and self._payload is not None:
            self._payload.set_exception(SpoiltError("an answer that broke off"))  # only a clean close makes it whole
        self.state = "idle"
        self._stalls(False)
        self.budget.held -= self.held
        self.held = 0
        self.roll.open.pop(self, None)
        super().connection_lost(exc)
