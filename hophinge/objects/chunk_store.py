"""Bodies as runs of chunks: written and read a window of chunks at once, and checked by their CRC."""

from __future__ import annotations

import asyncio
import secrets
import zlib
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator, Iterable
from typing import Any, NamedTuple, Protocol

from hophinge.core.exchange import Exchange, Verdict
from hophinge.objects.account_access import Volume
from hophinge.objects.config import ObjectConfig
from hophinge.objects.core_client import CoreClient, CoreFailedError, RejectedError, TimeBudget
from hophinge.objects.stored_records import ChunkRef, ChunkRun, chunk_id

MIN_RETRY_AFTER_US = 50_000  # before a chunk that was rejected without advice is requested again
US_PER_S = 1e6


class Cache(Protocol):
    """Chunks that are stored at this head."""

    def get(self, volume: str, run: ChunkRun, index: int) -> bytes | None:
        """Return a stored chunk."""

    def put(self, volume: str, run: ChunkRun, index: int, body: bytes, is_prefetch: bool = False) -> bool:
        """Store a chunk that was read; returns whether it is stored."""


class NeededChunk(NamedTuple):
    """A chunk of a range that is read."""

    run: ChunkRun
    chunk_index: int  # in the run
    begin: int  # offset of its first byte in the object


class ChunkStore(CoreClient):
    """Runs of chunks on backends, through this head's cache where there is one."""

    def __init__(self, exchange: Exchange, config: ObjectConfig) -> None:
        super().__init__(exchange, config)
        self.cache: Cache | None = None

    async def write_run(self, volume: Volume, chunks: AsyncIterator[bytes], budget: TimeBudget) -> ChunkRun:
        """Write a body as chunks, at most a window of them at once."""
        token = secrets.token_bytes(8)
        tasks: list[asyncio.Task[ChunkRef]] = []
        window = asyncio.Semaphore(self.config.window)

        async def write(index: int, chunk: bytes) -> ChunkRef:
            try:
                answer = await self.call(volume, chunk_id(token, index), -1, chunk, len(chunk), budget)
                if answer.shard < 0 or answer.verdict is not Verdict.SERVED:
                    raise CoreFailedError
                return ChunkRef(answer.shard, len(chunk), zlib.crc32(chunk))
            finally:
                window.release()

        try:
            async for chunk in chunks:
                await window.acquire()
                failed = next((task for task in tasks if task.done() and task.exception()), None)
                if failed is not None:
                    failed.result()
                tasks.append(asyncio.create_task(write(len(tasks), chunk)))
            return ChunkRun(token, list(await asyncio.gather(*tasks)))
        finally:
            await cancel_tasks(tasks)

    async def read_chunk(
        self, volume: Volume, run: ChunkRun, index: int, budget: TimeBudget, is_prefetch: bool = False
    ) -> bytes:
        """Read one chunk, from the cache if it is there, and check that it is what was written."""
        chunk = run.chunks[index]
        if self.cache is not None and not is_prefetch:
            cached = self.cache.get(volume.id, run, index)
            if cached is not None:
                return cached
        answer = await self.call(volume, chunk_id(run.token, index), chunk.shard, None, chunk.size, budget, is_prefetch)
        if len(answer.body) != chunk.size or zlib.crc32(answer.body) != chunk.crc:
            raise CoreFailedError
        if self.cache is not None:
            self.cache.put(volume.id, run, index, answer.body, is_prefetch)
        return answer.body

    async def read_range(
        self, volume: Volume, runs: list[ChunkRun], first_byte: int, last_byte: int, budget: TimeBudget
    ) -> AsyncGenerator[bytes, None]:
        """Read bytes in order, both ends included, a window of chunks ahead.

        Before the first byte a rejection is raised: it can still be answered. After it nothing but the end of the
        body can be signalled, so a rejected chunk is requested again when the core says to come back.
        """
        needed = needed_chunks(runs, first_byte, last_byte)
        ahead: deque[asyncio.Task[bytes]] = deque()
        started = 0
        try:
            for _, _, begin in needed:
                while started < len(needed) and len(ahead) < self.config.window:
                    ahead.append(asyncio.create_task(self._read_with_retries(volume, needed, started, budget)))
                    started += 1
                body = await ahead[0]
                ahead.popleft()
                yield body[max(0, first_byte - begin) : last_byte + 1 - begin]
        finally:
            await cancel_tasks(ahead)

    async def _read_with_retries(
        self, volume: Volume, needed: list[NeededChunk], position: int, budget: TimeBudget
    ) -> bytes:
        """Read a chunk of a range; a rejection of any but the first is retried while there is time."""
        run, index, _ = needed[position]
        retry_timeout_us = 2 * self.exchange.settings.classes[self.read_class].deadline_us
        until_us = self.exchange.now_us() + retry_timeout_us
        while True:
            try:
                return await self.read_chunk(volume, run, index, budget)
            except RejectedError as rejected:
                now_us = self.exchange.now_us()
                wait_us = max(rejected.retry_after_us, MIN_RETRY_AFTER_US)
                remaining_us = budget.remaining_us(now_us)
                is_too_late = remaining_us is not None and remaining_us <= wait_us
                if not position or now_us + wait_us > until_us or is_too_late:
                    raise
                await asyncio.sleep(wait_us / US_PER_S)


def needed_chunks(runs: list[ChunkRun], first_byte: int, last_byte: int) -> list[NeededChunk]:
    """Return the chunks that have bytes of a range, both ends included."""
    needed: list[NeededChunk] = []
    begin = 0
    for run in runs:
        for index, chunk in enumerate(run.chunks):
            if begin <= last_byte and begin + chunk.size > first_byte:
                needed.append(NeededChunk(run, index, begin))
            begin += chunk.size
    return needed


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel what is still running; its requests depart from the core."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
