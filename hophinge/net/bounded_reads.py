"""Bounds what one connection receives in an iteration of the event loop while the framing of its bytes is parsed.

Parsing takes time by the number of chunks, not by bytes: what the event loop reads at once, and reads again while more
is there, may take seconds in chunks of one byte. `BoundedReads` stands between a transport and such a connection: it
offers a short buffer, and where that is filled it reads on in the next iteration. The more lines a buffer has had, the
shorter is the next one.
"""

from __future__ import annotations

import asyncio
import threading
from typing import Protocol, cast

READ_BYTES = 64 << 10  # of a body whose length is known, at once
FRAMED_READ_BYTES = 4 << 10  # of a header or of chunks, in one iteration
MIN_FRAMED_READ_BYTES = 256  # of these, where they have many lines
MAX_LINES = 128  # in a buffer; if there are more, the next one is shorter


class _ReadBuffer(threading.local):
    """The buffer of all connections of a thread's event loop, which fills it and passes it on without a break."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES))


_buffer = _ReadBuffer()


class Receiver(Protocol):
    """The connection that the received bytes are for."""

    @property
    def parses_framing(self) -> bool:
        """Whether the next bytes are of a header or of chunks."""

    @property
    def may_read(self) -> bool:
        """Whether reading is not paused by the connection itself."""

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""

    def eof_received(self) -> bool | None:
        """Process the end of what the peer sends."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection."""

    def pause_writing(self) -> None:
        """Pause writing."""

    def resume_writing(self) -> None:
        """Resume writing."""


class BoundedReads(asyncio.BufferedProtocol):
    """The protocol of a transport, in front of the connection that its bytes are for."""

    def __init__(self, receiver: Receiver, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop) -> None:
        self._receiver = receiver
        self._transport = transport
        self._loop = loop
        self._is_framed = True  # the bytes for which a buffer was offered
        self._offered_bytes = 0
        self._framed_bytes = FRAMED_READ_BYTES

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes; called by the event loop."""
        self._is_framed = self._receiver.parses_framing
        self._offered_bytes = self._framed_bytes if self._is_framed else READ_BYTES
        return cast(bytearray, _buffer.view[: self._offered_bytes])

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes that have been read; called by the event loop."""
        data = bytes(_buffer.view[:nbytes])
        must_wait = self._is_framed and nbytes == self._offered_bytes
        if self._is_framed:
            self._adapt(data)
        self._receiver.data_received(data)
        if must_wait and not self._transport.is_closing():
            self._transport.pause_reading()
            self._loop.call_soon(self._read_on)

    def _adapt(self, data: bytes) -> None:
        """Halve the next buffer if this one had too many lines, else double it."""
        if data.count(b"\n") > MAX_LINES:
            self._framed_bytes = max(MIN_FRAMED_READ_BYTES, self._framed_bytes // 2)
        else:
            self._framed_bytes = min(FRAMED_READ_BYTES, self._framed_bytes * 2)

    def eof_received(self) -> bool | None:
        """Process the end of what the peer sends; called by the event loop."""
        return self._receiver.eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection; called by the event loop."""
        self._receiver.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pause writing; called by the event loop."""
        self._receiver.pause_writing()

    def resume_writing(self) -> None:
        """Resume writing; called by the event loop."""
        self._receiver.resume_writing()

    def _read_on(self) -> None:
        if self._receiver.may_read and not self._transport.is_closing():
            self._transport.resume_reading()
