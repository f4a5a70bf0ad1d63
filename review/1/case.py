"""A brick's refusal that arrives twice is taken for the answer to the same request's next attempt."""

from __future__ import annotations

import asyncio
import functools
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Fleet, Record, Server, has_trouble, main, route, service

MACHINES = 4
BRICKS = 4
TRIALS = 24
OTHERS = 80  # other requests for each trial: a brick repeats fewer than 6 in 100 of its answers
WORK_S = 0.09
SURPLUS_S = 0.07  # after which a brick sends an answer once more
MAX_SURPLUS = 0.06
DEADLINE_MS = 4000


class Load:
    """When the bricks are full: in a trial each of them is, until its first request has come."""

    def __init__(self) -> None:
        self.full: set[str] = set()  # bricks

    def is_full(self, identity: str) -> bool:
        """Return whether a brick is full now."""
        was_full = identity in self.full
        self.full.discard(identity)
        return was_full


def repeat_refusals(server: Server, repeated: Counter[str]) -> None:
    """Have a brick in trouble send a few of its answers once more, late."""

    def delay(status: int) -> float | None:
        if status != 503 or repeated[server.identity] + 1 > MAX_SURPLUS * server.answers:
            return None
        repeated[server.identity] += 1
        return SURPLUS_S

    server.surplus_of = delay


async def case(record: Record, fleet: Fleet) -> bool:
    """Send unsafe requests to bricks that are full now and then; return whether each ran once at most."""
    load = Load()
    repeated: Counter[str] = Counter()
    servers = [
        Server(f"i-{number}", "panggil", f"hall-{number % MACHINES}", record, WORK_S) for number in range(BRICKS)
    ]
    await fleet.configure([route("r", "/seat/", "unsafe", "panggil")], [service("panggil", 100)])
    beats = []
    for server in servers:
        await server.start()
        server.is_full = functools.partial(load.is_full, server.identity)
        if has_trouble():
            repeat_refusals(server, repeated)
        beats.append(asyncio.create_task(server.run_heartbeats(fleet.controls)))
    await fleet.wait_ready()
    await asyncio.sleep(2.0)
    head = fleet.machines[0]
    answers: dict[str, int] = {}
    for trial in range(TRIALS):
        for first in range(0, OTHERS, 8):
            names = [f"other-{trial}-{number}" for number in range(first, first + 8)]
            await asyncio.gather(*(fleet.request(head, "/seat/1", name, DEADLINE_MS) for name in names))
        load.full = {server.identity for server in servers}
        answer = await fleet.request(head, "/seat/1", f"trial-{trial}", DEADLINE_MS)
        answers[f"trial-{trial}"] = answer.status if answer is not None else 0
        load.full.clear()
        await asyncio.sleep(0.2)
    for task in beats:
        task.cancel()
    runs = Counter(arrival.request for server in servers for arrival in server.arrivals if arrival.is_run)
    twice = {name: count for name, count in runs.items() if count > 1}
    refused = [name for name, status in answers.items() if status in (429, 503) and runs[name]]
    shares = [f"{repeated[server.identity]} of {server.answers}" for server in servers]
    record.add(f"answers sent once more: {', '.join(shares)}")
    record.add(f"unsafe requests that ran more than once: {twice}")
    record.add(f"unsafe requests that ran and were answered 503: {refused}")
    return not twice and not refused


if __name__ == "__main__":
    main(__file__, case, MACHINES, 0)
