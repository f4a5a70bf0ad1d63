"""The back: carries attempts to bricks on aiohttp's connections, and tells how each ended."""

from __future__ import annotations

import asyncio
import functools
import traceback
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, cast

import aiohttp
from aiohttp import ClientRequest, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from yarl import URL

from hophinge.core.counters import Counters
from hophinge.core.exchange import Attempt, End
from hophinge.core.interface import ProbeResult, Result, Settings
from hophinge.net.answer import Answered, Following, first, read_end, read_report
from hophinge.net.backend_connection import STREAM_STALL_S, BackendConnection, SpoiltError
from hophinge.net.clock import now_us
from hophinge.net.budget import Budget
from hophinge.net.payload import MAX_LONG, Payload
from hophinge.net.pool import Pool
from hophinge.net.roll import Roll
from hophinge.net.upload import Upload, UploadError

IDLE_PART = 0.5  # of the time after which a brick closes an idle connection: used after it is a reset
PROBE_S = 0.25  # a brick that is up answers a probe beside its queue
NOWHERE = "127.0.0.1:0"  # where a brick that no list names is asked: it refuses
CONNECT_US = 250_000  # where the settings state no limit


class StaleError(Exception):
    """The attempt may no longer go; nothing was written."""


class Connector(TCPConnector):
    """aiohttp's way to connect, whose connections check their answers; none is kept in its pool."""

    def __init__(self, roll: Roll, budget: Budget, **params: Any) -> None:
        super().__init__(**params)
        # aiohttp has no public place for a protocol of one's own.
        make = functools.partial(BackendConnection, self._loop, roll, budget)
        self._factory = cast(functools.partial[ResponseHandler], make)


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


class Backends:
    """The client side towards all bricks. Each attempt is a task; giving it up closes its connection.

    It stands on aiohttp's connector, connections and parser, not on its session: that costs more for a request than
    all else here, and sends an idempotent request again by itself when a kept connection turns out dead, which would
    be an attempt that the module knows nothing of.
    """

    def __init__(
        self,
        settings: Settings,
        endpoint: Callable[[str], str | None],
        counters: Counters,
        log: Callable[[str], None],
        budget: Budget,
        most: int = 256,
    ) -> None:
        self.endpoint, self.counters, self.log, self.most = endpoint, counters, log, most
        self.reports = settings.report_in_answers
        self.tasks: set[asyncio.Task[None]] = set()
        allowed = settings.allowed
        # No limit of the connector's: it would queue attempts unseen. `most` turns them away instead.
        self.roll = Roll(most, counters)
        idle_s = IDLE_PART * (allowed.conn_idle_us or 30_000_000) / 1e6
        self.connector = Connector(self.roll, budget, limit=0)
        self.pool = Pool(self._dial, self.roll, counters, (allowed.connect_timeout_us or CONNECT_US) / 1e6, idle_s)
        self.routes: dict[str, ClientRequest] = {}  # by endpoint: what the connector wants to know of it

    def keep(self, endpoints: Iterable[str]) -> None:
        """Forget all bricks but these."""
        kept = set(endpoints)
        self.roll.keep(kept)
        self.pool.keep(kept)
        self.routes = {endpoint: route for endpoint, route in self.routes.items() if endpoint in kept}

    async def _dial(self, endpoint: str) -> BackendConnection:
        """Open a connection."""
        route = self.routes.get(endpoint)
        if route is None:
            route = self.routes[endpoint] = ClientRequest(
                "GET", URL(f"http://{endpoint}"), loop=asyncio.get_running_loop()
            )
        return cast(BackendConnection, await self.connector._create_connection(route, [], ClientTimeout(total=None)))

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
        upload, length = payload.upload, ""
        if upload is not None and upload.length is None:
            length = "Transfer-Encoding: chunked\r\n"
        elif payload.method == "PUT":
            length = f"Content-Length: {len(payload.body) if upload is None else upload.length}\r\n"

        def text() -> bytes:
            # A connection takes up to its time limit to come up; a drain heard or an answer given meanwhile ends it.
            if not attempt.may_go():
                raise StaleError
            # The target goes on as the bytes that came.
            return (
                (
                    f"{payload.method} {payload.target} HTTP/1.1\r\nHost: {endpoint}\r\nX-Txn: {payload.txn}\r\n"
                    f"X-Remaining-Ms: {attempt.goes() // 1000}\r\n{length}"
                ).encode()
                + payload.key_line
                + b"\r\n"
            )

        try:
            if endpoint is None:
                raise StaleError
            answer = await self._ask(endpoint, text, flight, attempt)
            end = read_end(answer, self.reports, self.counters, attempt.request.ask.shard >= 0)
            if answer.rest is not None:
                end = End(await answer.rest.done, b"", end.used, end.elsewhere, end.report)
        except asyncio.CancelledError:
            attempt.end(End(Result.CANCELLED))
            raise
        except StaleError:
            end = End(Result.MOOT)
        except (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError, UploadError):
            # Once the last byte was handed over the brick may have run it; before, it cannot have.
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        except Exception:
            self.counters.add("client_faults")
            self.log(traceback.format_exc())
            end = End(Result.RESET if flight.written else Result.CONNECT_FAILED)
        attempt.end(end)

    async def _ask(
        self, endpoint: str, text: Callable[[], bytes], flight: Flight, attempt: Attempt | None = None
    ) -> Answered:
        """Write a request to a brick and read its answer; whatever goes wrong, the connection is not used again."""
        answer: Answered | None = None
        protocol = await self.pool.take(endpoint)
        try:
            transport = cast(asyncio.Transport, protocol.transport)
            try:
                request = text()
            except StaleError:
                self.pool.put_back(protocol)  # nothing was written: it serves the next request
                raise
            # The stream's own bound is out of reach: what is held is weighed over all connections.
            protocol.set_response_params(read_until_eof=True, auto_decompress=False, read_bufsize=2 * MAX_LONG)
            transport.write(request)
            if attempt is not None:
                payload: Payload = attempt.request.payload
                if payload.body:
                    transport.write(payload.body)  # uvloop sends what one turn writes at once, without a copy
                if payload.upload is not None:
                    await self._pass_on(payload.upload, protocol, transport)
            flight.wrote()
            message, stream = await protocol.read()
            if protocol.unsent and message.code not in (503, 504):
                raise SpoiltError("an answer to a request that is not whole")  # a brick can only turn it away yet
            heard, stated = now_us(), message.headers.get("Content-Length")
            length = None if stated is None else int(stated)
            body, whole = await first(stream, protocol, length if attempt is not None else 0)
            answer = Answered(message.code, message.headers, body)
            if not whole:
                rest = Following(protocol, stream, len(body), length)
                if attempt is None or message.code != 200 or not attempt.begin(body, rest, heard):
                    raise SpoiltError("a long answer that nobody waits for")
                answer.rest = rest
                if await asyncio.shield(rest.done) is not Result.OK:
                    protocol.close()
                    return answer
        except StaleError:
            raise
        except BaseException as error:
            protocol.close()
            if answer is not None and answer.rest is not None:
                answer.rest.end(Result.CANCELLED)
            raise error
        self.pool.put_back(protocol)
        return answer

    async def _pass_on(self, upload: Upload, protocol: BackendConnection, transport: asyncio.Transport) -> None:
        """Write a body as it comes."""
        left = upload.length
        while left != 0 and (data := await upload.read()):
            if left is not None:
                left -= len(data)
            else:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            transport.write(data)
            async with asyncio.timeout(STREAM_STALL_S):
                await protocol._drain_helper()
            if left != 0 and (protocol._buffer or not protocol.is_connected()):
                # It has answered what it has not got yet, or ended: in no case has it run the request.
                raise aiohttp.ServerDisconnectedError
        if left is None:
            transport.write(b"0\r\n\r\n")

    def probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        """Ask a brick for its load; what comes of it is told once."""
        self._task(self._probe(node, told))

    async def _probe(self, node: str, told: Callable[[ProbeResult], None]) -> None:
        begun, result, report = now_us(), Result.CONNECT_FAILED, dict[str, float]()
        endpoint = self.endpoint(node) or NOWHERE
        try:
            async with asyncio.timeout(PROBE_S):
                answer = await self._ask(
                    endpoint, lambda: f"GET /load HTTP/1.1\r\nHost: {endpoint}\r\n\r\n".encode(), Flight()
                )
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
        await self.pool.close()
        for one in list(self.roll.open):
            one.close()
        await self.connector.close()
