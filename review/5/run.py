"""A stream that breaks off in the middle of an event reaches the client as a complete answer.

The bricks send streams with no length, which end with their connections. One of seven bricks is killed at a time.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from small_fleet import (
    TROUBLE,
    Answer,
    CannotRunError,
    Fleet,
    events_of,
    generation,
    new_name,
    request,
    route,
    run_case,
)

ROUNDS = 5
STREAMS = 10
EVENTS = 20
DOWN_S = 4.0
FRAMING = {"framing": "close", "event_s": 0.06, "half_s": 0.08}
DECODE = [f"decode-{number}" for number in range(5)]


def start_decode(fleet: Fleet, name: str) -> None:
    """Start a decode brick whose answers have no length."""
    fleet.start_brick(name, "models", "decode", DECODE.index(name) % 3, **FRAMING)


async def kill_within_event(fleet: Fleet) -> str:
    """Kill a decode brick that has sent the first half of an event of a stream."""
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        for name in DECODE:
            rows = [row for row in fleet.brick_events() if row["name"] == name][-1:]
            if not rows or rows[0]["event"] != "half" or not 2 < rows[0]["number"] < EVENTS - 2:
                continue
            if time.monotonic() - rows[0]["t"] < 0.03:
                fleet.signal(name, signal.SIGKILL)
                fleet.processes[name].wait()
                return name
        await asyncio.sleep(0.002)
    raise CannotRunError("no brick was in the middle of an event")


def judge(fleet: Fleet, answer: Answer, path: str) -> bool:
    """Return whether an answer that ended early looks complete."""
    found = events_of(answer.body)
    rest = answer.body.rpartition(b"\n\n")[2]
    is_broken = answer.status == 200 and answer.is_complete and bool(rest)
    fleet.note(
        f"{answer.name} {path}: status {answer.status}, {len(found)} whole events of {EVENTS}, rest {rest!r}, "
        f"{'complete' if answer.is_complete else 'not complete'} {answer.error}{'  BROKEN' if is_broken else ''}"
    )
    return is_broken


async def play(fleet: Fleet) -> int:
    """Play the case; return the exit status."""
    await fleet.start(
        [
            route("r-resumable", "/lohu930/", "streaming", "models", resumable=True),
            route("r-once", "/pufi791/", "streaming", "models"),
        ]
    )
    for number in range(2):
        fleet.start_brick(f"prefill-{number}", "models", "prefill", number)
    for name in DECODE:
        start_decode(fleet, name)
    await fleet.wait_known(7)
    await asyncio.sleep(3.0)  # contact-ms of calm
    broken = 0
    for _ in range(ROUNDS):
        paths = ["/lohu930/2f", "/pufi791/2f"] * (STREAMS // 2)
        tasks = [
            asyncio.create_task(
                request(fleet.front(number % 3), "POST", path, generation(1460, EVENTS), b"x" * 300, new_name())
            )
            for number, path in enumerate(paths)
        ]
        await asyncio.sleep(0.6)
        killed = await kill_within_event(fleet) if TROUBLE else ""
        for path, task in zip(paths, tasks, strict=True):
            broken += judge(fleet, await task, path)
        if killed:
            await asyncio.sleep(DOWN_S)
            start_decode(fleet, killed)
            await asyncio.sleep(5.0)  # until the one that crashed counts as lost
    fleet.note(f"answers that ended within an event and looked complete: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
