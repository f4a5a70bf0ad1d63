"""What every front's server does alike: one request at a time on a connection, and a careful end."""

from __future__ import annotations

from typing import Any

from aiohttp import web

LINGER_S = 0.5      # for the rest of a body that is not wanted, before its connection closes


class Listener:
    """A low-level server that knows which of its connections are busy."""

    def __init__(self) -> None:
        self.closing = False
        self.busy: set[Any] = set()
        # A client that closes its connection has gone: its handler is cancelled.
        self.server = web.Server(self._handle, handler_cancellation=True, access_log=None, lingering_time=LINGER_S)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        self.busy.add(protocol)
        try:
            response = await self.handle(request)
            if self.closing and not response.prepared:
                response.force_close()
            try:
                await response.prepare(request)     # written here, so that busy means until the last byte
                await response.write_eof()
            except ConnectionError:
                pass        # the client has gone; aiohttp ends the connection
            return response
        finally:
            self.busy.discard(protocol)

    def invite(self, request: web.BaseRequest) -> None:
        """Ask for a body that its client holds back until it knows that it is wanted; aiohttp's server does not."""
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def close_idle(self) -> None:
        """Close what is between requests, from the end's beginning on; the rest closes with its answer.

        aiohttp's own pre_shutdown stops reading idle connections but leaves them open: a request sent on one would
        wait for ever.
        """
        for connection in self.server.connections:
            if connection not in self.busy and connection.transport is not None:
                connection.transport.close()
