"""Configurations that no head can read are acknowledged; heads that start again then serve nobody."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BOUNDS,
    ENGINE,
    LIMITS,
    CannotRunError,
    Fleet,
    Record,
    Server,
    call,
    has_trouble,
    main,
    route,
    service,
)

DISKS = 3
BRICKS = 3
WORK_S = 0.0225
DEADLINE_MS = 600
APPLY_S = BOUNDS["config-apply-ms"] / 1000
CONTACT_S = BOUNDS["contact-ms"] / 1000
PROBES = 4  # requests to each head
READY_S = 10.0  # for a head that was started to be ready
END_S = BOUNDS["grace-s"] + 1.0  # for a head that was stopped to end
REJECTED = range(400, 500)

Document = dict[str, Any]


def proper_document(version: int) -> Document:
    """Return a configuration with a route of its own, beside one that all versions have."""
    routes = [route("r-1", "/receipt/", "unsafe", "receipt-api")]
    routes.append(route(f"r-{version}", f"/added-{version}/", "unsafe", "receipt-api"))
    services = [service("receipt-api", 130), service("screen-models", 390, engine=ENGINE)]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def with_text_for_a_timeout(document: Document) -> None:
    """Put a text in the place of a route's time-out."""
    document["routes"][-1]["timeout-ms"] = "4000"


def without_a_part_of_an_engine(document: Document) -> None:
    """Leave a field of an engine out."""
    del document["services"][-1]["engine"]["handle-ttl-s"]


def with_text_for_a_limit(document: Document) -> None:
    """Put a text in the place of a limit."""
    document["limits"]["max-header-bytes"] = "16384"


SPOILS = (without_a_part_of_an_engine, with_text_for_a_limit, with_text_for_a_timeout)


async def offer(fleet: Fleet, record: Record, document: Document) -> int:
    """Send a configuration on top of the current one until there is a clear answer; return its status."""
    fields = [("If-Match", str(fleet.version)), ("Content-Type", "application/json")]
    for attempt in range(40):
        address = fleet.controls[attempt % len(fleet.controls)]
        answer = await call(address, "PUT", "/v1/config", fields, json.dumps(document).encode())
        if answer is not None and answer.status < 500:
            record.add(f"configuration {document['version']}: {answer.status} {answer.body.decode()[:160]}")
            if answer.status == 200:
                fleet.version = document["version"]
            return answer.status
        await asyncio.sleep(0.25)
    raise CannotRunError("no clear answer to a configuration")


async def probe(fleet: Fleet, path: str, name: str) -> list[int]:
    """Send requests to each head; return the statuses, 0 for no answer."""
    statuses = []
    for number in range(PROBES * len(fleet.machines)):
        machine = fleet.machines[number % len(fleet.machines)]
        answer = await fleet.request(machine, path, f"{name}-{number}", DEADLINE_MS)
        statuses.append(answer.status if answer is not None and answer.is_whole else 0)
    return statuses


async def try_document(fleet: Fleet, record: Record, spoil: Any) -> bool:
    """Send a configuration, spoilt where there is trouble; return whether it is rejected, or in force in time."""
    version = fleet.version + 1
    document = copy.deepcopy(proper_document(version))
    if has_trouble():
        spoil(document)
    status = await offer(fleet, record, document)
    if status in REJECTED:
        return True
    await asyncio.sleep(APPLY_S + 0.5)
    statuses = await probe(fleet, f"/added-{version}/1", f"added-{version}")
    record.add(f"{spoil.__name__}: {status}; then on its new route: {statuses}")
    return all(one == 200 for one in statuses)


async def restart_heads(fleet: Fleet, record: Record) -> int:
    """Stop and start the heads in turn, as planned work does; return how many were ready again."""
    ready = 0
    for machine in fleet.machines:
        fleet.signal(machine, "data-plane", signal.SIGTERM)
        await asyncio.to_thread(fleet.processes[machine.name, "data-plane"].wait, END_S)
        fleet.start_process(machine, "data-plane")
        for _ in range(int(READY_S / 0.25)):
            if await fleet.is_ready(machine):
                ready += 1
                break
            await asyncio.sleep(0.25)
    record.add(f"heads ready after a planned restart: {ready} of {len(fleet.machines)}")
    return ready


async def case(record: Record, fleet: Fleet) -> bool:
    """Send spoilt configurations; return whether each is rejected, or acknowledged and in force."""
    await fleet.configure([route("r-1", "/receipt/", "unsafe", "receipt-api")], [service("receipt-api", 130)])
    beats = []
    for number in range(BRICKS):
        server = Server(f"i-{number}", "receipt-api", f"hall-{number}", record, WORK_S)
        await server.start()
        beats.append(asyncio.create_task(server.run_heartbeats(fleet.controls)))
    await fleet.wait_ready()
    await asyncio.sleep(CONTACT_S + 1.0)  # all machines are in touch
    record.add(f"on the first route, before: {await probe(fleet, '/receipt/1', 'before')}")
    held = True
    for spoil in SPOILS:
        if fleet.version > 1:
            await offer(fleet, record, proper_document(fleet.version + 1))
            await asyncio.sleep(APPLY_S + 0.5)
        held = await try_document(fleet, record, spoil) and held
    ready = await restart_heads(fleet, record)
    record.add(f"on the first route, after the restart: {await probe(fleet, '/receipt/1', 'after')}")
    for task in beats:
        task.cancel()
    return held and ready == len(fleet.machines)


if __name__ == "__main__":
    main(__file__, case, DISKS, 0)
