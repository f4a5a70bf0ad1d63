"""One client's connection, on aiohttp's request handler: bounded heads, and an end on which the last answer is read."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections.abc import Callable
from typing import Any, Protocol

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.net.budget import Budget
from hophinge.net.pipeline import Pipeline

YIELD_S = 0.05  # a connection at rest, when connections run out and another asks
LINGER_S = 1.0  # for an error to be read by a client that goes on sending
PART_S = 0.3  # for a client to take note of the end of its connection, and to end it too
DISCARD_S = 0.02  # between reads of what it goes on sending
MAX_HEAD = 16 * 1024


class Owner(Protocol):
    """Whose connections these are: it knows which of them rest."""

    counters: Counters
    behind: Budget
    idle_s: float
    head_s: float
    gone: Callable[[Any], None] | None
    resting: dict[Any, float]
    parting: set[Any]

    def rests(self, connection: Any) -> None:
        """Note that no request is open on a connection from now on."""


def unread(transport: asyncio.BaseTransport) -> bool:
    """Tell whether bytes wait in the kernel: a request that a busy loop has not come to yet."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)) != bytes(4)
    except (AttributeError, OSError, ValueError):  # closed already: it has no descriptor
        return False


class ClientConnection(Pipeline):
    """One client's connection: its heads are bounded, and it ends so that a last answer can be read."""

    def __init__(self, manager: web.Server, front: Owner, **params: Any) -> None:
        super().__init__(manager, front, **params)
        self.front = front
        self.head = 0  # bytes of a head that is not whole yet
        self.lingering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        super().connection_made(transport)
        self._keepalive_timeout = self.front.idle_s  # from the first answer on
        self.front.rests(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Take its end."""
        self.front.resting.pop(self, None)
        self.front.parting.discard(self)
        if self.front.gone is not None:
            self.front.gone(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; what follows a last answer is thrown away, slowly."""
        if self.lingering:
            if self.transport is not None:
                self.transport.pause_reading()
                self._loop.call_later(DISCARD_S, self._read_on)
            return
        super().data_received(data)

    def _parse(self, data: bytes) -> None:
        taken = self.taken
        super()._parse(data)
        if self.taken != taken:
            self.head = 0
        elif taken == self.answered and (self.head or data.strip(b"\r\n")):  # empty lines begin no head
            if not self.head:
                self._begins()
            self.head += len(data)
            if self.head > MAX_HEAD and not self.lingering:
                self.head = 0
                self.drop_behind()
                super()._parse(b"\0")  # no head holds this: the parser ends it, as any malformed one

    def _begins(self) -> None:
        # A head takes its time, longer than a connection may rest; the timer that runs looks at this when it is due.
        self._next_keepalive_close_time = max(self._next_keepalive_close_time, self._loop.time() + self.front.head_s)
        if self.answered:
            self.front.resting.pop(self, None)  # a client's next request: not the one to yield

    def retire(self) -> bool:
        """Close while at rest; False where its next request is here already, which a close would lose."""
        # A request that has been read counts as open only once its handler runs, a turn of the loop later.
        if self.transport is None or self.taken > self.answered or self.behind or unread(self.transport):
            return False
        if self.lingering:
            self._close_now(self.transport)  # it was told of its end before, and its place is wanted
        else:
            self._part()
        return True

    def _part(self) -> None:
        """End the sending and read to the client's own end: a close over unread bytes resets the connection.

        What is read from here on is thrown away. Its client has no answer and knows that it was not taken.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.lingering = True
        self.drop_behind()
        self.front.resting.pop(self, None)
        self.front.parting.add(self)
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        self._loop.call_later(PART_S, self._close_now, transport)

    def _close_now(self, transport: asyncio.Transport) -> None:
        transport.close()
        self.bound(transport)

    def _process_keepalive(self) -> None:
        now = self._loop.time()
        if self.transport is not None and now >= self._next_keepalive_close_time and not self.lingering:
            if unread(self.transport):
                self._next_keepalive_close_time = now + YIELD_S
            elif self._keepalive and not self._force_close and self.taken == self.answered:
                self._keepalive_handle = None
                return self._part()
        super()._process_keepalive()

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def handle_error(
        self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None, message: str | None = None
    ) -> web.StreamResponse:
        """Answer what the parser refuses; aiohttp would write a traceback to the log for each."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self.front.counters.add("requests_unreadable")
        response = web.Response(status=status, text="the request cannot be read\n")
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, and after a last one wait for the client to read it.

        Bytes left unread at a close make the kernel reset the connection, and a reset can destroy the answer.
        """
        done = await super().finish_response(request, resp, start_time)
        self.over(bool(resp.keep_alive) and not self.lingering)
        transport = self.transport
        if not resp.keep_alive and transport is not None and not transport.is_closing():
            sends = request.can_read_body or request.method == "UNKNOWN"
            self.lingering = True
            self.drop_behind()
            if sends:
                self.front.rests(self)  # it may go on for long: the first to yield
            else:
                self.front.resting.pop(self, None)
                self.front.parting.add(self)
            if transport.can_write_eof():
                transport.write_eof()
            transport.resume_reading()
            await asyncio.sleep(LINGER_S if sends else PART_S)  # the client's own end ends it sooner
            self.bound(transport)
        return done
