"""The base of all HTTP servers here: bounded connections, one request at a time on each, a graceful end."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hophinge.core.counters import Counters
from hophinge.net.acceptor import ACCEPT_BATCH, Acceptor
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.client_connection import MAX_HEAD_BYTES, MIN_IDLE_S, ClientConnection

__all__ = [
    "INBOUND",
    "OUTBOUND",
    "Acceptor",
    "ClientConnection",
    "Listener",
    "RateLimit",
    "ConnectionFactory",
    "origin_form",
]

IDLE_TIMEOUT_S = 2.0  # a connection with no request on it, or with half a head
FIRST_HEAD_TIMEOUT_S = 1.2  # the same for a first head: the kernel has held a silent connection for a second already
HEAD_TIMEOUT_S = 2.5  # for a head, from its first byte
SILENT_YIELD_S = 0.3  # a connection that has said nothing yet, when connections run out
MAX_PIPELINED_BYTES = 8 * 1024 * 1024  # bytes that all clients together may have sent behind requests that are open
INBOUND, OUTBOUND = 0, 1  # directions of bytes, as seen from a head


def origin_form(target: str) -> str:
    """Return a request target in origin form (RFC 9112, 3.2.1); a client may send the absolute form, as to a proxy."""
    scheme, mark, rest = target.partition("://")
    if mark and scheme.lower() in ("http", "https"):
        return "/" + rest.partition("/")[2]
    return target


class ConnectionFactory(web.Server):
    """aiohttp's low-level server, making ClientConnection objects."""

    def __init__(self, listener: Listener, first_head_timeout_s: float) -> None:
        # A client that closes its connection has gone: its handler is cancelled.
        super().__init__(listener.serve, handler_cancellation=True)
        self.listener = listener
        self.first_head_timeout_s = first_head_timeout_s

    def __call__(self) -> RequestHandler:
        """Return the protocol object of a new connection."""
        return ClientConnection(
            self,
            self.listener,
            loop=self._loop,
            access_log=None,
            lingering_time=0.0,
            keepalive_timeout=self.first_head_timeout_s,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES // 2,
            max_field_size=MAX_HEAD_BYTES // 2,
        )


RateLimit = Callable[[str, str, int, int], Awaitable[None]]  # waits for (volume, class, direction, bytes just moved)


class Listener:
    """A server that tracks which of its connections are busy or idle, and bounds their number."""

    def __init__(
        self,
        counters: Counters,
        max_connections: int = 256,
        first_head_timeout_s: float = FIRST_HEAD_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ) -> None:
        self.counters = counters
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.max_idle = max_connections
        self.head_timeout_s = max(first_head_timeout_s, HEAD_TIMEOUT_S)
        self.pipelined_bytes = ByteBudget(MAX_PIPELINED_BYTES)
        self.is_draining = False
        self.on_connection_closed: Callable[[Any], None] | None = None  # called with each connection that has ended
        self.busy: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, float] = {}  # connections that are not busy, and since when; the oldest first
        self.closing_connections: set[ClientConnection] = set()  # connections whose sending side is shut down
        self.server: web.Server = ConnectionFactory(self, first_head_timeout_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and write its answer."""
        protocol = cast(ClientConnection, request.protocol)
        self.busy.add(protocol)
        self.idle.pop(protocol, None)
        try:
            response = await self.handle(request)
            if not response.prepared and (self.is_final_response(protocol) or not request.content.is_eof()):
                response.force_close()  # what is left of an unread body must not be taken for a request
            try:
                await response.prepare(request)  # written here, so that busy means until the last byte
                await response.write_eof()
                self.response_written(request, response)
            except ConnectionError:
                pass  # the client has gone; aiohttp ends the connection
            return response
        finally:
            self.request_ended(request)
            self.busy.discard(protocol)
            self.mark_idle(protocol)

    def is_final_response(self, connection: ClientConnection) -> bool:
        """Return whether an answer is its connection's last while draining: no request has arrived behind it."""
        return self.is_draining and not connection.has_next_request

    def response_written(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Called when an answer's last byte has been handed over."""

    def request_ended(self, request: web.BaseRequest) -> None:
        """Called when a request has ended, answered or not."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no request is open on a connection; closes the longest idle one beyond the bound."""
        if connection.transport is None:
            return
        self.idle.pop(connection, None)
        self.idle[connection] = asyncio.get_running_loop().time()
        # Clients hold a limited number of connections too. Who asked once and stays would use them up long before
        # the descriptors here, and the rest would find no connection left to ask on.
        # Who has asked again is left alone, as it will once more, and a close could cross that.
        if len(self.idle) > self.max_idle and not self.is_draining:
            self._close_idlest(1, 1)

    def _close_idlest(self, number: int, max_answered: float = math.inf) -> None:
        """Close the connections that have been idle longest, of those with at most so many answers."""
        now = asyncio.get_running_loop().time()
        # One without an answer may have its first request in flight, which a close would lose.
        candidates = (
            connection
            for connection, since in self.idle.items()
            if connection.answered <= max_answered
            and now - since >= (MIN_IDLE_S if connection.answered else SILENT_YIELD_S)
        )
        for connection in list(itertools.islice(candidates, number)):
            if connection.close_if_idle():
                self.counters.add("connections_yielded")
                self.idle.pop(connection, None)

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted; where not, the longest idle one is closed."""
        if len(self.server._connections) < self.max_connections:
            return True
        self._close_idlest(
            max(0, ACCEPT_BATCH - len(self.closing_connections))
        )  # connections that are closing free capacity, too
        return False

    def send_continue(self, request: web.BaseRequest) -> None:
        """Answer `Expect: 100-continue` (RFC 9110, 10.1.1), which aiohttp's low-level server does not."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def close_longest_idle(self, min_idle_s: float) -> None:
        """Close the connection that has been idle longest, if it has been for `min_idle_s`."""
        now = asyncio.get_running_loop().time()
        connection, since = next(iter(self.idle.items()), (None, now))
        if connection is not None and now - since >= min_idle_s and connection.close_if_idle():
            self.idle.pop(connection, None)

    def close_idle(self) -> None:
        """Close the idle connections when draining begins; the others close with their answers.

        aiohttp's own pre_shutdown stops reading idle connections but leaves them open: a request sent on one would
        wait for ever.
        """
        for connection in list(self.idle):
            if not connection.is_lingering and not connection.partial_head_bytes:
                connection.close_if_idle()  # one that is not is answered, and closes with that
