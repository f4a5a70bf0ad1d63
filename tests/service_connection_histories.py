"""Random orders of what clients, backends and a shutdown do to a head in service, and what may not come of them.

A client takes a request as not executed where it got 429 or 503, or where it stands behind an answer that says
`Connection: close`, or without any answer behind the last one. Whether it ran is what the backends have seen.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import web

from hophinge.head.service import Service
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, World, headers, setup, world

CLASSES = {"record-read": ("GET", True), "transfer-write": ("PUT", False)}  # method, and whether it may be repeated
DEADLINE_MS = 400
DRAIN_MS = 300
REFUSED = (429, 503)
MALFORMED = "malformed"  # kinds of requests besides the classes
LARGE_HEADER = "large header"
LARGE_BODY = "large body"


@dataclass
class SentRequest:
    """One request on a connection."""

    name: str
    kind: str
    data: bytes
    sent_bytes: int = 0


@dataclass
class ClientHistory:
    """What one client sent, and the answers that it read: status, and whether it said close."""

    requests: list[SentRequest] = field(default_factory=list)
    answers: list[tuple[int, bool]] = field(default_factory=list)
    has_left: bool = False


class ServiceHistory:
    """One run of a head with a few clients."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.runs: Counter[str] = Counter()
        self.clients = [ClientHistory() for _ in range(self.random.randrange(1, 4))]
        self.is_shutting_down = self.random.random() < 0.7
        self.number = 0

    async def play(self) -> None:
        """Let the clients send, the backends answer, and the head shut down in between."""
        backends = [Backend(0, f"s-{number}") for number in range(2)]
        for backend in backends:
            backend.behave = self._behave
        async with world(*backends) as made:
            service = await made.head(settings=_settings())
            work = [asyncio.create_task(self._send(made, service, client)) for client in self.clients]
            if self.is_shutting_down:
                await asyncio.sleep(self.random.random() * 0.05)
                made.services.remove(service)
                await service.shut_down()
            await asyncio.gather(*work)

    async def _behave(self, request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
        name = request.headers["X-Txn"]
        kind = self.random.choice(("answer", "answer", "late", "error", "away", "close", "silent"))
        if kind == "away":
            return web.Response(status=503, headers={"X-Turned-Away": "1"})
        self.runs[name] += 1
        if kind == "late":
            await asyncio.sleep(self.random.random() * 0.1)
        if kind == "silent":
            await asyncio.Event().wait()
        if kind == "error":
            return web.Response(status=500)
        if kind == "close" and request.transport is not None:
            request.transport.abort()
        return web.Response(body=b"ok")

    async def _send(self, made: World, service: Service, client: ClientHistory) -> None:
        wire = await made.wire(service)
        reading = asyncio.create_task(self._read(wire, client))
        try:
            for _ in range(self.random.randrange(1, 7)):
                request = self._draw(wire)
                client.requests.append(request)
                await self._write(wire, request)
            if not self.is_shutting_down:
                await self._leave(wire, client)
        except ConnectionError:
            pass
        await reading

    async def _write(self, wire: Wire, request: SentRequest) -> None:
        """Write a request in one or two pieces; the next may follow at once."""
        cut = self.random.choice((0, self.random.randrange(len(request.data))))
        for piece in (request.data[:cut], request.data[cut:]):
            wire.writer.write(piece)
            await wire.writer.drain()
            request.sent_bytes += len(piece)
            await asyncio.sleep(self.random.choice((0.0, 0.0, 0.002, 0.02)))

    async def _leave(self, wire: Wire, client: ClientHistory) -> None:
        """End the connection once all is answered, or in between."""
        if self.random.random() < 0.3:
            client.has_left = True
        else:
            while len(client.answers) < len(client.requests) and not wire.reader.at_eof():
                await asyncio.sleep(0.005)
        wire.close()

    async def _read(self, wire: Wire, client: ClientHistory) -> None:
        try:
            while True:
                status, fields, _ = await wire.receive()
                client.answers.append((status, fields.get("connection", "").lower() == "close"))
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    def _draw(self, wire: Wire) -> SentRequest:
        self.number += 1
        name = f"{self.number:016x}"
        kind = self.random.choice((*CLASSES, *CLASSES, *CLASSES, MALFORMED, LARGE_HEADER, LARGE_BODY))
        method = CLASSES[kind][0] if kind in CLASSES else "PUT"
        klass = kind if kind in CLASSES else "transfer-write"
        fields: dict[str, Any] = headers(self.number, X_Remaining_Ms=str(DEADLINE_MS))
        body = b"x" * self.random.choice((0, 5, 5_000)) if method == "PUT" else b""
        if kind == MALFORMED:
            fields["X-Placement"] = "none"
        elif kind == LARGE_HEADER:
            fields["X-Large"] = "y" * 20_000
        if method == "PUT":
            fields["Content-Length"] = str(len(body)) if kind != LARGE_BODY else "99000000"
        return SentRequest(name, kind, wire.head(f"/{klass}/{VOLUME}/{OBJECT}", fields, method) + body)

    def findings(self) -> list[str]:
        """Return what contradicts what a client may conclude."""
        return [finding for client in self.clients for finding in self._findings_of(client)]

    def _findings_of(self, client: ClientHistory) -> list[str]:
        found: list[str] = []
        closing = [number for number, (_, closes) in enumerate(client.answers) if closes]
        if closing and closing[0] + 1 < len(client.answers):
            found.append("an answer stands behind one that says close")
        if len(client.answers) > len(client.requests):
            found.append("more answers than requests")
        for request, (status, _) in zip(client.requests, client.answers, strict=False):
            runs = self.runs[request.name]
            if runs > 1 and not CLASSES.get(request.kind, ("", False))[1]:
                found.append(f"{request.name} ran {runs} times")
            if runs and status in REFUSED and request.kind != "record-read":
                found.append(f"{request.name} ran and got {status}")
        for request in client.requests[len(client.answers) :]:
            if self.runs[request.name] and not client.has_left:
                found.append(f"{request.name} ran and got no answer")
        return found


def _settings() -> dict[str, Any]:
    made = setup()
    for row in made["RequestClasses"]:
        row["Effect"] = "pure" if row["Name"] == "record-read" else "side_effect"
    made["Rules"]["DrainGraceUs"] = DRAIN_MS * 1_000
    return made
