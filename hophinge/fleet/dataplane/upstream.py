"""Calls instances through httpcore: a connection pool per instance, and errors classified by how far a request got."""

from __future__ import annotations

import asyncio
import contextlib
import errno
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from enum import Enum

import httpcore

from hophinge.fleet.dataplane.connections import CONTEXT, InstanceEndedError, InstancePool, RequestContext
from hophinge.fleet.dataplane.response_buffers import ResponseBuffers
from hophinge.fleet.dataplane.surplus_responses import ForeignResponseError
from hophinge.fleet.forwarding.headers import EXPECTED_INSTANCE, Fields
from hophinge.fleet.forwarding.attempt_results import KvHandle
from hophinge.fleet.registry.instance import DRAINING, Instance
from hophinge.fleet.transport.bounded_call import log_rejected_response, log_response_limit, read_short_body
from hophinge.fleet.transport.bounded_stream import ResponseLimitError
from hophinge.fleet.transport.client_memory import DEFAULT_MEMORY_BYTES
from hophinge.fleet.transport.loop_turns import LoopTurns

CONNECT_TIMEOUT_S = 0.25  # about a hundred times the usual time; a lost SYN is retransmitted only after 1 s
FREE_TIMEOUT_S = 0.5  # for an instance to free a KV handle
MAX_SHORT_BODY_BYTES = 16 << 10  # of the response to a prefill or a freed handle, and of one that rejects a request
SHORT_BODY_TIMEOUT_S = 2.0  # for the body of a response to a prefill, and of one that rejects a request
UNREGISTERED_RETENTION_S = 60.0  # of remembering an unregistered instance: longer than any request lasts
SILENCE_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
UPSTREAM_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


def is_peer_silent(error: BaseException) -> bool:
    """Return whether a call failed because no reply came from the network; a refusal or a reset is a reply."""
    if isinstance(error, httpcore.ConnectTimeout):
        return True
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in SILENCE_ERRNOS:
            return True
        cause = cause.__cause__ or cause.__context__
    return False


class CallKind(Enum):
    """What is asked of an instance; the values are part of log lines."""

    REQUEST = "request"
    PREFILL = "prefill"
    FREE_HANDLE = "free-handle"


@dataclass(frozen=True, slots=True)
class Call:
    """A request to an instance."""

    address: str
    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    timeout_s: float  # until the request is cancelled
    context: RequestContext | None = None  # None for a request that has no id and is sent once
    kind: CallKind = CallKind.REQUEST

    @property
    def request_id(self) -> str:
        """The id of the request, for the log."""
        return (self.context.request_id if self.context is not None else None) or "-"


class Upstream:
    """The connection pools of one data plane."""

    def __init__(
        self,
        response_buffers: ResponseBuffers | None = None,
        on_response_limit: Callable[[str], None] = lambda identity: None,
    ) -> None:
        self.response_buffers = response_buffers or ResponseBuffers.of_machine(DEFAULT_MEMORY_BYTES)
        self.on_response_limit = on_response_limit  # called with an instance whose response exceeded a limit
        self.turns = LoopTurns()
        self.pools: dict[str, InstancePool] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.unregistered: dict[str, float] = {}  # by instance: when this head learned that it unregistered

    def _pool(self, identity: str) -> InstancePool:
        """Return an instance's pool.

        Raises:
            InstanceEndedError: The instance has unregistered and gets no new requests.

        """
        pool = self.pools.get(identity)
        if identity in self.unregistered or (pool is not None and pool.claims.is_retired):
            raise InstanceEndedError("the instance has unregistered")
        if pool is None:
            pool = self.pools[identity] = InstancePool(self.turns)
        return pool

    @contextlib.asynccontextmanager
    async def call(self, identity: str, call: Call) -> AsyncIterator[httpcore.Response]:
        """Send a request; the connection is closed unless the response was read completely.

        A response that exceeds a limit, here or where the caller reads it, is logged and counts against its instance.

        Raises:
            InstanceEndedError: The instance has unregistered; nothing was sent.
            ForeignResponseError: The response is not the request's own, and its own cannot be awaited.
            ResponseLimitError: The response exceeds a limit.
            httpcore.ConnectError, httpcore.NetworkError, ...: As httpcore raises them.

        """
        try:
            async with self._send(identity, call) as response:
                yield response
        except ResponseLimitError as error:
            log_response_limit(identity, call.kind.value, error, call.request_id)
            self.on_response_limit(identity)
            raise
        except (ForeignResponseError, httpcore.RemoteProtocolError) as error:
            log_rejected_response(identity, call.kind.value, str(error), call.request_id)
            raise

    @contextlib.asynccontextmanager
    async def _send(self, identity: str, call: Call) -> AsyncIterator[httpcore.Response]:
        host, port = call.address.rsplit(":", 1)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=call.target)
        timeout = {
            "connect": min(CONNECT_TIMEOUT_S, call.timeout_s),
            "pool": min(CONNECT_TIMEOUT_S, call.timeout_s),
            "read": call.timeout_s,
            "write": call.timeout_s,
        }
        fields = [*call.fields, (b"content-length", str(len(call.body)).encode())]
        extensions = {"timeout": timeout, CONTEXT: call.context or RequestContext()}
        request = httpcore.Request(call.method, url, headers=fields, content=call.body, extensions=extensions)
        pool = self._pool(identity)
        claim_id = pool.claims.acquire(asyncio.get_running_loop().time() + call.timeout_s)
        assert claim_id is not None, "a retired pool is never returned"
        try:
            response = await pool.handle_async_request(request)
            pool.record_keep_alive(response.headers)
            try:
                yield response
            finally:
                await asyncio.shield(self._start_background(response.aclose()))  # the caller may be cancelled again
        finally:
            if pool.claims.release(claim_id):
                self._remove(identity, pool)

    def _remove(self, identity: str, pool: InstancePool) -> None:
        """Remove an unused pool."""
        if self.pools.get(identity) is pool:
            del self.pools[identity]

    def free_handle(self, handle: KvHandle) -> None:
        """Free a KV handle that was not used, in the background; it expires by itself if this fails."""
        self._start_background(self._free_handle(handle))

    def _start_background(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def _free_handle(self, handle: KvHandle) -> None:
        target = f"/v1/kv-handle/{handle.identity}".encode()
        expected = [(EXPECTED_INSTANCE, handle.instance.encode()), (b"host", handle.address.encode())]
        call = Call(handle.address, b"DELETE", target, expected, b"", FREE_TIMEOUT_S, kind=CallKind.FREE_HANDLE)
        with contextlib.suppress(TimeoutError, *UPSTREAM_ERRORS):
            async with (
                asyncio.timeout(FREE_TIMEOUT_S) as header_timeout,
                self.call(handle.instance, call) as response,
            ):
                header_timeout.reschedule(None)
                await read_short_body(response, MAX_SHORT_BODY_BYTES, FREE_TIMEOUT_S)

    def unregistered_s(self, now: float, identity: str) -> float | None:
        """Return the seconds since this head learned that an instance unregistered; None if it has not."""
        learned_at = self.unregistered.get(identity)
        return None if learned_at is None else now - learned_at

    async def has_ended(self, instance: Instance) -> bool:
        """Return whether the process of an instance is gone though the instance has not announced its end.

        The kernel closes the listening socket of a killed process together with its connections, and then refuses new
        ones. Silence proves nothing: an instance or this head may be busy.
        """
        if instance.state == DRAINING or instance.identity in self.unregistered:
            return False
        host, port = instance.address.rsplit(":", 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                await writer.wait_closed()
        except (OSError, TimeoutError) as error:
            return isinstance(error, ConnectionRefusedError)
        return False

    def connection_count(self, identity: str) -> int:
        """Return the number of open connections to an instance."""
        pool = self.pools.get(identity)
        return len(pool.connections) if pool is not None else 0

    def surplus_responses(self, identity: str) -> int:
        """Return the number of surplus responses received on connections to an instance."""
        pool = self.pools.get(identity)
        return pool.surplus_responses if pool is not None else 0

    def reinstate(self, identity: str) -> None:
        """Give an instance that was considered unregistered a new pool; requests in flight keep the old pool."""
        if self.unregistered.pop(identity, None) is not None:
            self.pools.pop(identity, None)

    async def retire(self, identity: str) -> None:
        """Retire an unregistered instance: it gets no new requests, and each connection closes after its request.

        It may still serve for longer than its streams last, so no request in flight is aborted.
        """
        now = asyncio.get_running_loop().time()
        self.unregistered = {
            known: since for known, since in self.unregistered.items() if now - since < UNREGISTERED_RETENTION_S
        }
        self.unregistered[identity] = now
        pool = self.pools.get(identity)
        if pool is None:
            return
        if pool.claims.retire():
            self._remove(identity, pool)
        await pool.aclose()

    async def abort_overdue(self) -> None:
        """Abort the connections to unregistered instances whose requests are past their deadlines."""
        now = asyncio.get_running_loop().time()
        for identity, pool in list(self.pools.items()):
            if pool.claims.is_overdue(now):
                self._remove(identity, pool)
                await pool.abort()

    async def close(self) -> None:
        """Close all connections at once, also those in use."""
        pools = list(self.pools.values())
        self.pools = {}
        for pool in pools:
            await pool.abort()
