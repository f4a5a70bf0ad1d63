"""A client's connection on aiohttp's request handler: bounded heads and a graceful close after the last answer."""

from __future__ import annotations

import asyncio
import fcntl
import termios
from collections.abc import Callable
from typing import Any, Protocol

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.pipelined_connection import PipelinedConnection

MIN_IDLE_S = 0.05  # after which an idle connection may be closed for a new one
ERROR_LINGER_S = 1.0  # for an error to be read by a client that goes on sending
CLOSE_LINGER_S = 0.3  # for a client to notice the end of its connection and close it, too
DISCARD_INTERVAL_S = 0.02  # between reads of what it goes on sending
MAX_HEAD_BYTES = 16 * 1024


class ClientConnectionOwner(Protocol):
    """The listener that owns the connections and tracks which of them are idle."""

    counters: Counters
    pipelined_bytes: ByteBudget
    idle_timeout_s: float
    head_timeout_s: float
    on_connection_closed: Callable[[Any], None] | None
    idle: dict[ClientConnection, float]
    closing_connections: set[ClientConnection]

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has no open request."""


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes wait in the kernel: a request that the event loop has not read yet."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)) != bytes(4)
    except (AttributeError, OSError, ValueError):  # closed already: it has no descriptor
        return False


class ClientConnection(PipelinedConnection):
    """A client's connection with bounded heads that closes so that its last answer can be read."""

    def __init__(self, manager: web.Server, owner: ClientConnectionOwner, **params: Any) -> None:
        super().__init__(manager, owner, **params)
        self.owner_listener = owner
        self.partial_head_bytes = 0  # bytes of a head that is not whole yet
        self.is_lingering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection as idle; called by asyncio."""
        super().connection_made(transport)
        self._keepalive_timeout = self.owner_listener.idle_timeout_s  # from the first answer on
        self.owner_listener.mark_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Unregister the connection; called by asyncio."""
        self.owner_listener.idle.pop(self, None)
        self.owner_listener.closing_connections.discard(self)
        if self.owner_listener.on_connection_closed is not None:
            self.owner_listener.on_connection_closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; bytes behind a last answer are discarded at a low rate."""
        if self.is_lingering:
            if self.transport is not None:
                self.transport.pause_reading()
                self._loop.call_later(DISCARD_INTERVAL_S, self._resume_discarding)
            return
        super().data_received(data)

    def _parse(self, data: bytes) -> None:
        taken = self.requests_read
        super()._parse(data)
        if self.requests_read != taken:
            self.partial_head_bytes = 0
        elif taken == self.answered and (self.partial_head_bytes or data.strip(b"\r\n")):  # empty lines begin no head
            if not self.partial_head_bytes:
                self._head_begins()
            self.partial_head_bytes += len(data)
            if self.partial_head_bytes > MAX_HEAD_BYTES and not self.is_lingering:
                self.partial_head_bytes = 0
                self.discard_pipelined()
                super()._parse(b"\0")  # no head holds this: the parser ends it, as any malformed one

    def _head_begins(self) -> None:
        # A head takes its time, longer than a connection may rest; the timer that runs looks at this when it is due.
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, self._loop.time() + self.owner_listener.head_timeout_s
        )
        if self.answered:
            self.owner_listener.idle.pop(self, None)  # its next request has begun: it must not be closed as idle

    def close_if_idle(self) -> bool:
        """Close an idle connection; returns False where its next request has arrived, which a close would lose."""
        # A request that has been read counts as open only once its handler runs, a turn of the loop later.
        if (
            self.transport is None
            or self.requests_read > self.answered
            or self.pipelined
            or has_unread_bytes(self.transport)
        ):
            return False
        if self.is_lingering:
            self._close_now(self.transport)  # it was closed gracefully before, and its capacity is needed
        else:
            self._close_gracefully()
        return True

    def _close_gracefully(self) -> None:
        """Shut down the sending side and read until the client closes: closing over unread bytes resets the connection.

        What is read from here on is thrown away. Its client has no answer and knows that it was not taken.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.is_lingering = True
        self.discard_pipelined()
        self.owner_listener.idle.pop(self, None)
        self.owner_listener.closing_connections.add(self)
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        self._loop.call_later(CLOSE_LINGER_S, self._close_now, transport)

    def _close_now(self, transport: asyncio.Transport) -> None:
        transport.close()
        self.limit_close_time(transport)

    def _process_keepalive(self) -> None:
        now = self._loop.time()
        if self.transport is not None and now >= self._next_keepalive_close_time and not self.is_lingering:
            if has_unread_bytes(self.transport):
                self._next_keepalive_close_time = now + MIN_IDLE_S
            elif self._keepalive and not self._force_close and self.requests_read == self.answered:
                self._keepalive_handle = None
                return self._close_gracefully()
        super()._process_keepalive()

    def _resume_discarding(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def handle_error(
        self, request: web.BaseRequest, status: int = 500, exc: BaseException | None = None, message: str | None = None
    ) -> web.StreamResponse:
        """Answer a request that the parser rejects; aiohttp would log a traceback for each."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self.owner_listener.counters.add("requests_unreadable")
        response = web.Response(status=status, text="the request cannot be read\n")
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; after the last one of a connection wait for the client to read it.

        Bytes left unread at a close make the kernel reset the connection, and a reset can destroy the answer.
        """
        done = await super().finish_response(request, resp, start_time)
        self.request_answered(bool(resp.keep_alive) and not self.is_lingering)
        transport = self.transport
        if not resp.keep_alive and transport is not None and not transport.is_closing():
            may_send_more = request.can_read_body or request.method == "UNKNOWN"
            self.is_lingering = True
            self.discard_pipelined()
            if may_send_more:
                self.owner_listener.mark_idle(self)  # it may go on for long: the first to yield
            else:
                self.owner_listener.idle.pop(self, None)
                self.owner_listener.closing_connections.add(self)
            if transport.can_write_eof():
                transport.write_eof()
            transport.resume_reading()
            await asyncio.sleep(
                ERROR_LINGER_S if may_send_more else CLOSE_LINGER_S
            )  # the client's own end ends it sooner
            self.limit_close_time(transport)
        return done
