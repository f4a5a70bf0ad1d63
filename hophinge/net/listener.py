"""What every front's server does alike: bounded connections, one request at a time on each, and a careful end."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from hophinge.core.counters import Counters
from hophinge.net.acceptor import BATCH, Acceptor
from hophinge.net.budget import Budget
from hophinge.net.connection import MAX_HEAD, YIELD_S, ClientConnection

__all__ = ["IN", "OUT", "Acceptor", "ClientConnection", "Listener", "Pace", "Server", "origin_form"]

IDLE_S = 2.0  # a connection with no request on it, or with half a head
FIRST_S = 1.2  # the same for a first head: the kernel has held a silent connection for a second already
HEAD_S = 2.5  # for a head, from its first byte
SILENT_S = 0.3  # a connection that has said nothing yet, when connections run out
MAX_BEHIND = 8 * 1024 * 1024  # bytes that all clients together may have sent behind requests that are open
IN, OUT = 0, 1  # ways of bytes, as seen from a head


def origin_form(target: str) -> str:
    """Tell a request target's path and query; a client may write the whole URL, as to a proxy."""
    scheme, mark, rest = target.partition("://")
    if mark and scheme.lower() in ("http", "https"):
        return "/" + rest.partition("/")[2]
    return target


class Server(web.Server):
    """aiohttp's low-level server with these connections."""

    def __init__(self, front: Listener, first_s: float) -> None:
        # A client that closes its connection has gone: its handler is cancelled.
        super().__init__(front.serve, handler_cancellation=True)
        self.front, self.first_s = front, first_s

    def __call__(self) -> RequestHandler:
        """Make the protocol of a new connection."""
        return ClientConnection(
            self,
            self.front,
            loop=self._loop,
            access_log=None,
            lingering_time=0.0,
            keepalive_timeout=self.first_s,
            auto_decompress=False,
            max_line_size=MAX_HEAD // 2,
            max_field_size=MAX_HEAD // 2,
        )


Pace = Callable[[str, str, int, int], Awaitable[None]]  # of a volume and class: a way, and bytes just moved


class Listener:
    """A low-level server that knows which of its connections are busy and how many there may be."""

    def __init__(self, counters: Counters, most: int = 256, first_s: float = FIRST_S, idle_s: float = IDLE_S) -> None:
        self.counters, self.most_connections, self.idle_s = counters, most, idle_s
        self.most_resting = most
        self.head_s = max(first_s, HEAD_S)
        self.behind = Budget(MAX_BEHIND)
        self.closing = False
        self.gone: Callable[[Any], None] | None = None  # told of connections that have ended
        self.busy: set[Any] = set()
        self.resting: dict[Any, float] = {}  # connections that are not busy, and since when; the oldest first
        self.parting: set[Any] = set()  # connections that have been told of their end
        self.server: web.Server = Server(self, first_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request and write its answer."""
        protocol: Any = request.protocol
        self.busy.add(protocol)
        self.resting.pop(protocol, None)
        try:
            response = await self.handle(request)
            if not response.prepared and (self.final(protocol) or not request.content.is_eof()):
                response.force_close()  # what is left of an unread body must not be taken for a request
            try:
                await response.prepare(request)  # written here, so that busy means until the last byte
                await response.write_eof()
                self.wrote(request, response)
            except ConnectionError:
                pass  # the client has gone; aiohttp ends the connection
            return response
        finally:
            self.over(request)
            self.busy.discard(protocol)
            self.rests(protocol)

    def final(self, connection: Any) -> bool:
        """Tell whether an answer is its connection's last at the end: no request has come behind it."""
        return self.closing and not connection.more

    def wrote(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Note that an answer's last byte has been handed over."""

    def over(self, request: web.BaseRequest) -> None:
        """Note that a request has ended, answered or not."""

    def rests(self, connection: Any) -> None:
        """Note that no request is open on a connection from now on."""
        if connection.transport is None:
            return
        self.resting.pop(connection, None)
        self.resting[connection] = asyncio.get_running_loop().time()
        # Clients hold a limited number of connections too. Who asked once and stays would use them up long before
        # the descriptors here, and the rest would find no connection left to ask on.
        # Who has asked again is left alone, as it will once more, and a close could cross that.
        if len(self.resting) > self.most_resting and not self.closing:
            self._yield(1, 1)

    def _yield(self, number: int, most_answered: float = math.inf) -> None:
        """Close what rests longest, of those that were answered so often at most."""
        now = asyncio.get_running_loop().time()
        # One that has had no answer yet may have its first request on the way: closing it would lose that.
        old = (
            connection
            for connection, since in self.resting.items()
            if connection.answered <= most_answered and now - since >= (YIELD_S if connection.answered else SILENT_S)
        )
        for connection in list(itertools.islice(old, number)):
            if connection.retire():
                self.counters.add("connections_yielded")
                self.resting.pop(connection, None)

    def room(self) -> bool:
        """Tell whether one more connection may be taken; where not, the one that rests longest yields."""
        if len(self.server._connections) < self.most_connections:
            return True
        self._yield(max(0, BATCH - len(self.parting)))  # those that part leave their places too
        return False

    def invite(self, request: web.BaseRequest) -> None:
        """Ask for a body that its client holds back until it knows that it is wanted; aiohttp's server does not."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def thin(self, rested_s: float) -> None:
        """Close the connection that rests longest, if it has for so long."""
        now = asyncio.get_running_loop().time()
        connection, since = next(iter(self.resting.items()), (None, now))
        if connection is not None and now - since >= rested_s and connection.retire():
            self.resting.pop(connection, None)

    def close_idle(self) -> None:
        """Close what is between requests, from the end's beginning on; the rest closes with its answer.

        aiohttp's own pre_shutdown stops reading idle connections but leaves them open: a request sent on one would
        wait for ever.
        """
        for connection in list(self.resting):
            if not connection.lingering and not connection.head:
                connection.retire()  # one that is not is answered, and closes with that
