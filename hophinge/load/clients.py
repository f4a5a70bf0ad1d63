"""Open-loop clients of a load: each request is sent at its time, whatever the outcome of others, and timed from it."""

from __future__ import annotations

import asyncio
import gc
import random
import time
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from hophinge.load.plan import Arrival, ClientClass, LoadPlan, arrivals

# Bounds of the histograms.
MIN_RECORDED_US = 1
MAX_RECORDED_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MIN_COUNTED_S = 1e-9
JITTER = (0.5, 1.5)
DRAIN_TIMEOUT_S = 5.0  # after the last arrival; what is still open then has no answer
OUTCOMES = ("aim", "late", "refused", "failed", "timed out", "left", "broken")


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS)


@dataclass
class ClientClassResult:
    """Outcomes of one class's requests; a retry belongs to its first attempt."""

    client: ClientClass
    outcomes: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    attempts: int = 0
    latencies: HdrHistogram = field(default_factory=histogram)  # from when the first attempt was scheduled
    rejection_times: HdrHistogram = field(default_factory=histogram)  # how long rejections took
    start_delays: HdrHistogram = field(
        default_factory=histogram
    )  # how late requests were sent: the cost of the tool itself

    @property
    def requests(self) -> int:
        """The number of requests, without retries."""
        return sum(self.outcomes.values())

    @property
    def earned_value(self) -> float:
        """The value of the requests that were answered in time."""
        return self.client.value * self.client.units * self.outcomes["aim"]


@dataclass
class LoadResult:
    """The result of a load, in total and by second of arrival."""

    plan: LoadPlan
    client_classes: list[ClientClassResult]
    slices: dict[int, dict[str, float]] = field(default_factory=dict)
    backends: dict[str, dict[str, int]] = field(default_factory=dict)

    @property
    def counted_s(self) -> float:
        """The seconds that count: those after the warm-up."""
        return max(MIN_COUNTED_S, (self.plan.duration_us - self.plan.warm_up_us) / 1e6)

    @property
    def goodput(self) -> float:
        """The value earned a second."""
        return sum(result.earned_value for result in self.client_classes) / self.counted_s

    @property
    def offered_value_rate(self) -> float:
        """The value offered a second."""
        offered = (result.requests * result.client.value * result.client.units for result in self.client_classes)
        return sum(offered) / self.counted_s


class LoadGenerator:
    """One run of a plan against one head."""

    def __init__(self, plan: LoadPlan, head: str) -> None:
        self.plan = plan
        self.head = head
        self.result = LoadResult(plan, [ClientClassResult(one) for one in plan.clients])
        self.random = random.Random(plan.seed * 31)
        self.request_count = 0
        self.started_s = 0.0

    async def run(self, begin: str = "") -> LoadResult:
        """Run the plan; the URL `begin` is called when it starts, to start the clock of faults."""
        asks = arrivals(self.plan)
        tasks: set[asyncio.Task[None]] = set()
        gc.collect()
        gc.freeze()
        gc.disable()  # a collection would pause for as long as many a request takes
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(None)
            ) as session:
                if begin:
                    await (await session.get(begin)).read()
                self.started_s = time.monotonic()
                for ask in asks:
                    wait = self.started_s + ask.at_us / 1e6 - time.monotonic()
                    if wait > 0:
                        await asyncio.sleep(wait)
                    task = asyncio.create_task(self._request(session, ask))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                if tasks:
                    await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_S)
                for task in list(tasks):
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            gc.enable()
            gc.unfreeze()
        return self.result

    async def _request(self, session: aiohttp.ClientSession, arrival: Arrival) -> None:
        result = self.result.client_classes[arrival.client]
        client = result.client
        due_s = self.started_s + arrival.at_us / 1e6
        counts = arrival.at_us >= self.plan.warm_up_us
        outcome = "broken"
        try:
            for attempt in range(client.retries + 1):
                attempt_started_s = time.monotonic()
                if counts:
                    result.attempts += 1
                    if not attempt:
                        result.start_delays.record_value(max(1, int((attempt_started_s - due_s) * 1e6)))
                outcome, retry_after_s = await self._attempt(session, client, arrival, attempt)
                took = time.monotonic() - attempt_started_s
                if outcome == "refused" and counts:
                    result.rejection_times.record_value(max(1, int(took * 1e6)))
                if outcome in ("served", "left") or attempt == client.retries:
                    break
                await asyncio.sleep(retry_after_s or client.retry_interval_us / 1e6 * self.random.uniform(*JITTER))
        except asyncio.CancelledError:
            outcome = "timed out"
        if not counts:
            return
        took_us = max(1, int((time.monotonic() - due_s) * 1e6))
        if outcome == "served":
            result.latencies.record_value(min(took_us, MAX_RECORDED_US))
            outcome = "aim" if took_us <= client.target_latency_us else "late"
        result.outcomes[outcome] += 1
        at = self.result.slices.setdefault(arrival.at_us // 1_000_000, {"due": 0.0, "earned": 0.0})
        at["due"] += client.value * client.units
        at["earned"] += client.value * client.units * (outcome == "aim")

    async def _attempt(
        self, session: aiohttp.ClientSession, client: ClientClass, arrival: Arrival, attempt: int
    ) -> tuple[str, float]:
        self.request_count += 1
        work = arrival.units * (client.heavy_factor if arrival.heavy else 1.0)
        shard = -1 if client.write else arrival.key % self.plan.backends
        fields = {
            "X-Qos-Policy": client.plan,
            "X-Remaining-Ms": str(client.remaining_us // 1000),
            "X-Txn": f"{self.request_count:016x}",
            "X-Placement": f"units={arrival.units:g},shard={shard},hosts=1",
        }
        if attempt:
            fields["X-Resent"] = "1"
        url = f"http://{self.head}/{client.klass}/{arrival.volume:016x}/{arrival.key:016x}?work={work:g}"
        timeout_s = (client.leaves_after_us or client.remaining_us) / 1e6
        try:
            async with asyncio.timeout(timeout_s):
                async with session.request(
                    "PUT" if client.write else "GET", url, headers=fields, data=b"x" if client.write else None
                ) as answer:
                    await answer.read()
        except TimeoutError:
            return ("left" if client.leaves_after_us else "timed out"), 0.0
        except (aiohttp.ClientError, OSError):
            return "broken", 0.0
        if answer.status == 200:
            return "served", 0.0
        if answer.status in (429, 503):
            return "refused", float(answer.headers.get("Retry-After", "0") or 0)
        return "failed", 0.0
