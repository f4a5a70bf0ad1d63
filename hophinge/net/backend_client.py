"""The HTTP client of the backends: sends attempts over aiohttp's connections and reports each outcome."""

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
from hophinge.core.exchange import Attempt, AttemptResult
from hophinge.core.interface import ProbeResult, Result, Settings
from hophinge.net.backend_answer import (
    BackendAnswer,
    AnswerRemainder,
    read_body_start,
    attempt_outcome,
    parse_load_report,
)
from hophinge.net.backend_connection import STREAM_STALL_TIMEOUT_S, BackendConnection, BackendProtocolError
from hophinge.net.clock import now_us
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.payload import MAX_LONG_BODY, Payload
from hophinge.net.connection_pool import ConnectionPool
from hophinge.net.connection_registry import ConnectionRegistry
from hophinge.net.request_body import RequestBodyStream, RequestBodyError

# Fraction of the time after which a backend closes an idle connection; a request sent while it closes would be reset.
IDLE_TIMEOUT_FRACTION = 0.5
PROBE_TIMEOUT_S = 0.25  # a working backend answers a probe at once, without queueing it
UNREACHABLE_ENDPOINT = "127.0.0.1:0"  # used for a backend that is not listed: connects to it are refused
DEFAULT_CONNECT_TIMEOUT_US = 250_000  # if the settings contain no limit


class AttemptWithdrawnError(Exception):
    """The attempt was withdrawn before any byte of it was written."""


class BackendConnector(TCPConnector):
    """aiohttp's connector, making BackendConnection objects; its own pool is not used."""

    def __init__(self, registry: ConnectionRegistry, budget: ByteBudget, **params: Any) -> None:
        super().__init__(**params)
        # aiohttp has no public way to set the protocol class.
        protocol_factory = functools.partial(BackendConnection, self._loop, registry, budget)
        self._factory = cast(functools.partial[ResponseHandler], protocol_factory)


class RequestProgress:
    """Records whether the last byte of a request has been handed to the transport."""

    __slots__ = ("on_sent", "is_sent")

    def __init__(self, on_sent: Callable[[], None] | None = None) -> None:
        self.on_sent = on_sent
        self.is_sent = False

    def mark_sent(self) -> None:
        """Record that the last byte has been handed over."""
        self.is_sent = True
        if self.on_sent is not None:
            self.on_sent()


def _request_head(payload: Payload, endpoint: str | None, remaining_us: int) -> bytes:
    """Return an attempt's request line and headers; the target is forwarded exactly as received."""
    upload, length = payload.upload, ""
    if upload is not None and upload.length is None:
        length = "Transfer-Encoding: chunked\r\n"
    elif payload.method == "PUT":
        length = f"Content-Length: {len(payload.body) if upload is None else upload.length}\r\n"
    head = (
        f"{payload.method} {payload.target} HTTP/1.1\r\nHost: {endpoint}\r\nX-Txn: {payload.txn}\r\n"
        f"X-Remaining-Ms: {remaining_us // 1000}\r\n{length}"
    )
    return head.encode() + payload.idempotency_header + b"\r\n"


class BackendClient:
    """The client of all backends. Each attempt is a task; cancelling it closes its connection.

    It uses aiohttp's connector, connections and parser, but not its session. The session costs more per request than
    everything else here, and it resends an idempotent request by itself when a reused connection has failed, which
    would be an attempt unknown to the scheduler.
    """

    def __init__(
        self,
        settings: Settings,
        endpoint: Callable[[str], str | None],
        counters: Counters,
        log: Callable[[str], None],
        budget: ByteBudget,
        max_attempts: int = 256,
    ) -> None:
        self.endpoint = endpoint
        self.counters = counters
        self.log = log
        self.max_attempts = max_attempts
        self.reads_load_reports = settings.report_in_answers
        self.tasks: set[asyncio.Task[None]] = set()
        allowed = settings.allowed
        # The connector has no limit, as it would queue attempts out of sight; `max_attempts` rejects them instead.
        self.registry = ConnectionRegistry(max_attempts, counters, log)
        idle_s = IDLE_TIMEOUT_FRACTION * (allowed.conn_idle_us or 30_000_000) / 1e6
        self.connector = BackendConnector(self.registry, budget, limit=0)
        self.pool = ConnectionPool(
            self._connect,
            self.registry,
            counters,
            (allowed.connect_timeout_us or DEFAULT_CONNECT_TIMEOUT_US) / 1e6,
            idle_s,
        )
        # by endpoint: the request object that the connector needs to open a connection
        self.connect_requests: dict[str, ClientRequest] = {}

    def retain(self, endpoints: Iterable[str]) -> None:
        """Discard the state of all endpoints but these."""
        in_use = set(endpoints)
        self.registry.retain(in_use)
        self.pool.retain(in_use)
        self.connect_requests = {
            endpoint: request for endpoint, request in self.connect_requests.items() if endpoint in in_use
        }

    async def _connect(self, endpoint: str) -> BackendConnection:
        """Open a connection to an endpoint."""
        request = self.connect_requests.get(endpoint)
        if request is None:
            request = self.connect_requests[endpoint] = ClientRequest(
                "GET", URL(f"http://{endpoint}"), loop=asyncio.get_running_loop()
            )
        return cast(BackendConnection, await self.connector._create_connection(request, [], ClientTimeout(total=None)))

    def start(self, attempt: Attempt) -> Callable[[], None]:
        """Send an attempt; returns a callable that cancels it."""
        if len(self.tasks) >= self.max_attempts:
            self.counters.add("attempts_without_socket")
            attempt.end(AttemptResult(Result.CONNECT_FAILED))
            return lambda: None
        task = self._create_task(self._run_attempt(attempt))

        def stop() -> None:
            task.cancel()

        return stop

    def _create_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run_attempt(self, attempt: Attempt) -> None:
        payload: Payload = attempt.request.payload
        progress, endpoint = RequestProgress(attempt.record_sent), self.endpoint(attempt.node)

        def request_head() -> bytes:
            # A connect can take up to its time-out; meanwhile a drain or another answer may withdraw the attempt.
            if not attempt.may_send():
                raise AttemptWithdrawnError
            return _request_head(payload, endpoint, attempt.begin_sending())

        try:
            if endpoint is None:
                raise AttemptWithdrawnError
            answer = await self._exchange(endpoint, request_head, progress, attempt)
            outcome = attempt_outcome(
                answer, self.reads_load_reports, self.counters, attempt.request.arrival.shard >= 0
            )
            if answer.rest is not None:
                outcome = AttemptResult(await answer.rest.done, b"", outcome.used, outcome.elsewhere, outcome.report)
        except asyncio.CancelledError:
            attempt.end(AttemptResult(Result.CANCELLED))
            raise
        except AttemptWithdrawnError:
            outcome = AttemptResult(Result.MOOT)
        except (aiohttp.ClientError, HttpProcessingError, OSError, TimeoutError, RequestBodyError):
            # The backend may have executed the request once its last byte was handed over; before that it cannot have.
            outcome = AttemptResult(Result.RESET if progress.is_sent else Result.CONNECT_FAILED)
        except Exception:
            self.counters.add("client_faults")
            self.log(traceback.format_exc())
            outcome = AttemptResult(Result.RESET if progress.is_sent else Result.CONNECT_FAILED)
        attempt.end(outcome)

    async def _exchange(
        self,
        endpoint: str,
        request_head: Callable[[], bytes],
        progress: RequestProgress,
        attempt: Attempt | None = None,
    ) -> BackendAnswer:
        """Write a request and read its answer; on any error the connection is closed.

        Raises:
            AttemptWithdrawnError: the attempt was withdrawn before a byte was written.
            BackendProtocolError: the answer is malformed.
            OSError: the connection failed, or was not established in time (TimeoutError).

        """
        answer: BackendAnswer | None = None
        protocol = await self.pool.acquire(endpoint)
        try:
            await self._write_request(protocol, request_head, attempt)
            progress.mark_sent()
            message, stream = await protocol.read()
            if protocol.has_unsent and message.code not in (503, 504):
                # A backend that has not received the complete request can only reject it.
                raise BackendProtocolError("the backend answered before it had received the complete request")
            received_us, stated = now_us(), message.headers.get("Content-Length")
            length = None if stated is None else int(stated)
            body, is_complete = await read_body_start(stream, protocol, length if attempt is not None else 0)
            answer = BackendAnswer(message.code, message.headers, body)
            if not is_complete:
                rest = AnswerRemainder(protocol, stream, len(body), length)
                if attempt is None or message.code != 200 or not attempt.begin_stream(body, rest, received_us):
                    raise BackendProtocolError("the remainder of a long answer has no reader")
                answer.rest = rest
                if await asyncio.shield(rest.done) is not Result.OK:
                    protocol.close()
                    return answer
        except AttemptWithdrawnError:
            raise
        except BaseException as error:
            protocol.close()
            if answer is not None and answer.rest is not None:
                answer.rest.end(Result.CANCELLED)
            raise error
        self.pool.release(protocol)
        return answer

    async def _write_request(
        self, protocol: BackendConnection, request_head: Callable[[], bytes], attempt: Attempt | None
    ) -> None:
        """Write a request's head and body; releases the connection if the attempt was withdrawn before that."""
        transport = cast(asyncio.Transport, protocol.transport)
        try:
            head = request_head()
        except AttemptWithdrawnError:
            self.pool.release(protocol)  # nothing was written, so the connection can be reused
            raise
        # The stream's own limit is set too high to take effect: flow control counts the buffers of all connections.
        protocol.set_response_params(read_until_eof=True, auto_decompress=False, read_bufsize=2 * MAX_LONG_BODY)
        transport.write(head)
        if attempt is None:
            return
        payload: Payload = attempt.request.payload
        if payload.body:
            transport.write(payload.body)  # uvloop sends the writes of one iteration together, without a copy
        if payload.upload is not None:
            await self._forward_body(payload.upload, protocol, transport)

    async def _forward_body(
        self, upload: RequestBodyStream, protocol: BackendConnection, transport: asyncio.Transport
    ) -> None:
        """Write a streamed body as it arrives."""
        remaining = upload.length
        while remaining != 0 and (data := await upload.read()):
            if remaining is not None:
                remaining -= len(data)
            else:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            transport.write(data)
            async with asyncio.timeout(STREAM_STALL_TIMEOUT_S):
                await protocol._drain_helper()
            if remaining != 0 and (protocol._buffer or not protocol.is_connected()):
                # The backend answered or closed before it had the complete request, so it has not executed it.
                raise aiohttp.ServerDisconnectedError
        if remaining is None:
            transport.write(b"0\r\n\r\n")

    def probe(self, node: str, on_result: Callable[[ProbeResult], None]) -> None:
        """Probe a backend for its load; `on_result` is called once."""
        self._create_task(self._probe(node, on_result))

    async def _probe(self, node: str, on_result: Callable[[ProbeResult], None]) -> None:
        started_us, result, report = now_us(), Result.CONNECT_FAILED, dict[str, float]()
        endpoint = self.endpoint(node) or UNREACHABLE_ENDPOINT
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await self._exchange(
                    endpoint, lambda: f"GET /load HTTP/1.1\r\nHost: {endpoint}\r\n\r\n".encode(), RequestProgress()
                )
            result = Result.OK if answer.status == 200 else Result.ERROR
            if result is Result.OK:
                header = answer.headers.get("X-Pressure")
                report = parse_load_report(header or answer.body.decode("utf-8", "replace").removeprefix("X-Pressure:"))
        except TimeoutError:
            result = Result.TIMEOUT
        except (aiohttp.ClientError, HttpProcessingError, OSError):
            pass
        on_result(ProbeResult(node, result, now_us() - started_us, report))

    async def close(self) -> None:
        """Cancel all attempts and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.pool.close()
        for connection in list(self.registry.open):
            connection.close()
        await self.connector.close()
