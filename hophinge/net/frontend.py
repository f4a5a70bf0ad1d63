"""The platform's front: takes clients' requests off HTTP and gives the exchange's answers back. Nothing is decided."""

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

BODY_TIMEOUT_S = 4.0  # for a body to come, and more for each byte that has come
MIN_BODY_RATE = 16_000  # bytes a second; slower clients hold a connection for too long
CHUNK_TIMEOUT_S = 2.2  # for its next bytes
MAX_RETAINED_BODY = 1024 * 1024  # of a body, while the budget allows: it may be sent again
RETRY_AFTER_US = 1_000_000  # for rejected requests, where the settings allow as much
TICKET = web.RequestKey("ticket", OpenRequestCount)
ASK = web.RequestKey("ask", api.Arrival)
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502, Verdict.ABSENT: 404}


class TenantObserver(Protocol):
    """Decides on connections and counts requests by tenant, where there are tenants."""

    def admits(self, connection: object, volume: str) -> bool:
        """Return whether a connection may carry a request of a volume."""

    def answered(self, ask: api.Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Record an answer that was completely written; sizes are bytes."""


class FinalDrain(Protocol):
    """Decides which requests are accepted while the process drains."""

    def left_us(self, klass: int, time_left_us: int, now_us: int) -> int:
        """Return the microseconds that a request may take; 0 where it must be rejected."""


class Frontend(Listener):
    """The platform's HTTP server; a connection carries one request at a time."""

    def __init__(self, exchange: Exchange, counters: Counters, budget: ByteBudget) -> None:
        super().__init__(counters)
        self.budget = budget
        self.exchange = exchange
        self.max_busy = self.max_connections
        self.reader = RequestParser(exchange.settings)
        self.loop = asyncio.get_running_loop()
        self.ready = False
        self.rate_limit: RateLimit | None = None  # of long bodies
        self.tenant_observer: TenantObserver | None = None  # of tenants
        self.final_drain: FinalDrain | None = None  # once the end has begun

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
        ask, key = self.reader.parse(request), parse_idempotency_key(request)
        klass = self.exchange.settings.classes[ask.klass].name
        if len(self.busy) > self.max_busy:
            self.counters.add("requests_too_many")
            return self._reject_overload(request, klass)
        if self.tenant_observer is not None:
            request[ASK] = ask
            if not self.tenant_observer.admits(request.protocol, ask.volume):
                self.counters.add("requests_turned_away")
                return self._reject_overload(request, klass)
        answer = await self._serve(request, ask, key, klass)
        if answer.stream is not None:
            return await self._stream_answer(request, answer, answer.stream, ask.volume, klass)
        response = web.Response(status=STATUS[answer.verdict], body=answer.body)
        if answer.verdict is Verdict.REFUSED and answer.retry_after_us > 0:
            response.headers["Retry-After"] = f"{answer.retry_after_us / 1e6:.3f}"
        return response

    async def _serve(self, request: web.BaseRequest, ask: api.Arrival, key: bytes, klass: str) -> Answer:
        """Read a request's body, hand the request to the exchange and return the exchange's answer."""
        chunks: list[bytes] = []
        stream, reserved = None, 0
        try:
            complete = await self._read_body(request, chunks)
            body = b"".join(chunks)
            chunks.clear()
            if complete:
                ask = self._deduct_wait(request, ask)
                reserved = len(body)
                self.budget.used += reserved
            else:
                stream, body = RequestBodyStream(body, request.content_length, self.budget), b""
                self.counters.add("bodies_streamed")
            if ask.request in self.exchange.open:
                raise MalformedRequestError(400, "X-Txn is in use")
            request[TICKET] = self.exchange.metrics.open_request(klass)
            done: asyncio.Future[Answer] = self.loop.create_future()
            payload = Payload(request.method, origin_form(request.raw_path), ask.request, body, key, stream)
            ask = self._limit_to_drain(ask)
            self.exchange.arrive(ask, payload, answer_callback(done), stream is None)
            try:
                return await (done if stream is None else self._forward_body(request, stream, ask, done, klass))
            except (asyncio.CancelledError, MalformedRequestError):
                self.exchange.depart(ask.request)
                raise
        finally:
            self.budget.used -= reserved
            if stream is not None:
                stream.finish(False)
                stream.discard()

    def _deduct_wait(self, request: web.BaseRequest, ask: api.Arrival) -> api.Arrival:
        """Deduct from the client's time what its request waited behind others on its connection."""
        waited_us = int(cast(ClientConnection, request.protocol).waited_s() * 1e6)
        return structs.replace(ask, time_left_us=max(0, ask.time_left_us - waited_us))

    def _limit_to_drain(self, ask: api.Arrival) -> api.Arrival:
        """Bound a request's time by this process's end; called once its body is read, which may have taken a while."""
        if self.final_drain is None:
            return ask
        left_us = self.final_drain.left_us(ask.klass, ask.time_left_us, self.exchange.now_us())
        return structs.replace(ask, time_left_us=left_us)

    def _reject_overload(self, request: web.BaseRequest, klass: str) -> web.Response:
        """Reject a request beyond the bound on open ones, so that sockets are left for backends and accepts."""
        request[TICKET] = self.exchange.metrics.open_request(klass)
        advice_us = min(RETRY_AFTER_US, self.exchange.settings.allowed.retry_after_us)
        response = web.Response(status=503, headers={"Retry-After": f"{advice_us / 1e6:g}"} if advice_us > 0 else {})
        connection = cast(ClientConnection, request.protocol)
        if not connection.has_next_request:  # a pipelined request needs its answer, too
            response.force_close()
        return response

    def response_written(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Count a request by the status of its answer, once that is completely written."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end({200: FULFILLED, 429: THROTTLED, 503: THROTTLED}.get(response.status, FAULTED))
        if self.tenant_observer is not None and (ask := request.get(ASK)) is not None:
            self.tenant_observer.answered(ask, response.status, request.content.total_bytes, response.body_length)

    def request_ended(self, request: web.BaseRequest) -> None:
        """End a request whose client has left."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end(None)

    async def _stream_answer(
        self, request: web.BaseRequest, answer: Answer, rest: AnswerStream, volume: str, klass: str
    ) -> web.StreamResponse:
        """Write an answer as it arrives from the backend, at the rate that the client reads."""
        response = web.StreamResponse(status=STATUS[answer.verdict])
        response.content_length = rest.length  # where it is not known, chunks or the connection's end tell it
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
                    async with asyncio.timeout(CLIENT_READ_TIMEOUT_S):
                        await response.write(chunk)
                finally:
                    self.budget.used -= len(chunk)
                if self.rate_limit is not None:
                    await self.rate_limit(volume, klass, OUTBOUND, len(chunk))
                chunk = await rest.read()
        except (ConnectionError, TimeoutError):
            # The answer broke off, or its client has gone or does not read. The connection ends before the stated
            # length or the last chunk, so that a client which is still there can tell.
            self.counters.add("answers_broken_off")
            if (ticket := request.get(TICKET)) is not None:
                ticket.end(FAULTED)
            if request.transport is not None:
                request.transport.abort()
        finally:
            rest.close()
        return response

    async def _read_body(self, request: web.BaseRequest, body: list[bytes]) -> bool:
        """Read a body into `body`; returns False where it exceeds what may be retained."""
        if not request.can_read_body:
            return True
        if (request.content_length or 0) > MAX_LONG_BODY:
            raise MalformedRequestError(413, "the body is too large")
        self.send_continue(request)
        held = 0
        try:
            async for chunk in self._body_chunks(request):
                body.append(chunk)
                held += len(chunk)
                self.budget.used += len(chunk)
                if request.method == "GET":
                    raise MalformedRequestError(400, "a read has no body")
                if held > MAX_SHORT_BODY and (held > MAX_RETAINED_BODY or self.budget.is_exhausted):
                    return False
        finally:
            self.budget.used -= held
        return True

    async def _body_chunks(self, request: web.BaseRequest, begun: int = 0) -> AsyncIterator[bytes]:
        """Yield a body's chunks; raises MalformedRequestError where it stalls, is too slow, too long or malformed."""
        since, size, content = self.loop.time(), 0, request.content
        try:
            while True:
                until = since + BODY_TIMEOUT_S + size / MIN_BODY_RATE
                async with asyncio.timeout(max(0.0, min(CHUNK_TIMEOUT_S, until - self.loop.time()))):
                    chunk = await content.readany()
                if not chunk:
                    return
                size += len(chunk)
                if begun + size > MAX_LONG_BODY:
                    raise MalformedRequestError(413, "the body is too large")
                yield chunk
                # Time during which the consumer is slow does not count against the client.
        except TimeoutError as error:
            raise MalformedRequestError(408, "the body does not come") from error
        except web.RequestPayloadError as error:
            raise MalformedRequestError(400, "the body is malformed") from error

    async def _forward_body(
        self,
        request: web.BaseRequest,
        upload: RequestBodyStream,
        ask: api.Arrival,
        done: asyncio.Future[Answer],
        klass: str,
    ) -> Answer:
        """Forward a body as it arrives, until it is complete or its request is answered."""

        async def fill() -> None:
            try:
                async for chunk in self._body_chunks(request, upload.buffered_bytes):
                    await upload.feed(chunk)
                    if self.rate_limit is not None:
                        await self.rate_limit(ask.volume, klass, INBOUND, len(chunk))
                upload.finish(True)
                self.exchange.body_complete(ask.request)
            finally:
                upload.finish(False)  # no effect where it was finished before

        filling = self.loop.create_task(fill())
        both: set[asyncio.Future[Any]] = {filling, done}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not done.done():
                filling.result()  # raises where the body is malformed, which ends its request
            return await done
        finally:
            filling.cancel()
            await asyncio.gather(filling, return_exceptions=True)
