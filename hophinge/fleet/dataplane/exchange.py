"""Runs one request: performs the steps of its lifecycle and reports the result of each attempt."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import anyio
import httpcore

from hophinge.fleet.dataplane.connections import RequestContext
from hophinge.fleet.dataplane.response_buffers import ResponseReader
from hophinge.fleet.dataplane.upstream import (
    MAX_SHORT_BODY_BYTES,
    SHORT_BODY_TIMEOUT_S,
    UNSENT_ERRORS,
    UPSTREAM_ERRORS,
    Call,
    CallKind,
    Upstream,
    is_peer_silent,
)
from hophinge.fleet.forwarding.aborted_responses import AbortSide, RequestPhase
from hophinge.fleet.forwarding.events import EventReader
from hophinge.fleet.forwarding.headers import (
    DEADLINE,
    EXPECTED_INSTANCE,
    KV_FROM,
    LAST_EVENT_ID,
    PRIORITY,
    SERVING_STAGE,
    Fields,
    find_field,
    is_close_delimited,
    returned_fields,
)
from hophinge.fleet.forwarding.prefill_response import parse_handle
from hophinge.fleet.forwarding.request_lifecycle import Reject, RequestLifecycle, Backoff, Prefill, Generate
from hophinge.fleet.forwarding.attempt_results import (
    AttemptOutcome,
    KvHandle,
    AttemptResult,
    may_forward_status,
    is_signed,
    unexecuted_outcome,
)
from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.pool import Reservation
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.transport.asgi import CLOSE, Send, answer
from hophinge.fleet.transport.bounded_call import check_stated_length, log_rejected_response, read_short_body
from hophinge.fleet.transport.bounded_stream import Limit, ResponseLimitError
from hophinge.fleet.transport.client_memory import MemoryReservation

MILLISECONDS = 1_000
EVENT_STREAM = "text/event-stream"


class ResponseAbortedError(Exception):
    """A started response cannot be completed: the connection is closed, so that the client notices."""


@dataclass(frozen=True, slots=True)
class Inbound:
    """A client's request."""

    method: bytes
    target: bytes
    fields: Fields  # forwarded to instances
    body: bytes
    request_id: str | None


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt failed, for the operator's log."""

    side: AbortSide
    error: str


def _classify_failure(error: BaseException) -> AttemptFailure:
    """Return which side ended an attempt first; only a close on this side raises ClosedResourceError."""
    text = f"{type(error).__name__}({error})"
    if _is_own_timeout(error):
        return AttemptFailure(AbortSide.TIME, text)
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, anyio.ClosedResourceError):
            return AttemptFailure(AbortSide.HEAD, text)
        cause = cause.__cause__ or cause.__context__
    return AttemptFailure(AbortSide.INSTANCE, text)


def _is_own_timeout(error: BaseException) -> bool:
    """Return whether a timeout of this head ended an attempt."""
    return isinstance(error, TimeoutError | httpcore.TimeoutException)


class Exchange:
    """One request in flight."""

    def __init__(
        self,
        inbound: Inbound,
        lifecycle: RequestLifecycle,
        upstream: Upstream,
        send: Send,
        is_shutting_down: bool,
        memory: MemoryReservation,
    ) -> None:
        self.inbound = inbound
        self.lifecycle = lifecycle
        self.upstream = upstream
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.is_shutting_down = is_shutting_down
        self.memory = memory  # for responses that are read whole
        self.is_response_started = False  # its header was sent to the client
        self.is_response_complete = False  # all of it was sent
        self.outcome = ""  # for the client, as in the request log
        self.phase = RequestPhase.CHOOSING
        self.instance = ""  # of the latest attempt
        self.failure: AttemptFailure | None = None  # of the latest attempt
        self.context = RequestContext(inbound.request_id)
        self.recorded_surplus = 0  # surplus responses already recorded for earlier attempts

    async def run(self) -> None:
        """Run attempts until the client has its response; then free the KV handles that were not used."""
        try:
            self.outcome = "client left"
            self.outcome = await self._run_attempts()
        finally:
            self.lifecycle.close()
            self.lifecycle.trace.complete(self.loop.time(), self.outcome)
            for handle in self.lifecycle.collect_unused_handles():
                self.upstream.free_handle(handle)

    async def _run_attempts(self) -> str:
        while True:
            step = self.lifecycle.next_step(self.loop.time())
            if isinstance(step, Backoff):
                await asyncio.sleep(step.seconds)
                continue
            if isinstance(step, Reject):
                break
            result = AttemptResult(AttemptOutcome.UNKNOWN, is_abandoned=True)
            self.instance = step.reservation.node.instance.identity
            self.failure = None
            self._enter_phase(RequestPhase.READING if isinstance(step, Prefill) else RequestPhase.WAITING)
            try:
                result = await (self._prefill(step) if isinstance(step, Prefill) else self._generate(step))
            finally:
                is_complete = self.lifecycle.complete_attempt(self.loop.time(), step.reservation, result)
                self._record_surplus(step.reservation)
            if is_complete:
                return result.outcome.name
            self._enter_phase(RequestPhase.CHOOSING)
        if self.is_response_started:
            self.outcome = "broken off"
            raise ResponseAbortedError
        headers = [] if step.retry_after_s is None else [(b"retry-after", f"{step.retry_after_s:.2f}".encode())]
        await self._answer(step.status, b"", [*headers, *self._close_fields()])
        return f"refused {step.status}"

    def _record_surplus(self, reservation: Reservation) -> None:
        """Record the surplus responses that the attempt received."""
        surplus = self.context.surplus.responses - self.recorded_surplus
        self.recorded_surplus += surplus
        reservation.node.surplus_rate.record_attempt(self.loop.time(), surplus)

    async def _answer(self, status: int, body: bytes, fields: Fields) -> None:
        """Send the complete response to the client."""
        await answer(self.send, status, body, fields)
        self.is_response_complete = True

    def _enter_phase(self, phase: RequestPhase) -> None:
        """Record the request's phase; once the response has started it stays ANSWERING."""
        self.phase = RequestPhase.ANSWERING if self.is_response_started else phase

    def _close_fields(self) -> Fields:
        return [CLOSE] if self.is_shutting_down else []

    def _build_call(self, step: Prefill | Generate, extra: Fields) -> Call:
        node = step.reservation.node
        remaining_s = self.lifecycle.deadline - self.loop.time()
        fields = [
            *self.inbound.fields,
            (DEADLINE, str(max(1, int(remaining_s * MILLISECONDS))).encode()),
            (EXPECTED_INSTANCE, node.instance.identity.encode()),
            *extra,
        ]
        if self.lifecycle.has_stages:
            fields.append((PRIORITY, str(step.priority).encode()))
        inbound = self.inbound
        return Call(
            node.instance.address,
            inbound.method,
            inbound.target,
            fields,
            inbound.body,
            remaining_s,
            self.context,
            CallKind.PREFILL if isinstance(step, Prefill) else CallKind.REQUEST,
        )

    def _failed_attempt(
        self, error: BaseException, outcome: AttemptOutcome, last_event_id: str | None = None
    ) -> AttemptResult:
        """Return the result of an attempt that may have run, and record why it failed."""
        self.failure = _classify_failure(error)
        return AttemptResult(
            outcome,
            last_event_id=last_event_id,
            is_silent=is_peer_silent(error),
            is_abandoned=_is_own_timeout(error),
        )

    # --- prefill -------------------------------------------------------------------------------------------------

    async def _prefill(self, step: Prefill) -> AttemptResult:
        node = step.reservation.node
        call = self._build_call(step, [(SERVING_STAGE, b"prefill")])
        result: AttemptResult | None = None
        try:
            async with asyncio.timeout(call.timeout_s), self.upstream.call(node.instance.identity, call) as response:
                result = self._refusal(response)
                body = await read_short_body(response, MAX_SHORT_BODY_BYTES, SHORT_BODY_TIMEOUT_S)
                if result is None:
                    result = self._parse_handle(node, response.status, body)
            return result
        except UNSENT_ERRORS as error:
            return AttemptResult(AttemptOutcome.UNSENT, is_silent=is_peer_silent(error))
        except (*UPSTREAM_ERRORS, TimeoutError) as error:
            if result is not None:
                return result  # the response is complete: an error on closing the connection does not matter
            return self._failed_attempt(error, AttemptOutcome.UNKNOWN)

    def _parse_handle(self, node: Node, status: int, body: bytes) -> AttemptResult:
        handle = parse_handle(body) if status == 200 else None
        if handle is None:
            return AttemptResult(AttemptOutcome.UNKNOWN)
        return AttemptResult(AttemptOutcome.READ, KvHandle(node.instance.identity, node.instance.address, handle))

    # --- generation ----------------------------------------------------------------------------------------------

    async def _generate(self, step: Generate) -> AttemptResult:
        node = step.reservation.node
        extra: Fields = []
        if step.handle is not None:
            extra.append((KV_FROM, f"{step.handle.address}/{step.handle.identity}".encode()))
        call = self._build_call(step, extra)
        if step.last_event_id is not None:
            fields = [field for field in call.fields if field[0].lower() != LAST_EVENT_ID]
            call.fields[:] = [*fields, (LAST_EVENT_ID, step.last_event_id.encode())]
        reader = EventReader()
        result: AttemptResult | None = None
        try:
            async with asyncio.timeout(call.timeout_s), self.upstream.call(node.instance.identity, call) as response:
                result = self._refusal(response)
                if result is not None:
                    await read_short_body(response, MAX_SHORT_BODY_BYTES, SHORT_BODY_TIMEOUT_S)
                else:
                    result = await self._forward_response(step.reservation, response, reader)
            return result
        except UNSENT_ERRORS as error:
            return AttemptResult(AttemptOutcome.UNSENT, is_silent=is_peer_silent(error))
        except (*UPSTREAM_ERRORS, TimeoutError) as error:
            if result is not None:
                return result  # the result is known: an error on closing the connection does not matter
            outcome = AttemptOutcome.BROKEN if self.is_response_started else AttemptOutcome.UNKNOWN
            return self._failed_attempt(error, outcome, reader.latest_id)

    def _refusal(self, response: httpcore.Response) -> AttemptResult | None:
        """Return the result of an attempt whose response header states that the request did not run; else None.

        The result is known before the body is read, which only lets the connection be used again.
        """
        refused = unexecuted_outcome(response.status, response.headers)
        if refused is None:
            return None
        self.failure = AttemptFailure(AbortSide.INSTANCE, f"not executed, status {response.status}")
        return AttemptResult(refused)

    async def _forward_response(
        self, reservation: Reservation, response: httpcore.Response, reader: EventReader
    ) -> AttemptResult:
        fields = response.headers
        if not may_forward_status(response.status):
            return self._reject_response(f"a response with status {response.status} that must not be forwarded")
        if 200 <= response.status < 300 and not is_signed(fields):
            return self._reject_response(f"a response with status {response.status} and no signature")
        if response.status == 200 and (find_field(fields, b"content-type") or "").startswith(EVENT_STREAM):
            return await self._forward_events(reservation, response, reader)
        body = await self._read_body(reservation.node.instance, response)
        if self.is_response_started:
            return AttemptResult(AttemptOutcome.BROKEN, last_event_id=reader.latest_id)
        if is_close_delimited(self.inbound.method, fields):
            failure = await self._find_termination(reservation.node.instance)
            if failure is not None:
                return self._reject_response(failure.error)
        returned = [field for field in returned_fields(fields) if field[0].lower() != b"content-length"]
        await self._answer(response.status, body, [*returned, *self._close_fields()])
        return AttemptResult(AttemptOutcome.ANSWERED if response.status < 500 else AttemptOutcome.FAILED)

    async def _read_body(self, instance: Instance, response: httpcore.Response) -> bytes:
        """Read the whole body of an instance's response."""
        buffers = self.upstream.response_buffers
        check_stated_length(self.inbound.method, response, buffers.max_response_bytes)
        with ResponseReader(buffers, self.memory, instance.identity) as reader:
            return await reader.read(response)

    def _reject_response(self, reason: str) -> AttemptResult:
        log_rejected_response(self.instance, CallKind.REQUEST.value, reason, self.inbound.request_id or "-")
        self.failure = AttemptFailure(AbortSide.INSTANCE, reason)
        return AttemptResult(AttemptOutcome.UNKNOWN)

    async def _forward_events(
        self, reservation: Reservation, response: httpcore.Response, reader: EventReader
    ) -> AttemptResult:
        """Forward events as they arrive; end the response only after the instance's response is complete.

        A close ends a response without a length only between two events, and only if the instance has not ended too.
        """
        if not self.is_response_started:
            fields = [*returned_fields(response.headers), *self._close_fields()]
            await self.send({"type": "http.response.start", "status": response.status, "headers": fields})
            self.is_response_started = True
            self.phase = RequestPhase.ANSWERING
        async for chunk in response.aiter_stream():
            events = reader.feed(chunk)
            if events:
                if not reservation.is_streaming:
                    self.lifecycle.record_first_event(self.loop.time(), reservation)
                await self.send({"type": "http.response.body", "body": events, "more_body": True})
            if reader.is_event_too_long:
                raise ResponseLimitError(Limit.EVENT, len(reader.buffer))
        if is_close_delimited(self.inbound.method, response.headers):
            self.failure = await self._find_truncation(reservation.node.instance, reader)
            if self.failure is not None:
                return AttemptResult(AttemptOutcome.BROKEN, last_event_id=reader.latest_id)
        await self.send({"type": "http.response.body", "body": reader.buffer})
        self.is_response_complete = True
        return AttemptResult(AttemptOutcome.ANSWERED)

    async def _find_truncation(self, instance: Instance, reader: EventReader) -> AttemptFailure | None:
        """Return why a stream that ended with its connection is not complete; None if it is."""
        if not reader.is_between_events:
            return AttemptFailure(AbortSide.INSTANCE, "connection closed within an event or before the first")
        return await self._find_termination(instance)

    async def _find_termination(self, instance: Instance) -> AttemptFailure | None:
        """Return why a response that ended with its connection may be cut: its instance is gone; None if it is not."""
        if await self.upstream.has_ended(instance):
            return AttemptFailure(AbortSide.INSTANCE, "connection closed by an instance that refuses new ones")
        return None
