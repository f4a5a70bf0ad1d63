"""Heads among peers measured: `python benchmarks/together.py` writes benchmarks/together.md; some six minutes.

`python benchmarks/together.py COUNT` measures one fleet and prints its rows as they come.

Real heads in processes of their own, a relay between them, bricks here; loopback only, every wait has a bound. Times
are of the machine that it ran on, which may be busy with other things.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import uvloop

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.load.plan import LoadPlan  # noqa: E402
from hophinge.load.rig.link_rules import PERFECT_LINK, LinkRule  # noqa: E402
from hophinge.load.rig.run import RigRun  # noqa: E402
from hophinge.load.rig.conditions import Condition, wait_until  # noqa: E402
from startup import ROUNDS, spread, starts  # noqa: E402

SIZES = (10, 40)
BATCH = 4  # heads started at once
BOUND_S = 240.0
STEADY_S, ROUGH_S, STOPPED_S = 10.0, 15.0, 10.0
KILLS = 2
RATE = 2.0  # requests a second to each head
HEADER = 28  # bytes of IPv4 and UDP
ROUGH = LinkRule(loss=0.2, duplicate=0.05, reorder=0.2, delay_us=1_000, jitter_us=4_000)
PLAN = LoadPlan(work_us=2_000, slots=16)
TABLE = Path(__file__).with_suffix(".md")


def standings(text: str) -> dict[str, str]:
    """Read who holds whom for what."""
    return {row["name"]: row["standing"] for row in json.loads(text)["members"]}


def holds(made: RigRun, name: str, others: list[str], standing: str) -> Condition:
    """One holds others so."""
    return made.answers(
        name,
        "/ops/cluster",
        f"{standing}: {others}",
        lambda text: all(standings(text).get(other) == standing for other in others),
    )


class Rows(dict[str, str]):
    """What is measured, printed as it comes: a run that is cut short has told what it knows."""

    def __setitem__(self, what: str, figure: str) -> None:
        """Take a figure."""
        print(f"| {what} | {figure} |", flush=True)
        super().__setitem__(what, figure)


class Fleet:
    """So many heads, with a light load on all that run."""

    def __init__(self, made: RigRun, count: int) -> None:
        self.made, self.names = made, [f"n{at}" for at in range(count)]
        self.out: set[str] = set()  # killed or stopped: nothing is asked of it
        self.asked = self.served = 0
        self.rows = Rows()

    async def start(self) -> None:
        """Start all, and wait until each sees all."""
        for name in self.names:
            await self.made.add_head(name, seeds=self.names[:2], zone="z" + str(int(name[1:]) % 4))
        for at in range(0, len(self.names), BATCH):
            batch = self.names[at : at + BATCH]
            await self.made.processes.start(*batch)
            await wait_until([self.made.is_ready(name) for name in batch], BOUND_S)
        self.rows["all see all after the last is ready, s"] = f"{await self.together():.1f}"

    async def together(self) -> float:
        """Wait until all hold all alive."""
        return await wait_until([holds(self.made, name, self.names, "alive") for name in self.names], BOUND_S)

    async def load(self) -> None:
        """Ask all that run, in turn, until cancelled."""
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            for name in self.names:
                await asyncio.sleep(1 / (RATE * len(self.names)))
                if name not in self.out:
                    number += 1
                    tasks.add(task := asyncio.create_task(self._ask(name, number)))
                    task.add_done_callback(tasks.discard)

    async def _ask(self, name: str, number: int) -> None:
        status = await self.made.request(name, number, number % len(self.made.platform.backends))
        if name not in self.out:  # what was on its way to one that was killed is nobody's to answer
            self.asked += 1
            self.served += status == 200

    async def bytes_s(self, what: str, while_: Awaitable[Any]) -> None:
        """Tell bytes a second of each process while something goes on."""
        relay = self.made.relay
        before = {name: relay.sent_bytes[name] + HEADER * relay.sent_datagrams[name] for name in self.names}
        begun = time.monotonic()
        await while_
        span = time.monotonic() - begun
        self.rows[f"bytes/s sent by a process, {what}"] = spread(
            (
                (relay.sent_bytes[name] + HEADER * relay.sent_datagrams[name] - before[name]) / span
                for name in self.names
            ),
            0,
        )

    async def counted(self, counter: str, names: list[str] | None = None) -> int:
        """Sum a counter over some, or all."""
        told = [json.loads((await self.made.get(name, "/ops/cluster"))[1]) for name in names or self.names]
        return sum(int(one["counters"].get(counter, 0)) for one in told)

    async def kills(self) -> None:
        """Kill some, one after another; how long until one, and until all others hold it dead."""
        first, last, back = [], [], []
        for name in self.names[3 : 3 + KILLS]:
            self.out.add(name)
            await self.made[name].kill()
            begun = time.monotonic()
            rest = [other for other in self.names if other != name]
            seen: list[float] = []

            async def found(other: str, victim: str = name, since: float = begun, into: list[float] = seen) -> None:
                await wait_until([holds(self.made, other, [victim], "dead")], BOUND_S)
                into.append(time.monotonic() - since)

            await asyncio.gather(*map(found, rest))
            first.append(min(seen))
            last.append(max(seen))
            begun = time.monotonic()
            await self.made[name].start()
            await wait_until([self.made.is_ready(name)], BOUND_S)
            self.out.discard(name)
            await self.together()
            back.append(time.monotonic() - begun)
        self.rows["a kill is held for a death by the first other, s"] = spread(first)
        self.rows["and by all others, s"] = spread(last)
        self.rows["started again, held alive by all, s"] = spread(back)

    async def faults(self) -> None:
        """All faults in turn, under the load."""
        network = self.made.network
        await self.bytes_s("at rest", asyncio.sleep(STEADY_S))
        await self.bytes_s("while two are killed and come back", self.kills())
        deaths, suspicions = await self.counted("deaths"), await self.counted("suspicions")
        network.set_rule(ROUGH)
        await self.bytes_s("20 % loss, a fifth late", asyncio.sleep(ROUGH_S))
        network.set_rule(PERFECT_LINK)
        await self.together()
        self.rows[f"false deaths, false suspicions in {ROUGH_S:g} s of that"] = (
            f"{await self.counted('deaths') - deaths}, {await self.counted('suspicions') - suspicions}"
        )
        side = self.names[: len(self.names) // 4]
        rest = self.names[len(side) :]
        network.partition(side, rest)
        await wait_until([holds(self.made, name, side, "dead") for name in rest], BOUND_S)
        network.heal()
        healed: list[float] = []

        async def heal() -> None:
            healed.append(await self.together())

        await self.bytes_s("while a split heals", heal())
        self.rows["a quarter cut off until held dead, then all see all after the heal, s"] = f"{healed[0]:.1f}"
        await self.stop(self.names[-1], rest[:-1])

    async def stop(self, name: str, others: list[str]) -> None:
        """Stop one, wake it, and tell whom it and others held dead that lived."""
        own, theirs = await self.counted("deaths", [name]), await self.counted("deaths", others)
        self.out.add(name)
        await self.made[name].suspend()
        await asyncio.sleep(STOPPED_S)
        dead = [standings((await self.made.get(other, "/ops/cluster"))[1])[name] for other in others].count("dead")
        self.made[name].resume()
        self.out.discard(name)
        self.rows[f"stopped for {STOPPED_S:g} s and woken: all see all, s"] = f"{await self.together():.1f}"
        self.rows["the living that it held dead; that others did"] = (
            f"{await self.counted('deaths', [name]) - own}, {await self.counted('deaths', others) - theirs - dead}"
        )


async def fleet(folder: Path, count: int) -> dict[str, str]:
    """Measure a fleet of so many."""
    async with RigRun(folder, seed=count, plan=PLAN) as made:
        one = Fleet(made, count)
        begun = time.monotonic()
        await one.start()
        loading = asyncio.create_task(one.load())
        try:
            await one.faults()
        finally:
            loading.cancel()
            await asyncio.gather(loading, return_exceptions=True)
        one.rows["requests to heads that run, all faults together"] = f"{one.asked}"
        one.rows["served of them"] = f"{100 * one.served / max(1, one.asked):.2f} %"
        one.rows["resident MB of a head"] = spread(made[name].resident_mb() for name in one.names)
        print(f"{count} heads: {time.monotonic() - begun:.0f} s", flush=True)
        return one.rows


def table(before: list[str], sizes: dict[int, dict[str, str]]) -> str:
    """Write what is measured so far."""
    lines = [
        "# Heads among peers",
        "",
        f"`python benchmarks/together.py`; {len(os.sched_getaffinity(0))} cores, load average "
        f"{os.getloadavg()[0]:.0f} at the end. Median (least to most). Real heads with `[cluster]` of 20,000 "
        f"bytes/s, all datagrams through the rig's relay, {RATE:g} requests/s to each head that runs; no request "
        "is asked again. Bytes are of datagrams with 28 bytes of headers each.",
        "",
        "| | " + " | ".join(f"{count} heads" for count in sizes) + " |",
        "| --- " * (len(sizes) + 1) + "|",
    ]
    for row in next(iter(sizes.values())):
        lines.append(f"| {row} | " + " | ".join(one[row] for one in sizes.values()) + " |")
    lines += [
        "",
        "A platform's head, which has no operator's file, before the cluster came into the program and now; "
        f"{ROUNDS} starts each, in turn:",
        "",
        *before,
    ]
    return "\n".join(lines) + "\n"


async def main() -> None:
    """Measure all, and write the table; what is measured stands there also where a later part fails."""
    sizes: dict[int, dict[str, str]] = {}
    with tempfile.TemporaryDirectory(prefix="hophinge-together-") as folder:
        if sys.argv[1:]:
            await fleet(Path(folder) / sys.argv[1], int(sys.argv[1]))
            return
        before = await starts(Path(folder), PLAN)
        print("\n".join(before), flush=True)
        for count in SIZES:
            sizes[count] = await fleet(Path(folder) / str(count), count)
            TABLE.write_text(table(before, sizes))


if __name__ == "__main__":
    uvloop.run(main())
