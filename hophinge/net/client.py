"""The back: carries attempts to bricks on aiohttp's client, and tells how each ended."""

from __future__ import annotations

import asyncio
import functools
import math
import traceback
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, cast

import aiohttp
from aiohttp import ClientRequest, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from hophinge.counters import Counters
from hophinge.exchange import Attempt, End
from hophinge.interface import ProbeResult, Result, Settings
from hophinge.net.brick import BrickConnection, Roll
from hophinge.net.clock import now_us
from hophinge.net.payload import MOST_BODY, Payload

IDLE_PART = 0.5             # of the time after which a brick closes an idle connection: used after it is a reset
PROBE_S = 0.25              # a brick that is up answers a probe beside its queue
NOWHERE = "127.0.0.1:0"     # where a brick that no list names is asked: it refuses
MOST_FIGURE = 1e9           # of use, units or load; above it a figure is noise
CONNECT_US = 250_000        # where the settings state no limit
PLAIN = frozenset({"User-Agent", "Accept", "Accept-Encoding", "Content-Type"})

current: ContextVar[Flight | None] = ContextVar("current")      # None: a probe


class StaleError(Exception):
    """The attempt may no longer go; nothing was written."""


class Flight:
    """One attempt on its way: whether its last byte has been handed to the network."""

    __slots__ = ("attempt", "headers_suffice", "written")

    def __init__(self, attempt: Attempt, headers_suffice: bool) -> None:
        self.attempt, self.headers_suffice = attempt, headers_suffice
        self.written = False


class Connector(TCPConnector):
    """Asks once more whether an attempt may go when it has its connection, just before its bytes are written."""

    def __init__(self, roll: Roll, **params: Any) -> None:
        super().__init__(**params)
        # Connections that check their answers; aiohttp has no public place for them.
        make = functools.partial(BrickConnection, self._loop, roll)
        self._factory = cast(functools.partial[ResponseHandler], make)

    async def connect(self, req: ClientRequest, traces: list[Any], timeout: ClientTimeout) -> Connection:
        """Get a connection for a request that may still go."""
        connection = await super().connect(req, traces, timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            # It got what nobody had asked for while it waited in the pool; the next answer on it could be another's.
            connection.close()
            connection = await super().connect(req, traces, timeout)
        # A connection takes up to its time limit to come up; a drain heard or an answer given meanwhile ends it.
        flight = current.get()
        if flight is not None and not flight.attempt.may_go():
            connection.release()
            raise StaleError
        return connection


async def _headers_sent(_session: Any, _context: Any, _params: Any) -> None:
    flight = current.get()
    if flight is not None and flight.headers_suffice:
        flight.written = True


async def _chunk_sent(_session: Any, _context: Any, _params: Any) -> None:
    flight = current.get()
    if flight is not None:
        flight.written = True


async def _body(response: aiohttp.ClientResponse) -> bytes | None:
    """Read a body; one that is longer than any may be ends its connection instead of filling the memory."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MOST_BODY:
            response.close()
            return None
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
    """The client side towards all bricks. Each attempt is a task; giving it up closes its connection."""

    def __init__(self, settings: Settings, endpoint: Callable[[str], str | None], counters: Counters,
                 log: Callable[[str], None], most: int) -> None:
        self.endpoint, self.counters, self.log, self.most = endpoint, counters, log, most
        self.reports = settings.report_in_answers
        self.tasks: set[asyncio.Task[None]] = set()
        allowed = settings.allowed
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_headers_sent)
        trace.on_request_chunk_sent.append(_chunk_sent)
        # No limit of the connector's: it would queue attempts unseen. `most` turns them away instead.
        self.roll = Roll(most, counters)
        idle_s = IDLE_PART * (allowed.conn_idle_us or 30_000_000) / 1e6
        connector = Connector(self.roll, limit=0, keepalive_timeout=idle_s)
        connect_s = (allowed.connect_timeout_us or CONNECT_US) / 1e6
        self.session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, trust_env=False, cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=PLAIN, trace_configs=[trace],
            timeout=ClientTimeout(total=None, connect=connect_s, sock_connect=connect_s, sock_read=None))
        # aiohttp sends an idempotent request again by itself when a kept connection turns out dead: that would be
        # an attempt that the module knows nothing of. It has no public switch.
        self.session._retry_connection = False

    def start(self, attempt: Attempt) -> Callable[[], None]:
        """Send an attempt; the callable returned gives it up."""
        if len(self.tasks) >= self.most:
            self.counters.add("attempts_without_socket")
            attempt.end(End(Result.CONNECT_FAILED))
            return lambda: None
        task = asyncio.get_running_loop().create_task(self._run(attempt))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

        def stop() -> None:
            task.cancel()

        return stop

    async def _run(self, attempt: Attempt) -> None:
        payload: Payload = attempt.request.payload
        flight = Flight(attempt, not payload.body)
        current.set(flight)
        try:
            end = await self._exchange(attempt, payload)
        except asyncio.CancelledError:
            attempt.end(End(Result.CANCELLED))
            raise
        except StaleError:
            end = End(Result.MOOT)
        except (aiohttp.ClientError, OSError, TimeoutError):
            # Once the last byte was handed over the brick may have run it; before, it cannot have.
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        except Exception:
            self.counters.add("client_faults")
            self.log(traceback.format_exc())
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        attempt.end(end)

    async def _exchange(self, attempt: Attempt, payload: Payload) -> End:
        endpoint = self.endpoint(attempt.node)
        if endpoint is None:
            return End(Result.MOOT)
        headers = {"X-Txn": payload.txn, "X-Remaining-Ms": str(attempt.left_us() // 1000)}
        # encoded=True: the target goes on as the bytes that came.
        async with self.session.request(
                payload.method, URL(f"http://{endpoint}{payload.target}", encoded=True), headers=headers,
                data=payload.body if payload.method == "PUT" else None, allow_redirects=False) as response:
            body = await _body(response)
            return End(Result.ERROR) if body is None else self._end(response, body)

    def _end(self, response: aiohttp.ClientResponse, body: bytes) -> End:
        status, headers = response.status, response.headers
        result = Result.ERROR
        if status in (200, 404):
            result = Result.OK      # 404: the brick looked and holds no such object
        elif status in (503, 504) and headers.get("X-Turned-Away") == "1":
            result = Result.FULL
        elif status != 500:
            self.counters.add("bricks_answered_oddly")
        used = _number(headers.get("X-Iops-Used"))
        return End(result, body if status == 200 else b"", 0 if used is None else 1 + int(used),
                   _number(headers.get("X-Rho")) or 0.0,
                   read_report(headers.get("X-Pressure")) if self.reports else {}, absent=status == 404)

    def probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        """Ask a brick for its load; what comes of it is told once."""
        task = asyncio.get_running_loop().create_task(self._probe(node, told))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        begun, result, report = now_us(), Result.CONNECT_FAILED, dict[str, float]()
        current.set(None)
        try:
            async with asyncio.timeout(PROBE_S), self.session.get(
                    f"http://{self.endpoint(node) or NOWHERE}/load", allow_redirects=False) as response:
                body = await _body(response) or b""
                if response.status == 200:
                    result = Result.OK
                    header = response.headers.get("X-Pressure")
                    report = read_report(header or body.decode("utf-8", "replace").removeprefix("X-Pressure:"))
                else:
                    result = Result.ERROR
        except TimeoutError:
            result = Result.TIMEOUT
        except (aiohttp.ClientError, OSError):
            pass
        told(ProbeResult(node, result, now_us() - begun, report))

    async def close(self) -> None:
        """Give up what is out and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.session.close()
