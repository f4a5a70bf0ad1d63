"""The platform's front: takes clients' requests off HTTP and gives the exchange's answers back. Nothing is decided."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Protocol, cast

from aiohttp import HttpVersion11, web
from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.core.exchange import Answer, Exchange, Rest, Verdict, giver
from hophinge.core.figures import FAULTED, FULFILLED, THROTTLED, Ticket
from hophinge.net.budget import Budget
from hophinge.net.listener import IN, OUT, ClientConnection, Listener, Pace, origin_form
from hophinge.net.payload import MAX_BODY, MAX_LONG, Payload
from hophinge.net.pipeline import READ_S
from hophinge.net.reader import MalformedError, Reader, read_key
from hophinge.net.upload import Upload

BODY_S = 4.0  # for a body to come, and more for each byte that has come
BODY_RATE = 16_000  # bytes a second; slower clients hold a connection for too long
PIECE_S = 2.2  # for its next bytes
KEPT = 1024 * 1024  # of a body, while the budget allows: it may be sent again
RETRY_AFTER_US = 1_000_000  # for whom there is no room, where the settings allow as much
TICKET = web.RequestKey("ticket", Ticket)
ASK = web.RequestKey("ask", api.Arrival)
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502, Verdict.ABSENT: 404}


class Watch(Protocol):
    """Who looks on for tenants, where there are any."""

    def admits(self, connection: object, volume: str) -> bool:
        """Tell whether a request of a volume may come over a connection."""

    def answered(self, ask: api.Arrival, status: int, bytes_in: int, bytes_out: int) -> None:
        """Note an answer that was written whole."""


class Last(Protocol):
    """What is still taken once the end has begun."""

    def left_us(self, klass: int, time_left_us: int, now_us: int) -> int:
        """Tell how long a request may take; 0 where it is not to be taken."""


class Front(Listener):
    """One handler for every connection; a connection carries one request at a time."""

    def __init__(self, exchange: Exchange, counters: Counters, budget: Budget) -> None:
        super().__init__(counters)
        self.budget = budget
        self.exchange, self.most = exchange, self.most_connections
        self.reader = Reader(exchange.settings)
        self.loop = asyncio.get_running_loop()
        self.ready = False
        self.pace: Pace | None = None  # of long bodies
        self.watch: Watch | None = None  # of tenants
        self.last: Last | None = None  # once the end has begun

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        try:
            response = await self._take(request)
        except MalformedError as error:
            self.counters.add("requests_malformed")
            response = web.Response(status=error.status, text=f"{error.text}\n")
        return response

    async def _take(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/healthz" and request.method == "GET":
            return web.Response(status=200 if self.ready else 503)
        ask, key = self.reader.read(request), read_key(request)
        klass = self.exchange.settings.classes[ask.klass].name
        if len(self.busy) > self.most:
            self.counters.add("requests_too_many")
            return self._no_room(request, klass)
        if self.watch is not None:
            request[ASK] = ask
            if not self.watch.admits(request.protocol, ask.volume):
                self.counters.add("requests_turned_away")
                return self._no_room(request, klass)
        chunks: list[bytes] = []
        upload, held = None, 0
        try:
            whole = await self._body(request, chunks)
            body = b"".join(chunks)
            chunks.clear()
            if whole:
                # What it waited behind others on its connection is gone from its client's time.
                waited_us = int(cast(ClientConnection, request.protocol).waited_s() * 1e6)
                ask = structs.replace(ask, time_left_us=max(0, ask.time_left_us - waited_us))
                held = len(body)
                self.budget.held += held
            else:
                upload, body = Upload(body, request.content_length, self.budget), b""
                self.counters.add("bodies_streamed")
            if ask.request in self.exchange.open:
                raise MalformedError(400, "X-Txn is in use")
            request[TICKET] = self.exchange.figures.take(klass)
            done: asyncio.Future[Answer] = self.loop.create_future()
            payload = Payload(request.method, origin_form(request.raw_path), ask.request, body, key, upload)
            if self.last is not None:  # asked now, as a body may have taken its time
                left = self.last.left_us(ask.klass, ask.time_left_us, self.exchange.now_us())
                ask = structs.replace(ask, time_left_us=left)
            self.exchange.arrive(ask, payload, giver(done), upload is None)
            try:
                answer = await (done if upload is None else self._fill(request, upload, ask, done, klass))
            except (asyncio.CancelledError, MalformedError):
                self.exchange.depart(ask.request)
                raise
        finally:
            self.budget.held -= held
            if upload is not None:
                upload.end(False)
                upload.drop()
        if answer.rest is not None:
            return await self._pass_on(request, answer, answer.rest, ask.volume, klass)
        response = web.Response(status=STATUS[answer.verdict], body=answer.body)
        if answer.verdict is Verdict.REFUSED and answer.retry_after_us > 0:
            response.headers["Retry-After"] = f"{answer.retry_after_us / 1e6:.3f}"
        return response

    def _no_room(self, request: web.BaseRequest, klass: str) -> web.Response:
        """Tell who comes on top that sockets are left for bricks and accepts; its connection ends."""
        request[TICKET] = self.exchange.figures.take(klass)
        advice_us = min(RETRY_AFTER_US, self.exchange.settings.allowed.retry_after_us)
        response = web.Response(status=503, headers={"Retry-After": f"{advice_us / 1e6:g}"} if advice_us > 0 else {})
        if not cast(ClientConnection, request.protocol).more:  # each that has come behind is owed an answer too
            response.force_close()
        return response

    def wrote(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Count a request by what its client got, once that is on its way whole."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end({200: FULFILLED, 429: THROTTLED, 503: THROTTLED}.get(response.status, FAULTED))
        if self.watch is not None and (ask := request.get(ASK)) is not None:
            self.watch.answered(ask, response.status, request.content.total_bytes, response.body_length)

    def over(self, request: web.BaseRequest) -> None:
        """End a request whose client has left."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end(None)

    async def _pass_on(
        self, request: web.BaseRequest, answer: Answer, rest: Rest, volume: str, klass: str
    ) -> web.StreamResponse:
        """Write an answer as it comes; the client's pace is the brick's."""
        response = web.StreamResponse(status=STATUS[answer.verdict])
        response.content_length = rest.length  # where it is not known, chunks or the connection's end tell it
        if self.final(request.protocol) or (rest.length is None and request.version < HttpVersion11):
            response.force_close()
        chunk = answer.body
        try:
            await response.prepare(request)
            while chunk:
                self.budget.held += len(chunk)
                try:
                    async with asyncio.timeout(READ_S):
                        await response.write(chunk)
                finally:
                    self.budget.held -= len(chunk)
                if self.pace is not None:
                    await self.pace(volume, klass, OUT, len(chunk))
                chunk = await rest.read()
        except (ConnectionError, TimeoutError):
            # Spoilt, or its client has gone or does not read. The end comes before the stated length or the last
            # chunk, so whoever is still there can tell.
            self.counters.add("answers_broken_off")
            if (ticket := request.get(TICKET)) is not None:
                ticket.end(FAULTED)
            if request.transport is not None:
                request.transport.abort()
        finally:
            rest.close()
        return response

    async def _body(self, request: web.BaseRequest, body: list[bytes]) -> bool:
        """Read a body; False where it goes on beyond what may be kept."""
        if not request.can_read_body:
            return True
        if (request.content_length or 0) > MAX_LONG:
            raise MalformedError(413, "the body is too large")
        self.invite(request)
        held = 0
        try:
            async for chunk in self._pieces(request):
                body.append(chunk)
                held += len(chunk)
                self.budget.held += len(chunk)
                if request.method == "GET":
                    raise MalformedError(400, "a read has no body")
                if held > MAX_BODY and (held > KEPT or self.budget.full):
                    return False
        finally:
            self.budget.held -= held
        return True

    async def _pieces(self, request: web.BaseRequest, begun: int = 0) -> AsyncIterator[bytes]:
        """Read a body piece by piece; who stands still or is far too slow is not waited for."""
        since, size, content = self.loop.time(), 0, request.content
        try:
            while True:
                until = since + BODY_S + size / BODY_RATE
                async with asyncio.timeout(max(0.0, min(PIECE_S, until - self.loop.time()))):
                    chunk = await content.readany()
                if not chunk:
                    return
                size += len(chunk)
                if begun + size > MAX_LONG:
                    raise MalformedError(413, "the body is too large")
                yield chunk
                # While nobody takes what has come, the client is not to blame.
        except TimeoutError as error:
            raise MalformedError(408, "the body does not come") from error
        except web.RequestPayloadError as error:
            raise MalformedError(400, "the body is malformed") from error

    async def _fill(
        self, request: web.BaseRequest, upload: Upload, ask: api.Arrival, done: asyncio.Future[Answer], klass: str
    ) -> Answer:
        """Pass a body on as it comes, until it is whole or its request is answered."""

        async def fill() -> None:
            try:
                async for chunk in self._pieces(request, upload.held):
                    await upload.feed(chunk)
                    if self.pace is not None:
                        await self.pace(ask.volume, klass, IN, len(chunk))
                upload.end(True)
                self.exchange.whole(ask.request)
            finally:
                upload.end(False)  # void after the other

        filling = self.loop.create_task(fill())
        both: set[asyncio.Future[Any]] = {filling, done}
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not done.done():
                filling.result()  # a body that is none ends its request
            return await done
        finally:
            filling.cancel()
            await asyncio.gather(filling, return_exceptions=True)
