"""A request's body that is forwarded as it arrives; bytes are buffered only until the attempt has read them."""

from __future__ import annotations

import asyncio

from hophinge.net.byte_budget import ByteBudget


class RequestBodyError(Exception):
    """The body will never be complete: its client left, stalled or sent a malformed one."""


class RequestBodyStream:
    """A stream between a frontend and one attempt, with back-pressure in both directions."""

    def __init__(self, first: bytes, length: int | None, budget: ByteBudget) -> None:
        # stated by the client; None for a chunked body
        self.length = length
        self.budget = budget
        self.chunks = [first]
        self.buffered_bytes = len(first)
        self.state = "coming"  # then "whole" or "broken"
        self.data_available = asyncio.Event()
        self.buffer_drained = asyncio.Event()
        budget.used += self.buffered_bytes

    async def feed(self, data: bytes) -> None:
        """Add bytes once the attempt has read those before; waits until then."""
        while self.buffered_bytes:
            self.buffer_drained.clear()
            await self.buffer_drained.wait()
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.budget.used += len(data)
        self.data_available.set()

    def finish(self, complete: bool) -> None:
        """End the stream, complete or broken; a second call has no effect."""
        if self.state == "coming":
            self.state = "whole" if complete else "broken"
        self.data_available.set()

    async def read(self) -> bytes:
        """Return the buffered bytes, empty at the end; raises RequestBodyError for a broken body."""
        while not self.chunks and self.state == "coming":
            self.data_available.clear()
            await self.data_available.wait()
        if self.state == "broken":
            raise RequestBodyError
        data = b"".join(self.chunks)
        self.discard()
        return data

    def discard(self) -> None:
        """Discard the buffered bytes."""
        self.chunks.clear()
        self.budget.used -= self.buffered_bytes
        self.buffered_bytes = 0
        self.buffer_drained.set()
