"""Real processes on loopback: an instance that reports itself cold gets few requests until it is warm."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet, configuration_document
from hophinge.load.rig.conditions import Condition, wait_until
from tests.fleet_requests import BOUND_S, counts_heads, runs, taken

COLD_PER_S = 1.0  # requests a second; the fleet has one head, which gets the whole rate
REQUESTS = 12
COLD_MS = 600_000


def _document() -> bytes:
    document = json.loads(configuration_document(1, (("/p/", "unsafe", "plain"),)))
    for service in document["services"]:
        service |= {"cold-start-s": 1.0, "cold-per-s": COLD_PER_S}
    return json.dumps(document).encode()


async def _statuses(fleet: LoopbackFleet, name: str) -> list[int]:
    calls = [fleet.request(0, "/p/x", f"{name}-{number}") for number in range(REQUESTS)]
    return [reply.status for reply in await asyncio.gather(*calls)]


def _serves_all(fleet: LoopbackFleet) -> Condition:
    async def check() -> tuple[bool, str]:
        statuses = await _statuses(fleet, "warm")
        return set(statuses) == {200}, f"answered {statuses}"

    return Condition(fleet.head(0), "sends all requests to the instance", check)


def test_a_cold_instance_gets_few_requests_until_its_heartbeats_report_it_warm(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, 1, 0) as fleet:
            await fleet.start()
            engine = await fleet.start_instance("s1", "plain", "")
            await wait_until([taken(fleet, 0, _document(), 0)], BOUND_S)
            await wait_until([fleet.ready_condition(0, 1, 1), counts_heads(fleet, 0)], BOUND_S)
            await wait_until([_serves_all(fleet)], BOUND_S)
            engine.cold_remaining_ms = COLD_MS
            assert await fleet.instances["s1"].send_heartbeat(fleet.controls)
            await wait_until([_rejects_some(fleet)], BOUND_S)
            loop = asyncio.get_running_loop()
            runs_before, started_at = runs(fleet).total(), loop.time()
            statuses = await _statuses(fleet, "cold")
            assert runs(fleet).total() - runs_before <= 1 + COLD_PER_S * (loop.time() - started_at)
            assert set(statuses) <= {200, 503}
            engine.cold_remaining_ms = 0
            await wait_until([_serves_all(fleet)], BOUND_S)

    asyncio.run(run())


def _rejects_some(fleet: LoopbackFleet) -> Condition:
    async def check() -> tuple[bool, str]:
        statuses = await _statuses(fleet, "turning")
        return 503 in statuses, f"answered {statuses}"

    return Condition(fleet.head(0), "treats the instance as cold", check)
