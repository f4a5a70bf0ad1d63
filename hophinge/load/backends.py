"""Emulated backends and discovery on loopback; a backend has slots, a bounded queue, and the faults of the plan."""

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
COLD_SHARE = 0.18  # of its full speed that a backend has when it has just started
COLD_US = 17_000_000  # after which it has its full speed
MAX_HANG_S = 3600.0


class Backend:
    """The backend of one shard; `now_us` returns the time since the start of the load."""

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
        """Return the fault of a kind that is in force at this backend now, or None."""
        now = self.now_us()
        return next(
            (
                fault
                for fault in self.plan.faults
                if fault.kind == kind
                and fault.at_us <= now < fault.at_us + fault.duration_us
                and self.shard < round(fault.backend_share * self.plan.backends)
            ),
            None,
        )

    def speed(self) -> float:
        """Return its current speed as a share of its full speed."""
        slow = self.fault("slow")
        if slow is not None:
            return 1 / slow.slowdown
        started = max(
            [
                fault.at_us + (fault.duration_us if fault.kind == "vanish" else 0)
                for fault in self.plan.faults
                if fault.kind in ("cold", "vanish")
                and self.shard < round(fault.backend_share * self.plan.backends)
                and fault.at_us <= self.now_us()
            ],
            default=-COLD_US,
        )
        warm = max(0, self.now_us() - started) / COLD_US
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * warm)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request; its service time is in proportion to its units."""
        if self.fault("vanish") is not None or self.fault("hang") is not None:
            await asyncio.sleep(MAX_HANG_S)  # sends no response; the client has its own timeout
        await request.read()
        fail = self.fault("fail")
        if fail is not None and self.random.random() < fail.failure_share:
            self.failed += 1
            return web.Response(status=500)
        if self.queued >= self.plan.max_queued_requests:
            self.rejected += 1
            return web.Response(status=503, headers={"X-Turned-Away": "1"})
        units = float(request.query.get("work", "1"))  # heads forward the query unchanged
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            await asyncio.sleep(units * self.plan.work_us / 1e6 / self.speed())
        self.served += 1
        return web.Response(body=b"kept\n")

    def target(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
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
    """All emulated backends and discovery, in this process."""

    def __init__(self, plan: LoadPlan) -> None:
        self.plan = plan
        self.started_us = 0
        self.backends = [Backend(shard, plan, self.now_us) for shard in range(plan.backends)]
        self.servers: list[asyncio.Server] = []
        self.port = 0

    def now_us(self) -> int:
        """Return the microseconds since the load started; -1 before, when no fault is in force."""
        return time.monotonic_ns() // 1000 - self.started_us if self.started_us else -1

    def start_clock(self) -> None:
        """Start the clock by which the faults begin and end."""
        self.started_us = time.monotonic_ns() // 1000

    async def start(self) -> None:
        """Start listening at the backends and at discovery."""
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            server = await loop.create_server(web.Server(backend.handle, access_log=None), HOST, 0, backlog=1024)
            backend.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
        discovery = await loop.create_server(web.Server(self.discover, access_log=None), HOST, 0)
        self.port = discovery.sockets[0].getsockname()[1]
        self.servers.append(discovery)

    async def discover(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the list of backends; it never changes, so a watch waits until its timeout.

        `/begin` starts the clock of the faults, and `/end` returns the request counts of the backends.
        """
        if request.raw_path.startswith("/begin"):
            self.start_clock()
            return web.Response(body=b"begun\n")
        if request.raw_path.startswith("/end"):
            counts = {
                backend.shard: {"done": backend.served, "turned_away": backend.rejected, "failed": backend.failed}
                for backend in self.backends
            }
            return web.Response(body=msgspec.json.encode(counts))
        if "since" in request.query:
            await asyncio.sleep(int(request.query.get("timeout_ms", "0")) / 1000)
            return web.Response(body=msgspec.json.encode({"rev": 1, "all": False, "targets": []}))
        targets = [backend.target() for backend in self.backends]
        return web.Response(body=msgspec.json.encode({"rev": 1, "all": True, "targets": targets}))

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()
