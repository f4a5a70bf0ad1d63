"""The platform's front: takes clients' requests off HTTP and gives the exchange's answers back. Nothing is decided."""

from __future__ import annotations

import asyncio
import re

from aiohttp import web
from msgspec import structs

from hophinge import interface as api
from hophinge.counters import Counters
from hophinge.exchange import Answer, Exchange, Verdict, giver
from hophinge.figures import FAULTED, FULFILLED, THROTTLED, Ticket
from hophinge.net.listener import Listener
from hophinge.net.payload import MOST_BODY, Payload

# The client counts from when it sent; the answer must be there, written and read, when it stops waiting.
MARGIN_US = 6_000
ID = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
TARGET = re.compile(r"/([^/?#]+)/([0-9a-fA-F]{16})/([0-9a-fA-F]{16})(?:\?[!-\"$-~]*)?", re.ASCII)
PLACEMENT = re.compile(r"units=([0-9]{1,6}(?:\.[0-9]{1,6})?),shard=(-1|[0-9]{1,6}),hosts=([0-9]{1,6})", re.ASCII)
REMAINING = re.compile(r"[0-9]{1,9}", re.ASCII)
DECISIVE = ("X-Txn", "X-Qos-Policy", "X-Remaining-Ms", "X-Placement")
BODY_S = 2.0        # for a body to come; it is 64 KiB at most
TICKET = web.RequestKey("ticket", Ticket)
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502, Verdict.ABSENT: 404}


class MalformedError(Exception):
    """A request that cannot be one of a client's, and the status that says so."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class Reader:
    """Takes out of a request what the decisions need."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {klass.name: at for at, klass in enumerate(settings.classes)}
        self.plans = {plan.name: at for at, plan in enumerate(settings.plans)}
        self.most_units = settings.most_units

    def read(self, request: web.BaseRequest) -> api.Arrival:
        """Read the request's line and headers; the body may still be on its way."""
        headers = request.headers
        if any(len(headers.getall(name, ())) > 1 for name in DECISIVE):
            # Which of two would count is anyone's guess, and a brick's may differ from this one.
            raise MalformedError(400, "a header that must be alone is repeated")
        if request.method not in ("GET", "PUT"):
            raise MalformedError(405, "only GET and PUT are served")
        target = TARGET.fullmatch(request.raw_path)
        if target is None:
            raise MalformedError(400, "the path is not /class/volume/object")
        klass = self.classes.get(target[1])
        if klass is None:
            raise MalformedError(404, "no such class")
        plan = self.plans.get(headers.get("X-Qos-Policy", ""))
        if plan is None:
            raise MalformedError(400, "X-Qos-Policy names no plan")
        txn = headers.get("X-Txn", "")
        if not ID.fullmatch(txn):
            raise MalformedError(400, "X-Txn is not 16 hex digits")
        placement = PLACEMENT.fullmatch(headers.get("X-Placement", ""))
        if placement is None:
            raise MalformedError(400, "X-Placement is malformed")
        units = float(placement[1])
        if not 0 < units <= self.most_units:
            raise MalformedError(400, "X-Placement's units are out of range")
        left = headers.get("X-Remaining-Ms", "")
        if not REMAINING.fullmatch(left):
            raise MalformedError(400, "X-Remaining-Ms is malformed")
        return api.Arrival(
            request=txn, units=units, volume=target[2], klass=klass, shard=int(placement[2]),
            gateways=int(placement[3]), key=target[3], time_left_us=max(0, int(left) * 1000 - MARGIN_US),
            write=request.method == "PUT", plan=plan)


class Front(Listener):
    """One handler for every connection; a connection carries one request at a time."""

    def __init__(self, exchange: Exchange, counters: Counters) -> None:
        super().__init__(counters)
        self.exchange, self.most = exchange, self.most_connections
        self.reader = Reader(exchange.settings)
        self.loop = asyncio.get_running_loop()
        self.ready = False
        self.until_us: int | None = None    # when the last answer is to be out, once the end has begun

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        try:
            response = await self._take(request)
        except MalformedError as error:
            self.counters.add("requests_malformed")
            response = web.Response(status=error.status, text=f"{error.text}\n")
            if request.can_read_body:
                response.force_close()      # the rest of an unread body would be taken for the next request
        return response

    async def _take(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/healthz" and request.method == "GET":
            return web.Response(status=200 if self.ready else 503)
        ask = self.reader.read(request)
        klass = self.exchange.settings.classes[ask.klass].name
        if len(self.busy) > self.most:
            # Sockets are left for bricks and accepts; whoever comes on top is told so, and its connection ends.
            self.counters.add("requests_too_many")
            request[TICKET] = self.exchange.figures.take(klass)
            response = web.Response(status=503, headers={"Retry-After": "1"})
            response.force_close()
            return response
        if self.until_us is not None:
            left = max(0, min(ask.time_left_us, self.until_us - self.exchange.now_us()))
            ask = structs.replace(ask, time_left_us=left)
        body = await self._body(request)
        if ask.request in self.exchange.open:
            raise MalformedError(400, "X-Txn is in use")
        request[TICKET] = self.exchange.figures.take(klass)
        done: asyncio.Future[Answer] = self.loop.create_future()
        payload = Payload(request.method, request.raw_path, ask.request, body)
        self.exchange.arrive(ask, payload, giver(done))
        try:
            answer = await done
        except asyncio.CancelledError:
            self.exchange.depart(ask.request)
            raise
        response = web.Response(status=STATUS[answer.verdict], body=answer.body)
        if answer.verdict is Verdict.REFUSED and answer.retry_after_us > 0:
            response.headers["Retry-After"] = f"{answer.retry_after_us / 1e6:.3f}"
        return response

    def wrote(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Count a request by what its client got, once that is on its way whole."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end({200: FULFILLED, 429: THROTTLED, 503: THROTTLED}.get(response.status, FAULTED))

    def over(self, request: web.BaseRequest) -> None:
        """End a request whose client has left."""
        ticket = request.get(TICKET)
        if ticket is not None:
            ticket.end(None)

    async def _body(self, request: web.BaseRequest) -> bytes:
        if not request.can_read_body:
            return b""
        if request.method == "GET":
            raise MalformedError(400, "a read has no body")
        if (request.content_length or 0) > MOST_BODY:
            raise MalformedError(413, "the body is too large")
        self.invite(request)
        body = bytearray()
        try:
            async with asyncio.timeout(BODY_S):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > MOST_BODY:
                        raise MalformedError(413, "the body is too large")
        except TimeoutError as error:
            raise MalformedError(408, "the body does not come") from error
        except web.RequestPayloadError as error:
            raise MalformedError(400, "the body is malformed") from error
        return bytes(body)
