"""What fetches beforehand do to others' requests: a real head with an object front and stand-in bricks on loopback."""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from tests.popular import Installation, installation  # noqa: E402

PAIRS, SECONDS, RATE = 20, 1.0, 60.0  # of runs with and without fetches in turn; each; requests a second
WORK_S = 0.002  # of a brick for a read
OBJECTS = 30  # that others read, and that are fetched
SIZE = 2_000  # bytes of each, two pieces
LOST: list[str] = []  # reads of the run that were not served
FETCH_BYTES_S = 100_000.0


async def load(built: Installation, paths: list[str], seconds: float, seed: int) -> list[float]:
    """Read by Poisson's law; tell milliseconds of those that were served."""
    lots, client, tasks = random.Random(seed), built.clients["a"], []
    took: list[float] = []

    async def one(path: str) -> None:
        since = time.perf_counter()
        if await client.status("GET", path) != 200:
            LOST.append(path)  # refused, for want of time: told in the table
            return
        took.append((time.perf_counter() - since) * 1000)

    until = time.perf_counter() + seconds
    due = time.perf_counter()
    while (due := due + lots.expovariate(RATE)) < until:
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(one(lots.choice(paths))))
    await asyncio.gather(*tasks)
    return took


async def fetching(built: Installation) -> None:
    """Fetch objects again and again; their pieces are dropped, so that there is always something to fetch."""
    popular = built.popular["a"]
    while True:
        popular.cache.remove_tenant("alba")
        popular.attempted.clear()
        await popular.fetch()
        await asyncio.sleep(0.05)


def quantile(found: list[float], part: float) -> float:
    """Tell a quantile."""
    return sorted(found)[min(len(found) - 1, int(part * len(found)))]


async def latency() -> list[str]:
    """Measure pairs of runs in turn; tell a table."""

    async def work(request: web.BaseRequest, body: bytes) -> None:
        if request.method == "GET":
            await asyncio.sleep(WORK_S)

    with tempfile.TemporaryDirectory() as folder:
        async with installation(Path(folder), {"a": ""}, 50_000_000, 1.0, FETCH_BYTES_S, alone=True) as built:
            popular, client = built.popular["a"], built.clients["a"]
            paths = [f"/receipts/{at}" for at in range(OBJECTS)]
            for path in paths:
                await client.status("PUT", path, path.encode() * (SIZE // len(path)))
            for path in paths:
                for _ in range(5):
                    await client.status("GET", path)
            popular.closes_us = 0
            popular.tick()
            while popular.site.process_pending(100):
                pass
            popular.store.chunk_store.cache = None  # others' reads go to bricks whether or not a piece is kept
            for backend in built.world.backends:
                backend.behave = work
            await load(built, paths, 2.0, 1)
            found: dict[bool, list[list[float]]] = {True: [], False: []}
            ratios, fetched, lost = [], 0, {True: 0, False: 0}
            for pair in range(PAIRS):
                for on in (True, False) if pair % 2 else (False, True):
                    before = popular.fetcher.fetched_bytes
                    task = asyncio.create_task(fetching(built)) if on else None
                    LOST.clear()
                    found[on].append(await load(built, paths, SECONDS, 100 + pair))
                    lost[on] += len(LOST)
                    if task is not None:
                        task.cancel()
                        await asyncio.gather(task, return_exceptions=True)
                        fetched += popular.fetcher.fetched_bytes - before
                ratios.append(quantile(found[True][-1], 0.99) / quantile(found[False][-1], 0.99))
    rows = []
    for on, runs in sorted(found.items()):
        whole = [one for run in runs for one in run]
        rows.append(
            f"| {'on' if on else 'off'} | {len(whole)} | {lost[on]} | {quantile(whole, 0.5):.1f} | "
            f"{quantile(whole, 0.99):.1f} | {fetched / PAIRS / SECONDS / 1000 if on else 0.0:.0f} |"
        )
    whole_ratio = quantile([one for run in found[True] for one in run], 0.99) / quantile(
        [one for run in found[False] for one in run], 0.99
    )
    spread = statistics.quantiles(ratios, n=4)
    return [
        "## Others' requests while fetches run",
        "",
        f"A real head with an object front, three stand-in bricks of {WORK_S * 1000:.0f} ms a read and the "
        f"clients in one process; {RATE:.0f} reads a second of {SIZE} bytes in two "
        f"pieces, {PAIRS} pairs of runs of {SECONDS:.1f} s in turn. p99 with fetches to p99 without: "
        f"{whole_ratio:.2f} over the reads that were served; in pairs median {statistics.median(ratios):.2f}, "
        f"quartiles {spread[0]:.2f} and {spread[2]:.2f}.",
        "",
        "| fetches | reads served | not served | p50, ms | p99, ms | fetched, kB/s |",
        "| --- | --- | --- | --- | --- | --- |",
        *rows,
    ]


if __name__ == "__main__":
    print("\n".join(asyncio.run(latency())))
