"""A release over whole heads under load, with and without agreement; a sound build and one that is bad at some heads.

`python -m benchmarks.maintenance_heads [HEADS]` writes `benchmarks/maintenance_heads.md`.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop

from hophinge.load.rig.run import RigRun
from hophinge.load.rig.conditions import ConditionError, wait_until
from hophinge.maintenance.releases import rollout_order
from tests.maintenance_rig import PLAN, REFUSES, Installation

TABLE = Path(__file__).with_suffix(".md")
RATE = 240.0  # requests a second over all heads
MOST, EACH = 3, 3  # out at once by the document; by each of two scripts that do not know of each other
WINDOW_S = 5  # of the least share
AFTER_S = 2.0  # of load after the end
BOUND_S = 300.0
TRIES = 3  # of a start
WORDS = "(maintenance (heads (most {}))) (release r (build 2) (waves 10% 50% 100%) (settle 5 s) (refused 5%) {}) "


class Clients:
    """Requests at a steady rate, each to a head in turn and, where that does not answer, once to another."""

    def __init__(self, fleet: Installation) -> None:
        self.fleet = fleet
        self.asked: Counter[int] = Counter()  # by window
        self.served: Counter[int] = Counter()
        self.times: list[float] = []
        self.begun = time.monotonic()

    async def run(self) -> None:
        """Ask until cancelled, then wait for what is under way."""
        tasks: set[asyncio.Task[None]] = set()
        try:
            for number in itertools.count():
                await asyncio.sleep(max(0.0, self.begun + number / RATE - time.monotonic()))
                tasks.add(task := asyncio.create_task(self._ask(number)))
                task.add_done_callback(tasks.discard)
        finally:
            await asyncio.gather(*tasks)

    async def _ask(self, number: int) -> None:
        names, since = self.fleet.names, time.monotonic()
        window = int((since - self.begun) / WINDOW_S)
        status = 0
        for at in (number, number + 1 + number // len(names) % (len(names) - 1)):
            status = await self.fleet.made.request(names[at % len(names)], number, number % 3)
            if status == 200:
                break
        self.asked[window] += 1
        if status == 200:
            self.served[window] += 1
            self.times.append(time.monotonic() - since)


async def agreed(fleet: Installation) -> str:
    """Push the release; where it halts, take it back."""
    await fleet.push(WORDS.format(MOST, ""))
    ended = fleet.tells("done or halted", lambda told: told["releases"][0]["stage"] in ("done", "halted"))
    await wait_until([ended], BOUND_S)
    course = (await fleet.staff("Status"))["maintenance"]["releases"][0]
    if course["stage"] == "done":
        return "done"
    had = list(fleet.builds.values()).count("2")
    await fleet.push(WORDS.format(MOST, "(word back)"))
    await wait_until([fleet.stage("taken back")], BOUND_S)
    return f"halted with {had} on the build, taken back"


async def scripts(fleet: Installation) -> str:
    """Restart half of the heads each, so many at a time; neither looks at anything but its own heads' readiness."""

    async def one(names: list[str]) -> None:
        room = asyncio.Semaphore(EACH)

        async def restart(name: str) -> None:
            async with room:
                fleet.out.add(name)
                fleet.most_out = max(fleet.most_out, len(fleet.out))
                await fleet.made[name].end()
                fleet.builds[name] = "2"
                await fleet.again(name)
                fleet.out.discard(name)

        await asyncio.gather(*map(restart, names))

    for task in fleet.tasks:
        task.cancel()
    order = rollout_order(fleet.names)
    await asyncio.gather(one(order[::2]), one(order[1::2]))
    return "all on the build"


async def play(folder: Path, count: int, way: str, bad: bool) -> list[str]:
    """Play one release; tells its row."""
    async with RigRun(folder, 1, PLAN) as made:
        fleet = Installation(made, [f"n{at}" for at in range(count)])
        await fleet.start(clustered=False)
        fleet.bad = set(rollout_order(fleet.names)[1::3]) if bad else set()
        clients = Clients(fleet)
        asking = asyncio.create_task(clients.run())
        await asyncio.sleep(AFTER_S)
        begun = time.monotonic()
        end = await (agreed if way == "agreed" else scripts)(fleet)
        span = time.monotonic() - begun
        await asyncio.sleep(AFTER_S)
        for task in fleet.tasks if way == "agreed" else ():
            if task.done():  # whoever starts heads has failed, and with it the figures
                task.result()
        for task in (asking, *fleet.tasks):
            task.cancel()
        await asyncio.gather(asking, *fleet.tasks, return_exceptions=True)
        if way == "agreed":
            await fleet.check(MOST)
        shares = [clients.served[at] / clients.asked[at] for at in sorted(clients.asked)[:-1]]
        times = sorted(clients.times)
        return [
            way + (", bad build" if bad else ""),
            str(fleet.most_out),
            f"{100 * clients.served.total() / clients.asked.total():.2f} %",
            f"{100 * min(shares):.2f} %",
            f"{1e3 * times[len(times) // 2]:.1f} ms",
            f"{1e3 * times[int(len(times) * 0.99)]:.0f} ms",
            f"{span:.0f} s",
            str(list(fleet.builds.values()).count("2")),
            end,
            str(clients.asked.total()),
        ]


def table(count: int, load: float, rows: list[list[str]]) -> str:
    """Write the rows."""
    heads = [
        "way",
        "most out at once",
        "served",
        f"least in {WINDOW_S} s",
        "p50",
        "p99",
        "time",
        "with the build",
        "end",
        "requests",
    ]
    cores = len(os.sched_getaffinity(0))
    words = (
        f"By `python -m benchmarks.maintenance_heads {count}`: real processes on {cores} cores (load "
        f"average {load:.0f} at the start), a control service, {RATE:g} requests/s of 2 ms at three "
        f"bricks. A request goes to a head in turn and, where that does not answer, once to another; its "
        f"time is counted from the first. Bounds: `most {MOST}`. Waves: one head, 10 %, 50 %, all; "
        f"5 s to settle. The scripts restart {EACH} each at a time. A bad build refuses one request in "
        f"{REFUSES} at every third head, by a fault set beside the program. `Most out at once` is from "
        f"being let go until ready again, by the heads' own logs; the audit of permits was checked "
        f"against the bound over the whole history."
    )
    return "\n".join(
        [
            f"# A release over {count} whole heads",
            "",
            words,
            "",
            "| " + " | ".join(heads) + " |",
            "| --- " * len(heads) + "|",
            *("| " + " | ".join(row) + " |" for row in rows),
            "",
        ]
    )


async def main() -> None:
    """Play all, or one way, and write the table."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 40
    ways = sys.argv[2:] or ["agreed", "two scripts"]
    load, rows = os.getloadavg()[0], []
    with tempfile.TemporaryDirectory(prefix="hophinge-release-") as folder:
        for at, (way, bad) in enumerate(itertools.product(ways, (False, True))):
            for again in range(TRIES):
                try:
                    rows.append(await play(Path(folder) / f"{at}-{again}", count, way, bad))
                    break
                except ConditionError as error:  # a port that was free when it was chosen may be taken by then
                    if "Address already in use" not in str(error) or again + 1 == TRIES:
                        raise
            print(rows[-1], flush=True)
            TABLE.write_text(table(count, load, rows))


if __name__ == "__main__":
    uvloop.run(main())
