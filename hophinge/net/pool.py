"""The connections to bricks: who wants one takes whichever is ready first; what comes up unwanted is kept idle.

A connect belongs to nobody. Whoever waited for it may have got another's, or have gone; it still comes up, has cost
its brick a handshake by then, and serves the next request.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp

from hophinge.core.counters import Counters
from hophinge.net.backend_connection import BackendConnection
from hophinge.net.connects import Connects, Usual
from hophinge.net.roll import Roll

LONGEST = 6.0  # connect limits after which a connect that nobody waits for any more is given up
TURNS = 5  # of the loop before a connect is held for late: a head that stood still has not read of its end yet
TURN_S = 0.001  # at least, of each

Dial = Callable[[str], Awaitable[BackendConnection]]


class Line:
    """One brick's connections at rest, those that wait for one, and the connects that are out."""

    __slots__ = ("connects", "dials", "idle", "timer", "waiting")

    def __init__(self, usual: Usual) -> None:
        self.connects = Connects(usual)
        self.idle: deque[tuple[BackendConnection, float]] = deque()  # with the time since when
        self.waiting: deque[asyncio.Future[BackendConnection]] = deque()
        self.dials: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None

    def next(self) -> asyncio.Future[BackendConnection] | None:
        """Take the first of those that wait."""
        while self.waiting:
            if not (future := self.waiting.popleft()).done():
                return future
        return None


class Pool:
    """All connections that no request uses, by endpoint; `dial` opens one."""

    def __init__(self, dial: Dial, roll: Roll, counters: Counters, limit_s: float, idle_s: float) -> None:
        self.dial, self.roll, self.counters, self.limit_s, self.idle_s = dial, roll, counters, limit_s, idle_s
        self.loop = asyncio.get_running_loop()
        self.usual = Usual(limit_s)
        self.lines: dict[str, Line] = {}
        self.sweep: asyncio.TimerHandle | None = None

    async def take(self, endpoint: str) -> BackendConnection:
        """Take a connection to a brick.

        Raises `TimeoutError` where none is ready within the connect limit, else what the connect ended with.
        """
        line = self.lines.get(endpoint)
        if line is None:
            line = self.lines[endpoint] = Line(self.usual)
        while line.idle:
            connection, since = line.idle.popleft()
            if sound(connection) and self.loop.time() - since <= self.idle_s:
                connection.state = "taken"
                return connection
            connection.close()
        async with asyncio.timeout(self.limit_s):
            while True:
                connection = await self._wait(endpoint, line)
                if sound(connection):
                    return connection
                connection.close()  # ended between its coming up and this turn

    async def _wait(self, endpoint: str, line: Line) -> BackendConnection:
        future: asyncio.Future[BackendConnection] = self.loop.create_future()
        line.waiting.append(future)
        self._look(endpoint, line)
        try:
            return await future
        except BaseException:
            if future.done() and not future.cancelled() and future.exception() is None:
                self._ready(line, future.result())  # given up in the very turn in which it got one
            elif future in line.waiting:
                line.waiting.remove(future)
            raise

    def put_back(self, connection: BackendConnection) -> None:
        """Take back a connection on which no answer is awaited."""
        line = self.lines.get(connection.endpoint)
        if line is None or not sound(connection):
            connection.close()
        else:
            self._ready(line, connection)

    def _ready(self, line: Line, connection: BackendConnection) -> None:
        if (future := line.next()) is not None:
            connection.state = "taken"
            future.set_result(connection)
            return
        connection.rest()
        if connection.is_connected():
            line.idle.append((connection, self.loop.time()))
            if self.sweep is None:
                self.sweep = self.loop.call_later(self.idle_s / 2, self._sweep)

    def _sweep(self) -> None:
        """Close what has been idle for too long."""
        self.sweep = None
        rest, then = False, self.loop.time() - self.idle_s
        for line in self.lines.values():
            kept = deque[tuple[BackendConnection, float]]()
            for connection, since in line.idle:
                if since > then and connection.is_connected():
                    kept.append((connection, since))
                else:
                    connection.close()
            line.idle = kept
            rest = rest or bool(kept)
        if rest:
            self.sweep = self.loop.call_later(self.idle_s / 2, self._sweep)

    def _look(self, endpoint: str, line: Line) -> None:
        """Open what is wanted now, and look again when the next connect is late."""
        if line.timer is not None:
            line.timer.cancel()
            line.timer = None
        waiting = sum(not future.done() for future in line.waiting)
        if not waiting:
            return
        now, there = self.loop.time(), self.roll.at(endpoint)
        for number, beside in line.connects.wanted(now, waiting, there, max(2, self.roll.each)):
            self.counters.add("brick_connects_beside" if beside else "brick_connects")
            task = self.loop.create_task(self._dial(endpoint, line, number))
            line.dials.add(task)
            task.add_done_callback(line.dials.discard)
        if (at := line.connects.look_at(now)) is not None:
            line.timer = self.loop.call_at(at, self._due, endpoint, line, TURNS)

    def _due(self, endpoint: str, line: Line, turns: int) -> None:
        if turns:
            line.timer = self.loop.call_later(TURN_S, self._due, endpoint, line, turns - 1)
        else:
            self._look(endpoint, line)

    async def _dial(self, endpoint: str, line: Line, number: int) -> None:
        connection: BackendConnection | None = None
        trouble: Exception | None = None
        try:
            async with asyncio.timeout(LONGEST * self.limit_s):
                connection = await self.dial(endpoint)
        except TimeoutError:
            pass  # who waited has been told by its own limit
        except (aiohttp.ClientError, OSError) as error:
            trouble = error
        finally:
            line.connects.ended(number, self.loop.time(), connection is not None)
        if connection is not None:
            self._ready(line, connection)
        elif trouble is not None and (future := line.next()) is not None:
            future.set_exception(trouble)
        self._look(endpoint, line)

    def keep(self, endpoints: set[str]) -> None:
        """Forget all bricks but these; whoever waits for one of the others waits on."""
        for endpoint, line in list(self.lines.items()):
            if endpoint not in endpoints and not line.waiting:
                self._forget(line)
                del self.lines[endpoint]

    def _forget(self, line: Line) -> None:
        if line.timer is not None:
            line.timer.cancel()
        for task in line.dials:
            task.cancel()
        for connection, _ in line.idle:
            connection.close()

    async def close(self) -> None:
        """Close what is idle, and give up all connects."""
        if self.sweep is not None:
            self.sweep.cancel()
        dials = [task for line in self.lines.values() for task in line.dials]
        for line in self.lines.values():
            self._forget(line)
        self.lines.clear()
        await asyncio.gather(*dials, return_exceptions=True)


def sound(connection: BackendConnection) -> bool:
    """Tell whether a request may be written: it is up, has sent what was written, and got only what was asked for.

    Bytes that the loop has not read yet count too: a late second answer would be taken for the next request's.
    """
    if not connection.is_connected() or connection.should_close or connection.transport is None or connection.unsent:
        return False
    look = select.poll()
    look.register(connection.transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not look.poll(0)  # an end at hand counts as well
