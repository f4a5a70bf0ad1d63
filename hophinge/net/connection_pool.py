"""The pool of backend connections: a waiting request gets the connection that is ready first; others are kept idle.

A connect does not belong to the request that caused it. That request may have got another connection or have been
cancelled; the connect has cost the backend a handshake by then, so it is left to complete and serves a later request.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp

from hophinge.core.counters import Counters
from hophinge.net.backend_connection import BackendConnection
from hophinge.net.connection_attempts import ConnectionAttempts, ConnectTimeEstimate
from hophinge.net.connection_registry import ConnectionRegistry

MAX_CONNECT_FACTOR = 6.0  # multiple of the connect time-out after which a connect is cancelled
# Event-loop iterations before a connect counts as late: after a stall of this process, connects that have completed
# meanwhile must be processed first.
LATE_CHECK_ITERATIONS = 5
LATE_CHECK_INTERVAL_S = 0.001  # shortest duration of each of these iterations

Connect = Callable[[str], Awaitable[BackendConnection]]


class EndpointPool:
    """One endpoint's idle connections, the requests that wait for one, and the connects in progress."""

    __slots__ = ("attempts", "connect_tasks", "idle", "timer", "waiters")

    def __init__(self, estimate: ConnectTimeEstimate) -> None:
        self.attempts = ConnectionAttempts(estimate)
        self.idle: deque[tuple[BackendConnection, float]] = deque()  # with the time at which each became idle
        self.waiters: deque[asyncio.Future[BackendConnection]] = deque()
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None

    def next_waiter(self) -> asyncio.Future[BackendConnection] | None:
        """Remove and return the first waiter that is not done; None if there is none."""
        while self.waiters:
            if not (future := self.waiters.popleft()).done():
                return future
        return None


class ConnectionPool:
    """The connections that no request uses, by endpoint.

    Args:
        connect: opens a connection to an endpoint.
        registry: counts and bounds the open connections.
        counters: counts connects.
        connect_timeout_s: seconds that a request waits for a connection at most.
        idle_timeout_s: seconds after which an idle connection is closed.

    """

    def __init__(
        self,
        connect: Connect,
        registry: ConnectionRegistry,
        counters: Counters,
        connect_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.connect = connect
        self.registry = registry
        self.counters = counters
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.loop = asyncio.get_running_loop()
        self.estimate = ConnectTimeEstimate(connect_timeout_s)
        self.endpoints: dict[str, EndpointPool] = {}
        self.sweep_timer: asyncio.TimerHandle | None = None

    async def acquire(self, endpoint: str) -> BackendConnection:
        """Return a connection to an endpoint.

        Raises `TimeoutError` if none is ready within the connect time-out, or the error of a failed connect.
        """
        pool = self.endpoints.get(endpoint)
        if pool is None:
            pool = self.endpoints[endpoint] = EndpointPool(self.estimate)
        while pool.idle:
            connection, idle_since = pool.idle.popleft()
            if is_reusable(connection) and self.loop.time() - idle_since <= self.idle_timeout_s:
                connection.state = "taken"
                return connection
            connection.close()
        async with asyncio.timeout(self.connect_timeout_s):
            while True:
                connection = await self._wait_for_connection(endpoint, pool)
                if is_reusable(connection):
                    return connection
                connection.close()  # closed by the backend before this task ran

    async def _wait_for_connection(self, endpoint: str, pool: EndpointPool) -> BackendConnection:
        future: asyncio.Future[BackendConnection] = self.loop.create_future()
        pool.waiters.append(future)
        self._start_connects(endpoint, pool)
        try:
            return await future
        except BaseException:
            if future.done() and not future.cancelled() and future.exception() is None:
                self._hand_out(pool, future.result())  # cancelled after it got a connection, before it could run
            elif future in pool.waiters:
                pool.waiters.remove(future)
            raise

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool; no answer may be outstanding on it."""
        pool = self.endpoints.get(connection.endpoint)
        if pool is None or not is_reusable(connection):
            connection.close()
        else:
            self._hand_out(pool, connection)

    def _hand_out(self, pool: EndpointPool, connection: BackendConnection) -> None:
        if (future := pool.next_waiter()) is not None:
            connection.state = "taken"
            future.set_result(connection)
            return
        connection.become_idle()
        if connection.is_connected():
            pool.idle.append((connection, self.loop.time()))
            if self.sweep_timer is None:
                self.sweep_timer = self.loop.call_later(self.idle_timeout_s / 2, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        self.sweep_timer = None
        any_idle, expired_before = False, self.loop.time() - self.idle_timeout_s
        for pool in self.endpoints.values():
            remaining = deque[tuple[BackendConnection, float]]()
            for connection, idle_since in pool.idle:
                if idle_since > expired_before and connection.is_connected():
                    remaining.append((connection, idle_since))
                else:
                    connection.close()
            pool.idle = remaining
            any_idle = any_idle or bool(remaining)
        if any_idle:
            self.sweep_timer = self.loop.call_later(self.idle_timeout_s / 2, self._close_expired)

    def _start_connects(self, endpoint: str, pool: EndpointPool) -> None:
        """Start the connects that are needed now, and schedule a check for when the next one becomes late."""
        if pool.timer is not None:
            pool.timer.cancel()
            pool.timer = None
        waiting = sum(not future.done() for future in pool.waiters)
        if not waiting:
            return
        now, connected = self.loop.time(), self.registry.count_for(endpoint)
        for number, is_hedge in pool.attempts.start_needed(
            now, waiting, connected, max(2, self.registry.limit_per_endpoint)
        ):
            self.counters.add("brick_connects_beside" if is_hedge else "brick_connects")
            task = self.loop.create_task(self._run_connect(endpoint, pool, number))
            pool.connect_tasks.add(task)
            task.add_done_callback(pool.connect_tasks.discard)
        if (late_at := pool.attempts.next_late_at(now)) is not None:
            pool.timer = self.loop.call_at(late_at, self._check_late, endpoint, pool, LATE_CHECK_ITERATIONS)

    def _check_late(self, endpoint: str, pool: EndpointPool, iterations: int) -> None:
        if iterations:
            pool.timer = self.loop.call_later(LATE_CHECK_INTERVAL_S, self._check_late, endpoint, pool, iterations - 1)
        else:
            self._start_connects(endpoint, pool)

    async def _run_connect(self, endpoint: str, pool: EndpointPool, number: int) -> None:
        connection: BackendConnection | None = None
        failure: Exception | None = None
        try:
            async with asyncio.timeout(MAX_CONNECT_FACTOR * self.connect_timeout_s):
                connection = await self.connect(endpoint)
        except TimeoutError:
            pass  # the request that caused this connect has timed out before; later ones get a new connect below
        except (aiohttp.ClientError, OSError) as error:
            failure = error
        finally:
            pool.attempts.finish(number, self.loop.time(), connection is not None)
        if connection is not None:
            self._hand_out(pool, connection)
        elif failure is not None and (future := pool.next_waiter()) is not None:
            future.set_exception(failure)
        self._start_connects(endpoint, pool)

    def retain(self, endpoints: set[str]) -> None:
        """Discard all endpoints except these and those that requests still wait for."""
        for endpoint, pool in list(self.endpoints.items()):
            if endpoint not in endpoints and not pool.waiters:
                self._discard(pool)
                del self.endpoints[endpoint]

    def _discard(self, pool: EndpointPool) -> None:
        if pool.timer is not None:
            pool.timer.cancel()
        for task in pool.connect_tasks:
            task.cancel()
        for connection, _ in pool.idle:
            connection.close()

    async def close(self) -> None:
        """Close idle connections and cancel all connects."""
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        tasks = [task for endpoint_pool in self.endpoints.values() for task in endpoint_pool.connect_tasks]
        for pool in self.endpoints.values():
            self._discard(pool)
        self.endpoints.clear()
        await asyncio.gather(*tasks, return_exceptions=True)


def is_reusable(connection: BackendConnection) -> bool:
    """Return whether a connection can carry a request: open, all bytes sent, and no unexpected bytes received.

    Bytes that the event loop has not read yet count, too: a surplus answer would be taken for the next request's.
    """
    if (
        not connection.is_connected()
        or connection.should_close
        or connection.transport is None
        or connection.has_unsent
    ):
        return False
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poll.poll(0)  # a close by the backend makes the socket readable, too
