"""A stand-in for an engine or a service on loopback: what it answers, as a state machine without sockets.

It speaks what instances speak: prompts are read and held under handles, tokens are streamed as events, requests that
are not run are said so. Faults are switched on by a test.
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
    find,
)

SIGNATURE_FORM = "{identity}.{request}"
EVENT_FORM = "id: {number}\ndata: {identity} {number}\n\n"


class Fault(Enum):
    """What a test may have go wrong."""

    FULL = auto()  # every request is refused as not executed
    RESET = auto()  # the connection ends after the request was taken up
    CUT = auto()  # a stream breaks off in the middle of an event
    NO_MEMORY = auto()  # no handle can be had


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer: whole, or broken off after its body where `cut`; none at all where the status is 0."""

    status: int
    fields: Fields = field(default_factory=list)
    body: bytes = b""
    cut: bool = False


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One request that an instance ran."""

    request: str
    instance: str
    target: str
    body: bytes
    handle: str | None


class Engine:
    """One incarnation of an instance."""

    def __init__(self, identity: str, stage: str, events: int = 4) -> None:
        self.identity, self.stage, self.events = identity, stage, events
        self.state = "ready"
        self.faults: set[Fault] = set()
        self.runs: list[RunRecord] = []
        self.handles: dict[str, str] = {}  # handle to the request whose prompt it holds
        self.freed: set[str] = set()
        self.sequence = 0
        self.leaving = False  # each answer says that its connection closes behind it
        self.waiting = self.running = 0  # requests that it reports
        self.orders = 0  # that it has taken
        self.next_stage = ""  # while it changes its stage

    def registration(self, service: str, address: str, zone: str) -> bytes:
        """Tell the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": service,
                "address": address,
                "zone": zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold-remaining-ms": 0,
                "stage": self.stage or None,
                "models": [{"name": "m", "version": 1}],
                "sequence": self.sequence,
            }
        ).encode()

    def order(self, body: bytes) -> Answered:
        """Take an order to change the stage; `change` carries it out."""
        wanted = str(json.loads(body).get("stage"))
        if wanted not in ("prefill", "decode") or not self.stage:
            return Answered(400)
        if self.next_stage:
            return Answered(409)
        if wanted == self.stage:
            return Answered(200)
        self.next_stage = wanted
        self.orders += 1
        return Answered(202)

    def change(self) -> None:
        """Change the stage as ordered."""
        self.stage, self.next_stage = self.next_stage, ""

    def report(self) -> bytes:
        """Tell how full it is."""
        return json.dumps(
            {
                "stage": self.stage,
                "models": [],
                "busy": bool(self.next_stage),
                "sequence": self.orders,
                "waiting": self.waiting,
                "running": self.running,
                "kv-used": 0,
                "kv-total": 400_000,
                "handles": len(self.handles),
            }
        ).encode()

    def serve(self, target: str, fields: Fields, body: bytes, holders: dict[str, Engine]) -> Answered:
        """Answer a request; `holders` are the instances by address, from which memory is fetched."""
        request = find(fields, REQUEST_ID) or ""
        own = [(b"Hophinge-Request-Id", request.encode())]
        if self.leaving:
            own.append((b"Connection", b"close"))
        if find(fields, EXPECTED_INSTANCE) != self.identity:
            return Answered(421, own)
        if Fault.FULL in self.faults:
            return Answered(503, [*own, (b"Hophinge-Not-Executed", b"1")])
        if find(fields, SERVING_STAGE) == "prefill":
            return self._read(request, own)
        if self.stage == "prefill":
            return Answered(421, own)
        return self._run(request, target, fields, body, own, holders)

    def _read(self, request: str, own: Fields) -> Answered:
        if self.stage != "prefill":
            return Answered(421, own)
        handle = f"{self.identity}-{len(self.handles) + len(self.freed)}"
        self.handles[handle] = request
        return Answered(200, own, json.dumps({"prefill-handle": handle, "tokens": 9, "version": 1}).encode())

    def _run(
        self, request: str, target: str, fields: Fields, body: bytes, own: Fields, holders: dict[str, Engine]
    ) -> Answered:
        source = find(fields, KV_FROM)
        if source is not None and not self._fetch(source, request, holders):
            return Answered(503, [*own, (b"Hophinge-Not-Executed", b"1")])
        self.runs.append(RunRecord(request, self.identity, target, body, source))
        if Fault.RESET in self.faults:
            return Answered(0)
        signature = SIGNATURE_FORM.format(identity=self.identity, request=request)
        stamped = [*own, (b"Hophinge-Server-Signature", signature.encode())]
        if not self.stage:
            return Answered(200, stamped, f"{self.identity} {request}".encode())
        first = int(find(fields, LAST_EVENT_ID) or 0) + 1
        text = "".join(
            EVENT_FORM.format(number=number, identity=self.identity) for number in range(first, self.events + 1)
        ).encode()
        stream = [*stamped, (b"Content-Type", b"text/event-stream")]
        return Answered(200, stream, text[:-9], True) if Fault.CUT in self.faults else Answered(200, stream, text)

    def _fetch(self, source: str, request: str, holders: dict[str, Engine]) -> bool:
        """Take memory from another instance: once, and only that of the same request."""
        address, _, handle = source.partition("/")
        holder = holders.get(address)
        if holder is None or Fault.NO_MEMORY in self.faults:
            return False
        return holder.handles.pop(handle, None) == request

    def free(self, handle: str) -> None:
        """Let go of a handle."""
        self.freed.add(handle)
        self.handles.pop(handle, None)
