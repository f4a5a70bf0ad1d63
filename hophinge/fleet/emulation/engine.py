"""An emulated engine or service: its responses, as a state machine without sockets.

It speaks the protocol of instances: prompts are read and stored under handles, tokens are streamed as events, requests
that are not executed are marked so. Tests inject faults.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import Enum, auto

from hophinge.fleet.forwarding.headers import (
    EXPECTED_INSTANCE,
    KV_FROM,
    LAST_EVENT_ID,
    REQUEST_ID,
    SERVING_STAGE,
    Fields,
    find_field,
)

SIGNATURE_FORMAT = "{identity}.{request}"
EVENT_FORMAT = "id: {number}\ndata: {identity} {number}\n\n"


class Fault(Enum):
    """A fault that a test injects."""

    FULL = auto()  # every request is rejected as not executed
    RESET = auto()  # the connection ends after the request was executed
    CUT = auto()  # a stream breaks off in the middle of an event
    NO_MEMORY = auto()  # no KV cache can be fetched


@dataclass(frozen=True, slots=True)
class EngineResponse:
    """A response: complete, or truncated after its body; none at all where the status is 0."""

    status: int
    fields: Fields = field(default_factory=list)
    body: bytes = b""
    is_truncated: bool = False


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One request that an instance executed."""

    request: str
    instance: str
    target: str
    body: bytes
    handle: str | None


class EmulatedEngine:
    """One incarnation of an instance."""

    def __init__(self, identity: str, stage: str, events: int = 4) -> None:
        self.identity = identity
        self.stage = stage
        self.events = events
        self.state = "ready"
        self.faults: set[Fault] = set()
        self.runs: list[RunRecord] = []
        self.handles: dict[str, str] = {}  # by handle: the request whose KV cache it stores
        self.freed_handles: set[str] = set()
        self.sequence = 0
        self.is_draining = False  # each response closes its connection
        self.cold_remaining_ms = 0  # as its heartbeats say
        self.waiting = 0  # as it reports
        self.running = 0  # as it reports
        self.order_count = 0  # accepted so far
        self.next_stage = ""  # while it switches its stage
        self.padding = b""  # behind each response that is no stream

    def heartbeat_body(self, service: str, address: str, zone: str) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold-remaining-ms": self.cold_remaining_ms,
                "stage": self.stage or None,
                "models": [{"name": "m", "version": 1}],
                "sequence": self.sequence,
            }
        ).encode()

    def accept_order(self, body: bytes) -> EngineResponse:
        """Answer an order to switch the stage, which `complete_switch` ends."""
        desired_stage = str(json.loads(body).get("stage"))
        if desired_stage not in ("prefill", "decode") or not self.stage:
            return EngineResponse(400)
        if self.next_stage:
            return EngineResponse(409)
        if desired_stage == self.stage:
            return EngineResponse(200)
        self.next_stage = desired_stage
        self.order_count += 1
        return EngineResponse(202)

    def complete_switch(self) -> None:
        """End the switch of the stage that was ordered."""
        self.stage = self.next_stage
        self.next_stage = ""

    def report_body(self) -> bytes:
        """Return the body of its load report."""
        return json.dumps(
            {
                "stage": self.stage,
                "models": [],
                "busy": bool(self.next_stage),
                "sequence": self.order_count,
                "waiting": self.waiting,
                "running": self.running,
                "kv-used": 0,
                "kv-total": 400_000,
                "handles": len(self.handles),
            }
        ).encode()

    def serve(
        self, target: str, fields: Fields, body: bytes, engines_by_address: dict[str, EmulatedEngine]
    ) -> EngineResponse:
        """Answer a request.

        Args:
            target: the path of the request.
            fields: the headers of the request.
            body: the body of the request.
            engines_by_address: the engines from which the KV cache of a prompt may be fetched.

        """
        request = find_field(fields, REQUEST_ID) or ""
        own = [(b"Hophinge-Request-Id", request.encode())]
        if self.is_draining:
            own.append((b"Connection", b"close"))
        if find_field(fields, EXPECTED_INSTANCE) != self.identity:
            return EngineResponse(421, own)
        if Fault.FULL in self.faults:
            return EngineResponse(503, [*own, (b"Hophinge-Not-Executed", b"1")])
        if find_field(fields, SERVING_STAGE) == "prefill":
            return self._prefill(request, own)
        if self.stage == "prefill":
            return EngineResponse(421, own)
        return self._run(request, target, fields, body, own, engines_by_address)

    def _prefill(self, request: str, own: Fields) -> EngineResponse:
        if self.stage != "prefill":
            return EngineResponse(421, own)
        handle = f"{self.identity}-{len(self.handles) + len(self.freed_handles)}"
        self.handles[handle] = request
        return EngineResponse(200, own, json.dumps({"prefill-handle": handle, "tokens": 9, "version": 1}).encode())

    def _run(
        self,
        request: str,
        target: str,
        fields: Fields,
        body: bytes,
        own: Fields,
        engines_by_address: dict[str, EmulatedEngine],
    ) -> EngineResponse:
        source = find_field(fields, KV_FROM)
        if source is not None and not self._fetch_kv_cache(source, request, engines_by_address):
            return EngineResponse(503, [*own, (b"Hophinge-Not-Executed", b"1")])
        self.runs.append(RunRecord(request, self.identity, target, body, source))
        if Fault.RESET in self.faults:
            return EngineResponse(0)
        signature = SIGNATURE_FORMAT.format(identity=self.identity, request=request)
        stamped = [*own, (b"Hophinge-Server-Signature", signature.encode())]
        if not self.stage:
            return EngineResponse(200, stamped, f"{self.identity} {request}".encode() + self.padding)
        first = int(find_field(fields, LAST_EVENT_ID) or 0) + 1
        text = "".join(
            EVENT_FORMAT.format(number=number, identity=self.identity) for number in range(first, self.events + 1)
        ).encode()
        stream = [*stamped, (b"Content-Type", b"text/event-stream")]
        return (
            EngineResponse(200, stream, text[:-9], True)
            if Fault.CUT in self.faults
            else EngineResponse(200, stream, text)
        )

    def _fetch_kv_cache(self, source: str, request: str, engines_by_address: dict[str, EmulatedEngine]) -> bool:
        """Fetch a KV cache from another engine: once, and only that of the same request."""
        address, _, handle = source.partition("/")
        source_engine = engines_by_address.get(address)
        if source_engine is None or Fault.NO_MEMORY in self.faults:
            return False
        return source_engine.handles.pop(handle, None) == request

    def free_handle(self, handle: str) -> None:
        """Free a handle."""
        self.freed_handles.add(handle)
        self.handles.pop(handle, None)
