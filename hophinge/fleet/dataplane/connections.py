"""Connections to one instance: how long they rest, and which of them may carry another request."""

from __future__ import annotations

import asyncio

import httpcore

from hophinge.fleet.forwarding.headers import Fields, resting_time

MOST_CONNECTIONS = 48       # of one data plane to one instance
MOST_RESTING = 16
RESTING_S = 8.0             # until an instance tells how long it keeps resting connections, in seconds
RESTING_PART = 0.8          # of that time after which a connection is not used again: the close may be on its way
FORGOTTEN_PART = 0.5        # of the rest after which a connection turned out to be dead: so long may others rest then
CONNECTION = "instance-connection"      # the extension of a response that tells on which connection it came
BROKEN = (httpcore.NetworkError, httpcore.RemoteProtocolError)


class InstanceConnection(httpcore.AsyncHTTPConnection):
    """A connection that is used again only where nothing speaks against it.

    Bytes that have come behind a whole answer belong to no request. Those that still wait in the socket the library
    finds itself; those that its parser has read and not used, it would take for the next request's answer.
    """

    def __init__(self, pool: InstancePool, origin: httpcore.Origin) -> None:
        super().__init__(origin=origin, retries=0)
        self.pool = pool
        self.rests_since: float | None = None

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request; one that finds the connection dead tells how long connections may rest."""
        rested, self.rests_since = self.rested_s(), None
        try:
            response = await super().handle_async_request(request)
        except BROKEN:
            if rested > 0:
                self.pool.forgotten(rested)
            raise
        response.extensions[CONNECTION] = self
        return response

    def released(self) -> None:
        """Note that an answer has come to its end."""
        self.rests_since = asyncio.get_running_loop().time()

    def rested_s(self) -> float:
        """Tell for how long it has rested, in seconds."""
        return 0.0 if self.rests_since is None else asyncio.get_running_loop().time() - self.rests_since

    def _unfit(self) -> bool:
        return self.rested_s() > self.pool.resting_s or self._has_surplus()

    def _has_surplus(self) -> bool:
        connection = self._connection
        if not isinstance(connection, httpcore.AsyncHTTP11Connection) or not connection.is_idle():
            return False
        surplus, _ = connection._h11_state.trailing_data
        return bool(surplus)

    def is_available(self) -> bool:
        """Tell whether a request may be given to it."""
        return super().is_available() and not self._unfit()

    def has_expired(self) -> bool:
        """Tell whether it is to be closed."""
        return super().has_expired() or (self.is_idle() and self._unfit())


class InstancePool(httpcore.AsyncConnectionPool):
    """The connections to one instance."""

    def __init__(self) -> None:
        super().__init__(max_connections=MOST_CONNECTIONS, max_keepalive_connections=MOST_RESTING, retries=0)
        self.resting_s = RESTING_S
        self.longest_s = float("inf")       # learned from connections that had died at rest

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Open a connection."""
        return InstanceConnection(self, origin)

    def answered(self, fields: Fields) -> None:
        """Heed the time that an answer's `Keep-Alive` tells."""
        told = resting_time(fields)
        if told is not None:
            self.resting_s = min(RESTING_PART * told, self.longest_s)

    def forgotten(self, rested_s: float) -> None:
        """A connection that had rested for so long was dead: the instance had dropped it without a word."""
        self.longest_s = min(self.longest_s, FORGOTTEN_PART * rested_s)
        self.resting_s = min(self.resting_s, self.longest_s)
