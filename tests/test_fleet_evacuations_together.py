"""Evacuations with real processes on loopback: no request reaches an evacuated zone until the evacuation ends."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from hophinge.fleet.emulation.instance_server import FAILURES
from hophinge.fleet.emulation.loopback_fleet import READY_PORT, LoopbackFleet, configuration_document
from hophinge.load.rig.conditions import Condition, wait_until
from hophinge.load.rig.processes import Process
from tests.fleet_requests import BOUND_S, INSTANCES, MACHINES, PROMPT, ROUTES, counts_heads, streamed, taken

HOST = [(b"Host", b"c")]
EVACUATED, OTHER = "zone-0", "zone-1"


async def _begin(fleet: LoopbackFleet) -> None:
    """Start a fleet with one instance of each stage in each of two zones."""
    await fleet.start()
    for identity, service, stage in INSTANCES:
        await fleet.start_instance(identity, service, stage, 0 if identity.endswith("1") else 1)
    await wait_until([taken(fleet, 0, configuration_document(1, ROUTES), 0)], BOUND_S)
    await wait_until([fleet.ready_condition(number, 1, len(INSTANCES)) for number in range(MACHINES)], BOUND_S)
    await wait_until([counts_heads(fleet, number) for number in range(MACHINES)], BOUND_S)


def _ordered(fleet: LoopbackFleet, number: int, method: str, zone: str) -> Condition:
    """Return the condition that a control member acknowledges an order."""

    async def check() -> tuple[bool, str]:
        address = fleet.controls[number]
        try:
            reply = await fleet.call(address, method, f"/v1/evacuations/{zone}", b"", HOST)
        except FAILURES as error:
            return False, type(error).__name__
        return reply.status == 200, f"answered {reply.status} {reply.body.decode()}"

    return Condition(fleet.control(number), f"acknowledges {method} of {zone}", check)


def _shows(fleet: LoopbackFleet, process: Process, address: str, zones: list[str]) -> Condition:
    """Return the condition that a member's status has exactly these evacuated zones, and a head is ready."""

    async def check() -> tuple[bool, str]:
        try:
            reply = await fleet.call(address, "GET", "/v1/member", b"", HOST)
        except FAILURES as error:
            return False, type(error).__name__
        status = json.loads(reply.body)
        return status["evacuated-zones"] == zones and status.get("ready", True), f"{status['evacuated-zones']}"

    return Condition(process, f"shows {zones} as evacuated", check)


def _reports(fleet: LoopbackFleet, number: int, states: dict[str, bool]) -> Condition:
    """Return the condition that a control member reports the state of all zones; without a majority, it answers 503."""

    async def check() -> tuple[bool, str]:
        reply = await fleet.call(fleet.controls[number], "GET", "/v1/evacuations", b"", HOST)
        if reply.status == 200:
            assert json.loads(reply.body) == {"evacuated": states}
            return True, ""
        assert reply.status == 503, f"answered {reply.status}"
        return False, reply.body.decode()

    return Condition(fleet.control(number), f"reports {states}", check)


async def _all_show(fleet: LoopbackFleet, *zones: str) -> None:
    heads = [
        _shows(fleet, fleet.head(number), fleet.address(number, READY_PORT), list(zones)) for number in range(MACHINES)
    ]
    controls = [_shows(fleet, fleet.control(number), fleet.controls[number], list(zones)) for number in range(MACHINES)]
    await wait_until([*heads, *controls], BOUND_S)


def _reached(fleet: LoopbackFleet, zone: str) -> set[str]:
    """Return the requests that reached a zone's instances."""
    instances = [instance for instance in fleet.instances.values() if instance.zone == zone]
    return set().union(*(instance.received_requests for instance in instances))


async def _serve(fleet: LoopbackFleet, name: str) -> None:
    for number in range(4 * MACHINES):
        head = number % MACHINES
        assert streamed(await fleet.request(head, "/m/q", f"{name}-m{number}", *PROMPT))
        assert (await fleet.request(head, "/p/q", f"{name}-p{number}")).status == 200


def test_no_request_reaches_an_evacuated_zone_until_the_evacuation_ends(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await _begin(fleet)
            await _serve(fleet, "before")
            assert _reached(fleet, EVACUATED)
            for number in range(MACHINES):  # a repeated order is acknowledged again, at any member
                await wait_until([_ordered(fleet, number, "POST", EVACUATED)], BOUND_S)
            await _all_show(fleet, EVACUATED)
            reached_before = _reached(fleet, EVACUATED)
            await _serve(fleet, "during")
            await fleet.processes.kill("head-0", *(f"control-{number}" for number in range(MACHINES)))
            await fleet.processes.start("head-0", *(f"control-{number}" for number in range(MACHINES)))
            await _all_show(fleet, EVACUATED)
            await wait_until([counts_heads(fleet, number) for number in range(MACHINES)], BOUND_S)
            await _serve(fleet, "restarted")
            assert _reached(fleet, EVACUATED) == reached_before
            await wait_until([_ordered(fleet, 1, "DELETE", EVACUATED)], BOUND_S)
            await _all_show(fleet)
            await _serve(fleet, "after")
            assert _reached(fleet, EVACUATED) > reached_before

    asyncio.run(run())


def test_a_partitioned_machine_rejects_orders_and_keeps_the_known_evacuations(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await _begin(fleet)
            await wait_until([_ordered(fleet, 2, "POST", EVACUATED)], BOUND_S)
            await _all_show(fleet, EVACUATED)
            fleet.partition(2)
            reply = await fleet.call(fleet.controls[2], "DELETE", f"/v1/evacuations/{EVACUATED}", b"", HOST)
            assert reply.status == 503
            await wait_until([_ordered(fleet, 0, "DELETE", EVACUATED), _ordered(fleet, 1, "POST", OTHER)], BOUND_S)
            conditions = [
                _shows(fleet, fleet.head(number), fleet.address(number, READY_PORT), [OTHER]) for number in (0, 1)
            ]
            await wait_until(conditions, BOUND_S)
            reached_before = _reached(fleet, EVACUATED)
            assert (await fleet.request(2, "/p/q", "alone")).status == 200
            assert _reached(fleet, EVACUATED) == reached_before
            fleet.heal()
            await _all_show(fleet, OTHER)
            states = {f"zone-{number}": f"zone-{number}" == OTHER for number in range(MACHINES)}
            await wait_until([_reports(fleet, 2, states)], BOUND_S)
            reply = await fleet.call(fleet.controls[2], "POST", "/v1/evacuations/elsewhere", b"", HOST)
            assert reply.status == 404

    asyncio.run(run())
