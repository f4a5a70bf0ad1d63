"""Stand-ins written here for what a head meets: bricks and discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from hophinge.net.discovery import Listing, Target

Behaviour = Callable[[web.BaseRequest, bytes], Awaitable[web.StreamResponse | None]]


class Server:
    """A server of aiohttp's on a free loopback port."""

    def __init__(self) -> None:
        self.server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self.listener: asyncio.Server | None = None
        self.port = 0

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self.server.connections)

    async def open(self) -> None:
        self.listener = await asyncio.get_running_loop().create_server(self.server, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
            await self.server.shutdown(0.1)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError


def held_by(gate: asyncio.Event) -> Behaviour:
    """Make a brick take requests and say nothing before the gate opens; then it answers as usual."""

    async def hold(_: web.BaseRequest, __: bytes) -> None:
        await gate.wait()

    return hold


class Backend(Server):
    """A disk box: it holds one shard, keeps what is put and tells what it has not got with 404."""

    def __init__(self, shard: int, name: str = "") -> None:
        super().__init__()
        self.shard, self.name = shard, name or f"s-{shard}"
        self.objects: dict[str, bytes] = {}
        self.seen: list[tuple[str, str]] = []  # method and target of all that came
        self.headers: list[dict[str, str]] = []
        self.behave: Behaviour | None = None  # in place of the usual, unless it returns None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        self.seen.append((request.method, request.raw_path))
        self.headers.append(dict(request.headers))
        if self.behave is not None and (answer := await self.behave(request, body)) is not None:
            return answer
        where = request.raw_path.partition("?")[0].split("/", 2)[2]
        if request.method == "PUT":
            self.objects[where] = body
            return web.Response(body=b"ok")
        if where not in self.objects:
            return web.Response(status=404)
        return web.Response(body=self.objects[where])

    def target(self, state: str = "Ready") -> Target:
        return Target(self.name, self.endpoint, state, "hall-a", "std-1c", self.shard)


class DiscoveryAgent(Server):
    """Discovery: a list with a version, and watches that wait for a newer one."""

    def __init__(self) -> None:
        super().__init__()
        self.rev = 1
        self.targets: dict[str, Target] = {}
        self.changes: list[tuple[int, Target]] = []
        self.asked: list[str] = []
        self.news = asyncio.Condition()
        self.silent, self.watching = False, 0
        self.away = ""  # callers are turned away with this Retry-After

    async def tell(self, *targets: Target) -> None:
        async with self.news:
            self.rev += 1
            for target in targets:
                self.changes.append((self.rev, target))
                self.targets[target.uid] = target
                if target.state == "Gone":
                    del self.targets[target.uid]
            self.news.notify_all()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.asked.append(request.raw_path)
        if self.silent:
            await asyncio.Event().wait()
        if self.away:
            return web.Response(status=503, headers={"Retry-After": self.away})
        since = request.query.get("since")
        if since is None:
            return self._list(True, list(self.targets.values()))
        self.watching += 1
        try:
            async with asyncio.timeout(int(request.query["timeout_ms"]) / 1000), self.news:
                await self.news.wait_for(lambda: self.rev > int(since))
        except TimeoutError:
            pass
        finally:
            self.watching -= 1
        return self._list(False, [target for rev, target in self.changes if rev > int(since)])

    def _list(self, full: bool, targets: list[Target]) -> web.Response:
        return web.Response(body=msgspec.json.encode(Listing(self.rev, targets, full)))
