"""Streams under way outlive what happens to everything but their head, their instance and their client.

Asked for by an answer that was cut with nobody telling the head to: control members are killed, lose their disks, stand
still and are cut off, records arrive all the while, settings files are half written, and another head comes and goes.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from hophinge.fleet.emulation.loopback_fleet import LoopbackFleet, configuration_document
from hophinge.load.rig.conditions import wait_until
from tests.fleet_client import CLIENTS, EVENTS, Client, is_stream, request
from tests.fleet_faults import FAULTS
from tests.fleet_requests import BOUND_S, INSTANCES, MACHINES, ROUTES, taken

EVENT_INTERVAL_S = 0.9  # between events: a stream lasts 6.3 s
HEAD = 0  # whose streams are looked at; what happens, happens to the other machines
STREAMS = 6
LONG_MS = 30_000
CONTROL_FAULTS = [
    fault
    for fault in FAULTS
    if fault.name in ("control member killed", "disk lost", "machine stands still", "machine cut off", "head killed")
]


def configuration(version: int) -> bytes:
    """A document whose streams may neither be resumed nor tried twice."""
    raw = json.loads(configuration_document(version, ROUTES))
    routes = [{**route, "resumable": False, "max-attempts": 1, "timeout-ms": LONG_MS} for route in raw["routes"]]
    return json.dumps({**raw, "routes": routes}).encode()


async def slow_instance(fleet: LoopbackFleet, identity: str, service: str, stage: str) -> None:
    """Start an instance whose streams last."""
    engine = await fleet.start_instance(identity, service, stage)
    engine.events = EVENTS
    fleet.instances[identity].before_event = lambda: asyncio.sleep(EVENT_INTERVAL_S)


async def faults(fleet: LoopbackFleet, over: asyncio.Event) -> None:
    """One fault after the other at the other machines."""
    number = 0
    while not over.is_set():
        fault, machine = CONTROL_FAULTS[number % len(CONTROL_FAULTS)], 1 + number % (MACHINES - 1)
        number += 1
        await fault.begin(fleet, machine)
        await asyncio.sleep(0.3)
        await fault.repair(fleet, machine)
        await asyncio.sleep(0.3)


async def changes(fleet: LoopbackFleet, over: asyncio.Event) -> None:
    """A change of the configuration whenever the last one is acknowledged."""
    version = 1
    while not over.is_set():
        for number in range(MACHINES):
            if await fleet.configure(number, configuration(version + 1), version) == 200:
                version += 1
                break
        await asyncio.sleep(0.05)


async def settings(fleet: LoopbackFleet, over: asyncio.Event) -> None:
    """The head's own settings file is written piece by piece, with a signal in between."""
    process = fleet.head(HEAD)
    path = process.folder / "settings.json"
    whole = path.read_bytes()
    while not over.is_set():
        for data in (b"", whole[:100], whole[:-1], whole):
            path.write_bytes(data)
            process.send(signal.SIGHUP)
            await asyncio.sleep(0.1)


async def records(fleet: LoopbackFleet, over: asyncio.Event) -> None:
    """Instances come and go without a word."""
    number = 0
    while not over.is_set():
        number += 1
        await slow_instance(fleet, f"x{number}", "models", "decode" if number % 2 else "prefill")
        await asyncio.sleep(0.6)
        await fleet.stop_instance(f"x{number}")


async def stream(fleet: LoopbackFleet, name: str) -> bool:
    """Have one stream from the head."""
    client = await Client.open(fleet)
    client.send(request("/m/q", name))
    return is_stream(await client.answer())


def test_streams_are_complete_under_all_faults(tmp_path: Path) -> None:
    async def run() -> None:
        async with LoopbackFleet(tmp_path, MACHINES) as fleet:
            await fleet.start()
            for identity, service, stage in INSTANCES:
                await slow_instance(fleet, identity, service, stage)
            await wait_until([taken(fleet, 0, configuration(1), 0)], BOUND_S)
            await wait_until([fleet.ready_condition(number, 1, len(INSTANCES)) for number in range(MACHINES)], BOUND_S)
            over = asyncio.Event()
            troubles: tuple[Callable[[LoopbackFleet, asyncio.Event], Awaitable[None]], ...] = (
                faults,
                changes,
                settings,
                records,
            )
            playing = [asyncio.ensure_future(trouble(fleet, over)) for trouble in troubles]
            whole = await asyncio.gather(*(stream(fleet, f"q{number}") for number in range(STREAMS)))
            over.set()
            await asyncio.gather(*playing)
            while CLIENTS:
                CLIENTS.pop().writer.close()
            lines = [
                line
                for line in fleet.head(HEAD).lines
                if any(word in line for word in ("aborted", "failed", "draining"))
            ]
            assert all(whole) and not lines, (whole, lines)

    asyncio.run(run())
