"""A client's connection, on aiohttp's request handler: bounds the size of heads and closes gracefully."""

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

MIN_IDLE_S = 0.05  # time after which an idle connection may be closed to make room for a new one
ERROR_LINGER_S = 1.0  # time for a client that is still sending to read an error answer
CLOSE_LINGER_S = 0.3  # time for a client to notice that the connection was closed and to close its side
DISCARD_INTERVAL_S = 0.02  # between reads that discard what a client still sends
MAX_HEAD_BYTES = 16 * 1024


class ClientConnectionOwner(Protocol):
    """The listener that owns the connections and records which of them are idle."""

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
    """Return whether the socket has unread bytes: a request that the event loop has not read yet."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)) != bytes(4)
    except (AttributeError, OSError, ValueError):  # already closed: there is no file descriptor
        return False


class ClientConnection(PipelinedConnection):
    """A client's connection: bounds the size of heads, and closes so that the client can read the last answer."""

    def __init__(self, manager: web.Server, owner: ClientConnectionOwner, **params: Any) -> None:
        super().__init__(manager, owner, **params)
        self.owner_listener = owner
        self.partial_head_bytes = 0  # bytes received of an incomplete head
        self.empty_line_bytes = 0  # received before a head
        self.is_lingering = False

    @property
    def may_read(self) -> bool:
        """Whether nothing has paused reading; what is discarded is read at a low rate."""
        return super().may_read and not self.is_lingering

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection as idle; called by asyncio."""
        super().connection_made(transport)
        self._keepalive_timeout = self.owner_listener.idle_timeout_s  # takes effect after the first answer
        self.owner_listener.mark_idle(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Unregister the connection; called by asyncio."""
        self.owner_listener.idle.pop(self, None)
        self.owner_listener.closing_connections.discard(self)
        if self.owner_listener.on_connection_closed is not None:
            self.owner_listener.on_connection_closed(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser; bytes received after the last answer are discarded at a low rate."""
        if self.is_lingering:
            if self.transport is not None:
                self.transport.pause_reading()
                self._loop.call_later(DISCARD_INTERVAL_S, self._resume_discarding)
            return
        super().data_received(data)

    def _parse(self, data: bytes) -> None:
        requests_before = self.requests_read
        super()._parse(data)
        if self.requests_read != requests_before:
            self.partial_head_bytes = self.empty_line_bytes = 0
        elif requests_before == self.answered:
            self._count_head_bytes(data)

    def _count_head_bytes(self, data: bytes) -> None:
        """Bound the size of a head, and of the empty lines before it, which are ignored."""
        if not self.partial_head_bytes and not data.strip(b"\r\n"):
            self.empty_line_bytes += len(data)
        else:
            if not self.partial_head_bytes:
                self._begin_head()
            self.partial_head_bytes += len(data)
        if max(self.partial_head_bytes, self.empty_line_bytes) > MAX_HEAD_BYTES and not self.is_lingering:
            self.partial_head_bytes = self.empty_line_bytes = 0
            self.discard_pipelined()
            super()._parse(b"X\0")  # not allowed in a head: the parser rejects it as malformed

    def _begin_head(self) -> None:
        # A head may take longer than a connection may be idle; the running keep-alive timer checks this when it fires.
        self._next_keepalive_close_time = max(
            self._next_keepalive_close_time, self._loop.time() + self.owner_listener.head_timeout_s
        )
        if self.answered:
            self.owner_listener.idle.pop(self, None)  # its next request has begun, so it is not idle any more

    def close_if_idle(self) -> bool:
        """Close an idle connection; returns False if its next request has arrived, which a close would lose."""
        # A request that has been read becomes busy only when its handler runs, in the next event-loop iteration.
        if (
            self.transport is None
            or self.requests_read > self.answered
            or self.pipelined
            or has_unread_bytes(self.transport)
        ):
            return False
        if self.is_lingering:
            self._close_now(self.transport)  # its graceful close has begun before, and the capacity is needed now
        else:
            self._close_gracefully()
        return True

    def _close_gracefully(self) -> None:
        """Shut down the sending side and read until the client closes: closing with unread bytes sends a reset.

        What is read from now on is discarded. A client that sent a request gets no answer, and so knows that the
        request was not accepted.
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
        """Answer a request that the parser rejected; aiohttp would log a traceback for each."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        self.owner_listener.counters.add("requests_unreadable")
        response = web.Response(status=status, text="the request is malformed\n")
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; after the connection's last answer, wait for the client to read it.

        If received bytes are unread at a close, the kernel resets the connection, and a reset can discard the answer
        before the client has read it.
        """
        done = await super().finish_response(request, resp, start_time)
        self.request_answered(bool(resp.keep_alive) and not self.is_lingering)
        transport = self.transport
        if not resp.keep_alive and transport is not None and not transport.is_closing():
            may_send_more = request.can_read_body or request.method == "UNKNOWN"
            self.is_lingering = True
            self.discard_pipelined()
            if may_send_more:
                self.owner_listener.mark_idle(self)  # it may send for long: it may be closed when capacity is needed
            else:
                self.owner_listener.idle.pop(self, None)
                self.owner_listener.closing_connections.add(self)
            if transport.can_write_eof():
                transport.write_eof()
            transport.resume_reading()
            # Cancelled when the client closes before that.
            await asyncio.sleep(ERROR_LINGER_S if may_send_more else CLOSE_LINGER_S)
            self.limit_close_time(transport)
        return done
