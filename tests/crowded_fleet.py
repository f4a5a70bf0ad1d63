"""One machine of the fleet with a crowd at one of its addresses, and what is checked beside it and afterwards.

`MEMORY_MB` and `MAX_DESCRIPTORS` are the limits in the settings of each process, and the bounds of the checks.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path

from hophinge.fleet.emulation.loopback_fleet import (
    CONTROL_PORT,
    ENGINE_SETTINGS,
    HOST,
    READY_PORT,
    LoopbackFleet,
    configuration_document,
)
from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.load.rig.conditions import wait_until
from hophinge.load.rig.processes import Process
from tests.client_crowds import Crowd, RunningCrowd, open_descriptors, peak_memory_mb
from tests.fleet_requests import taken

MEMORY_MB = 120
MAX_DESCRIPTORS = 400
START_S = 30.0
ANSWER_S = 60.0  # for an ordinary request beside or after a crowd: no measure of speed
RETRY_S = 0.1
ROUTES = (("/p/", "unsafe", "plain"), ("/m/", "streaming", "models"))
INSTANCES = (("s1", "plain", ""), ("p1", "models", "prefill"), ("d1", "models", "decode"))
REJECTED = 503  # the request may be sent again


@dataclass(frozen=True, slots=True)
class Case:
    """A crowd at one address of a machine."""

    port: int  # as an offset from the machine's first
    crowd: Crowd
    response_bytes: int = 0  # of instances, in addition
    routes: int = 0  # of the configuration, in addition


def ids(case: Case) -> str:
    """Return the name of a case's test."""
    return case.crowd.name.replace(" ", "-")


def _configuration(extra_routes: int) -> bytes:
    document = json.loads(configuration_document(1, ROUTES))
    template = document["routes"][0]
    document["routes"] += [
        {**template, "name": f"extra-{number}", "path-prefix": f"/extra-{number}/"} for number in range(extra_routes)
    ]
    assert ENGINE_SETTINGS["kv-cache-tokens"] == 400_000
    return json.dumps(document).encode()


async def _begin(fleet: LoopbackFleet, case: Case) -> None:
    """Start one machine with its instances, ready to serve."""
    await fleet.start()
    for identity, service, stage in INSTANCES:
        engine = await fleet.start_instance(identity, service, stage)
        engine.padding = bytes(0 if stage else case.response_bytes)
    await wait_until([taken(fleet, 0, _configuration(case.routes), 0)], START_S)
    await wait_until([fleet.ready_condition(0, 1, len(INSTANCES))], START_S)


async def _answered(fleet: LoopbackFleet, address: str, method: str, target: str, *fields: tuple[bytes, bytes]) -> int:
    """Send a request until it is neither rejected nor its connection closed; return the status."""
    while True:
        try:
            reply = await fleet.call(address, method, target, b"x" if method == "POST" else b"", fields)
            if reply.status != REJECTED and reply.is_complete:
                return reply.status
        except FAILURES:
            pass
        await asyncio.sleep(RETRY_S)


async def check_ordinary_callers(fleet: LoopbackFleet, name: str) -> None:
    """Check that a client, the platform and the operator each get an answer; who is rejected asks again."""
    async with asyncio.timeout(ANSWER_S):
        for path, attempt in (("/p/q", 1), ("/m/q", 2)):
            own = ((b"Host", HOST.encode()), (b"Hophinge-Request-Id", f"{name}-{attempt}".encode()))
            assert await _answered(fleet, fleet.address(0, 0), "POST", path, *own) == 200, path
        for port, target in (
            (READY_PORT, "/v1/ready"),
            (READY_PORT, "/v1/member"),
            (CONTROL_PORT, "/v1/member"),
            (CONTROL_PORT, "/v1/config"),
        ):
            assert await _answered(fleet, fleet.address(0, port), "GET", target, (b"Host", b"c")) == 200, target
        # Heartbeats go on.
        assert await fleet.instances["s1"].send_heartbeat(fleet.controls)


def check_process(process: Process, pid: int) -> None:
    """Check that a process is the one that was started, and stays within its machine."""
    assert process.is_running and process.pid == pid, list(process.lines)[-3:]
    assert peak_memory_mb(pid) < MEMORY_MB
    assert open_descriptors(pid) < MAX_DESCRIPTORS


async def play(folder: Path, case: Case) -> None:
    """Let a crowd press one address, and check all processes beside it and afterwards."""
    async with LoopbackFleet(folder, 1, losses=0, memory_mb=MEMORY_MB, max_descriptors=MAX_DESCRIPTORS) as fleet:
        await _begin(fleet, case)
        processes = [fleet.head(0), fleet.control(0)]
        pids = [process.pid for process in processes]
        running = RunningCrowd(case.crowd, fleet.address(0, case.port))
        try:
            await running.start()
            await running.finish_sending()
            assert running.result.opened, "the crowd has not come"
            for process, pid in zip(processes, pids, strict=True):
                check_process(process, pid)
            await check_ordinary_callers(fleet, "beside")
        finally:
            running.close()
        await check_ordinary_callers(fleet, "afterwards")
        for process, pid in zip(processes, pids, strict=True):
            check_process(process, pid)
