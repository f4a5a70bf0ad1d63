"""The instances' responses that are being read whole: a limit on each, on those of one instance, and on all together.

A response is read whole before any of it is passed on, so that another attempt can replace it. Clients choose how many
they ask for at once. Beyond a limit on several of them the oldest of these is read on, and the others leave the rest
with their instances; so one instance that fills its limit delays its own responses alone. Small responses do not wait.
What is being read does not count against the memory for clients, which could make other clients' requests fail.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

import httpcore

from hophinge.fleet.transport.bounded_stream import Limit, ResponseLimitError
from hophinge.fleet.transport.client_memory import SMALL_BYTES, MemoryReservation

RESPONSE_COPIES = 2  # of a response, while it is read and while it is passed on
MEMORY_FRACTION = 1 / 8  # of the machine's memory, for the responses that are being read
INSTANCE_FRACTION = 1 / 4  # of these, for the responses of one instance
RESERVE_FRACTION = 1 / 8  # in addition, for responses of which at most SMALL_BYTES are held
MAX_RESPONSE_FRACTION = 1 / 32  # of the machine's memory, for the body of one response
FREE_CHUNKS = 8_192  # of a body, before their mean size counts: a chunk takes as long to parse as kilobytes in one
MIN_MEAN_CHUNK_BYTES = 16


class ReaderGroup:
    """Readers that share a limit, in the order in which they began."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self._readers: dict[ResponseReader, None] = {}

    def add(self, reader: ResponseReader) -> None:
        """Add a reader behind the others."""
        self._readers[reader] = None

    def remove(self, reader: ResponseReader) -> None:
        """Remove a reader, with what it holds."""
        del self._readers[reader]
        self.used -= reader.held_bytes

    @property
    def is_empty(self) -> bool:
        """Whether it has no reader."""
        return not self._readers

    def may_read_on(self, reader: ResponseReader) -> bool:
        """Return whether the limit is not exceeded, or this is the oldest reader."""
        return self.used <= self.max_bytes or next(iter(self._readers)) is reader


class ResponseBuffers:
    """The limits on responses that are being read."""

    def __init__(self, max_bytes: int, max_response_bytes: int) -> None:
        self.max_response_bytes = max_response_bytes  # of the body of one response
        self.all = ReaderGroup(max_bytes)
        self.by_instance: dict[str, ReaderGroup] = {}
        self._changed = asyncio.Event()

    @classmethod
    def of_machine(cls, memory_bytes: int) -> ResponseBuffers:
        """Return the limits on a machine with this memory."""
        return cls(int(memory_bytes * MEMORY_FRACTION), int(memory_bytes * MAX_RESPONSE_FRACTION))

    @property
    def used(self) -> int:
        """The bytes that all readers hold."""
        return self.all.used

    def add(self, reader: ResponseReader) -> None:
        """Add a reader behind the others."""
        if reader.instance not in self.by_instance:
            self.by_instance[reader.instance] = ReaderGroup(int(self.all.max_bytes * INSTANCE_FRACTION))
        self.by_instance[reader.instance].add(reader)
        self.all.add(reader)

    def remove(self, reader: ResponseReader) -> None:
        """Remove a reader, with what it holds."""
        self.all.remove(reader)
        group = self.by_instance[reader.instance]
        group.remove(reader)
        if group.is_empty:
            del self.by_instance[reader.instance]
        self._changed.set()
        self._changed = asyncio.Event()

    def hold(self, reader: ResponseReader, count: int) -> None:
        """Record that a reader holds more bytes."""
        reader.held_bytes += count
        self.all.used += count
        self.by_instance[reader.instance].used += count

    async def wait_for_turn(self, reader: ResponseReader) -> None:
        """Wait until a reader may read on."""
        while not self._may_read_on(reader):
            await self._changed.wait()

    def _may_read_on(self, reader: ResponseReader) -> bool:
        reserve_bytes = int(self.all.max_bytes * RESERVE_FRACTION)
        if reader.held_bytes <= SMALL_BYTES and self.used <= self.all.max_bytes + reserve_bytes:
            return True
        return self.all.may_read_on(reader) and self.by_instance[reader.instance].may_read_on(reader)


class ResponseReader:
    """Reads one response whole; the end of the context takes it out of the limits."""

    def __init__(self, buffers: ResponseBuffers, memory: MemoryReservation, instance: str) -> None:
        self.buffers = buffers
        self.memory = memory  # of the client's request, which holds the complete response until it is passed on
        self.instance = instance  # that sends the response
        self.held_bytes = 0

    def __enter__(self) -> Self:
        """Begin to read."""
        self.buffers.add(self)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End, or give up."""
        self.buffers.remove(self)

    async def read(self, response: httpcore.Response) -> bytes:
        """Return the whole body.

        Raises:
            ResponseLimitError: It is larger than a response may be, or divided into too many chunks.

        """
        body = bytearray()
        chunks = 0
        async for chunk in response.aiter_stream():
            body += chunk
            chunks += 1
            if chunks > FREE_CHUNKS + len(body) / MIN_MEAN_CHUNK_BYTES:
                raise ResponseLimitError(Limit.FRAMING, len(body))
            if len(body) > self.buffers.max_response_bytes:
                raise ResponseLimitError(Limit.BODY, len(body))
            self.buffers.hold(self, RESPONSE_COPIES * len(chunk))
            await self.buffers.wait_for_turn(self)
        self.memory.hold(RESPONSE_COPIES * len(body))
        return bytes(body)
