"""The HTTP server for clients: passes their requests to the exchange and writes its answers, without decisions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Protocol, cast

from aiohttp import HttpVersion11, web
from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.core.exchange import Answer, Exchange, AnswerStream, Verdict, answer_callback
from hophinge.core.request_metrics import FAULTED, FULFILLED, THROTTLED, OpenRequestCount
from hophinge.net.byte_budget import ByteBudget
from hophinge.net.listener import INBOUND, OUTBOUND, ClientConnection, Listener, RateLimit, origin_form
from hophinge.net.payload import MAX_SHORT_BODY, MAX_LONG_BODY, Payload
from hophinge.net.pipelined_connection import CLIENT_READ_TIMEOUT_S
from hophinge.net.request_parser import MalformedRequestError, RequestParser, parse_idempotency_key
from hophinge.net.request_body import RequestBodyStream

BODY_TIMEOUT_S = 4.0  # for receiving a body, plus time for each received byte
MIN_BODY_RATE = 16_000  # bytes per second; slower clients occupy a connection for too long
CHUNK_TIMEOUT_S = 2.2  # for the next bytes of a body
MAX_RETAINED_BODY = 1024 * 1024  # bytes of a body kept for retries, while the budget allows; longer ones are streamed
RETRY_AFTER_US = 1_000_000  # for rejected requests, unless the settings allow less
OPEN_COUNT = web.RequestKey("ticket", OpenRequestCount)
ARRIVAL = web.RequestKey("ask", api.Arrival)
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502, Verdict.ABSENT: 404}


class TenantObserver(Protocol):
    """Admits requests to connections and counts them by tenant, if tenants are configured."""

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a connection may carry a request for a volume."""

    def answered(self, arrival: api.Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Record an answer that was written completely; sizes are in bytes."""


class FinalDrain(Protocol):
    """Decides which requests are still accepted while the process drains."""

    def left_us(self, klass: int, time_left_us: int, now_us: int) -> int:
        """Return the microseconds that a request may take; 0 where it must be rejected."""


class Frontend(Listener):
    """The HTTP server for clients' requests; a connection carries one request at a time."""

    def __init__(self, exchange: Exchange, counters: Counters, budget: ByteBudget) -> None:
        super().__init__(counters)
        self.budget = budget
        self.exchange = exchange
        self.max_busy = self.max_connections
        self.parser = RequestParser(exchange.settings)
        self.loop = asyncio.get_running_loop()
        self.ready = False
        self.rate_limit: RateLimit | None = None  # for long bodies
        self.tenant_observer: TenantObserver | None = None  # None without tenants
        self.final_drain: FinalDrain | None = None  # set when the process begins to drain

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        try:
            response = await self._answer(request)
        except MalformedRequestError as error:
            self.counters.add("requests_malformed")
            response = web.Response(status=error.status, text=f"{error.text}\n")
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/healthz" and request.method == "GET":
            return web.Response(status=200 if self.ready else 503)
        arrival, key = self.parser.parse(request), parse_idempotency_key(request)
        klass = self.exchange.settings.classes[arrival.klass].name
        if len(self.busy) > self.max_busy:
            self.counters.add("requests_too_many")
            return self._reject_overload(request, klass)
        if self.tenant_observer is not None:
            request[ARRIVAL] = arrival
            if not self.tenant_observer.admits(request.protocol, arrival.volume):
                self.counters.add("requests_turned_away")
                return self._reject_overload(request, klass)
        answer = await self._serve(request, arrival, key, klass)
        if answer.stream is not None:
            return await self._stream_answer(request, answer, answer.stream, arrival.volume, klass)
        response = web.Response(status=STATUS[answer.verdict], body=answer.body)
        if answer.verdict is Verdict.REFUSED and answer.retry_after_us > 0:
            response.headers["Retry-After"] = f"{answer.retry_after_us / 1e6:.3f}"
        return response

    async def _serve(self, request: web.BaseRequest, arrival: api.Arrival, key: bytes, klass: str) -> Answer:
        """Read a request's body, pass the request to the exchange and return the exchange's answer."""
        chunks: list[bytes] = []
        stream, reserved = None, 0
        try:
            complete = await self._read_body(request, chunks)
            body = b"".join(chunks)
            chunks.clear()
            if complete:
                arrival = self._deduct_wait(request, arrival)
                reserved = len(body)
                self.budget.used += reserved
            else:
                stream, body = RequestBodyStream(body, request.content_length, self.budget), b""
                self.counters.add("bodies_streamed")
            if arrival.request in self.exchange.open:
                raise MalformedRequestError(400, "X-Txn is in use")
            request[OPEN_COUNT] = self.exchange.metrics.open_request(klass)
            done: asyncio.Future[Answer] = self.loop.create_future()
            payload = Payload(request.method, origin_form(request.raw_path), arrival.request, body, key, stream)
            arrival = self._limit_to_drain(arrival)
            self.exchange.arrive(arrival, payload, answer_callback(done), stream is None)
            try:
                return await (done if stream is None else self._forward_body(request, stream, arrival, done, klass))
            except (asyncio.CancelledError, MalformedRequestError):
                self.exchange.depart(arrival.request)
                raise
        finally:
            self.budget.used -= reserved
            if stream is not None:
                stream.finish(False)
                stream.discard()

    def _deduct_wait(self, request: web.BaseRequest, arrival: api.Arrival) -> api.Arrival:
        """Deduct the time that a request waited behind others on its connection from its remaining time."""
        waited_us = int(cast(ClientConnection, request.protocol).waited_s() * 1e6)
        return structs.replace(arrival, time_left_us=max(0, arrival.time_left_us - waited_us))

    def _limit_to_drain(self, arrival: api.Arrival) -> api.Arrival:
        """Bound a request's time by the end of the drain; called once its body is read, as that may have taken long."""
        if self.final_drain is None:
            return arrival
        left_us = self.final_drain.left_us(arrival.klass, arrival.time_left_us, self.exchange.now_us())
        return structs.replace(arrival, time_left_us=left_us)

    def _reject_overload(self, request: web.BaseRequest, klass: str) -> web.Response:
        """Reject a request above the limit of open ones, or one that its tenant's limits do not admit.

        The connection is closed with the answer, so that sockets remain for backends and accepts.
        """
        request[OPEN_COUNT] = self.exchange.metrics.open_request(klass)
        advice_us = min(RETRY_AFTER_US, self.exchange.settings.allowed.retry_after_us)
        response = web.Response(status=503, headers={"Retry-After": f"{advice_us / 1e6:g}"} if advice_us > 0 else {})
        connection = cast(ClientConnection, request.protocol)
        if not connection.has_next_request:  # a pipelined request behind this one must be answered, too
            response.force_close()
        return response

    def response_written(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Count a request by the status of its answer, once that is written completely."""
        open_count = request.get(OPEN_COUNT)
        if open_count is not None:
            open_count.end({200: FULFILLED, 429: THROTTLED, 503: THROTTLED}.get(response.status, FAULTED))
        if self.tenant_observer is not None and (arrival := request.get(ARRIVAL)) is not None:
            self.tenant_observer.answered(arrival, response.status, request.content.total_bytes, response.body_length)

    def request_ended(self, request: web.BaseRequest) -> None:
        """End the count of a request whose client has disconnected; no effect if it was answered."""
        open_count = request.get(OPEN_COUNT)
        if open_count is not None:
            open_count.end(None)

    async def _stream_answer(
        self, request: web.BaseRequest, answer: Answer, rest: AnswerStream, volume: str, klass: str
    ) -> web.StreamResponse:
        """Write an answer as it arrives from the backend, at the rate at which the client reads."""
        response = web.StreamResponse(status=STATUS[answer.verdict])
        response.content_length = rest.length  # None: ended by the last chunk, or by closing the connection
        if self.is_final_response(cast(ClientConnection, request.protocol)) or (
            rest.length is None and request.version < HttpVersion11
        ):
            response.force_close()
        chunk = answer.body
        try:
            await response.prepare(request)
            while chunk:
                self.budget.used += len(chunk)
                try:
                    if self.rate_limit is not None:
                        await self.rate_limit(volume, klass, OUTBOUND, len(chunk))
                    async with asyncio.timeout(CLIENT_READ_TIMEOUT_S):
                        await response.write(chunk)
                finally:
                    self.budget.used -= len(chunk)
                chunk = await rest.read()
        except (ConnectionError, TimeoutError):
            # The backend's answer was truncated, or the client has disconnected or does not read. The connection is
            # closed before the stated length or the last chunk, so that a remaining client can detect it.
            self.counters.add("answers_broken_off")
            if (open_count := request.get(OPEN_COUNT)) is not None:
                open_count.end(FAULTED)
            if request.transport is not None:
                request.transport.abort()
        finally:
            rest.close()
        return response

    async def _read_body(self, request: web.BaseRequest, body: list[bytes]) -> bool:
        """Read a body into `body`; returns False if it is too long to be retained, with its first bytes in `body`."""
        if not request.can_read_body:
            return True
        if (request.content_length or 0) > MAX_LONG_BODY:
            raise MalformedRequestError(413, "the body is too large")
        self.send_continue(request)
        received = 0
        try:
            async for chunk in self._body_chunks(request):
                body.append(chunk)
                received += len(chunk)
                self.budget.used += len(chunk)
                if request.method == "GET":
                    raise MalformedRequestError(400, "a GET request must not have a body")
                if received > MAX_SHORT_BODY and (received > MAX_RETAINED_BODY or self.budget.is_exhausted):
                    return False
        finally:
            self.budget.used -= received
        return True

    async def _body_chunks(self, request: web.BaseRequest, received: int = 0) -> AsyncIterator[bytes]:
        """Yield a body's chunks; raises MalformedRequestError if it stalls, is too slow, too long or malformed."""
        started_at, size, content = self.loop.time(), 0, request.content
        consumer_s = 0.0  # in which the client waited for the consumer
        try:
            while True:
                deadline = started_at + consumer_s + BODY_TIMEOUT_S + size / MIN_BODY_RATE
                async with asyncio.timeout(max(0.0, min(CHUNK_TIMEOUT_S, deadline - self.loop.time()))):
                    chunk = await content.readany()
                if not chunk:
                    return
                size += len(chunk)
                if received + size > MAX_LONG_BODY:
                    raise MalformedRequestError(413, "the body is too large")
                yielded_at = self.loop.time()
                yield chunk
                consumer_s += self.loop.time() - yielded_at
        except TimeoutError as error:
            raise MalformedRequestError(408, "timed out waiting for the request body") from error
        except web.RequestPayloadError as error:
            raise MalformedRequestError(400, "the body is malformed") from error

    async def _forward_body(
        self,
        request: web.BaseRequest,
        upload: RequestBodyStream,
        arrival: api.Arrival,
        done: asyncio.Future[Answer],
        klass: str,
    ) -> Answer:
        """Forward a body as it arrives, and return the answer, which may arrive before the body is complete."""

        async def fill() -> None:
            try:
                async for chunk in self._body_chunks(request, upload.buffered_bytes):
                    await upload.feed(chunk)
                    if self.rate_limit is not None:
                        await self.rate_limit(arrival.volume, klass, INBOUND, len(chunk))
                upload.finish(True)
                self.exchange.body_complete(arrival.request)
            finally:
                upload.finish(False)  # no effect if it was finished before

        fill_task = self.loop.create_task(fill())
        fill_or_answer: set[asyncio.Future[Any]] = {fill_task, done}
        try:
            await asyncio.wait(fill_or_answer, return_when=asyncio.FIRST_COMPLETED)
            if not done.done():
                fill_task.result()  # raises if the body is malformed, which ends the request
            return await done
        finally:
            fill_task.cancel()
            await asyncio.gather(fill_task, return_exceptions=True)
