"""Fetches beforehand: an object's manifest and pieces into this head's cache, one read at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec

from hophinge.core.exchange import Verdict
from hophinge.objects.cache import OVERHEAD, PieceCache
from hophinge.objects.pieces import Budget, Core, CoreFailedError, RefusedError
from hophinge.objects.records import Manifest
from hophinge.objects.tenants import Volume
from hophinge.popularity.keys import Locator
from hophinge.popularity.planner import Candidate, Facts, Planner, Why

RECORD_BYTES = 4096  # taken from budgets for a manifest, whose size is not known before
# These speak against one brick: other pieces may lie elsewhere.
ELSEWHERE = (Why.REST, Why.DRAIN, Why.COLD, Why.UNITS, Why.UNKNOWN)


class Fetcher:
    """Carries out a plan; asks the planner before each read, for facts change while an object is fetched."""

    def __init__(self, core: Core, cache: PieceCache, planner: Planner, facts: Callable[[], Facts]) -> None:
        self.core, self.cache, self.planner, self.facts = core, cache, planner, facts
        self.out = 0  # reads of its own that are out: they are not others' requests
        self.objects = self.bytes = self.refused = 0

    async def fetch(
        self, one: Candidate, locator: Locator, volume: Volume, until_us: int
    ) -> tuple[Manifest | None, bool]:
        """Fetch an object as far as budgets and bricks allow, and its pieces until a time of the exchange's clock.

        Tells its manifest, if it was read, and whether nothing is left to fetch. A piece that its brick has nothing to
        spare for is left to whoever asks for it, or to a later fetch.
        """
        body = await self._read(one, locator.shard, RECORD_BYTES, partial(self._manifest, volume, locator))
        if not isinstance(body, bytes):
            return None, False
        try:
            manifest = msgspec.msgpack.decode(body, type=Manifest) if body else Manifest()
        except msgspec.MsgspecError:
            return None, True
        self.cache.seen(locator.volume, locator.manifest, manifest)
        if not manifest.etag:
            return manifest, True  # deleted: there is nothing to fetch
        self.objects += 1
        whole = True
        for run in manifest.runs:
            for at, piece in enumerate(run.pieces):
                if self.cache.has(volume.id, run, at):
                    continue
                if self.core.exchange.now_us() >= until_us:
                    return manifest, False
                if not self.cache.would_keep((locator.volume, locator.manifest), piece.size + OVERHEAD):
                    return manifest, True
                piece_read = partial(self.core.read_piece, volume, run, at, self._budget(), True)
                read = await self._read(one, piece.shard, piece.size, piece_read)
                if isinstance(read, bytes):
                    self.bytes += piece.size
                    continue
                whole = False
                if read not in ELSEWHERE:
                    return manifest, False
        return manifest, whole

    def _budget(self) -> Budget:
        return Budget(self.core.exchange.now_us(), None)

    async def _manifest(self, volume: Volume, locator: Locator) -> bytes:
        answer = await self.core.call(volume, locator.manifest, locator.shard, None, 1, self._budget(), True)
        return b"" if answer.verdict is Verdict.ABSENT else answer.body

    async def _read(self, one: Candidate, shard: int, size: int, read: Callable[[], Awaitable[bytes]]) -> bytes | Why:
        if rest_us := self.planner.rest_us(self.core.exchange.now_us(), shard):
            await asyncio.sleep(rest_us / 1e6)
        now_us = self.core.exchange.now_us()
        why = self.planner.may(now_us, one.tenant, shard, size, self.core.units(size), self.facts())
        if why is not None:
            return why
        self.planner.spend(now_us, one.tenant, size)
        self.out += 1
        try:
            body = await read()
        except (RefusedError, CoreFailedError):
            self.refused += 1
            self.planner.refused(self.core.exchange.now_us())
            return Why.BUSY
        finally:
            self.out -= 1
            done_us = self.core.exchange.now_us()
            self.planner.took(done_us, shard, done_us - now_us)
        return body
