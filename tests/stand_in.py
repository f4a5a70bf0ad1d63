"""A head between stand-ins for what it meets, and its clients' connections, all on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import msgspec
import pytest
import uvloop
from aiohttp import ClientSession

from hophinge.net.discovery import Listing, Target
from hophinge.head.config import Config
from hophinge.head.service import Service
from hophinge.head.operator_config import OperatorConfig
from hophinge.core.settings import read_settings
from tests.servers import Behaviour, Backend, DiscoveryAgent, Server, held_by
from tests.steady import LIMIT_S, run_steadily

__all__ = [
    "OBJECT",
    "VOLUME",
    "Behaviour",
    "Backend",
    "DiscoveryAgent",
    "Server",
    "Wire",
    "World",
    "headers",
    "held_by",
    "run",
    "run_in_real_time",
    "setup",
    "until",
    "world",
]

VOLUME = "00000003b4d60021"
OBJECT = "7f3a9c21e0b4d655"
Value = TypeVar("Value")


def setup(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment; `changes` replaces whole parts."""
    classes = [("record-read", 120, 750, 2), ("transfer-write", 200, 1200, 3), ("statement-export", 1000, 3000, 1)]
    grades = [("basic", 40, 20, 1, 1), ("priority", 400, 400, 4, 1.8)]
    return {
        "Me": 0,
        "Balancers": 1,
        "PeriodUs": 2000,
        "Discovery": "pushed",
        "RequestClasses": [
            {
                "Name": name,
                "GoalTimeUs": aim * 1000,
                "DeadlineUs": deadline * 1000,
                "Effect": "pure",
                "Group": "all",
                "Importance": worth,
                "LateWorth": 0.2,
            }
            for name, aim, deadline, worth in classes
        ],
        "Grades": [
            {"Name": name, "BaseRate": rate, "Reserve": reserve, "Proportion": weight, "Price": price}
            for name, rate, reserve, weight, price in grades
        ],
        "Caps": {
            "MaxAttempts": 3,
            "ConnectTimeoutUs": 250_000,
            "ConnIdleUs": 30_000_000,
            "RetryAfter": True,
            "MaxRetryAfterUs": 1_000_000,
        },
        "Rules": {
            "GraceToAnswerUs": 8000,
            "DrainGraceUs": 500_000,
            "FallMultiple": 2.5,
            "FallUs": 1_500_000,
            "ColdShare": 0.18,
            "ColdUs": 17_000_000,
        },
        "Domain": {"Largest": 8, "MeanUnits": 2.0, "WithinShare": 0.4, "BeyondShare": 0.1, "NShards": 3},
        "Zones": ["hall-a"],
        "Skus": ["std-1c"],
        **changes,
    }


def run(main: Coroutine[Any, Any, Value]) -> Value:
    """Run a test's coroutine on a steady clock, which no stall of the process moves; one that hangs fails.

    Seen in a run of CI's script: three tests at once failed since short deadlines passed while the process stood still
    (503 for an upload, a request refused that was waited for). What a head does then is not what they test.
    """
    with pytest.MonkeyPatch.context() as patch:
        return run_steadily(main, patch)


def run_in_real_time(main: Coroutine[Any, Any, Value]) -> Value:
    """Run a test's coroutine by the machine's clock on the loop that the program runs on; one that hangs fails."""

    async def limited() -> Value:
        async with asyncio.timeout(LIMIT_S):
            return await main

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(limited())


async def until(condition: Callable[[], bool]) -> None:
    """Wait for what must come; the test's own limit ends a wait for what does not."""
    while not condition():
        await asyncio.sleep(0.002)


class World:
    """Bricks, discovery and heads."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends, self.agent = backends, DiscoveryAgent()
        self.services: list[Service] = []
        self.client = ClientSession()
        self.wires: list[Wire] = []

    async def head(
        self,
        operator: OperatorConfig | None = None,
        settings: dict[str, Any] | None = None,
        saved: list[Target] | None = None,
        name: str = "",
    ) -> Service:
        """Start a head; the kernel gives its port, which `url` then tells."""
        config = Config(
            "127.0.0.1:0",
            self.agent.endpoint,
            "8c1f30d27a5be964",
            msgspec.Raw(b"{}"),
            Listing(0, saved or []),
            control="127.0.0.1:0",
            name=name,
        )
        service = Service(config, read_settings(json.dumps(settings or setup())), operator or OperatorConfig())
        self.services.append(service)
        await service.start()
        return service

    async def wire(self, service: Service) -> Wire:
        """Open a client's connection to a head's platform front."""
        host, _, port = self.url(service).removeprefix("http://").partition(":")
        wire = Wire(*await asyncio.open_connection(host, int(port)))
        self.wires.append(wire)
        return wire

    def url(self, service: Service, listener: int = 0) -> str:
        host, port = service.listeners[listener].sockets[0].getsockname()
        return f"http://{host}:{port}"

    async def kill_all(self) -> None:
        """End all heads so."""
        for service in list(self.services):
            await self.kill(service)

    async def kill(self, service: Service) -> None:
        """End a head as a kill does: nothing is answered, connections break."""
        self.services.remove(service)
        for listener in service.listeners:
            listener.close()
        for front in (service.front, service.objects, service.admin, service.control):
            for connection in front.server.connections if front is not None else ():
                if connection.transport is not None:
                    connection.transport.abort()
        await service.close()


@asynccontextmanager
async def world(*backends: Backend) -> AsyncIterator[World]:
    """Start bricks and discovery; end them and all heads."""
    made = World(list(backends))
    try:
        for backend in backends:
            await backend.open()
        await made.agent.open()
        made.agent.targets = {backend.name: backend.target() for backend in backends}
        yield made
    finally:
        await made.client.close()
        for wire in made.wires:
            wire.close()
        await made.kill_all()
        for server in (*backends, made.agent):
            await server.close()


def headers(number: int = 1, **changes: str) -> dict[str, str]:
    """The platform's headers of a request."""
    made = {
        "X-Txn": f"{number:016x}",
        "X-Qos-Policy": "priority",
        "X-Remaining-Ms": "750",
        "X-Placement": "units=2,shard=0,hosts=1",
    }
    made.update({name.replace("_", "-"): value for name, value in changes.items()})
    return made


class Wire:
    """A client's connection, byte by byte."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def head(self, target: str, fields: dict[str, str], method: str = "GET") -> bytes:
        lines = [f"{method} {target} HTTP/1.1", "Host: origin.svc", *map(": ".join, fields.items())]
        return "\r\n".join([*lines, "", ""]).encode()

    def send(self, target: str, fields: dict[str, str], method: str = "GET", body: bytes = b"") -> None:
        if body or method == "PUT":
            fields = {**fields, "Content-Length": str(len(body))}
        self.writer.write(self.head(target, fields, method) + body)

    async def receive(self) -> tuple[int, dict[str, str], bytes]:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = {name.lower(): text.strip() for name, _, text in (line.partition(":") for line in head[1:] if line)}
        return int(head[0].split()[1]), fields, await self.reader.readexactly(int(fields.get("content-length", "0")))

    async def ended(self) -> bool:
        return await self.reader.read(1) == b""

    def close(self) -> None:
        self.writer.close()
