"""The base class of the HTTP servers: bounds the connections, serves one request at a time on each, and drains."""

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

IDLE_TIMEOUT_S = 2.0  # for a connection without an open request
FIRST_HEAD_TIMEOUT_S = 1.2  # for the first head; the kernel may have deferred the accept by a second before that
HEAD_TIMEOUT_S = 2.5  # for receiving a head, from its first byte
SILENT_YIELD_S = 0.3  # time after which a connection without a request yet may be closed for a new one
MAX_PIPELINED_BYTES = 8 * 1024 * 1024  # buffered bytes of all clients together that arrived behind open requests
INBOUND, OUTBOUND = 0, 1  # directions of bytes, as seen by the head


def origin_form(target: str) -> str:
    """Return a request target in origin form (RFC 9112, 3.2.1); a client may send the absolute form, as to a proxy."""
    scheme, separator, rest = target.partition("://")
    if separator and scheme.lower() in ("http", "https"):
        return "/" + rest.partition("/")[2]
    return target


class ConnectionFactory(web.Server):
    """aiohttp's low-level server, making ClientConnection objects."""

    def __init__(self, listener: Listener, first_head_timeout_s: float) -> None:
        # The handler is cancelled when the client closes its connection.
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


# Called with the volume, the class, the direction and a number of bytes; waits to keep to the rate.
RateLimit = Callable[[str, str, int, int], Awaitable[None]]


class Listener:
    """A server that records which of its connections are busy or idle, and bounds their number."""

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
        # The loop time at which each idle connection became idle, the longest idle first.
        self.idle: dict[ClientConnection, float] = {}
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
                response.force_close()  # the remainder of an unread body must not be parsed as a request
            try:
                await response.prepare(request)  # written here, so that the connection is busy until the last byte
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
        """Return whether the next answer is the last: while draining, if no further request has arrived."""
        return self.is_draining and not connection.has_next_request

    def response_written(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Called when an answer's last byte has been handed to the transport."""

    def request_ended(self, request: web.BaseRequest) -> None:
        """Called when a request has ended, answered or not."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no request is open on a connection; closes the longest idle one above the limit."""
        if connection.transport is None:
            return
        self.idle.pop(connection, None)
        self.idle[connection] = asyncio.get_running_loop().time()
        # Clients have a limited number of connections, too. Connections that carried one request and stay open would
        # use them up long before the file descriptors here, and leave none for further requests. A connection that has
        # carried several requests is kept, as it is likely to carry another, which could cross the close.
        if len(self.idle) > self.max_idle and not self.is_draining:
            self._close_idlest(1, 1)

    def _close_idlest(self, number: int, max_answered: float = math.inf) -> None:
        """Close up to `number` of the longest idle connections that have carried at most `max_answered` answers."""
        now = asyncio.get_running_loop().time()
        # On a connection without an answer the first request may be in flight; a close would lose it.
        candidates = (
            connection
            for connection, idle_since in self.idle.items()
            if connection.answered <= max_answered
            and now - idle_since >= (MIN_IDLE_S if connection.answered else SILENT_YIELD_S)
        )
        for connection in list(itertools.islice(candidates, number)):
            if connection.close_if_idle():
                self.counters.add("connections_yielded")
                self.idle.pop(connection, None)

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted; if not, the longest idle ones are closed."""
        if len(self.server._connections) < self.max_connections:
            return True
        # Connections that are closing already will free capacity, too.
        self._close_idlest(max(0, ACCEPT_BATCH - len(self.closing_connections)))
        return False

    def send_continue(self, request: web.BaseRequest) -> None:
        """Answer `Expect: 100-continue` (RFC 9110, 10.1.1), which aiohttp's low-level server does not."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def close_longest_idle(self, min_idle_s: float) -> None:
        """Close the connection that has been idle longest, if it has been idle for `min_idle_s` seconds."""
        now = asyncio.get_running_loop().time()
        connection, idle_since = next(iter(self.idle.items()), (None, now))
        if connection is not None and now - idle_since >= min_idle_s and connection.close_if_idle():
            self.idle.pop(connection, None)

    def close_idle(self) -> None:
        """Close the idle connections when draining begins; busy ones are closed with their last answer.

        aiohttp's own pre_shutdown stops reading from idle connections but leaves them open, so that a request sent on
        one would wait for ever.
        """
        for connection in list(self.idle):
            if not connection.is_lingering and not connection.partial_head_bytes:
                connection.close_if_idle()  # if False, a request has arrived; its answer closes the connection
