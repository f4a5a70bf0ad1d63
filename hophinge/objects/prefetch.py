"""Prefetching: an object's manifest and chunks into this head's cache, one read at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec

from hophinge.core.exchange import Verdict
from hophinge.objects.account_access import Volume
from hophinge.objects.chunk_cache import CHUNK_OVERHEAD_BYTES, ChunkCache
from hophinge.objects.chunk_store import ChunkStore
from hophinge.objects.core_client import CoreFailedError, RejectedError, TimeBudget
from hophinge.objects.stored_records import Manifest
from hophinge.popularity.object_keys import Locator
from hophinge.popularity.planner import PrefetchCandidate, LoadSnapshot, PrefetchPlanner, HoldReason

RECORD_BYTES = 4096  # charged to budgets for a manifest, whose size is not known before it is read
# These concern one backend: other chunks may lie elsewhere.
BACKEND_REASONS = (
    HoldReason.SHARD_BACKOFF,
    HoldReason.DRAINING,
    HoldReason.WARMING_UP,
    HoldReason.UNITS,
    HoldReason.UNKNOWN,
)


class Prefetcher:
    """Carries out a plan; consults the planner before each read, as facts change while an object is fetched."""

    def __init__(
        self, chunk_store: ChunkStore, cache: ChunkCache, planner: PrefetchPlanner, facts: Callable[[], LoadSnapshot]
    ) -> None:
        self.chunk_store = chunk_store
        self.cache = cache
        self.planner = planner
        self.facts = facts
        self.reads_in_flight = 0  # its own reads, which do not count as other requests
        self.fetched_objects = self.fetched_bytes = self.rejected_reads = 0

    async def fetch(
        self, candidate: PrefetchCandidate, locator: Locator, volume: Volume, until_us: int
    ) -> tuple[Manifest | None, bool]:
        """Fetch an object as far as budgets and backends allow, until a time of the exchange's clock.

        Returns its manifest, if it was read, and whether nothing is left to fetch. A chunk whose backend has no spare
        capacity is left to the request that needs it, or to a later prefetch.
        """
        body = await self._read(candidate, locator.shard, RECORD_BYTES, partial(self._read_manifest, volume, locator))
        if not isinstance(body, bytes):
            return None, False
        try:
            manifest = msgspec.msgpack.decode(body, type=Manifest) if body else Manifest()
        except msgspec.MsgspecError:
            return None, True
        self.cache.observe_manifest(locator.volume, locator.manifest, manifest)
        if not manifest.etag:
            return manifest, True  # deleted: there is nothing to fetch
        self.fetched_objects += 1
        is_complete = True
        for run in manifest.runs:
            for index, chunk in enumerate(run.chunks):
                if self.cache.has(volume.id, run, index):
                    continue
                if self.chunk_store.exchange.now_us() >= until_us:
                    return manifest, False
                if not self.cache.would_store((locator.volume, locator.manifest), chunk.size + CHUNK_OVERHEAD_BYTES):
                    return manifest, True
                read_chunk = partial(self.chunk_store.read_chunk, volume, run, index, self._budget(), True)
                read = await self._read(candidate, chunk.shard, chunk.size, read_chunk)
                if isinstance(read, bytes):
                    self.fetched_bytes += chunk.size
                    continue
                is_complete = False
                if read not in BACKEND_REASONS:
                    return manifest, False
        return manifest, is_complete

    def _budget(self) -> TimeBudget:
        return TimeBudget(self.chunk_store.exchange.now_us(), None)

    async def _read_manifest(self, volume: Volume, locator: Locator) -> bytes:
        answer = await self.chunk_store.call(volume, locator.manifest, locator.shard, None, 1, self._budget(), True)
        return b"" if answer.verdict is Verdict.ABSENT else answer.body

    async def _read(
        self, candidate: PrefetchCandidate, shard: int, size: int, read: Callable[[], Awaitable[bytes]]
    ) -> bytes | HoldReason:
        if rest_us := self.planner.wait_us(self.chunk_store.exchange.now_us(), shard):
            await asyncio.sleep(rest_us / 1e6)
        now_us = self.chunk_store.exchange.now_us()
        why = self.planner.hold_reason(
            now_us, candidate.tenant, shard, size, self.chunk_store.units(size), self.facts()
        )
        if why is not None:
            return why
        self.planner.spend(now_us, candidate.tenant, size)
        self.reads_in_flight += 1
        try:
            body = await read()
        except (RejectedError, CoreFailedError):
            self.rejected_reads += 1
            self.planner.record_rejection(self.chunk_store.exchange.now_us())
            return HoldReason.BUSY
        finally:
            self.reads_in_flight -= 1
            done_us = self.chunk_store.exchange.now_us()
            self.planner.record_read(done_us, shard, done_us - now_us)
        return body
