"""Both programs as real processes on loopback: configurations pushed, members killed, stopped and wiped."""

from __future__ import annotations

import asyncio
import json
import shutil
from pathlib import Path

from hophinge.fleet.emulation.engine import Fault
from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet, configuration_document
from hophinge.fleet.emulation.instance_server import call_any
from hophinge.load.rig.conditions import Condition, wait_until
from tests.fleet_requests import (
    BOUND_S,
    INSTANCES,
    MACHINES,
    PROMPT,
    ROUTES,
    begin,
    counts_heads,
    runs,
    streamed,
    taken,
)

COMPLETED = " request completed request={} "  # in the log of a head


def test_a_calm_fleet_serves_both_kinds_and_each_request_runs_once(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            for number in range(9):
                head = number % MACHINES
                assert streamed(await fleet.request(head, "/m/q", f"m{number}", *PROMPT))
                reply = await fleet.request(head, "/p/q?a=1", f"p{number}", body=b"body %d" % number)
                assert reply.status == 200
                assert reply.body.endswith(f"p{number}".encode())
            assert (await fleet.request(0, "/none/", "n")).status == 404
            counted = runs(fleet)
            assert len(counted) == 18
            assert set(counted.values()) == {1}
            bodies = {
                run.body
                for engine in fleet.engines_by_address.values()
                for run in engine.runs
                if run.target == "/p/q?a=1"
            }
            assert bodies == {b"body %d" % number for number in range(9)}
            assert any(run.handle for engine in fleet.engines_by_address.values() for run in engine.runs)

    asyncio.run(run())


def completed(fleet: LoopbackFleet, number: int, name: str) -> Condition:
    """Return the condition that a head has logged what became of a request."""

    async def look() -> tuple[bool, str]:
        return fleet.head(number).has_logged(COMPLETED.format(name)), ""

    return Condition(fleet.head(number), f"has logged {name}", look)


def test_what_fails_at_an_instance_goes_elsewhere_or_is_told_truly(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            # A head that doesn't know how many share the budget repeats little.
            await wait_until([counts_heads(fleet, number) for number in range(MACHINES)], BOUND_S)
            engines = {engine.identity: engine for engine in fleet.engines_by_address.values()}
            engines["s1"].faults.add(Fault.FULL)
            for number in range(6):
                assert (await fleet.request(0, "/p/q", f"full{number}")).status == 200
            engines["s1"].faults = {Fault.RESET}
            engines["s2"].faults = {Fault.RESET}
            assert (await fleet.request(1, "/p/q", "reset")).status == 502  # it may have run: no promise
            assert runs(fleet)["reset"] == 1
            engines["s1"].faults = {Fault.FULL}
            engines["s2"].faults = {Fault.FULL}
            refused = await fleet.request(2, "/p/q", "refused")
            assert refused.status == 503
            assert any(name.lower() == b"retry-after" for name, _ in refused.fields)
            assert runs(fleet)["refused"] == 0
            engines["d1"].faults.add(Fault.CUT)
            replies = [await fleet.request(0, "/m/q", f"cut{number}", *PROMPT) for number in range(4)]
            assert all(streamed(reply) for reply in replies), "a resumable stream goes on after its newest event"
            engines["d2"].faults.add(Fault.NO_MEMORY)
            engines["d1"].faults = {Fault.NO_MEMORY}
            engines["p1"].faults = engines["p2"].faults = set()
            reply = await fleet.request(0, "/m/q", "memory", *PROMPT)
            await wait_until([completed(fleet, 0, "memory")], BOUND_S)
            line = next(line for line in fleet.head(0).lines if COMPLETED.format("memory") in line)
            # Only where the deadline ended an attempt, nobody can tell whether it ran.
            assert streamed(reply) or reply.status == (504 if ":UNKNOWN" in line else 503), line
            assert reply.status != 503 or runs(fleet)["memory"] == 0

    asyncio.run(run())


def test_a_configuration_is_kept_and_spread_while_control_members_are_killed_and_wiped(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            version = 1
            for number in range(MACHINES):
                await fleet.control(number).kill()
                alive = (number + 1) % MACHINES
                routes = (*ROUTES, *((f"/v{one}/", "unsafe", "plain") for one in range(version)))
                data = configuration_document(version + 1, routes)
                await wait_until([taken(fleet, alive, data, version)], BOUND_S)
                version += 1
                await wait_until(
                    [fleet.ready_condition(one, version, len(INSTANCES)) for one in range(MACHINES)], BOUND_S
                )
                shutil.rmtree(fleet.data_folder(number))
                await fleet.processes.start(f"control-{number}")
                await wait_until([fleet.serving_condition(one, version) for one in range(MACHINES)], BOUND_S)
                assert await fleet.configure(number, data, version - 1) == 200, "sent again, it is acknowledged again"
                assert await fleet.configure(alive, configuration_document(version + 5, ROUTES), version - 1) == 412
                assert await fleet.configure(alive, configuration_document(version, ROUTES), version) == 400
            await fleet.processes.kill(*(f"control-{number}" for number in range(MACHINES)))
            await fleet.processes.start(*(f"control-{number}" for number in range(MACHINES)))
            await wait_until([fleet.serving_condition(one, version) for one in range(MACHINES)], BOUND_S)
            assert (await fleet.request(0, "/v0/q", "after")).status == 200

    asyncio.run(run())


def test_a_control_member_that_stood_still_comes_back_without_harm(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            await fleet.control(0).suspend()
            await wait_until([taken(fleet, 1, configuration_document(2, ROUTES), 1)], BOUND_S)
            await wait_until([fleet.ready_condition(one, 2, len(INSTANCES)) for one in range(MACHINES)], BOUND_S)
            fleet.control(0).resume()
            await wait_until([fleet.serving_condition(one, 2) for one in range(MACHINES)], BOUND_S)
            assert await fleet.configure(0, configuration_document(3, ROUTES), 2) == 200

    asyncio.run(run())


def test_a_machine_that_is_cut_off_serves_on_but_decides_nothing_until_it_is_back(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            fleet.partition(2)
            assert await fleet.configure(2, configuration_document(2, ROUTES), 1) != 200, (
                "a minority takes no configuration"
            )
            await wait_until([taken(fleet, 0, configuration_document(2, ROUTES), 1)], BOUND_S)
            await wait_until([fleet.ready_condition(one, 2, len(INSTANCES)) for one in range(2)], BOUND_S)
            assert (await fleet.request(0, "/p/q", "beside")).status == 200
            assert (await fleet.request(2, "/p/q", "alone")).status == 200
            assert await _configuration(fleet, 2) == 1, "nothing comes through the cut"
            fleet.heal()
            await wait_until([fleet.ready_condition(2, 2, len(INSTANCES)), fleet.serving_condition(2, 2)], BOUND_S)

    asyncio.run(run())


async def _configuration(fleet: LoopbackFleet, number: int) -> int:
    reply = await fleet.call(fleet.address(number, 1), "GET", "/v1/member", b"", [(b"Host", b"c")])
    return int(json.loads(reply.body)["configuration"])


def test_after_a_drain_is_acknowledged_no_head_sends_there(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            leaving = fleet.instances["s1"]
            fleet.heartbeat_tasks.pop("s1").cancel()
            leaving.engine.state = "draining"
            assert await leaving.send_heartbeat(fleet.controls)
            await wait_until([_draining(fleet, number, "s1") for number in range(MACHINES)], BOUND_S)
            leaving.engine.runs.clear()
            for number in range(12):
                assert (await fleet.request(number % MACHINES, "/p/q", f"d{number}")).status == 200
            assert not leaving.engine.runs
            assert await call_any(fleet.controls, "DELETE", "/v1/instances/s1", b"")
            await wait_until([fleet.ready_condition(one, 1, len(INSTANCES) - 1) for one in range(MACHINES)], BOUND_S)

    asyncio.run(run())


def _draining(fleet: LoopbackFleet, number: int, identity: str) -> Condition:
    async def look() -> tuple[bool, str]:
        reply = await fleet.call(fleet.address(number, 1), "GET", "/v1/member", b"", [(b"Host", b"c")])
        return f'"{identity}": {{"service": "plain", "stage": "", "state": "draining"'.encode() in reply.body, ""

    return Condition(fleet.head(number), f"knows that {identity} drains", look)


def test_a_head_that_is_told_to_end_finishes_its_requests(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await begin(fleet)
            ending = asyncio.create_task(fleet.head(0).end())
            replies = [await fleet.request(0, "/m/q", f"e{number}", *PROMPT) for number in range(5)]
            assert all(streamed(reply) for reply in replies)
            assert all((b"connection", b"close") in reply.fields for reply in replies[1:])
            assert await ending == 0

    asyncio.run(run())
