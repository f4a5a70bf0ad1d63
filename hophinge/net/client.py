"""The back: carries attempts to bricks on aiohttp's connections, and tells how each ended."""

from __future__ import annotations

import asyncio
import functools
import math
import traceback
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, cast

import aiohttp
from aiohttp import ClientRequest, ClientTimeout, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from multidict import CIMultiDictProxy
from yarl import URL

from hophinge.counters import Counters
from hophinge.exchange import Attempt, End
from hophinge.interface import ProbeResult, Result, Settings
from hophinge.net.brick import BrickConnection, Roll, SpoiltError
from hophinge.net.clock import now_us
from hophinge.net.payload import MOST_ANSWER, Payload

IDLE_PART = 0.5             # of the time after which a brick closes an idle connection: used after it is a reset
PROBE_S = 0.25              # a brick that is up answers a probe beside its queue
NOWHERE = "127.0.0.1:0"     # where a brick that no list names is asked: it refuses
MOST_FIGURE = 1e9           # of use, units or load; above it a figure is noise
CONNECT_US = 250_000        # where the settings state no limit


class StaleError(Exception):
    """The attempt may no longer go; nothing was written."""


class Connector(TCPConnector):
    """aiohttp's pool, whose connections check their answers."""

    def __init__(self, roll: Roll, **params: Any) -> None:
        super().__init__(**params)
        # aiohttp has no public place for a protocol of one's own.
        make = functools.partial(BrickConnection, self._loop, roll)
        self._factory = cast(functools.partial[ResponseHandler], make)


@dataclass(slots=True)
class Answered:
    """A brick's answer, whole."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class Flight:
    """One request on its way: whether its last byte has been handed to the network."""

    __slots__ = ("tell", "written")

    def __init__(self, tell: Callable[[], None] | None = None) -> None:
        self.tell, self.written = tell, False

    def wrote(self) -> None:
        """Note that it has."""
        self.written = True
        if self.tell is not None:
            self.tell()


async def _body(stream: StreamReader) -> bytes:
    """Read a body; one in chunks that is longer than any may be ends its connection instead of filling the memory."""
    body = bytearray()
    async for chunk in stream.iter_any():
        body += chunk
        if len(body) > MOST_ANSWER:
            raise SpoiltError("a body that is too long")
    return bytes(body)


def _number(text: str | None) -> float | None:
    """Read a figure; None where it is not one. What cannot be read spoils the figure, never the answer."""
    try:
        value = float(text) if text and len(text) < 32 else math.nan
    except ValueError:
        return None
    return value if 0.0 <= value <= MOST_FIGURE else None       # inf and nan are floats too


def read_report(text: str | None) -> dict[str, float]:
    """Read a load report, `TEXT inflight=7, queue=2`; what is malformed in it is passed over."""
    kind, _, rest = (text or "").strip().partition(" ")
    found: dict[str, float] = {}
    for item in rest.split(",") if kind == "TEXT" else ():
        name, _, value = item.strip().partition("=")
        figure = _number(value)
        if figure is not None:
            found[name] = figure
    return found


class Bricks:
    """The client side towards all bricks. Each attempt is a task; giving it up closes its connection.

    It stands on aiohttp's connector, connections and parser, not on its session: that costs more for a request than
    all else here, and sends an idempotent request again by itself when a kept connection turns out dead, which would
    be an attempt that the module knows nothing of.
    """

    def __init__(self, settings: Settings, endpoint: Callable[[str], str | None], counters: Counters,
                 log: Callable[[str], None], most: int = 256) -> None:
        self.endpoint, self.counters, self.log, self.most = endpoint, counters, log, most
        self.reports = settings.report_in_answers
        self.tasks: set[asyncio.Task[None]] = set()
        allowed = settings.allowed
        # No limit of the connector's: it would queue attempts unseen. `most` turns them away instead.
        self.roll = Roll(most, counters)
        idle_s = IDLE_PART * (allowed.conn_idle_us or 30_000_000) / 1e6
        self.connector = Connector(self.roll, limit=0, keepalive_timeout=idle_s)
        connect_s = (allowed.connect_timeout_us or CONNECT_US) / 1e6
        self.timeout = ClientTimeout(total=None, connect=connect_s, sock_connect=connect_s)
        self.routes: dict[str, ClientRequest] = {}      # by endpoint: what the connector wants to know of it

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget all bricks but these."""
        kept = set(endpoints)
        self.roll.keep(kept)
        self.routes = {endpoint: route for endpoint, route in self.routes.items() if endpoint in kept}

    def start(self, attempt: Attempt) -> Callable[[], None]:
        """Send an attempt; the callable returned gives it up."""
        if len(self.tasks) >= self.most:
            self.counters.add("attempts_without_socket")
            attempt.end(End(Result.CONNECT_FAILED))
            return lambda: None
        task = self._task(self._run(attempt))

        def stop() -> None:
            task.cancel()

        return stop

    def _task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run(self, attempt: Attempt) -> None:
        payload: Payload = attempt.request.payload
        flight, endpoint = Flight(attempt.written), self.endpoint(attempt.node)
        length = f"Content-Length: {len(payload.body)}\r\n" if payload.method == "PUT" else ""

        def text() -> bytes:
            # A connection takes up to its time limit to come up; a drain heard or an answer given meanwhile ends it.
            if not attempt.may_go():
                raise StaleError
            # The target goes on as the bytes that came.
            return (f"{payload.method} {payload.target} HTTP/1.1\r\nHost: {endpoint}\r\nX-Txn: {payload.txn}\r\n"
                    f"X-Remaining-Ms: {attempt.left_us() // 1000}\r\n{length}\r\n").encode() + payload.body

        try:
            if endpoint is None:
                raise StaleError
            end = self._end(await self._ask(endpoint, text, flight))
        except asyncio.CancelledError:
            attempt.end(End(Result.CANCELLED))
            raise
        except StaleError:
            end = End(Result.MOOT)
        except (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError):
            # Once the last byte was handed over the brick may have run it; before, it cannot have.
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        except Exception:
            self.counters.add("client_faults")
            self.log(traceback.format_exc())
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        attempt.end(end)

    async def _ask(self, endpoint: str, text: Callable[[], bytes], flight: Flight) -> Answered:
        """Write a request to a brick and read its answer; whatever goes wrong, the connection is not used again."""
        route = self.routes.get(endpoint)
        if route is None:
            route = self.routes[endpoint] = ClientRequest(
                "GET", URL(f"http://{endpoint}"), loop=asyncio.get_running_loop())
        connection = await self.connector.connect(route, [], self.timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            # It got what nobody had asked for while it waited in the pool; the next answer on it could be another's.
            connection.close()
            connection = await self.connector.connect(route, [], self.timeout)
        try:
            protocol, transport = connection.protocol, connection.transport
            if protocol is None or transport is None:
                raise aiohttp.ServerDisconnectedError
            request = text()
            protocol.set_response_params(read_until_eof=True, auto_decompress=False)
            transport.write(request)
            flight.wrote()
            message, stream = await protocol.read()
            answer = Answered(message.code, message.headers, await _body(stream))
        except BaseException:
            connection.close()
            raise
        connection.release()
        return answer

    def _end(self, answer: Answered) -> End:
        status, headers = answer.status, answer.headers
        result = Result.ERROR
        if status in (200, 404):
            result = Result.OK      # 404: the brick looked and holds no such object
        elif status in (503, 504) and headers.get("X-Turned-Away") == "1":
            result = Result.FULL
        elif status != 500:
            self.counters.add("bricks_answered_oddly")
        used = _number(headers.get("X-Iops-Used"))
        return End(result, answer.body if status == 200 else b"", 0 if used is None else 1 + int(used),
                   _number(headers.get("X-Rho")) or 0.0,
                   read_report(headers.get("X-Pressure")) if self.reports else {}, absent=status == 404)

    def probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        """Ask a brick for its load; what comes of it is told once."""
        self._task(self._probe(node, told))

    async def _probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        begun, result, report = now_us(), Result.CONNECT_FAILED, dict[str, float]()
        endpoint = self.endpoint(node) or NOWHERE
        try:
            async with asyncio.timeout(PROBE_S):
                answer = await self._ask(
                    endpoint, lambda: f"GET /load HTTP/1.1\r\nHost: {endpoint}\r\n\r\n".encode(), Flight())
            result = Result.OK if answer.status == 200 else Result.ERROR
            if result is Result.OK:
                header = answer.headers.get("X-Pressure")
                report = read_report(header or answer.body.decode("utf-8", "replace").removeprefix("X-Pressure:"))
        except TimeoutError:
            result = Result.TIMEOUT
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            pass
        told(ProbeResult(node, result, now_us() - begun, report))

    async def close(self) -> None:
        """Give up what is out and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.connector.close()
