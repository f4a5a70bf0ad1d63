"""Carries one request: does what its life says, and tells how each attempt ended."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import anyio
import httpcore

from hophinge.fleet.dataplane.upstream import FAILURES, UNSENT, Call, Upstream
from hophinge.fleet.forwarding.cuts import Side, Step
from hophinge.fleet.forwarding.events import EventReader
from hophinge.fleet.forwarding.headers import (
    DEADLINE,
    EXPECTED_INSTANCE,
    KV_FROM,
    LAST_EVENT_ID,
    PRIORITY,
    SERVING_STAGE,
    Fields,
    find,
    returned,
)
from hophinge.fleet.forwarding.life import GiveUp, Life, Pause, Read, Run
from hophinge.fleet.forwarding.results import (
    Ending,
    Handle,
    Result,
    belongs,
    may_be_passed_on,
    stamped,
    unexecuted,
)
from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.pool import Reservation
from hophinge.fleet.transport.asgi import Send, answer

MILLISECONDS = 1_000
EVENT_STREAM = "text/event-stream"


class BrokenOffError(Exception):
    """An answer that was begun cannot be brought to its end: the connection is closed, so that the client sees it."""


@dataclass(frozen=True, slots=True)
class Inbound:
    """A client's request."""

    method: bytes
    target: bytes
    fields: Fields  # that go on to instances
    body: bytes
    request_id: str | None


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """How an attempt failed, for those who look for the cause."""

    side: Side
    error: str


def _failure(error: BaseException) -> AttemptFailure:
    """Tell who ended an attempt first: an own close shows as a connection that is closed here, not by its peer."""
    text = f"{type(error).__name__}({error})"
    if isinstance(error, TimeoutError | httpcore.TimeoutException):
        return AttemptFailure(Side.TIME, text)
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, anyio.ClosedResourceError):
            return AttemptFailure(Side.HEAD, text)
        cause = cause.__cause__ or cause.__context__
    return AttemptFailure(Side.INSTANCE, text)


class Exchange:
    """One request on its way."""

    def __init__(self, inbound: Inbound, life: Life, upstream: Upstream, send: Send, closing: bool) -> None:
        self.inbound, self.life, self.upstream, self.send = inbound, life, upstream, send
        self.loop = asyncio.get_running_loop()
        self.closing = closing
        self.started = False  # an answer's head went to the client
        self.answered = False  # the answer has gone out whole
        self.ending = ""  # what the client got
        self.step = Step.CHOOSING
        self.instance = ""  # of the newest attempt
        self.failure: AttemptFailure | None = None  # of the newest attempt, where it failed

    async def run(self) -> None:
        """Go through attempts until the client has its answer; memory read for nothing is freed."""
        try:
            self.ending = "client left"
            self.ending = await self._attempts()
        finally:
            self.life.trace.ended(self.loop.time(), self.ending)
            for handle in self.life.leftover():
                self.upstream.free(handle)

    async def _attempts(self) -> str:
        while True:
            step = self.life.next(self.loop.time())
            if isinstance(step, Pause):
                await asyncio.sleep(step.seconds)
                continue
            if isinstance(step, GiveUp):
                break
            result = Result(Ending.UNKNOWN)
            self.instance, self.failure = step.placed.node.instance.identity, None
            self._at(Step.READING if isinstance(step, Read) else Step.WAITING)
            try:
                result = await (self._read(step) if isinstance(step, Read) else self._run(step))
            finally:
                over = self.life.ended(self.loop.time(), step.placed, result)
            if over:
                return result.ending.name
            self._at(Step.CHOOSING)
        if self.started:
            self.ending = "broken off"
            raise BrokenOffError
        headers = [] if step.come_back_s is None else [(b"retry-after", f"{step.come_back_s:.2f}".encode())]
        await self._answer(step.status, b"", [*headers, *self._closing()])
        return f"refused {step.status}"

    async def _answer(self, status: int, body: bytes, fields: Fields) -> None:
        """Answer the client whole."""
        await answer(self.send, status, body, fields)
        self.answered = True

    def _at(self, step: Step) -> None:
        """Note how far the request has got; what has begun to go to the client stays begun."""
        self.step = Step.ANSWERING if self.started else step

    def _closing(self) -> Fields:
        return [(b"connection", b"close")] if self.closing else []

    def _call(self, step: Read | Run, extra: Fields) -> Call:
        node = step.placed.node
        left = self.life.deadline - self.loop.time()
        fields = [
            *self.inbound.fields,
            (DEADLINE, str(max(1, int(left * MILLISECONDS))).encode()),
            (EXPECTED_INSTANCE, node.instance.identity.encode()),
            *extra,
        ]
        if self.life.staged:
            fields.append((PRIORITY, str(step.priority).encode()))
        return Call(node.instance.address, self.inbound.method, self.inbound.target, fields, self.inbound.body, left)

    # --- prefill -------------------------------------------------------------------------------------------------

    async def _read(self, step: Read) -> Result:
        node = step.placed.node
        call = self._call(step, [(SERVING_STAGE, b"prefill")])
        try:
            async with asyncio.timeout(call.left_s), self.upstream.call(node.instance.identity, call) as response:
                if not belongs(response.headers, self.inbound.request_id):
                    return Result(Ending.UNKNOWN)  # unread: its connection is closed, the own answer may be behind
                body = await response.aread()
                refused = unexecuted(response.status, response.headers)
                if refused is not None:
                    return Result(refused)
                return self._handle(node, response.status, body)
        except UNSENT:
            return Result(Ending.UNSENT)
        except (*FAILURES, TimeoutError) as error:
            self.failure = _failure(error)
            return Result(Ending.UNKNOWN)

    def _handle(self, node: Node, status: int, body: bytes) -> Result:
        if status != 200:
            return Result(Ending.UNKNOWN)
        try:
            raw = json.loads(body)
            name, tokens = str(raw["prefill-handle"]), int(raw.get("tokens", 0))
        except (ValueError, KeyError, TypeError):
            return Result(Ending.UNKNOWN)
        return Result(Ending.READ, Handle(node.instance.identity, node.instance.address, name, tokens))

    # --- the run -------------------------------------------------------------------------------------------------

    async def _run(self, step: Run) -> Result:
        node = step.placed.node
        extra: Fields = []
        if step.handle is not None:
            extra.append((KV_FROM, f"{step.handle.address}/{step.handle.identity}".encode()))
        call = self._call(step, extra)
        if step.event_id is not None:
            fields = [field for field in call.fields if field[0].lower() != LAST_EVENT_ID]
            call.fields[:] = [*fields, (LAST_EVENT_ID, step.event_id.encode())]
        reader = EventReader()
        try:
            async with asyncio.timeout(call.left_s), self.upstream.call(node.instance.identity, call) as response:
                return await self._answered(step.placed, response, reader)
        except UNSENT:
            return Result(Ending.UNSENT)
        except (*FAILURES, TimeoutError) as error:
            self.failure = _failure(error)
            return Result(Ending.BROKEN if self.started else Ending.UNKNOWN, event_id=reader.last_id)

    async def _answered(self, placed: Reservation, response: httpcore.Response, reader: EventReader) -> Result:
        fields = response.headers
        if not belongs(fields, self.inbound.request_id):
            return self._unfit("the answer is another request's")
        refused = unexecuted(response.status, fields)
        if refused is not None:
            await response.aread()
            self.failure = AttemptFailure(Side.INSTANCE, f"not executed, {response.status}")
            return Result(refused)
        if not may_be_passed_on(response.status) or (200 <= response.status < 300 and not stamped(fields)):
            return self._unfit(f"status {response.status} may not be passed on")
        if response.status == 200 and (find(fields, b"content-type") or "").startswith(EVENT_STREAM):
            return await self._stream(placed, response, reader)
        body = await response.aread()
        if self.started:
            return Result(Ending.BROKEN, event_id=reader.last_id)
        head = [field for field in returned(fields) if field[0].lower() != b"content-length"]
        await self._answer(response.status, body, [*head, *self._closing()])
        return Result(Ending.ANSWERED if response.status < 500 else Ending.FAILED)

    def _unfit(self, why: str) -> Result:
        self.failure = AttemptFailure(Side.INSTANCE, why)
        return Result(Ending.UNKNOWN)

    async def _stream(self, placed: Reservation, response: httpcore.Response, reader: EventReader) -> Result:
        """Pass events on as they come; the end is passed on only where the instance's own answer was whole."""
        if not self.started:
            head = [*returned(response.headers), *self._closing()]
            await self.send({"type": "http.response.start", "status": response.status, "headers": head})
            self.started = True
            self.step = Step.ANSWERING
        async for chunk in response.aiter_stream():
            whole = reader.feed(chunk)
            if whole:
                if not placed.is_streaming:
                    self.life.streaming(self.loop.time(), placed)
                await self.send({"type": "http.response.body", "body": whole, "more_body": True})
        await self.send({"type": "http.response.body", "body": reader.rest})
        self.answered = True
        return Result(Ending.ANSWERED)
