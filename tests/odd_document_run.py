"""Documents that are odd in one place, sent to real processes: each is rejected, or in force at every head in time.

A document is in force where every head reports its version, and serves each of its routes. After some of them a head
is restarted in turn, as in planned work, and has to be ready again with what is in force.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.fleet.emulation.loopback_fleet import CONTROL_PORT, FRONT_PORT, LoopbackFleet, Reply
from hophinge.load.rig.conditions import Condition, ConditionError, wait_until
from tests.fleet_requests import PROMPT
from tests.odd_documents import OddDocument, proper_document

MACHINES = 3
INSTANCES = {
    "p1": ("models", "prefill"),
    "d1": ("models", "decode"),
    "p2": ("more-models", "prefill"),
    "d2": ("more-models", "decode"),
    "s1": ("plain", ""),
    "s2": ("plain", ""),
}
START_S = 30.0
APPLY_S = 4.0  # twice the operators' bound: many runs share a machine
READY_S = 15.0
ACCEPTED = 200
REJECTED = range(400, 500)
NOT_IN_FORCE = (0, 404, 500)  # answers that show that a route is not in force; 0 for none
ATTEMPTS = 12  # of a change that gets no clear answer


@dataclass
class OddDocumentRun:
    """One run."""

    folder: Path
    restart_after: int = 0  # accepted documents, after which a head is restarted; 0 for never
    accepted: int = 0
    rejected: int = 0
    restarts: int = 0
    findings: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fleet = LoopbackFleet(self.folder, MACHINES)
        self.version = 0
        self.request_numbers = itertools.count()

    async def play(self, documents: Iterable[OddDocument]) -> None:
        """Send the documents one after the other, and collect what is wrong."""
        async with self.fleet as fleet:
            await fleet.start()
            for identity, (service, stage) in INSTANCES.items():
                await fleet.start_instance(identity, service, stage)
            await self._send(json.dumps(proper_document(1)).encode())
            self.version = 1
            await wait_until([self._condition(number) for number in range(MACHINES)], START_S)
            for document in documents:
                await self._try(document)
            await self._restart_head()

    def _condition(self, number: int) -> Condition:
        return self.fleet.ready_condition(number, self.version, len(INSTANCES))

    async def _send(self, data: bytes) -> Reply:
        """Send a document on top of the current one until there is a clear answer."""
        fields = [(b"Host", b"c"), (b"If-Match", str(self.version).encode()), (b"Content-Type", b"application/json")]
        reply = Reply(0, [], b"", False)
        for attempt in range(ATTEMPTS * MACHINES):
            address = self.fleet.address(attempt % MACHINES, CONTROL_PORT)
            try:
                reply = await self.fleet.call(address, "PUT", "/v1/config", data, fields)
            except FAILURES:
                await asyncio.sleep(0.1)
                continue
            if reply.status < 500:
                return reply
            await asyncio.sleep(0.1)
        return reply

    async def _try(self, document: OddDocument) -> None:
        version = self.version + 1
        data = document.write(version)
        reply = await self._send(data)
        if reply.status in REJECTED:
            self.rejected += 1
            return
        if reply.status != ACCEPTED:
            self.findings.append(f"{document.name}: got {reply.status} {reply.body[:200]!r}")
            return
        self.accepted += 1
        self.version = json.loads(data)["version"]
        await self._check_in_force(document, data)
        if self.restart_after and self.accepted % self.restart_after == 0:
            await self._restart_head()

    async def _check_in_force(self, document: OddDocument, data: bytes) -> None:
        try:
            await wait_until([self._condition(number) for number in range(MACHINES)], APPLY_S)
        except ConditionError as error:
            self.findings.append(f"{document.name}: acknowledged, and not applied: {str(error)[:600]}")
            return
        routes = json.loads(data)["routes"]
        calls = [self._check_route(document, number, route) for number in range(MACHINES) for route in routes]
        await asyncio.gather(*calls)

    async def _check_route(self, document: OddDocument, number: int, route: dict[str, Any]) -> None:
        status = await self._request(number, route)
        is_engine_odd = "engine" in document.path
        if status in NOT_IN_FORCE or (status != ACCEPTED and not is_engine_odd):
            self.findings.append(f"{document.name}: head {number} answers {status} on {route.get('name')}")

    async def _request(self, number: int, route: dict[str, Any]) -> int:
        """Send a request on a route to a head; return its status, 0 where there is none or it can't be sent."""
        is_stream = route.get("route-type") == "streaming"
        name = f"{self.version}-{number}-{next(self.request_numbers)}"
        address = self.fleet.address(number, FRONT_PORT)
        try:
            fields = [(b"Host", route["host"].encode()), (b"Hophinge-Request-Id", name.encode())]
            fields += [(b"Hophinge-Deadline-Ms", b"4000"), *(PROMPT if is_stream else ())]
            return (await self.fleet.call(address, "POST", f"{route['path-prefix']}1", b"x", fields)).status
        except (*FAILURES, ValueError, KeyError):
            return 0

    async def _restart_head(self) -> None:
        number = self.restarts % MACHINES
        self.restarts += 1
        head = self.fleet.head(number)
        await head.end()
        await head.start()
        try:
            await wait_until([self._condition(number)], READY_S)
        except ConditionError as error:
            self.findings.append(f"version {self.version}: a restarted head is not ready: {str(error)[:600]}")
