"""Others' requests while fetches run, in virtual time: pairs of runs that differ by the fetches alone.

`python benchmarks/popularity_others.py` prints the table; a machine's other work changes nothing in it but the last
column, which is processor time.
"""

from __future__ import annotations

import asyncio
import itertools
import multiprocessing
import statistics
import sys
import time
from pathlib import Path

from msgspec import Struct

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from popularity_model import Model, VirtualLoop, virtual  # noqa: E402
from tests.stand_in import setup  # noqa: E402

SEEDS = range(1001, 1025)  # none of them was looked at while constants were chosen
OTHERS = (0.4, 0.6, 0.7)  # of each brick's time that other heads' work takes
RATE, SECONDS = 60.0, 10.0  # reads a second, and seconds of each run
OBJECTS, SIZE = 30, 2000  # bytes, in two pieces


class Found(Struct):
    """One run."""

    took: list[float]  # milliseconds of each read that was served
    lost: int
    fetched: float  # bytes a second
    cpu_us: float  # a read

    def p99(self) -> float:
        """Tell the 99th percentile, milliseconds."""
        return sorted(self.took)[min(len(self.took) - 1, int(0.99 * len(self.took)))]


def played(job: tuple[int, float, bool]) -> Found:
    """Play one run: a seed, others' work, and whether fetches run."""
    seed, others, fetches = job

    async def main(loop: VirtualLoop, folder: Path) -> Found:
        settings = setup()
        settings["Grades"][1]["Reserve"] = 20  # most of the tenant's use is beyond its reserve
        model = Model(loop, seed, folder, settings)
        names = [str(at) for at in range(OBJECTS)]
        await model.put(names, SIZE)
        for name in names:
            for _ in range(5):
                await model.read(name)
        popular = model.popular
        popular.closes_us = 0
        popular.tick()
        while popular.site.process_pending(100):
            pass
        popular.store.chunk_store.cache = None  # others' reads go to bricks whether or not a piece is kept
        beside = [asyncio.create_task(model.others(others))]
        await model.load(names, RATE, 2.0)
        model.lost.clear()
        before = popular.fetcher.fetched_bytes
        if fetches:
            beside.append(asyncio.create_task(model.fetching()))
        since = time.process_time()
        took = await model.load(names, RATE, SECONDS)
        spent = time.process_time() - since
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        return Found(
            took,
            model.lost.total(),
            (popular.fetcher.fetched_bytes - before) / SECONDS,
            1e6 * spent / max(1, len(took)),
        )

    return virtual(main, seed)


def others(seeds: range = SEEDS) -> list[str]:
    """Tell the table's section."""
    rows = []
    with multiprocessing.Pool(6) as pool:
        for part in OTHERS:
            jobs = [(seed, part, on) for seed in seeds for on in (False, True)]
            found = pool.map(played, jobs, 1)
            off, on = found[::2], found[1::2]
            ratios = [one.p99() / other.p99() for one, other in zip(on, off, strict=True)]
            low, _, high = statistics.quantiles(ratios, n=4)
            reads = sum(len(one.took) + one.lost for one in off)
            whole = [list(itertools.chain.from_iterable(one.took for one in runs)) for runs in (off, on)]
            p99 = [Found(one, 0, 0.0, 0.0).p99() for one in whole]
            cpu = statistics.median(one.cpu_us / other.cpu_us for one, other in zip(on, off, strict=True))
            rows.append(
                f"| {part:.0%} | {reads} | {sum(one.lost for one in off)} | {sum(one.lost for one in on)} | "
                f"{p99[0]:.1f} | {p99[1]:.1f} | {statistics.median(ratios):.3f} ({low:.3f} to {high:.3f}) | "
                f"{statistics.mean(one.fetched for one in on) / 1000:.1f} | {cpu:.2f} |"
            )
    return [
        "## Others' requests while fetches run, in virtual time",
        "",
        "The real front, exchange, module and popularity on three model bricks of 2 ms a unit, exponential; "
        f"{RATE:.0f} reads a second of {SIZE} bytes in two pieces, mostly beyond the tenant's reserve, "
        f"{len(seeds)} pairs of runs of {SECONDS:.0f} s that differ by the fetches alone. p99 in ms, of all reads; "
        "its ratio by pairs, median and quartiles; fetched in kB/s; processor time of the whole run a read, with "
        "fetches to without.",
        "",
        "| others' work | reads | not served, without | with fetches | p99 without | p99 with | ratio | fetched | "
        "processor |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        *rows,
    ]


if __name__ == "__main__":
    print("\n".join(others()))
