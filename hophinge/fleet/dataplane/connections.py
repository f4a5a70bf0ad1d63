"""Connections to one instance: how long they rest, which of them may carry another request, and when they close."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol, cast

import httpcore

from hophinge.fleet.forwarding.claims import Claims
from hophinge.fleet.forwarding.headers import Fields, resting_time

MAX_CONNECTIONS = 48  # of one data plane to one instance
MAX_RESTING = 16
RESTING_S = 8.0  # until an instance tells how long it keeps resting connections, in seconds
RESTING_PART = 0.8  # of that time after which a connection is not used again: the close may be on its way
FORGOTTEN_PART = 0.5  # of the rest after which a connection turned out to be dead: so long may others rest then
BROKEN = (httpcore.NetworkError, httpcore.RemoteProtocolError)


class InstanceEndedError(httpcore.ConnectError):
    """The instance has unregistered: nothing was sent, and the request goes elsewhere."""


class AnswerBytes(Protocol):
    """What the library gives as an answer's bytes."""

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Tell the bytes as they come."""

    async def aclose(self) -> None:
        """End the answer."""


class ClaimedAnswer:
    """An answer's bytes; its connection is released with their end, before the pool gives it to another request."""

    def __init__(self, answer: AnswerBytes, connection: InstanceConnection) -> None:
        self.answer, self.connection = answer, connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Pass the bytes on."""
        async for part in self.answer:
            yield part

    async def aclose(self) -> None:
        """End the answer; a connection whose answer was not read whole is closed."""
        try:
            await self.answer.aclose()
        finally:
            await self.connection.released()


class InstanceConnection(httpcore.AsyncHTTPConnection):
    """A connection that is used again only where nothing speaks against it, and closes behind what it carries.

    Bytes that have come behind a whole answer belong to no request. Those that still wait in the socket the library
    finds itself; those that its parser has read and not used, it would take for the next request's answer.

    The library's pool closes connections whether they are in use or not: when it is closed itself, and when a request
    was given one that rested, and has not begun on it yet. Here such a close waits for the request's end.
    """

    def __init__(self, pool: InstancePool, origin: httpcore.Origin) -> None:
        super().__init__(origin=origin, retries=0)
        self.pool = pool
        self.rests_since: float | None = None
        self.claims = Claims()
        self.claim: int | None = None  # of the request that it carries

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request; one that finds the connection dead tells how long connections may rest.

        Raises InstanceEndedError where the instance has ended, and httpcore.ConnectionNotAvailable where the
        connection is retired or carries another request: the pool finds another one then.
        """
        if self.pool.claims.retired:
            raise InstanceEndedError("the instance has ended")
        self._claim(request)
        rested, self.rests_since = self.rested_s(), None
        try:
            response = await super().handle_async_request(request)
        except BaseException as error:
            if isinstance(error, BROKEN) and rested > 0:
                self.pool.forgotten(rested)
            await self.released()
            raise
        response.stream = ClaimedAnswer(cast(AnswerBytes, response.stream), self)
        return response

    def _claim(self, request: httpcore.Request) -> None:
        left_s = request.extensions["timeout"]["read"]
        claim = None if self.claims.used else self.claims.claim(asyncio.get_running_loop().time() + left_s)
        if claim is None:
            raise httpcore.ConnectionNotAvailable
        self.claim = claim

    async def released(self) -> None:
        """Note that the request is over. What the library left half read, as a second cancellation can, is closed."""
        self.rests_since = asyncio.get_running_loop().time()
        claim, self.claim = self.claim, None
        if claim is None:
            return
        last = self.claims.release(claim)
        if last or not (super().is_idle() or super().is_closed()):
            await self.cut()

    async def aclose(self) -> None:
        """Close it, behind the request that it carries where there is one."""
        if self.claims.retire():
            await self.cut()

    async def cut(self) -> None:
        """Close it, with whatever it carries."""
        await super().aclose()

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
        return super().is_available() and not self.claims.used and not self._unfit()

    def is_idle(self) -> bool:
        """Tell whether it rests: not from when a request has begun on it, which the library notes later."""
        return super().is_idle() and not self.claims.used

    def has_expired(self) -> bool:
        """Tell whether it is to be closed."""
        return not self.claims.used and (super().has_expired() or (self.is_idle() and self._unfit()))


class InstancePool(httpcore.AsyncConnectionPool):
    """The connections to one instance, which calls claim as a whole."""

    def __init__(self) -> None:
        super().__init__(max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_RESTING, retries=0)
        self.resting_s = RESTING_S
        self.longest_s = float("inf")  # learned from connections that had died at rest
        self.claims = Claims()
        self.made: set[InstanceConnection] = set()  # that may still be open, those in use after a retirement too

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Open a connection."""
        self.made = {one for one in self.made if not one.is_closed()}
        connection = InstanceConnection(self, origin)
        self.made.add(connection)
        return connection

    async def cut(self) -> None:
        """Close all connections, also those in use."""
        await self.aclose()
        for connection in self.made:
            await connection.cut()

    def answered(self, fields: Fields) -> None:
        """Heed the time that an answer's `Keep-Alive` tells."""
        told = resting_time(fields)
        if told is not None:
            self.resting_s = min(RESTING_PART * told, self.longest_s)

    def forgotten(self, rested_s: float) -> None:
        """A connection that had rested for so long was dead: the instance had dropped it without a word."""
        self.longest_s = min(self.longest_s, FORGOTTEN_PART * rested_s)
        self.resting_s = min(self.resting_s, self.longest_s)
