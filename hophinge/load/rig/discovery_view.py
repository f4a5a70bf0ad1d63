"""Discovery for one head: lists the same backends, each at an address of the relay that only this head uses."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from hophinge.load.backends import HOST, Platform
from hophinge.load.rig.relay import Relay


class DiscoveryView:
    """A discovery server for one head."""

    def __init__(self, platform: Platform, relay: Relay, name: str) -> None:
        self.platform = platform
        self.relay = relay
        self.name = name
        self.targets: list[dict[str, object]] = []
        self.server = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self.listener: asyncio.Server | None = None

    async def start(self) -> str:
        """Start listening, and return the address."""
        for backend in self.platform.backends:
            target = backend.target()
            self.targets.append(
                {
                    **target,
                    "endpoint": await self.relay.open_stream_address(self.name, target["uid"], target["endpoint"]),
                }
            )
        self.listener = await asyncio.get_running_loop().create_server(self.server, HOST, 0)
        return f"{HOST}:{self.listener.sockets[0].getsockname()[1]}"

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the list of backends; a watch waits until its timeout, as at the platform's discovery."""
        if "since" in request.query:
            return await self.platform.discover(request)
        return web.Response(body=msgspec.json.encode({"rev": 1, "all": True, "targets": self.targets}))

    async def close(self) -> None:
        """Stop serving."""
        if self.listener is not None:
            self.listener.close()
        await self.server.shutdown(0.1)
