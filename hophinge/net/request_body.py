"""Streams a request's body to an attempt as it arrives; bytes are buffered only until the attempt has read them."""

from __future__ import annotations

import asyncio

from hophinge.net.byte_budget import ByteBudget


class RequestBodyError(Exception):
    """The body will never be complete: the client disconnected, stalled or sent a malformed body."""


class RequestBodyStream:
    """A stream between a frontend and one attempt, with back-pressure in both directions."""

    def __init__(self, initial_bytes: bytes, length: int | None, budget: ByteBudget) -> None:
        self.length = length  # as stated by the client; None for a chunked body
        self.budget = budget
        self.chunks = [initial_bytes]
        self.buffered_bytes = len(initial_bytes)
        self.state = "coming"  # then "whole" or "broken"
        self.data_available = asyncio.Event()
        self.buffer_drained = asyncio.Event()
        budget.used += self.buffered_bytes

    async def feed(self, data: bytes) -> None:
        """Wait until the attempt has read the buffered bytes, then add bytes."""
        while self.buffered_bytes:
            self.buffer_drained.clear()
            await self.buffer_drained.wait()
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        self.budget.used += len(data)
        self.data_available.set()

    def finish(self, complete: bool) -> None:
        """End the stream, as complete or as broken; a second call does not change the state."""
        if self.state == "coming":
            self.state = "whole" if complete else "broken"
        self.data_available.set()

    async def read(self) -> bytes:
        """Wait for bytes and return them, empty at the end; raises RequestBodyError for a broken body."""
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
