"""A change of the configuration that the operator was refused with 412 is in force nevertheless.

Two orders are in flight at once, the second made on top of the first. One machine of the core stands still for 0.7 s.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from small_fleet import (
    TROUBLE,
    CannotRunError,
    Fleet,
    document,
    generation,
    get,
    new_name,
    put,
    request,
    route,
    run_case,
)

ROUNDS = 8
FREEZE_S = 0.7
ORDER_LIMIT_S = 6.0
CLEAR = (200, 400, 409, 412, 413, 422)  # what ends a call of the operator at once


async def order(fleet: Fleet, label: str, body: bytes, base: int, first: int) -> int:
    """Send a change as the operator does: to another head after a failure, a 5xx or a second of silence."""
    until = time.monotonic() + ORDER_LIMIT_S
    for turn in range(20):
        member = (first + turn) % fleet.core
        fleet.note(f"{label}: PUT /v1/config to {fleet.controls[member]}, If-Match {base}")
        status = 0
        try:
            async with asyncio.timeout(1.0):
                status = await put(fleet.controls[member], "/v1/config", body, f"If-Match: {base}\r\n")
        except TimeoutError:
            pass
        fleet.note(f"{label}: answer {status or 'none'}")
        if status in CLEAR or time.monotonic() > until:
            return status
        await asyncio.sleep(0.1 * (turn + 1))
    return 0


async def current_version(fleet: Fleet) -> int:
    """Read the version in force back, at any head that can tell it."""
    for turn in range(30):
        status, body = await get(fleet.controls[turn % fleet.core], "/v1/config")
        if status == 200:
            return int(json.loads(body)["version"])
        await asyncio.sleep(0.2)
    raise CannotRunError("no head can tell the version in force")


async def play_round(fleet: Fleet, number: int, base: int) -> tuple[bool, int]:
    """Play one round; return whether a refused change is in force, and the version that is."""
    common = [route("r-always", "/lohu930/", "streaming", "models", resumable=True)]
    new = route("r-new", f"/new{number}/", "safe", "plain")
    first, second = document(base + 2, common), document(base + 4, [*common, new])
    slow, other = random.sample([1, 2], 2)  # machine 0 comes first in the order of addresses: writes are judged there
    frozen = f"control-plane-{slow}"
    if TROUBLE:
        fleet.signal(frozen, signal.SIGSTOP)
    orders = [
        asyncio.create_task(order(fleet, f"change {base + 2}", first, base, other)),
        asyncio.create_task(order(fleet, f"change {base + 4}", second, base + 2, 0)),
    ]
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        fleet.signal(frozen, signal.SIGCONT)
    statuses = await asyncio.gather(*orders)
    await asyncio.sleep(2.1)  # config-apply-ms
    version = await current_version(fleet)
    probe = await request(fleet.front(0), "GET", f"/new{number}/x", {"Hophinge-Deadline-Ms": "2000"}, b"", new_name())
    is_refused = 400 <= statuses[1] < 500
    is_broken = is_refused and (version == base + 4 or probe.status == 200)
    fleet.note(
        f"round {number}: changes {base + 2} and {base + 4} answered {statuses}; in force {version}; "
        f"a request on the route that only {base + 4} has: {probe.status}{'  BROKEN' if is_broken else ''}"
    )
    return is_broken, version


async def play(fleet: Fleet) -> int:
    """Play the case; return the exit status."""
    await fleet.start([route("r-always", "/lohu930/", "streaming", "models", resumable=True)])
    fleet.start_brick("model-a", "models", "decode", 0)
    fleet.start_brick("plain-a", "plain", "", 1)
    await fleet.wait_known(2)
    await asyncio.sleep(3.0)  # contact-ms of calm
    answer = await request(fleet.front(0), "POST", "/lohu930/2f", generation(400, 3), b"x", new_name())
    if answer.status != 200:
        raise CannotRunError(f"a request in calm got {answer.status}")
    broken, version = 0, await current_version(fleet)
    for number in range(ROUNDS):
        is_broken, version = await play_round(fleet, number, version)
        broken += is_broken
        await asyncio.sleep(1.0)
    fleet.note(f"rounds in which a refused change is in force: {broken} of {ROUNDS}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
