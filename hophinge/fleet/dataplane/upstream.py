"""Calls of instances by httpcore: a pool of connections for each, and how far a request got when it failed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass

import httpcore

from hophinge.fleet.dataplane.connections import InstanceEndedError, InstancePool
from hophinge.fleet.forwarding.headers import EXPECTED_INSTANCE, Fields
from hophinge.fleet.forwarding.results import Handle

CONNECT_S = 0.4  # for a connection to come up: some thousand times what the network takes
FREE_S = 0.5  # for an instance to free memory
REMEMBERED_S = 60.0  # for which an instance that has ended is remembered: longer than any request lasts
UNSENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
FAILURES = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@dataclass(frozen=True, slots=True)
class Call:
    """A request to an instance."""

    address: str
    method: bytes
    target: bytes
    fields: Fields
    body: bytes
    left_s: float  # until the request is given up


class Upstream:
    """The pools of one data plane."""

    def __init__(self) -> None:
        self.pools: dict[str, InstancePool] = {}
        self.background: set[asyncio.Task[None]] = set()
        self.ended: dict[str, float] = {}  # instances that have unregistered, and when this head heard of it

    def _pool(self, identity: str) -> InstancePool:
        """Tell an instance's pool; raises InstanceEndedError where the instance has ended: it gets nothing new."""
        pool = self.pools.get(identity)
        if identity in self.ended or (pool is not None and pool.claims.retired):
            raise InstanceEndedError("the instance has ended")
        if pool is None:
            pool = self.pools[identity] = InstancePool()
        return pool

    @contextlib.asynccontextmanager
    async def call(self, identity: str, call: Call) -> AsyncIterator[httpcore.Response]:
        """Send a request; the connection is closed unless the whole answer was read.

        Raises InstanceEndedError, with nothing sent, where the instance has ended, and what httpcore raises.
        """
        host, port = call.address.rsplit(":", 1)
        url = httpcore.URL(scheme=b"http", host=host.encode(), port=int(port), target=call.target)
        timeout = {
            "connect": min(CONNECT_S, call.left_s),
            "pool": min(CONNECT_S, call.left_s),
            "read": call.left_s,
            "write": call.left_s,
        }
        fields = [*call.fields, (b"content-length", str(len(call.body)).encode())]
        request = httpcore.Request(call.method, url, headers=fields, content=call.body, extensions={"timeout": timeout})
        pool = self._pool(identity)
        claim = pool.claims.claim(asyncio.get_running_loop().time() + call.left_s)
        assert claim is not None, "no retired pool is given out"
        try:
            response = await pool.handle_async_request(request)
            pool.answered(response.headers)
            try:
                yield response
            finally:
                await asyncio.shield(self._start(response.aclose()))  # whoever waits may be cancelled once more
        finally:
            if pool.claims.release(claim):
                self._drop(identity, pool)

    def _drop(self, identity: str, pool: InstancePool) -> None:
        """Take a pool that nobody uses off the table."""
        if self.pools.get(identity) is pool:
            del self.pools[identity]

    def free(self, handle: Handle) -> None:
        """Free memory that was read for nothing; nobody waits for it, and it lapses by itself if this fails."""
        self._start(self._free(handle))

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def _free(self, handle: Handle) -> None:
        target = f"/v1/kv-handle/{handle.identity}".encode()
        expected = [(EXPECTED_INSTANCE, handle.instance.encode()), (b"host", handle.address.encode())]
        call = Call(handle.address, b"DELETE", target, expected, b"", FREE_S)
        with contextlib.suppress(*FAILURES):
            async with self.call(handle.instance, call) as response:
                await response.aread()

    def unregistered_s(self, now: float, identity: str) -> float | None:
        """Tell for how long an instance is known to have ended, in seconds; None where it is not."""
        at = self.ended.get(identity)
        return None if at is None else now - at

    def connections(self, identity: str) -> int:
        """Tell how many connections there are to an instance."""
        pool = self.pools.get(identity)
        return len(pool.connections) if pool is not None else 0

    def returned(self, identity: str) -> None:
        """An instance that was taken to have ended is there: it gets a new pool, beside what is still under way."""
        if self.ended.pop(identity, None) is not None:
            self.pools.pop(identity, None)

    async def forget(self, identity: str) -> None:
        """Retire an instance that has ended: it gets nothing new, and its connections close behind what they carry.

        It may serve on for longer than its streams last, so nothing that is under way there is cut.
        """
        now = asyncio.get_running_loop().time()
        self.ended = {one: at for one, at in self.ended.items() if now - at < REMEMBERED_S}
        self.ended[identity] = now
        pool = self.pools.get(identity)
        if pool is None:
            return
        if pool.claims.retire():
            self._drop(identity, pool)
        await pool.aclose()

    async def tend(self) -> None:
        """Close what should have come to its end by now at instances that have ended."""
        now = asyncio.get_running_loop().time()
        for identity, pool in list(self.pools.items()):
            if pool.claims.overdue(now):
                self._drop(identity, pool)
                await pool.cut()

    async def close(self) -> None:
        """Close all connections, also those in use."""
        pools, self.pools = list(self.pools.values()), {}
        for pool in pools:
            await pool.cut()
