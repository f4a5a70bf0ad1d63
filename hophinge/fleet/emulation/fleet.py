"""Both programs as real processes on loopback, with emulated instances around them: for tests and experiments."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpcore

from hophinge.fleet.emulation.engine import Engine
from hophinge.fleet.emulation.stand_in import FAILURES, StandIn
from hophinge.fleet.forwarding.headers import Fields
from hophinge.load.rig.processes import USUAL_MAX, Process, Processes
from hophinge.load.rig.waiting import Condition, until

FRONT, READY, CONTROL, INTERNAL = 0, 1, 2, 3  # ports of a machine, from the fleet's first
PORTS = range(12_000, 28_000)  # none that the system gives to connections on their way out
ANSWER_S = 5.0
START_S = 20.0
STARTED = " started identity="  # in the log line of a process that has read its settings
BUDGET_WINDOW_S = 2.0  # for which a head that has just started has a small part of the slack
PROGRAMS = 2  # on each machine
HOST = "models.example"
ENGINES = {"slots": 8, "kv-cache-tokens": 400_000, "kv-token-bytes": 1_000, "handle-ttl-s": 5.0}


@dataclass(frozen=True, slots=True)
class Reply:
    """What a client got; `whole` tells that the answer came to its end."""

    status: int
    fields: Fields
    body: bytes
    whole: bool


def document(version: int, routes: Iterable[tuple[str, str, str]]) -> bytes:
    """Write a configuration of routes, each a prefix, a kind and a service."""
    rows = [
        {
            "name": f"r{number}",
            "host": HOST,
            "path-prefix": prefix,
            "route-type": kind,
            "timeout-ms": 4_000,
            "target-latency-ms": 1_000,
            "priority": 1,
            "service": service,
            "max-attempts": 2,
            "resumable": kind == "streaming",
        }
        for number, (prefix, kind, service) in enumerate(routes)
    ]
    services = [
        {"name": "models", "max-connections": 100, "engine": ENGINES},
        {"name": "plain", "max-connections": 50},
        {"name": "other", "max-connections": 50},
    ]
    return json.dumps({"version": version, "routes": rows, "services": services}).encode()


class LoopbackFleet:
    """Machines, each with a head and a control member, and the instances that register with them."""

    def __init__(self, folder: Path, machines: int, losses: int = 1, grace_s: float = 3.0) -> None:
        self.folder, self.losses, self.grace_s = folder, losses, grace_s
        self.processes = Processes(folder, max(USUAL_MAX, PROGRAMS * machines))
        net = secrets.randbelow(200) + 20
        self.ips = [f"127.{net}.{secrets.randbelow(250) + 1}.{number + 1}" for number in range(machines)]
        self.port = secrets.choice(PORTS)
        self.holders: dict[str, Engine] = {}
        self.stand_ins: dict[str, StandIn] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.version = 0
        self.bootstrap = True
        for number in range(machines):
            self._add(number)

    def _add(self, number: int) -> None:
        for program in ("control", "head"):
            name = f"{program}-{number}"
            words = [f"hophinge.fleet.{'controlplane' if program == 'control' else 'dataplane'}"]
            process = self.processes.make(name, words)
            process.environ["HOPHINGE_CONFIG"] = str(process.folder / "settings.json")

    def address(self, number: int, port: int) -> str:
        """Tell one of a machine's addresses."""
        return f"{self.ips[number]}:{self.port + port}"

    def control(self, number: int) -> Process:
        """Tell a machine's control member."""
        return self.processes.by_name[f"control-{number}"]

    def head(self, number: int) -> Process:
        """Tell a machine's head."""
        return self.processes.by_name[f"head-{number}"]

    @property
    def controls(self) -> list[str]:
        """Tell all control addresses."""
        return [self.address(number, CONTROL) for number in range(len(self.ips))]

    def data_folder(self, number: int) -> Path:
        """Tell where a control member keeps its state."""
        return self.control(number).folder / "data"

    def write_settings(self) -> None:
        """Write the settings files anew."""
        for number in range(len(self.ips)):
            for process in (self.control(number), self.head(number)):
                (process.folder / "settings.json").write_text(json.dumps(self._settings(number)))

    def _settings(self, number: int) -> dict[str, Any]:
        first = self.port + INTERNAL
        return {
            "node-name": f"machine-{number}",
            "ip": self.ips[number],
            "zone": f"zone-{number}",
            "region": "r",
            "zones": {f"zone-{one}": "r" for one in range(len(self.ips))},
            "listen-addresses": {
                "front": self.address(number, FRONT),
                "ready": self.address(number, READY),
                "control": self.address(number, CONTROL),
            },
            "internal-port-range": [first, first + 2],
            "seed-nodes": self.controls[:3],
            "bootstrap": self.bootstrap,
            "counts-for-quorum": True,
            "data-dir": str(self.data_folder(number)),
            "heartbeat-ms": 400,
            "fault-tolerance": {"machines": self.losses},
            "bounds": {"grace-s": self.grace_s, "retry-budget-slack": 60, "budget-window-s": BUDGET_WINDOW_S},
        }

    async def start(self) -> None:
        """Start all processes for the first time."""
        self.write_settings()
        await self.processes.start(*self.processes.by_name)
        await until([self._started(process) for process in self.processes.by_name.values()], START_S)
        self.bootstrap = False
        self.write_settings()

    @staticmethod
    def _started(process: Process) -> Condition:
        async def look() -> tuple[bool, str]:
            return process.said(STARTED), ""

        return Condition(process, "has read its settings", look)

    async def instance(self, identity: str, service: str, stage: str, number: int = 0) -> Engine:
        """Start an emulated instance that registers by heartbeat."""
        engine = Engine(identity, stage)
        stand_in = StandIn(engine, service, "127.0.0.1", f"zone-{number}", self.holders)
        await stand_in.start()
        self.stand_ins[identity] = stand_in
        self.tasks[identity] = asyncio.create_task(stand_in.beat_on(self.controls))
        return engine

    async def stop_instance(self, identity: str) -> None:
        """End an instance without a word."""
        self.tasks.pop(identity).cancel()
        self.stand_ins[identity].stop()

    async def call(
        self, address: str, method: str, target: str, body: bytes = b"", fields: Iterable[tuple[bytes, bytes]] = ()
    ) -> Reply:
        """Make one call on a connection of its own."""
        timeout = {"connect": ANSWER_S, "read": ANSWER_S, "write": ANSWER_S, "pool": ANSWER_S}
        async with httpcore.AsyncConnectionPool() as pool:
            headers = [*fields, (b"content-length", str(len(body)).encode())]
            request = httpcore.Request(
                method, f"http://{address}{target}", content=body, headers=headers, extensions={"timeout": timeout}
            )
            response = await pool.handle_async_request(request)
            parts: list[bytes] = []
            try:
                async for part in response.aiter_stream():
                    parts.append(part)
            except FAILURES:
                return Reply(response.status, response.headers, b"".join(parts), False)
            finally:
                await response.aclose()
            return Reply(response.status, response.headers, b"".join(parts), True)

    async def request(
        self,
        number: int,
        path: str,
        name: str,
        *fields: tuple[bytes, bytes],
        body: bytes = b"x",
    ) -> Reply:
        """Make a client's request at a head."""
        own = [(b"Host", HOST.encode()), (b"Hophinge-Request-Id", name.encode()), (b"Hophinge-Deadline-Ms", b"4000")]
        return await self.call(self.address(number, FRONT), "POST", path, body, [*own, *fields])

    async def configure(self, number: int, data: bytes, base: int) -> int:
        """Send a configuration to a control member; tells its status, 0 where none came."""
        fields = [(b"Host", b"c"), (b"If-Match", str(base).encode()), (b"Content-Type", b"application/json")]
        with contextlib.suppress(*FAILURES):
            return (await self.call(self.address(number, CONTROL), "PUT", "/v1/config", data, fields)).status
        return 0

    def cut_off(self, number: int) -> None:
        """Lose all that a machine and the others send each other, without a word to either."""
        others = [ip for ip in self.ips if ip != self.ips[number]]
        for one in range(len(self.ips)):
            lost = others if one == number else [self.ips[number]]
            self.control(one).cut(lost)
            self.head(one).cut(lost)

    def heal(self) -> None:
        """End all cuts."""
        for one in range(len(self.ips)):
            self.control(one).cut([])
            self.head(one).cut([])

    def _answers(self, process: Process, address: str, target: str, what: str, expected: dict[str, Any]) -> Condition:
        async def look() -> tuple[bool, str]:
            try:
                reply = await self.call(address, "GET", target, b"", [(b"Host", b"c")])
            except FAILURES as error:
                return False, type(error).__name__
            seen = json.loads(reply.body) if reply.body else {}
            return reply.status == 200 and expected.items() <= seen.items(), reply.body.decode()[:300]

        return Condition(process, what, look)

    def ready(self, number: int, version: int, instances: int) -> Condition:
        """A head is ready under a version and knows so many instances."""

        async def look() -> tuple[bool, str]:
            address = self.address(number, READY)
            try:
                reply = await self.call(address, "GET", "/v1/member", b"", [(b"Host", b"c")])
                ready = await self.call(address, "GET", "/v1/ready", b"", [(b"Host", b"c")])
            except FAILURES as error:
                return False, type(error).__name__
            seen = json.loads(reply.body)
            known = len(seen["instances"])
            there = ready.status == 200 and seen["configuration"] == version and known == instances
            return there, f"ready {ready.status}, configuration {seen['configuration']}, {known} instances"

        return Condition(self.head(number), f"ready under {version} with {instances} instances", look)

    def serving(self, number: int, version: int) -> Condition:
        """A control member holds the chain's history, and a version is in force there."""
        return self._answers(
            self.control(number),
            self.address(number, CONTROL),
            "/v1/member",
            f"holds version {version}",
            {"serving": True, "configuration": version},
        )

    async def __aenter__(self) -> Self:
        """Begin."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End all that was started."""
        for task in self.tasks.values():
            task.cancel()
        for stand_in in self.stand_ins.values():
            stand_in.end()
        await self.processes.close()
