"""Clients of a load: each request leaves at its time, whatever became of those before, and is timed from then."""

from __future__ import annotations

import asyncio
import gc
import random
import time
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from hophinge.load.plan import Ask, Client, LoadPlan, arrivals

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
SLICE_S = 1.0
JITTER = (0.5, 1.5)
AFTER_S = 5.0  # what is still open then has no answer
ENDS = ("aim", "late", "refused", "failed", "timed out", "left", "broken")


def histogram() -> HdrHistogram:
    """Make a histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class Sort:
    """What became of one sort's first tries; a retry belongs to its first try."""

    client: Client
    ends: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ENDS, 0))
    tries: int = 0
    served: HdrHistogram = field(default_factory=histogram)  # from when the first try was due, in microseconds
    refused: HdrHistogram = field(default_factory=histogram)  # how long a refusal took
    behind: HdrHistogram = field(default_factory=histogram)  # how late tries left: what the tool itself cost

    @property
    def asked(self) -> int:
        """Tell the first tries."""
        return sum(self.ends.values())

    @property
    def worth(self) -> float:
        """Tell what was earned."""
        return self.client.worth * self.client.units * self.ends["aim"]


@dataclass
class Result:
    """What a load came to, whole and by second of arrival."""

    plan: LoadPlan
    sorts: list[Sort]
    slices: dict[int, dict[str, float]] = field(default_factory=dict)
    backends: dict[str, dict[str, int]] = field(default_factory=dict)

    @property
    def goodput(self) -> float:
        """Tell the worth earned a second."""
        return sum(one.worth for one in self.sorts) / max(1e-9, (self.plan.for_us - self.plan.settle_us) / 1e6)

    @property
    def due(self) -> float:
        """Tell the worth asked for a second."""
        return sum(one.asked * one.client.worth * one.client.units for one in self.sorts) / max(
            1e-9, (self.plan.for_us - self.plan.settle_us) / 1e6
        )


class Load:
    """One run of a plan against one head."""

    def __init__(self, plan: LoadPlan, head: str) -> None:
        self.plan, self.head = plan, head
        self.result = Result(plan, [Sort(one) for one in plan.clients])
        self.random = random.Random(plan.seed * 31)
        self.count = 0
        self.begun = 0.0

    async def run(self, begin: str = "") -> Result:
        """Play the plan; `begin` is called when it starts, for faults to have its clock."""
        asks = arrivals(self.plan)
        tasks: set[asyncio.Task[None]] = set()
        gc.collect()
        gc.freeze()
        gc.disable()  # a collection here would stand still for as long as many a request takes
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(None)
            ) as session:
                if begin:
                    await (await session.get(begin)).read()
                self.begun = time.monotonic()
                for ask in asks:
                    wait = self.begun + ask.at_us / 1e6 - time.monotonic()
                    if wait > 0:
                        await asyncio.sleep(wait)
                    task = asyncio.create_task(self._ask(session, ask))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                if tasks:
                    await asyncio.wait(tasks, timeout=AFTER_S)
                for task in list(tasks):
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            gc.enable()
            gc.unfreeze()
        return self.result

    async def _ask(self, session: aiohttp.ClientSession, ask: Ask) -> None:
        sort = self.result.sorts[ask.client]
        client = sort.client
        due = self.begun + ask.at_us / 1e6
        counts = ask.at_us >= self.plan.settle_us
        end = "broken"
        try:
            for attempt in range(client.retries + 1):
                since = time.monotonic()
                if counts:
                    sort.tries += 1
                    if not attempt:
                        sort.behind.record_value(max(1, int((since - due) * 1e6)))
                end, advice = await self._try(session, client, ask, attempt)
                took = time.monotonic() - since
                if end == "refused" and counts:
                    sort.refused.record_value(max(1, int(took * 1e6)))
                if end in ("served", "left") or attempt == client.retries:
                    break
                await asyncio.sleep(advice or client.pause_us / 1e6 * self.random.uniform(*JITTER))
        except asyncio.CancelledError:
            end = "timed out"
        if not counts:
            return
        took_us = max(1, int((time.monotonic() - due) * 1e6))
        if end == "served":
            sort.served.record_value(min(took_us, HIGHEST_US))
            end = "aim" if took_us <= client.aim_us else "late"
        sort.ends[end] += 1
        at = self.result.slices.setdefault(ask.at_us // 1_000_000, {"due": 0.0, "earned": 0.0})
        at["due"] += client.worth * client.units
        at["earned"] += client.worth * client.units * (end == "aim")

    async def _try(self, session: aiohttp.ClientSession, client: Client, ask: Ask, attempt: int) -> tuple[str, float]:
        self.count += 1
        work = ask.units * (client.heavy if ask.heavy else 1.0)
        shard = -1 if client.write else ask.key % self.plan.backends
        fields = {
            "X-Qos-Policy": client.plan,
            "X-Remaining-Ms": str(client.remaining_us // 1000),
            "X-Txn": f"{self.count:016x}",
            "X-Placement": f"units={ask.units:g},shard={shard},hosts=1",
        }
        if attempt:
            fields["X-Resent"] = "1"
        url = f"http://{self.head}/{client.klass}/{ask.volume:016x}/{ask.key:016x}?work={work:g}"
        patience = (client.stays_us or client.remaining_us) / 1e6
        try:
            async with asyncio.timeout(patience):
                async with session.request(
                    "PUT" if client.write else "GET", url, headers=fields, data=b"x" if client.write else None
                ) as answer:
                    await answer.read()
        except TimeoutError:
            return ("left" if client.stays_us else "timed out"), 0.0
        except (aiohttp.ClientError, OSError):
            return "broken", 0.0
        if answer.status == 200:
            return "served", 0.0
        if answer.status in (429, 503):
            return "refused", float(answer.headers.get("Retry-After", "0") or 0)
        return "failed", 0.0
