"""A request's body that is passed on as it comes: what has come is held only until the attempt has taken it."""

from __future__ import annotations

import asyncio

from hophinge.net.budget import Budget


class UploadError(Exception):
    """The body will never be whole: its client left, stood still or sent what is none."""


class Upload:
    """Filled by the front, emptied by one attempt; a slow brick slows the client down and the other way round."""

    def __init__(self, first: bytes, length: int | None, budget: Budget) -> None:
        self.length, self.budget = length, budget  # length: as the client stated it, None for chunks
        self.chunks = [first]
        self.held = len(first)
        self.state = "coming"  # then "whole" or "broken"
        self.news = asyncio.Event()
        self.room = asyncio.Event()
        budget.held += self.held

    async def feed(self, data: bytes) -> None:
        """Add bytes once the attempt has taken those before; whoever is not taken from waits here."""
        while self.held:
            self.room.clear()
            await self.room.wait()
        self.chunks.append(data)
        self.held += len(data)
        self.budget.held += len(data)
        self.news.set()

    def end(self, whole: bool) -> None:
        """No more comes."""
        if self.state == "coming":
            self.state = "whole" if whole else "broken"
        self.news.set()

    async def read(self) -> bytes:
        """Take what has come; nothing at the end."""
        while not self.chunks and self.state == "coming":
            self.news.clear()
            await self.news.wait()
        if self.state == "broken":
            raise UploadError
        data = b"".join(self.chunks)
        self.drop()
        return data

    def drop(self) -> None:
        """Hold nothing any longer."""
        self.chunks.clear()
        self.budget.held -= self.held
        self.held = 0
        self.room.set()
