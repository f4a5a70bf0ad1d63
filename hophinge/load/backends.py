"""Stand-ins of backends and discovery on loopback: slots, a bounded queue, and faults at the plan's times."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from hophinge.load.plan import Fault, LoadPlan

HOST = "127.0.0.1"
COLD_SHARE = 0.18  # of its usual speed that a backend has when it has just started
COLD_US = 17_000_000  # until it is warm
MAX_HANG_S = 3600.0


class Backend:
    """One backend of one shard; `now_us` counts from the start of the load."""

    def __init__(self, shard: int, plan: LoadPlan, now_us: Callable[[], int]) -> None:
        self.shard = shard
        self.plan = plan
        self.now_us = now_us
        self.port = 0
        self.slots = asyncio.Semaphore(plan.slots)
        self.queued = 0
        self.served = 0
        self.rejected = 0
        self.failed = 0
        self.random = random.Random(plan.seed * 7919 + shard)

    def fault(self, kind: str) -> Fault | None:
        """Return the fault of a kind that this backend has now."""
        now = self.now_us()
        return next(
            (
                one
                for one in self.plan.faults
                if one.kind == kind
                and one.at_us <= now < one.at_us + one.duration_us
                and self.shard < round(one.backend_share * self.plan.backends)
            ),
            None,
        )

    def speed(self) -> float:
        """Return the share of its usual speed that it has now."""
        slow = self.fault("slow")
        if slow is not None:
            return 1 / slow.slowdown
        started = max(
            [
                one.at_us + (one.duration_us if one.kind == "vanish" else 0)
                for one in self.plan.faults
                if one.kind in ("cold", "vanish")
                and self.shard < round(one.backend_share * self.plan.backends)
                and one.at_us <= self.now_us()
            ],
            default=-COLD_US,
        )
        warm = max(0, self.now_us() - started) / COLD_US
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * warm)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request, in the time of its units."""
        if self.fault("vanish") is not None or self.fault("hang") is not None:
            await asyncio.sleep(MAX_HANG_S)  # no answer; the caller has a timeout of its own
        await request.read()
        fail = self.fault("fail")
        if fail is not None and self.random.random() < fail.failure_share:
            self.failed += 1
            return web.Response(status=500)
        if self.queued >= self.plan.max_queued_requests:
            self.rejected += 1
            return web.Response(status=503, headers={"X-Turned-Away": "1"})
        units = float(request.query.get("work", "1"))  # heads pass the query on unchanged
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            await asyncio.sleep(units * self.plan.work_us / 1e6 / self.speed())
        self.served += 1
        return web.Response(body=b"kept\n")

    def target(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "uid": f"load-{self.shard}",
            "endpoint": f"{HOST}:{self.port}",
            "az": "hall-a",
            "model": "std-1c",
            "pod_group": self.shard,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }


class Platform:
    """All backends and discovery, in this process."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.started_us = 0
        self.backends = [Backend(shard, plan, self.now_us) for shard in range(plan.backends)]
        self.servers: list[asyncio.Server] = []
        self.port = 0

    def now_us(self) -> int:
        """Return the microseconds since the load started; -1 before, so that no fault is in force."""
        return time.monotonic_ns() // 1000 - self.started_us if self.started_us else -1

    def start_clock(self) -> None:
        """Start the clock of the load."""
        self.started_us = time.monotonic_ns() // 1000

    async def start(self) -> None:
        """Listen for heads."""
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            server = await loop.create_server(web.Server(backend.handle, access_log=None), HOST, 0, backlog=1024)
            backend.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
        discovery = await loop.create_server(web.Server(self.discover, access_log=None), HOST, 0)
        self.port = discovery.sockets[0].getsockname()[1]
        self.servers.append(discovery)

    async def discover(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the list; it never changes, so a watch waits until its timeout."""
        if request.raw_path.startswith("/begin"):
            self.start_clock()
            return web.Response(body=b"begun\n")
        if request.raw_path.startswith("/end"):
            rows = {
                backend.shard: {"done": backend.served, "turned_away": backend.rejected, "failed": backend.failed}
                for backend in self.backends
            }
            return web.Response(body=msgspec.json.encode(rows))
        if "since" in request.query:
            await asyncio.sleep(int(request.query.get("timeout_ms", "0")) / 1000)
            return web.Response(body=msgspec.json.encode({"rev": 1, "all": False, "targets": []}))
        rows_ = [backend.target() for backend in self.backends]
        return web.Response(body=msgspec.json.encode({"rev": 1, "all": True, "targets": rows_}))

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()
