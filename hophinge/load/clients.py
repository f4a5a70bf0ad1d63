"""Open-loop load clients: requests are sent at their scheduled times, and their latencies count from these times.

A request is sent on time whatever the outcome of the requests before it.
"""

from __future__ import annotations

import asyncio
import gc
import random
import time
from dataclasses import dataclass, field

import aiohttp

from hophinge.load.durations import Durations
from hophinge.load.plan import Arrival, ClientClass, LoadPlan, arrivals
from hophinge.net.bounded_body import MAX_OBJECT_BYTES, read_body

MIN_COUNTED_S = 1e-9
RETRY_JITTER = (0.5, 1.5)  # range of the factor on the retry interval
DRAIN_TIMEOUT_S = 5.0  # after the last arrival; requests that are still open then count as timed out
OUTCOMES = ("aim", "late", "refused", "failed", "timed out", "left", "broken")


@dataclass
class ClientClassResult:
    """Outcomes of the requests of one client class; a request counts once, together with its retries."""

    client: ClientClass
    outcomes: dict[str, int] = field(default_factory=lambda: dict.fromkeys(OUTCOMES, 0))
    attempts: int = 0
    latencies: Durations = field(default_factory=Durations)  # of served requests, from their scheduled times
    rejection_times: Durations = field(default_factory=Durations)  # from the sending of an attempt to its rejection
    # From scheduled times to the sending of first attempts: the delay that the load tool itself adds.
    start_delays: Durations = field(default_factory=Durations)

    @property
    def requests(self) -> int:
        """The number of requests, without retries."""
        return sum(self.outcomes.values())

    @property
    def earned_value(self) -> float:
        """The value of the requests that were served within the target latency."""
        return self.client.value * self.client.units * self.outcomes["aim"]


@dataclass
class LoadResult:
    """The result of a load run, in total and by second of arrival."""

    plan: LoadPlan
    client_classes: list[ClientClassResult]
    slices: dict[int, dict[str, float]] = field(default_factory=dict)  # value due and earned, by second of arrival
    backends: dict[str, dict[str, int]] = field(default_factory=dict)

    @property
    def counted_s(self) -> float:
        """The duration of the run after its warm-up, in seconds."""
        return max(MIN_COUNTED_S, (self.plan.duration_us - self.plan.warm_up_us) / 1e6)

    @property
    def goodput(self) -> float:
        """The value earned per second, without the warm-up."""
        return sum(result.earned_value for result in self.client_classes) / self.counted_s

    @property
    def offered_value_rate(self) -> float:
        """The value offered per second, without the warm-up."""
        offered = (result.requests * result.client.value * result.client.units for result in self.client_classes)
        return sum(offered) / self.counted_s


class LoadGenerator:
    """Runs a plan once against the head at the address `head`."""

    def __init__(self, plan: LoadPlan, head: str) -> None:
        self.plan = plan
        self.head = head
        self.result = LoadResult(plan, [ClientClassResult(client) for client in plan.clients])
        self.random = random.Random(plan.seed * 31)
        self.request_count = 0
        self.started_s = 0.0

    async def run(self, begin_url: str = "") -> LoadResult:
        """Run the plan; `begin_url` is requested at the start, so that the clock of the faults starts with it."""
        scheduled = arrivals(self.plan)
        tasks: set[asyncio.Task[None]] = set()
        gc.collect()
        gc.freeze()
        gc.disable()  # a garbage collection would pause the clients for as long as many requests take
        try:
            async with aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(None)
            ) as session:
                if begin_url:
                    await read_body(await session.get(begin_url), MAX_OBJECT_BYTES)
                self.started_s = time.monotonic()
                for arrival in scheduled:
                    wait_s = self.started_s + arrival.at_us / 1e6 - time.monotonic()
                    if wait_s > 0:
                        await asyncio.sleep(wait_s)
                    task = asyncio.create_task(self._request(session, arrival))
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
        is_counted = arrival.at_us >= self.plan.warm_up_us
        outcome = "broken"
        try:
            for attempt in range(client.retries + 1):
                attempt_started_s = time.monotonic()
                if is_counted:
                    result.attempts += 1
                    if not attempt:
                        result.start_delays.record_s(attempt_started_s - due_s)
                outcome, retry_after_s = await self._attempt(session, client, arrival, attempt)
                took_s = time.monotonic() - attempt_started_s
                if outcome == "refused" and is_counted:
                    result.rejection_times.record_s(took_s)
                if outcome in ("served", "left") or attempt == client.retries:
                    break
                await asyncio.sleep(
                    retry_after_s or client.retry_interval_us / 1e6 * self.random.uniform(*RETRY_JITTER)
                )
        except asyncio.CancelledError:
            outcome = "timed out"
        if not is_counted:
            return
        took_s = time.monotonic() - due_s
        if outcome == "served":
            result.latencies.record_s(took_s)
            outcome = "aim" if took_s * 1e6 <= client.target_latency_us else "late"
        result.outcomes[outcome] += 1
        second = self.result.slices.setdefault(arrival.at_us // 1_000_000, {"due": 0.0, "earned": 0.0})
        second["due"] += client.value * client.units
        second["earned"] += client.value * client.units * (outcome == "aim")

    async def _attempt(
        self, session: aiohttp.ClientSession, client: ClientClass, arrival: Arrival, attempt: int
    ) -> tuple[str, float]:
        self.request_count += 1
        work = arrival.units * (client.heavy_factor if arrival.heavy else 1.0)
        shard = -1 if client.write else arrival.key % self.plan.backends
        headers = {
            "X-Qos-Policy": client.plan,
            "X-Remaining-Ms": str(client.remaining_us // 1000),
            "X-Txn": f"{self.request_count:016x}",
            "X-Placement": f"units={arrival.units:g},shard={shard},hosts=1",
        }
        if attempt:
            headers["X-Resent"] = "1"
        url = f"http://{self.head}/{client.klass}/{arrival.volume:016x}/{arrival.key:016x}?work={work:g}"
        timeout_s = (client.leaves_after_us or client.remaining_us) / 1e6
        try:
            async with asyncio.timeout(timeout_s):
                async with session.request(
                    "PUT" if client.write else "GET", url, headers=headers, data=b"x" if client.write else None
                ) as response:
                    await read_body(response, MAX_OBJECT_BYTES)
        except TimeoutError:
            return ("left" if client.leaves_after_us else "timed out"), 0.0
        except (aiohttp.ClientError, OSError):
            return "broken", 0.0
        if response.status == 200:
            return "served", 0.0
        if response.status in (429, 503):
            return "refused", float(response.headers.get("Retry-After", "0") or 0)
        return "failed", 0.0
