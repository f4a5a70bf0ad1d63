"""Sends documents with one odd field to real processes: each is rejected, or applied at every head in time.

A document counts as applied if every head reports its version and serves each of its routes. After a number of accepted
documents, one of the heads is restarted, and has to become ready with the current document.
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
from tests.odd_documents import OddDocument, complete_document

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
APPLY_S = 4.0  # twice the operators' bound, because many test runs share a machine
READY_S = 15.0
ACCEPTED = 200
REJECTED = range(400, 500)
NOT_APPLIED = (0, 404, 500)  # status codes that show that a route is not applied; 0 for no response
ATTEMPTS = 12  # for a change of unknown outcome, at each machine


@dataclass
class OddDocumentRun:
    """One run, with the counts of its documents."""

    folder: Path
    restart_after: int = 0  # number of accepted documents between restarts of a head; 0 for never
    accepted: int = 0
    rejected: int = 0
    restarts: int = 0
    findings: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.fleet = LoopbackFleet(self.folder, MACHINES)
        self.version = 0
        self.request_numbers = itertools.count()

    async def play(self, documents: Iterable[OddDocument]) -> None:
        """Send the documents one after the other, and collect findings."""
        async with self.fleet as fleet:
            await fleet.start()
            for identity, (service, stage) in INSTANCES.items():
                await fleet.start_instance(identity, service, stage)
            await self._send(json.dumps(complete_document(1)).encode())
            self.version = 1
            await wait_until([self._condition(number) for number in range(MACHINES)], START_S)
            for document in documents:
                await self._try(document)
            await self._restart_head()

    def _condition(self, number: int) -> Condition:
        return self.fleet.ready_condition(number, self.version, len(INSTANCES))

    async def _send(self, data: bytes) -> Reply:
        """Send a document as the successor of the current one until its outcome is known."""
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
        await self._check_applied(document, data)
        if self.restart_after and self.accepted % self.restart_after == 0:
            await self._restart_head()

    async def _check_applied(self, document: OddDocument, data: bytes) -> None:
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
        if status in NOT_APPLIED or (status != ACCEPTED and not is_engine_odd):
            self.findings.append(f"{document.name}: head {number} answers {status} on {route.get('name')}")

    async def _request(self, number: int, route: dict[str, Any]) -> int:
        """Send a request for a route to a head; return the status, or 0 if there is no response or it can't be sent."""
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
