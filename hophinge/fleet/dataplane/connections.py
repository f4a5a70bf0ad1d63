"""Connections to one instance: how long they stay idle, which may be reused, and when they close."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import cast

import httpcore

from hophinge.fleet.dataplane.surplus_responses import ForeignResponseError, skip_surplus_response
from hophinge.fleet.forwarding.claims import Claims
from hophinge.fleet.forwarding.headers import Fields, keep_alive_timeout_s
from hophinge.fleet.forwarding.response_ownership import ResponseOwner, SurplusTally, response_owner
from hophinge.fleet.transport.bounded_stream import (
    BodyStream,
    BoundedBackend,
    BoundedStream,
    ResponseLimitError,
    bounded_body,
    network_stream,
)
from hophinge.fleet.transport.loop_turns import LoopTurns

MAX_CONNECTIONS = 48  # from one data plane to one instance
MAX_IDLE = 16
DEFAULT_MAX_IDLE_S = 8.0  # until an instance states how long it keeps idle connections
KEEP_ALIVE_FRACTION = 0.8  # of the stated time: an older idle connection is not reused, as its close may be in flight
DEAD_IDLE_FRACTION = 0.5  # of the idle time after which a connection was found dead: the new limit
USER_TIMEOUT_MS = 400  # of unacknowledged data, until the kernel closes a connection: two retransmissions
KEEP_ALIVE_PROBE_S = 1  # of silence before the kernel probes the peer: the shortest time that the kernel accepts
KEEP_ALIVE_PROBES = 1  # unanswered ones close a connection: a stream resumes elsewhere before its client gives up
# Behind a partition nothing answers: without these options a request or a stream hangs until its own deadline.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
)
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.RemoteProtocolError)

CONTEXT = "hophinge-context"  # the extension of a request that holds its RequestContext


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state that a request's attempts share; they also share one id, which cannot tell their responses apart."""

    request_id: str | None = None
    carriers: set[InstanceConnection] = field(default_factory=set)  # connections that the request was sent on
    surplus: SurplusTally = field(default_factory=SurplusTally)


class InstanceEndedError(httpcore.ConnectError):
    """The instance has unregistered: nothing was sent, and the request goes to another instance."""


class ReleasingStream:
    """The body of a response; closing it releases the connection before the pool assigns it to another request."""

    def __init__(self, stream: BodyStream, connection: InstanceConnection) -> None:
        self.stream = stream
        self.connection = connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks as they arrive."""
        async for chunk in self.stream:
            yield chunk

    async def aclose(self) -> None:
        """Close the response; a connection whose response was not read completely is closed."""
        try:
            await self.stream.aclose()
        finally:
            await self.connection.release()


class InstanceConnection(httpcore.AsyncHTTPConnection):
    """A connection that is reused only where that is safe, and closes after the request in flight.

    Bytes after a complete response belong to no request. httpcore detects those that are still in the socket, but
    would treat those that its parser has buffered as the response to the next request. Responses that arrive later are
    told apart by the id of their request, so no request is sent twice on one connection; responses to other requests
    are skipped.

    httpcore's pool closes connections even if they are in use: when the pool itself is closed, and when an idle one was
    assigned to a request that has not started on it yet. Here such a close waits for the end of the request.
    """

    def __init__(self, pool: InstancePool, origin: httpcore.Origin) -> None:
        super().__init__(
            origin=origin, retries=0, socket_options=SOCKET_OPTIONS, network_backend=BoundedBackend(pool.turns)
        )
        self.pool = pool
        self.network_stream: BoundedStream | None = None  # once a response was received on it
        self.idle_since: float | None = None
        self.claims = Claims()
        self.claim_id: int | None = None  # of the request in flight
        self.has_carried_unidentified = False  # a request without an id, whose response has none either
        self.surplus = SurplusTally()

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request and return its own response, skipping surplus responses before it.

        Raises:
            InstanceEndedError: The instance has unregistered.
            ForeignResponseError: The response is not the request's own, and its own cannot be awaited.
            ResponseLimitError: The header, with what came before it, exceeds a limit.
            httpcore.ConnectionNotAvailable: The connection is retired or in use, or has carried the request before; the
                pool then tries another one.

        """
        if self.pool.claims.is_retired:
            raise InstanceEndedError("the instance has unregistered")
        context: RequestContext = request.extensions[CONTEXT]
        await self._refuse_second_send(context)
        self._claim(request)
        context.carriers.add(self)
        try:
            response = await self._receive_own_response(request, await self._send(request), context)
        except BaseException:  # broad: the claim is released whatever failed, cancellation included
            await self.release()
            raise
        self.has_carried_unidentified = self.has_carried_unidentified or context.request_id is None
        response.stream = ReleasingStream(bounded_body(response), self)
        return response

    async def _send(self, request: httpcore.Request) -> httpcore.Response:
        """Send a request; if the connection turns out to be dead, shorten the idle time that the pool allows."""
        was_idle_s = self.idle_s()
        self.idle_since = None
        try:
            return await super().handle_async_request(request)
        except ResponseLimitError:
            raise  # the connection was alive
        except CONNECTION_ERRORS:
            if was_idle_s > 0:
                self.pool.record_dead_connection(was_idle_s)
            raise

    async def _receive_own_response(
        self, request: httpcore.Request, response: httpcore.Response, context: RequestContext
    ) -> httpcore.Response:
        """Return the request's own response, skipping surplus responses before it.

        Raises:
            ForeignResponseError: A response belongs to no request sent here, or too many surplus ones arrived.

        """
        self.network_stream = network_stream(response)
        while True:
            owner = response_owner(response.headers, context.request_id, self.has_carried_unidentified)
            if owner is ResponseOwner.REQUEST:
                return response
            if owner is ResponseOwner.UNKNOWN:
                raise ForeignResponseError("a response to no request that was sent on this connection")
            self.surplus.add_response()
            context.surplus.add_response()
            self.pool.surplus_responses += 1
            if context.surplus.is_limit_exceeded:
                raise ForeignResponseError("too many surplus responses")
            inner = cast(httpcore.AsyncHTTP11Connection, self._connection)
            response = await skip_surplus_response(inner, request, response, (context.surplus, self.surplus))

    async def _refuse_second_send(self, context: RequestContext) -> None:
        """Close the connection instead of sending the same request on it again: the first response may still arrive."""
        if self in context.carriers:
            await self.aclose()
            raise httpcore.ConnectionNotAvailable

    def _claim(self, request: httpcore.Request) -> None:
        remaining_s = request.extensions["timeout"]["read"]
        claim_id = None if self.claims.is_used else self.claims.acquire(asyncio.get_running_loop().time() + remaining_s)
        if claim_id is None:
            raise httpcore.ConnectionNotAvailable
        self.claim_id = claim_id

    async def release(self) -> None:
        """Release the connection after its request; close it if its response was not read completely.

        For example, a second cancellation interrupts the reading.
        """
        self.idle_since = asyncio.get_running_loop().time()
        claim_id = self.claim_id
        self.claim_id = None
        if claim_id is None:
            return
        is_last = self.claims.release(claim_id)
        if is_last or not (super().is_idle() or super().is_closed()):
            await self.abort()

    async def aclose(self) -> None:
        """Close the connection, after the request in flight if there is one."""
        if self.claims.retire():
            await self.abort()

    async def abort(self) -> None:
        """Close the connection at once, with the request in flight."""
        await super().aclose()

    def idle_s(self) -> float:
        """Return for how many seconds the connection has been idle; 0 while it is in use."""
        return 0.0 if self.idle_since is None else asyncio.get_running_loop().time() - self.idle_since

    def _is_unusable(self) -> bool:
        return self.idle_s() > self.pool.max_idle_s or self.surplus.is_limit_exceeded or self._has_surplus()

    def _has_surplus(self) -> bool:
        connection = self._connection
        if not isinstance(connection, httpcore.AsyncHTTP11Connection) or not connection.is_idle():
            return False
        surplus, _ = connection._h11_state.trailing_data
        return bool(surplus) or (self.network_stream is not None and self.network_stream.has_unparsed)

    def is_available(self) -> bool:
        """Return whether a request may be assigned to this connection."""
        return super().is_available() and not self.claims.is_used and not self._is_unusable()

    def is_idle(self) -> bool:
        """Return whether the connection is idle; not once a request is assigned, which httpcore records later."""
        return super().is_idle() and not self.claims.is_used

    def has_expired(self) -> bool:
        """Return whether the pool is to close this connection."""
        return not self.claims.is_used and (super().has_expired() or (self.is_idle() and self._is_unusable()))


class InstancePool(httpcore.AsyncConnectionPool):
    """The connections to one instance; each call holds a claim on the pool."""

    def __init__(self, turns: LoopTurns | None = None) -> None:
        super().__init__(max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_IDLE, retries=0)
        self.turns = turns or LoopTurns()
        self.max_idle_s = DEFAULT_MAX_IDLE_S
        self.learned_max_idle_s = float("inf")  # from connections that were found dead when reused
        self.claims = Claims()
        self.surplus_responses = 0  # received on its connections
        # Connections that may still be open, including those in use after the pool was retired.
        self.created: set[InstanceConnection] = set()

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Open a connection."""
        self.created = {connection for connection in self.created if not connection.is_closed()}
        connection = InstanceConnection(self, origin)
        self.created.add(connection)
        return connection

    async def abort(self) -> None:
        """Close all connections at once, also those in use."""
        await self.aclose()
        for connection in self.created:
            await connection.abort()

    def record_keep_alive(self, fields: Fields) -> None:
        """Apply the idle timeout in a response's `Keep-Alive` field."""
        timeout_s = keep_alive_timeout_s(fields)
        if timeout_s is not None:
            self.max_idle_s = min(KEEP_ALIVE_FRACTION * timeout_s, self.learned_max_idle_s)

    def record_dead_connection(self, idle_s: float) -> None:
        """Shorten the allowed idle time: the instance dropped a connection idle for `idle_s` without closing it."""
        self.learned_max_idle_s = min(self.learned_max_idle_s, DEAD_IDLE_FRACTION * idle_s)
        self.max_idle_s = min(self.max_idle_s, self.learned_max_idle_s)
