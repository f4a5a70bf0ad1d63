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

from hophinge.fleet.emulation.engine import EmulatedEngine
from hophinge.fleet.emulation.instance_server import FAILURES, EmulatedInstance
from hophinge.fleet.forwarding.headers import Fields
from hophinge.load.rig.processes import DEFAULT_MAX_PROCESSES, Process, Processes
from hophinge.load.rig.conditions import Condition, wait_until

# Ports of a machine, as offsets from the first port of the fleet.
FRONT_PORT = 0
READY_PORT = 1
CONTROL_PORT = 2
INTERNAL_PORT = 3
FIRST_PORTS = range(12_000, 28_000)  # below the ephemeral ports
CALL_TIMEOUT_S = 5.0
START_TIMEOUT_S = 20.0
STARTED = " started identity="  # in the log line of a process that has read its settings
BUDGET_WINDOW_S = 2.0  # after its start a head has only a fraction of the slack
PROGRAMS_PER_MACHINE = 2
DEFAULT_MEMORY_MB = 300  # of each process, as its settings say
DEFAULT_MAX_DESCRIPTORS = 4_100
HOST = "models.example"
ENGINE_SETTINGS = {"slots": 8, "kv-cache-tokens": 400_000, "kv-token-bytes": 1_000, "handle-ttl-s": 5.0}


@dataclass(frozen=True, slots=True)
class Reply:
    """The response that a client received; `is_complete` says whether it was received to its end."""

    status: int
    fields: Fields
    body: bytes
    is_complete: bool


def configuration_document(version: int, routes: Iterable[tuple[str, str, str]]) -> bytes:
    """Return a configuration of routes, each of a prefix, a type and a service."""
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
        {"name": "models", "max-connections": 100, "engine": ENGINE_SETTINGS},
        {"name": "plain", "max-connections": 50},
        {"name": "other", "max-connections": 50},
    ]
    return json.dumps({"version": version, "routes": rows, "services": services}).encode()


class LoopbackFleet:
    """Machines, each with a head and a control member, and the emulated instances that register with them."""

    def __init__(
        self,
        folder: Path,
        machines: int,
        losses: int = 1,
        grace_s: float = 3.0,
        memory_mb: int = DEFAULT_MEMORY_MB,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
    ) -> None:
        self.folder = folder
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.losses = losses
        self.grace_s = grace_s
        self.processes = Processes(folder, max(DEFAULT_MAX_PROCESSES, PROGRAMS_PER_MACHINE * machines))
        net = secrets.randbelow(200) + 20
        self.ips = [f"127.{net}.{secrets.randbelow(250) + 1}.{number + 1}" for number in range(machines)]
        self.port = secrets.choice(FIRST_PORTS)
        self.engines_by_address: dict[str, EmulatedEngine] = {}
        self.instances: dict[str, EmulatedInstance] = {}
        self.heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        self.version = 0
        self.bootstrap = True
        for number in range(machines):
            self._add_machine(number)

    def _add_machine(self, number: int) -> None:
        for program in ("control", "head"):
            name = f"{program}-{number}"
            words = [f"hophinge.fleet.{'controlplane' if program == 'control' else 'dataplane'}"]
            process = self.processes.create(name, words)
            process.environ["HOPHINGE_CONFIG"] = str(process.folder / "settings.json")

    def address(self, number: int, port: int) -> str:
        """Return an address of a machine."""
        return f"{self.ips[number]}:{self.port + port}"

    def control(self, number: int) -> Process:
        """Return the process of a machine's control member."""
        return self.processes.by_name[f"control-{number}"]

    def head(self, number: int) -> Process:
        """Return the process of a machine's head."""
        return self.processes.by_name[f"head-{number}"]

    @property
    def controls(self) -> list[str]:
        """The addresses of all control members."""
        return [self.address(number, CONTROL_PORT) for number in range(len(self.ips))]

    def data_folder(self, number: int) -> Path:
        """Return the directory of a control member's durable state."""
        return self.control(number).folder / "data"

    def write_settings(self) -> None:
        """Write the settings files of all processes."""
        for number in range(len(self.ips)):
            for process in (self.control(number), self.head(number)):
                (process.folder / "settings.json").write_text(json.dumps(self._settings(number)))

    def _settings(self, number: int) -> dict[str, Any]:
        first = self.port + INTERNAL_PORT
        return {
            "node-name": f"machine-{number}",
            "ip": self.ips[number],
            "zone": f"zone-{number}",
            "region": "r",
            "zones": {f"zone-{machine}": "r" for machine in range(len(self.ips))},
            "listen-addresses": {
                "front": self.address(number, FRONT_PORT),
                "ready": self.address(number, READY_PORT),
                "control": self.address(number, CONTROL_PORT),
            },
            "internal-port-range": [first, first + 2],
            "seed-nodes": self.controls[:3],
            "bootstrap": self.bootstrap,
            "counts-for-quorum": True,
            "limits": {"memory-mb": self.memory_mb, "max-fds": self.max_descriptors},
            "data-dir": str(self.data_folder(number)),
            "heartbeat-ms": 400,
            "fault-tolerance": {"machines": self.losses},
            "bounds": {"grace-s": self.grace_s, "retry-budget-slack": 60, "budget-window-s": BUDGET_WINDOW_S},
        }

    async def start(self) -> None:
        """Start all processes for the first time."""
        self.write_settings()
        await self.processes.start(*self.processes.by_name)
        await wait_until(
            [self.started_condition(process) for process in self.processes.by_name.values()], START_TIMEOUT_S
        )
        self.bootstrap = False
        self.write_settings()

    @staticmethod
    def started_condition(process: Process) -> Condition:
        """Return the condition that a process has read its settings and started."""

        async def look() -> tuple[bool, str]:
            return process.has_logged(STARTED), ""

        return Condition(process, "has read its settings", look)

    async def start_instance(
        self,
        identity: str,
        service: str,
        stage: str,
        number: int = 0,
        instance_type: type[EmulatedInstance] = EmulatedInstance,
    ) -> EmulatedEngine:
        """Start an emulated instance that registers by heartbeat."""
        engine = EmulatedEngine(identity, stage)
        server = instance_type(engine, service, "127.0.0.1", f"zone-{number}", self.engines_by_address)
        await server.start()
        self.instances[identity] = server
        self.heartbeat_tasks[identity] = asyncio.create_task(server.run_heartbeats(self.controls))
        return engine

    async def stop_instance(self, identity: str) -> None:
        """Stop an instance without unregistering it."""
        self.heartbeat_tasks.pop(identity).cancel()
        self.instances[identity].stop()

    async def call(
        self, address: str, method: str, target: str, body: bytes = b"", fields: Iterable[tuple[bytes, bytes]] = ()
    ) -> Reply:
        """Send one request on a connection of its own."""
        timeout = {"connect": CALL_TIMEOUT_S, "read": CALL_TIMEOUT_S, "write": CALL_TIMEOUT_S, "pool": CALL_TIMEOUT_S}
        async with httpcore.AsyncConnectionPool() as pool:
            headers = [*fields, (b"content-length", str(len(body)).encode())]
            request = httpcore.Request(
                method, f"http://{address}{target}", content=body, headers=headers, extensions={"timeout": timeout}
            )
            response = await pool.handle_async_request(request)
            chunks: list[bytes] = []
            try:
                async for part in response.aiter_stream():
                    chunks.append(part)
            except FAILURES:
                return Reply(response.status, response.headers, b"".join(chunks), False)
            finally:
                await response.aclose()
            return Reply(response.status, response.headers, b"".join(chunks), True)

    async def request(
        self,
        number: int,
        path: str,
        name: str,
        *fields: tuple[bytes, bytes],
        body: bytes = b"x",
    ) -> Reply:
        """Send a client's request to a head."""
        own = [(b"Host", HOST.encode()), (b"Hophinge-Request-Id", name.encode()), (b"Hophinge-Deadline-Ms", b"4000")]
        return await self.call(self.address(number, FRONT_PORT), "POST", path, body, [*own, *fields])

    async def configure(self, number: int, data: bytes, base: int) -> int:
        """Send a configuration to a control member, and return the status of the response, 0 without one."""
        fields = [(b"Host", b"c"), (b"If-Match", str(base).encode()), (b"Content-Type", b"application/json")]
        with contextlib.suppress(*FAILURES):
            return (await self.call(self.address(number, CONTROL_PORT), "PUT", "/v1/config", data, fields)).status
        return 0

    def partition(self, number: int) -> None:
        """Drop all messages between a machine and the others."""
        others = [ip for ip in self.ips if ip != self.ips[number]]
        for machine in range(len(self.ips)):
            unreachable = others if machine == number else [self.ips[number]]
            self.control(machine).block_hosts(unreachable)
            self.head(machine).block_hosts(unreachable)

    def heal(self) -> None:
        """End all partitions."""
        for machine in range(len(self.ips)):
            self.control(machine).block_hosts([])
            self.head(machine).block_hosts([])

    def _response_condition(
        self, process: Process, address: str, target: str, description: str, expected: dict[str, Any]
    ) -> Condition:
        async def look() -> tuple[bool, str]:
            try:
                reply = await self.call(address, "GET", target, b"", [(b"Host", b"c")])
            except FAILURES as error:
                return False, type(error).__name__
            seen = json.loads(reply.body) if reply.body else {}
            return reply.status == 200 and expected.items() <= seen.items(), reply.body.decode()[:300]

        return Condition(process, description, look)

    def ready_condition(self, number: int, version: int, instances: int) -> Condition:
        """Return the condition that a head is ready with a version and this number of instances."""

        async def look() -> tuple[bool, str]:
            address = self.address(number, READY_PORT)
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

    def serving_condition(self, number: int, version: int) -> Condition:
        """Return the condition that a control member serves the chain and has a version in force."""
        return self._response_condition(
            self.control(number),
            self.address(number, CONTROL_PORT),
            "/v1/member",
            f"holds version {version}",
            {"serving": True, "configuration": version},
        )

    async def __aenter__(self) -> Self:
        """Enter the context; `start` starts the processes."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop all processes and instances."""
        for task in self.heartbeat_tasks.values():
            task.cancel()
        for instance in self.instances.values():
            instance.close()
        await self.processes.close()
