"""Discovery byte by byte: an agent whose every answer a test may spoil, hold or write in a form of its own."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from hophinge.head.service import Service
from hophinge.net.discovery import Listing, Target
from tests.stand_in import Backend, World, until, world

TOLD_S = 6.0  # after which a change counts as told, whatever became of the calls before
Send = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]  # writes an answer with this body, or what it likes


async def plain(writer: asyncio.StreamWriter, body: bytes) -> None:
    """Write an answer as most servers do."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.transport.abort()


class RawAgent:
    """A list with a version; watches wait for a newer one. `sends` are used up call by call, then answers are plain."""

    def __init__(self) -> None:
        self.rev, self.targets, self.port = 1, dict[str, Target](), 0
        self.changes: list[tuple[int, Target]] = []
        self.asked: list[str] = []
        self.sends: list[Send] = []
        self.news = asyncio.Condition()
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.watching = 0

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections; those that are open go on."""
        assert self.listener is not None
        self.listener.close()

    async def close(self) -> None:
        self.refuse()
        for writer in self.writers:
            writer.transport.abort()

    async def tell(self, *targets: Target) -> None:
        async with self.news:
            self.rev += 1
            for target in targets:
                self.changes.append((self.rev, target))
                self.targets[target.uid] = target
            self.news.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.asked.append(path)
                body = await self._body(path)
                await (self.sends.pop(0) if self.sends else plain)(writer, body)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _body(self, path: str) -> bytes:
        _, _, query = path.partition("?")
        if not query:
            return msgspec.json.encode(Listing(self.rev, list(self.targets.values())))
        since, wait_ms = (int(part.partition("=")[2]) for part in query.split("&"))
        self.watching += 1
        try:
            async with asyncio.timeout(wait_ms / 1000), self.news:
                await self.news.wait_for(lambda: self.rev > since)
        except TimeoutError:
            pass
        finally:
            self.watching -= 1
        return msgspec.json.encode(Listing(self.rev, [one for rev, one in self.changes if rev > since], False))


def changed(body: bytes, **entry: Any) -> bytes:
    """Give the first entry of a list other values."""
    listing = json.loads(body)
    listing["targets"][0].update(entry)
    return json.dumps(listing).encode()


@asynccontextmanager
async def told_by() -> AsyncIterator[tuple[World, RawAgent, Service]]:
    """Start a head of two bricks beside such an agent, and have its watch open."""
    async with world(Backend(0), Backend(1)) as made:
        await made.agent.close()
        made.agent = agent = RawAgent()  # type: ignore[assignment]
        agent.targets = {backend.name: backend.target() for backend in made.backends}
        await agent.open()
        service = await made.head()
        await until(lambda: agent.watching == 1)
        yield made, agent, service


async def drained(made: World, agent: RawAgent, service: Service) -> None:
    """Have discovery drain a brick; the head must hear of it in time."""
    since = asyncio.get_running_loop().time()
    await agent.tell(made.backends[0].target("Terminating"))
    await until(lambda: service.exchange.phases["s-0"].value == "draining")
    assert asyncio.get_running_loop().time() - since < TOLD_S
