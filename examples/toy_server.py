"""A toy platform for trying a head: three bricks that keep what they are given in memory, and discovery.

    python examples/toy_server.py

Discovery listens on 127.0.0.1:8500, the bricks on 127.0.0.1:8101 to 8103. Send it a SIGUSR1 and the first brick
starts draining, a second one and it is ready again.
"""

from __future__ import annotations

import asyncio
import signal

import msgspec
from aiohttp import web

HOST, DISCOVERY, BACKENDS = "127.0.0.1", 8500, (8101, 8102, 8103)


class Backend:
    """A disk box that holds one shard."""

    def __init__(self, shard: int, port: int) -> None:
        self.shard, self.port, self.state = shard, port, "Ready"
        self.objects: dict[str, bytes] = {}

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Keep or give a body."""
        if self.state != "Ready":
            return web.Response(status=503, headers={"X-Turned-Away": "1"})
        _, _, where = request.path.lstrip("/").partition("/")  # without the class
        if request.method == "PUT":
            self.objects[where] = await request.read()
            return web.Response(body=b"kept\n")
        body = self.objects.get(where)
        return web.Response(status=404) if body is None else web.Response(body=body)

    def target(self) -> dict[str, object]:
        """Tell what discovery says of it."""
        return {
            "uid": f"toy-{self.shard}",
            "endpoint": f"{HOST}:{self.port}",
            "az": "hall-a",
            "model": "std-1c",
            "pod_group": self.shard,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }


class Discovery:
    """The list of bricks and its watches."""

    def __init__(self, backends: list[Backend]) -> None:
        self.backends, self.rev = backends, 1
        self.news = asyncio.Event()

    def drain(self) -> None:
        """Let the first brick drain, or come back."""
        self.backends[0].state = "Terminating" if self.backends[0].state == "Ready" else "Ready"
        print(f"{self.backends[0].target()['uid']} is {self.backends[0].state}", flush=True)
        self.rev += 1
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Give the whole list, at once or when it has changed."""
        if request.query.get("since") == str(self.rev):
            try:
                async with asyncio.timeout(int(request.query.get("timeout_ms", "0")) / 1000):
                    await self.news.wait()
            except TimeoutError:
                pass
        listing = {"rev": self.rev, "all": True, "targets": [backend.target() for backend in self.backends]}
        return web.Response(body=msgspec.json.encode(listing), content_type="application/json")


class Platform:
    """What is served until it is closed."""

    def __init__(self, discovery: Discovery, servers: list[asyncio.Server]) -> None:
        self.discovery, self.servers = discovery, servers

    def close(self) -> None:
        """Take no more."""
        for server in self.servers:
            server.close()


async def serve(backends: list[Backend], port: int) -> Platform:
    """Start bricks, and discovery on a port."""
    loop = asyncio.get_running_loop()
    discovery = Discovery(backends)
    handlers = [(discovery.handle, port), *((backend.handle, backend.port) for backend in backends)]
    return Platform(
        discovery, [await loop.create_server(web.Server(handle), HOST, where) for handle, where in handlers]
    )


async def main() -> None:
    """Serve until interrupted."""
    loop = asyncio.get_running_loop()
    discovery = (await serve([Backend(shard, port) for shard, port in enumerate(BACKENDS)], DISCOVERY)).discovery
    loop.add_signal_handler(signal.SIGUSR1, discovery.drain)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    print(f"discovery on {HOST}:{DISCOVERY}, bricks on ports {', '.join(map(str, BACKENDS))}", flush=True)
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(main())
