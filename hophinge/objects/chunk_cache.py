"""A cache of chunks at a head, bounded by bytes.

Only chunks are stored, never manifests. A chunk is named by the run that wrote it and is never written again; which
runs an object has is read from the backends for each request. So what was overwritten or deleted is not served from
here: no request names it any more. A head that starts has an empty cache.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable

from msgspec import Struct

from hophinge.objects.stored_records import ChunkRun, Manifest

EVICTION_SAMPLE = 16  # least recently used chunks, of which the one of least demand a byte is evicted
# Times the demand a byte of an evicted chunk that a prefetched one must have: what is selected by its prediction is
# overestimated, and what is evicted by its own is underestimated.
PREFETCH_MARGIN = 4.0
CHUNK_OVERHEAD_BYTES = 200  # that a cached chunk takes beside its body
MAX_OBJECTS = 50_000  # whose runs are known; beyond, the least recently used are dropped with their chunks

ChunkKey = tuple[str, bytes, int]  # volume, token of the run, index in the run
ObjectKey = tuple[str, str]  # volume, id of the manifest


class CachedChunk(Struct):
    """A chunk in the cache."""

    body: bytes
    object_key: ObjectKey
    tenant: str
    is_unused_prefetch: bool  # prefetched, and not requested since


class KnownObject(Struct):
    """An object whose manifest was read: its runs now, and which of its chunks are cached."""

    tenant: str
    runs: frozenset[bytes]
    cached_chunks: set[ChunkKey]


class ChunkCache:
    """Chunks of one head, at most `max_bytes`; of one tenant at most `tenant_fraction` of them."""

    def __init__(
        self,
        max_bytes: int,
        tenant_fraction: float = 1.0,
        tenant_of: Callable[[str], str] = lambda volume: "",
        demand_of: Callable[[ObjectKey], float] = lambda one: 0.0,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_tenant_bytes = int(max_bytes * tenant_fraction)
        self.tenant_of = tenant_of
        self.demand_of = demand_of
        self.chunks: OrderedDict[ChunkKey, CachedChunk] = OrderedDict()
        self.objects: OrderedDict[ObjectKey, KnownObject] = OrderedDict()
        self.runs: dict[tuple[str, bytes], ObjectKey] = {}
        self.used_bytes = 0
        self.tenant_bytes: dict[str, int] = {}  # by tenant
        self.hits = 0
        self.misses = 0
        self.hit_bytes = 0
        self.used_prefetches = 0  # prefetched chunks that were requested
        self.wasted_prefetches = 0  # prefetched chunks that were removed before
        self.on_prefetch_outcome: Callable[[ObjectKey, bool], None] = lambda one, useful: None  # with each of these

    # --- versions

    def observe_manifest(self, volume: str, name: str, manifest: Manifest) -> None:
        """Record an object's manifest as it was just read or written; `name` is the manifest's id."""
        self.set_runs((volume, name), [run.token for run in manifest.runs] if manifest.etag else [])

    def set_runs(self, object_key: ObjectKey, tokens: Iterable[bytes]) -> None:
        """Set an object's runs; chunks of other runs are removed, as no request will name them again."""
        runs = frozenset(tokens)
        known = self.objects.get(object_key)
        if known is not None and known.runs == runs:
            self.objects.move_to_end(object_key)
            return
        if known is not None:
            # A run that both versions name stays; a reader of an old manifest in progress reads from the backends.
            for key in [place for place in known.cached_chunks if place[1] not in runs]:
                self._remove(key)
            for token in known.runs - runs:
                self.runs.pop((object_key[0], token), None)
        if not runs:
            self.objects.pop(object_key, None)
            return
        kept = known.cached_chunks if known is not None else set()
        self.objects[object_key] = KnownObject(self.tenant_of(object_key[0]), runs, kept)
        self.objects.move_to_end(object_key)
        for token in runs:
            self.runs[object_key[0], token] = object_key
        while len(self.objects) > MAX_OBJECTS:
            self.set_runs(next(iter(self.objects)), ())

    def has_chunks(self, object_key: ObjectKey) -> bool:
        """Return whether any chunk of an object is cached."""
        known = self.objects.get(object_key)
        return known is not None and bool(known.cached_chunks)

    def object_of(self, volume: str, run: ChunkRun) -> ObjectKey | None:
        """Return the object of a run; None where its manifest was not read."""
        return self.runs.get((volume, run.token))

    # --- chunks

    def get(self, volume: str, run: ChunkRun, index: int) -> bytes | None:
        """Return a cached chunk; None where there is none."""
        key = (volume, run.token, index)
        chunk = self.chunks.get(key)
        if chunk is None:
            self.misses += 1
            return None
        self.hits += 1
        self.hit_bytes += len(chunk.body)
        self.chunks.move_to_end(key)
        if chunk.is_unused_prefetch:
            chunk.is_unused_prefetch = False
            self.used_prefetches += 1
            self.on_prefetch_outcome(chunk.object_key, True)
        return chunk.body

    def has(self, volume: str, run: ChunkRun, index: int) -> bool:
        """Return whether a chunk is cached, without counting a hit or a miss."""
        return (volume, run.token, index) in self.chunks

    def put(self, volume: str, run: ChunkRun, index: int, body: bytes, is_prefetch: bool = False) -> bool:
        """Store a chunk if its demand exceeds that of what it would evict; returns whether it is cached."""
        key, object_key = (volume, run.token, index), self.runs.get((volume, run.token))
        if object_key is None or key in self.chunks:
            return key in self.chunks  # of an unknown or old version: no request will name it
        known, size = self.objects[object_key], len(body) + CHUNK_OVERHEAD_BYTES
        if size > self.max_tenant_bytes or size > self.max_bytes:
            return False
        demand_per_byte = self.demand_of(object_key) / size
        while self.tenant_bytes.get(known.tenant, 0) + size > self.max_tenant_bytes:
            if not self._evict(demand_per_byte, object_key, is_prefetch, known.tenant):
                return False
        while self.used_bytes + size > self.max_bytes:
            if not self._evict(demand_per_byte, object_key, is_prefetch, None):
                return False
        self.chunks[key] = CachedChunk(body, object_key, known.tenant, is_prefetch)
        known.cached_chunks.add(key)
        self.used_bytes += size
        self.tenant_bytes[known.tenant] = self.tenant_bytes.get(known.tenant, 0) + size
        return True

    def would_store(self, object_key: ObjectKey, size: int) -> bool:
        """Return whether a chunk of an object, so many bytes, would be stored if it were prefetched now."""
        known = self.objects.get(object_key)
        if known is None or size > min(self.max_bytes, self.max_tenant_bytes):
            return False
        demand_per_byte = self.demand_of(object_key) / size
        if self.tenant_bytes.get(known.tenant, 0) + size > self.max_tenant_bytes:
            return self._eviction_candidate(demand_per_byte, object_key, True, known.tenant) is not None
        return (
            self.used_bytes + size <= self.max_bytes
            or self._eviction_candidate(demand_per_byte, object_key, True, None) is not None
        )

    def _evict(self, demand_per_byte: float, object_key: ObjectKey, is_prefetch: bool, tenant: str | None) -> bool:
        victim = self._eviction_candidate(demand_per_byte, object_key, is_prefetch, tenant)
        if victim is not None:
            self._remove(victim)
        return victim is not None

    def _eviction_candidate(
        self, demand_per_byte: float, object_key: ObjectKey, is_prefetch: bool, tenant: str | None
    ) -> ChunkKey | None:
        """Return the least recently used chunk of least demand a byte; None where the new chunk has less demand.

        Where nothing is known of demand, both count 0 and the least recently used one is evicted.
        """
        least_recently_used = itertools.islice(
            (place for place, held in self.chunks.items() if tenant is None or held.tenant == tenant), EVICTION_SAMPLE
        )
        min_demand_per_byte, _, victim = min(
            (
                (
                    self.demand_of(self.chunks[place].object_key)
                    / (len(self.chunks[place].body) + CHUNK_OVERHEAD_BYTES),
                    at,
                    place,
                )
                for at, place in enumerate(least_recently_used)
            ),
            key=lambda row: row[:2],
        )
        # An object that evicts its own chunks would never be complete.
        if (
            demand_per_byte < min_demand_per_byte
            or (is_prefetch and demand_per_byte <= PREFETCH_MARGIN * min_demand_per_byte)
            or self.chunks[victim].object_key == object_key
        ):
            return None
        return victim

    def _remove(self, key: ChunkKey) -> None:
        chunk = self.chunks.pop(key)
        size = len(chunk.body) + CHUNK_OVERHEAD_BYTES
        self.used_bytes -= size
        self.tenant_bytes[chunk.tenant] -= size
        if not self.tenant_bytes[chunk.tenant]:
            del self.tenant_bytes[chunk.tenant]
        known = self.objects.get(chunk.object_key)
        if known is not None:
            known.cached_chunks.discard(key)
        if chunk.is_unused_prefetch:
            self.wasted_prefetches += 1
            self.on_prefetch_outcome(chunk.object_key, False)

    def remove_tenant(self, tenant: str) -> None:
        """Remove all chunks of a tenant that is no longer served."""
        for one in [one for one, known in self.objects.items() if known.tenant == tenant]:
            self.set_runs(one, ())
