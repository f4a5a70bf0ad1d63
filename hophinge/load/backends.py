"""Bricks and discovery for a load: slots, a bounded queue, and faults at the plan's times. Stand-ins, on loopback."""

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
COLD_SHARE, COLD_US = 0.18, 17_000_000  # of what a brick does when it has just started, and until it is warm
LONGEST_S = 3600.0


class Backend:
    """One disk box of one shard; `now_us` runs from the load's beginning."""

    def __init__(self, shard: int, plan: LoadPlan, now_us: Callable[[], int]) -> None:
        self.shard, self.plan, self.now_us = shard, plan, now_us
        self.port = 0
        self.slots = asyncio.Semaphore(plan.slots)
        self.waiting = self.done = self.turned_away = self.failed = 0
        self.random = random.Random(plan.seed * 7919 + shard)

    def fault(self, kind: str) -> Fault | None:
        """Tell the fault of a kind that this brick has now."""
        now = self.now_us()
        return next(
            (
                one
                for one in self.plan.faults
                if one.kind == kind
                and one.at_us <= now < one.at_us + one.for_us
                and self.shard < round(one.part * self.plan.backends)
            ),
            None,
        )

    def speed(self) -> float:
        """Tell the part of its usual speed that it has now."""
        slow = self.fault("slow")
        if slow is not None:
            return 1 / slow.times
        started = max(
            [
                one.at_us + (one.for_us if one.kind == "vanish" else 0)
                for one in self.plan.faults
                if one.kind in ("cold", "vanish")
                and self.shard < round(one.part * self.plan.backends)
                and one.at_us <= self.now_us()
            ],
            default=-COLD_US,
        )
        warm = max(0, self.now_us() - started) / COLD_US
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * warm)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Work on a request for its time."""
        if self.fault("vanish") is not None or self.fault("hang") is not None:
            await asyncio.sleep(LONGEST_S)  # no sign of it; who waits has its own time
        await request.read()
        fail = self.fault("fail")
        if fail is not None and self.random.random() < fail.share:
            self.failed += 1
            return web.Response(status=500)
        if self.waiting >= self.plan.queue:
            self.turned_away += 1
            return web.Response(status=503, headers={"X-Turned-Away": "1"})
        units = float(request.query.get("work", "1"))  # heads pass the query on unchanged
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(units * self.plan.work_us / 1e6 / self.speed())
        self.done += 1
        return web.Response(body=b"kept\n")

    def target(self) -> dict[str, Any]:
        """Tell what discovery says of it."""
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
    """All bricks and discovery, in this process."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan, self.begun_us = plan, 0
        self.backends = [Backend(shard, plan, self.now_us) for shard in range(plan.backends)]
        self.servers: list[asyncio.Server] = []
        self.port = 0

    def now_us(self) -> int:
        """Tell the time since the load began; before that, none of its faults."""
        return time.monotonic_ns() // 1000 - self.begun_us if self.begun_us else -1

    def begin(self) -> None:
        """Note that the load begins now."""
        self.begun_us = time.monotonic_ns() // 1000

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            server = await loop.create_server(web.Server(backend.handle, access_log=None), HOST, 0, backlog=1024)
            backend.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
        discovery = await loop.create_server(web.Server(self.discover, access_log=None), HOST, 0)
        self.port = discovery.sockets[0].getsockname()[1]
        self.servers.append(discovery)

    async def discover(self, request: web.BaseRequest) -> web.StreamResponse:
        """Give the list; it never changes, so a watch waits for its whole time."""
        if request.raw_path.startswith("/begin"):
            self.begin()
            return web.Response(body=b"begun\n")
        if request.raw_path.startswith("/end"):
            rows = {
                backend.shard: {"done": backend.done, "turned_away": backend.turned_away, "failed": backend.failed}
                for backend in self.backends
            }
            return web.Response(body=msgspec.json.encode(rows))
        if "since" in request.query:
            await asyncio.sleep(int(request.query.get("timeout_ms", "0")) / 1000)
            return web.Response(body=msgspec.json.encode({"rev": 1, "all": False, "targets": []}))
        rows_ = [backend.target() for backend in self.backends]
        return web.Response(body=msgspec.json.encode({"rev": 1, "all": True, "targets": rows_}))

    def close(self) -> None:
        """Take no more."""
        for server in self.servers:
            server.close()
