"""A head's object front, module and popularity on model bricks in virtual time: what fetches do to others' requests.

Everything above the wire is the real thing; the loop's clock is moved to the next timer instead of waited for, so a
run depends on its seeds alone and tells what the machine cannot: what was decided, and nothing of the machine.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import random
import selectors
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.core import interface as api  # noqa: E402
from hophinge.core.counters import Counters  # noqa: E402
from hophinge.core.exchange import Attempt, AttemptResult, Exchange  # noqa: E402
from hophinge.core.settings import read_settings  # noqa: E402
from hophinge.head.popularity import HeadPopularity  # noqa: E402
from hophinge.head.sections import PopularityConfig  # noqa: E402
from hophinge.objects.config import ObjectConfig  # noqa: E402
from hophinge.objects.chunk_store import ChunkStore  # noqa: E402
from hophinge.objects.core_client import TimeBudget, CoreFailedError, RejectedError  # noqa: E402
from hophinge.objects.object_store import ObjectStore  # noqa: E402
from hophinge.objects.account_access import Volume  # noqa: E402

Value = TypeVar("Value")
T0_S = 1e6
SPAN_US, DAY_US = 1_000_000, 60_000_000


class Skips(selectors.SelectSelector):
    """A selector that waits for nothing and moves the clock instead."""

    now_s = T0_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Move the clock."""
        if timeout is None:
            raise RuntimeError("nothing is due: the run hangs")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on a clock of its own, and the exchange's timers on it."""

    def __init__(self) -> None:
        self.skips = Skips()
        super().__init__(self.skips)

    def time(self) -> float:
        """Tell the virtual time, seconds."""
        return self.skips.now_s

    def now_us(self) -> int:
        """Tell it in microseconds."""
        return round(self.skips.now_s * 1e6)


class Timers:
    """What the exchange asks of a loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.now_us = loop, loop.now_us

    def call_at(self, when_us: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back at a time, never early."""

        def due() -> None:
            callback()

        return self.loop.call_at(max(self.loop.time(), (when_us + 0.6) / 1e6), due)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next turn."""
        self.loop.call_soon(callback)


class ModelBackend:
    """One disk: requests in turn, each an exponential time a unit, and others' work between them."""

    def __init__(self, model: Model, shard: int, work_us: float) -> None:
        self.model, self.shard, self.work_us = model, shard, work_us
        # Others' work is the same with and without fetches, and so are a key's times.
        self.lots = random.Random(f"{model.seed} {shard}")
        self.free_us, self.kept = 0.0, dict[str, bytes]()
        self.reads, self.again = Counter[str](), Counter[tuple[str, str]]()

    def work(self, units: float, lots: random.Random) -> float:
        """Queue some work; tells when it is done."""
        self.free_us = max(self.free_us, self.model.loop.now_us()) + lots.expovariate(1 / self.work_us) * units
        return self.free_us

    def start(self, attempt: Attempt) -> Callable[[], None]:
        """Take an attempt."""
        ask, payload = attempt.request.arrival, attempt.request.payload
        if ask.write:
            self.kept[payload.target.split("/", 2)[2]] = payload.body
        else:
            self.reads[ask.volume] += 1
        attempt.record_sent()
        body = self.kept.get(payload.target.split("/", 2)[2], b"")
        end = AttemptResult(api.Result.OK, b"" if ask.write else body, absent=not ask.write and not body)
        again = self.again[ask.volume, ask.key] = self.again[ask.volume, ask.key] + 1
        lots = random.Random(f"{self.model.seed} {ask.volume} {ask.key} {again}")
        handle = self.model.timers.call_at(int(self.work(ask.units, lots)) + 100, lambda: attempt.end(end))
        return handle.cancel


class Model:
    """One head and its bricks."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        folder: Path,
        settings: dict[str, Any],
        backends: int = 3,
        work_us: float = 2000.0,
        fetch_bytes_s: float = 1e5,
        cache_bytes: int = 50_000_000,
    ) -> None:
        self.loop, self.seed, self.timers = loop, seed, Timers(loop)
        self.lots = random.Random(seed)
        self.backends = [ModelBackend(self, shard, work_us) for shard in range(backends)]
        self.exchange = Exchange(read_settings(json.dumps(settings)), seed, self.timers, Counters(), lambda text: None)
        self.exchange.start = lambda attempt: self.backends[attempt.shard].start(attempt)
        self.exchange.nodes(
            api.NodeList(
                api.ListKind.FULL,
                tuple(api.NodeEntry(f"b{shard}", 0, shard, api.Phase.ON, 0.0, 0) for shard in range(backends)),
            )
        )
        self.store = ObjectStore(
            ChunkStore(self.exchange, ObjectConfig("", folder, "record-read", "transfer-write", piece_bytes=1000)),
            loop.time,
        )
        (folder / "key").write_bytes(b"the installation's secret")
        self.popular = HeadPopularity(
            PopularityConfig(folder / "key", cache_bytes=cache_bytes, tenant_part=1.0, fetch_bytes_s=fetch_bytes_s),
            self.store,
            lambda volume: ("alba", "priority"),
            lambda text: None,
            span_us=SPAN_US,
            day_us=DAY_US,
        )
        self.volume = Volume("00000003b4d60021", "priority")
        self.lost: Counter[str] = Counter()

    async def put(self, names: list[str], size: int) -> None:
        """Write objects and read each, so that they are known."""

        async def chunks() -> Any:
            for _ in range(0, size, 1000):
                yield b"x" * 1000

        for name in names:
            await self.store.put(self.volume, name, "", chunks(), "", TimeBudget(0, None))

    async def read(self, name: str) -> float | None:
        """Read an object whole, as a client does; tells milliseconds, nothing where it was not served."""
        since = self.loop.time()
        try:
            manifest = await self.store.head(self.volume, name, TimeBudget(0, None))
            async for _ in self.store.read(self.volume, manifest, 0, manifest.size - 1, TimeBudget(0, None)):
                pass
        except (RejectedError, CoreFailedError) as error:
            self.lost[type(error).__name__] += 1
            return None
        return (self.loop.time() - since) * 1000

    async def load(self, names: list[str], rate: float, seconds: float) -> list[float]:
        """Read by Poisson's law; tell milliseconds of those that were served."""
        lots, tasks = random.Random(f"{self.seed} load"), []
        until, due = self.loop.time() + seconds, self.loop.time()
        while (due := due + lots.expovariate(rate)) < until:
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            tasks.append(asyncio.create_task(self.read(lots.choice(names))))
        return [one for one in await asyncio.gather(*tasks) if one is not None]

    async def others(self, utilisation: float) -> None:
        """Put other heads' work on each brick, until cancelled."""
        queue = [(0.0, backend.shard) for backend in self.backends]
        while True:
            due, shard = heapq.heappop(queue)
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            backend = self.backends[shard]
            backend.work(1.0, backend.lots)
            heapq.heappush(
                queue, (max(due, T0_S) + backend.lots.expovariate(utilisation * 1e6 / backend.work_us), shard)
            )

    async def fetching(self) -> None:
        """Fetch objects again and again; their pieces are dropped, so that there is always something to fetch."""
        while True:
            self.popular.cache.remove_tenant("alba")
            self.popular.attempted.clear()
            await self.popular.fetch()
            await asyncio.sleep(0.05)


def virtual(main: Callable[[VirtualLoop, Path], Coroutine[Any, Any, Value]], seed: int) -> Value:
    """Run in virtual time; ids are drawn from the seed, so the same run is the same each time."""
    lots = random.Random(seed)
    with (
        mock.patch("secrets.token_hex", lambda size=8: lots.randbytes(size).hex()),
        mock.patch("secrets.token_bytes", lambda size=8: lots.randbytes(size)),
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)
        return runner.run(main(loop, Path(folder)))
