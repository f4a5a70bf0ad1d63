"""The instances' responses that are being read whole, over all requests: a limit on what they hold together.

A response is read whole before any of it is passed on, so that another attempt can replace it. Clients choose how many
they ask for at once. Beyond the limit only the oldest reader reads on; the others leave the rest with their instances.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

import httpcore

from hophinge.fleet.transport.client_memory import MemoryReservation

RESPONSE_COPIES = 2  # of a response, while it is read and while it is passed on
MEMORY_FRACTION = 1 / 8  # of the machine's memory, for the responses that are being read


class ResponseBuffers:
    """The limit on responses that are being read."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self._readers: dict[ResponseReader, None] = {}  # in the order in which they began
        self._changed = asyncio.Event()

    @classmethod
    def of_machine(cls, memory_bytes: int) -> ResponseBuffers:
        """Return the limit on a machine with this memory."""
        return cls(int(memory_bytes * MEMORY_FRACTION))

    def add(self, reader: ResponseReader) -> None:
        """Add a reader behind the others."""
        self._readers[reader] = None

    def remove(self, reader: ResponseReader, held_bytes: int) -> None:
        """Remove a reader, with what it holds."""
        del self._readers[reader]
        self.used -= held_bytes
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_turn(self, reader: ResponseReader) -> None:
        """Wait until a reader may read on: there is memory, or it is the oldest."""
        while self.used > self.max_bytes and next(iter(self._readers)) is not reader:
            await self._changed.wait()


class ResponseReader:
    """Reads one response whole; the end of the context takes it out of the limit on those being read."""

    def __init__(self, buffers: ResponseBuffers, memory: MemoryReservation) -> None:
        self.buffers = buffers
        self.memory = memory  # of the client's request, which holds the response until it is passed on
        self.held_bytes = 0

    def __enter__(self) -> Self:
        """Begin to read."""
        self.buffers.add(self)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End, or give up."""
        self.buffers.remove(self, self.held_bytes)

    async def read(self, response: httpcore.Response) -> bytes:
        """Return the whole body."""
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            count = RESPONSE_COPIES * len(chunk)
            self.held_bytes += count
            self.buffers.used += count
            self.memory.hold(count)
            if self.buffers.used > self.buffers.max_bytes:
                await self.buffers.wait_for_turn(self)
        return bytes(body)
