"""The cache of pieces below the object API's reads: bounds by tenant, eviction by demand, and never a stale version."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import aiohttp
import pytest
from hypothesis import given, settings, strategies as st

from hophinge.objects import chunk_cache
from hophinge.objects.chunk_cache import CHUNK_OVERHEAD_BYTES, ChunkCache
from hophinge.objects.stored_records import Manifest, ChunkRef, ChunkRun
from tests.popular import installation
from tests.stand_in import run
from tests.test_objects import PIECE, Client

VOLUME = "00000003b4d60021"
BODY = 100
EACH = BODY + CHUNK_OVERHEAD_BYTES


def a_run(token: int, chunks: int = 1) -> ChunkRun:
    return ChunkRun(token.to_bytes(8, "big"), [ChunkRef(0, BODY, 0)] * chunks)


def manifest(*runs: ChunkRun) -> Manifest:
    return Manifest("etag", 1, 0, "", "", list(runs))


def cached_tokens(cache: ChunkCache) -> list[int]:
    return [int.from_bytes(token, "big") for _, token, __ in cache.chunks]


# --- by itself


def test_chunks_of_a_replaced_version_are_removed_and_unknown_ones_never_stored() -> None:
    cache, one, two = ChunkCache(100 * EACH), a_run(1, 2), a_run(2)
    assert not cache.put(VOLUME, one, 0, b"x" * BODY)  # its manifest was not seen
    cache.observe_manifest(VOLUME, "m", manifest(one))
    assert cache.put(VOLUME, one, 0, b"x" * BODY) and cache.get(VOLUME, one, 0) == b"x" * BODY
    assert cache.get(VOLUME, one, 1) is None and cache.get("other", one, 0) is None and cache.has_chunks((VOLUME, "m"))
    cache.observe_manifest(VOLUME, "m", manifest(one, two))  # a longer version keeps what it shares
    assert cache.has(VOLUME, one, 0)
    cache.observe_manifest(VOLUME, "m", manifest(two))
    assert not cache.chunks and cache.used_bytes == 0 and not cache.tenant_bytes
    assert not cache.put(VOLUME, one, 0, b"x" * BODY)  # a slow reader of the old version
    assert cache.put(VOLUME, two, 0, b"y" * BODY)
    cache.observe_manifest(VOLUME, "m", Manifest())  # deleted
    assert not cache.chunks and not cache.objects and not cache.runs


def test_the_chunk_of_least_demand_a_byte_is_evicted_or_else_the_oldest() -> None:
    wanted: dict[str, float] = {}
    cache = ChunkCache(3 * EACH, demand_of=lambda one: wanted.get(one[1], 0.0))
    for at in range(5):
        cache.observe_manifest(VOLUME, str(at), manifest(a_run(at)))
        if at < 3:
            cache.put(VOLUME, a_run(at), 0, b"x" * BODY)
    cache.get(VOLUME, a_run(0), 0)
    assert cache.put(VOLUME, a_run(3), 0, b"x" * BODY) and cached_tokens(cache) == [2, 0, 3]
    wanted |= {"0": 1.0, "2": 9.0, "3": 8.0, "4": 4.5}
    assert not cache.would_store((VOLUME, "1"), EACH) and not cache.put(VOLUME, a_run(1), 0, b"x" * BODY)
    wanted["4"] = 3.9  # of what nobody asked for, more is wanted than of what it would push out
    assert not cache.would_store((VOLUME, "4"), EACH)
    wanted["4"] = 4.5
    assert cache.would_store((VOLUME, "4"), EACH) and cache.put(VOLUME, a_run(4), 0, b"x" * BODY, is_prefetch=True)
    assert cached_tokens(cache) == [2, 3, 4]
    told: list[tuple[str, bool]] = []
    cache.on_prefetch_outcome = lambda one, useful: told.append((one[1], useful))
    cache.get(VOLUME, a_run(4), 0)
    cache.get(VOLUME, a_run(4), 0)
    assert told == [("4", True)] and (cache.used_prefetches, cache.wasted_prefetches) == (1, 0)


def check_bounds(seed: int) -> None:
    rng, tenants = random.Random(seed), {"a": "one", "b": "two"}
    cache = ChunkCache(10 * EACH, 0.6, lambda volume: tenants[volume], lambda one: float(hash(one) % 3))
    for _ in range(300):
        volume, name = rng.choice("ab"), str(rng.randrange(12))
        token = rng.randrange(4) * 100 + int(name)
        if rng.random() < 0.3:
            cache.observe_manifest(volume, name, manifest(a_run(token, 3)) if rng.random() < 0.8 else Manifest())
        cache.put(volume, a_run(token, 3), rng.randrange(3), b"x" * rng.randrange(2 * BODY), rng.random() < 0.5)
        assert (
            cache.used_bytes == sum(len(one.body) + CHUNK_OVERHEAD_BYTES for one in cache.chunks.values()) <= 10 * EACH
        )
        for tenant, size in cache.tenant_bytes.items():
            assert (
                size
                == sum(len(one.body) + CHUNK_OVERHEAD_BYTES for one in cache.chunks.values() if one.tenant == tenant)
                <= 6 * EACH
            )
        assert {place for known in cache.objects.values() for place in known.cached_chunks} == cache.chunks.keys()
        assert all(one in cache.objects for one in cache.runs.values())
    cache.remove_tenant("one")
    assert set(cache.tenant_bytes) <= {"two"}


@given(st.integers(0, 1 << 32))
@settings(max_examples=30, deadline=None)
def test_bytes_stay_in_bounds_in_all_and_by_tenant(seed: int) -> None:
    check_bounds(seed)


def test_a_tenants_bound_that_is_ignored_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    make = ChunkCache.__init__

    def unbounded(self: ChunkCache, most: int, tenant_fraction: float, *more: object) -> None:
        make(self, most, 1.0, *more)  # type: ignore[arg-type]  # a mutant: the tenant's part is not looked at

    monkeypatch.setattr(ChunkCache, "__init__", unbounded)
    with pytest.raises(AssertionError):
        for seed in range(5):
            check_bounds(seed)


def test_known_objects_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(chunk_cache, "MAX_OBJECTS", 3)
    cache = ChunkCache(100 * EACH)
    for at in range(6):
        cache.observe_manifest(VOLUME, str(at), manifest(a_run(at)))
        cache.put(VOLUME, a_run(at), 0, b"x" * BODY)
    assert cached_tokens(cache) == [3, 4, 5] and len(cache.runs) == 3


# --- heads on one set of bricks


async def steps(clients: list[Client], seed: int, count: int = 120) -> None:
    """Read, overwrite and delete at random heads, some of it at once; whatever is read is what was written last."""
    rng, now, number = random.Random(seed), dict[str, bytes | None](), 0
    for _ in range(count):
        name = f"/receipts/{rng.randrange(4)}"
        old, act = now.get(name), rng.random()
        if act < 0.3:
            number += 1
            body = f"{number}:".encode() * rng.randrange(1, 2 * PIECE // 3)
            reader, writer = rng.sample(clients, 2)
            (got, before), status = await asyncio.gather(reader.call("GET", name), writer.status("PUT", name, body))
            assert status == 200 and (got.status, before) in ((404, before), (200, old), (200, body))
            now[name] = body
        elif act < 0.4:
            assert await rng.choice(clients).status("DELETE", name) == 204
            now[name] = None
        else:
            for client in rng.sample(clients, 2):
                got, body = await client.call("GET", name)
                wanted = now.get(name)
                assert (got.status, body) == (200, wanted) if wanted is not None else got.status == 404


def test_several_heads_never_serve_what_was_overwritten_or_deleted(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(
            tmp_path, dict.fromkeys("abc", ""), 6 * (PIECE + CHUNK_OVERHEAD_BYTES), alone=True
        ) as built:
            await steps(list(built.clients.values()), 1)
            assert sum(one.cache.hits for one in built.popular.values()) > 20

    run(main())


def test_a_cache_keyed_by_name_alone_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with installation(tmp_path, dict.fromkeys("abc", ""), alone=True) as built:
            await steps(list(built.clients.values()), 1)

    by_name: dict[tuple[ChunkCache, str, int], bytes] = {}

    def get(self: ChunkCache, volume: str, run: ChunkRun, index: int) -> bytes | None:
        one = self.object_of(volume, run)
        return by_name.get((self, one[1], index)) if one is not None else None

    def put(self: ChunkCache, volume: str, run: ChunkRun, index: int, body: bytes, is_prefetch: bool = False) -> bool:
        one = self.object_of(volume, run)
        if one is not None:
            by_name[self, one[1], index] = body
        return True

    monkeypatch.setattr(ChunkCache, "get", get)
    monkeypatch.setattr(ChunkCache, "put", put)
    with pytest.raises((AssertionError, aiohttp.ClientError)):
        run(main())


def test_a_second_read_requests_only_the_manifest_from_backends(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": ""}, alone=True) as built:
            client, body, seen = built.clients["a"], b"x" * (5 * PIECE), []
            assert await client.status("PUT", "/receipts/a", body) == 200
            for _ in range(3):
                before = sum(len(backend.seen) for backend in built.world.backends)
                assert (await client.call("GET", "/receipts/a"))[1] == body
                seen.append(sum(len(backend.seen) for backend in built.world.backends) - before)
            assert seen == [6, 1, 1] and built.popular["a"].cache.hits == 10
            assert (await client.call("GET", "/receipts/a", Range="bytes=10-1999"))[1] == body[10:2000]

    run(main())
