"""Prefetching while a backend of the site is draining: nothing is fetched from that backend."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import NamedTuple

import pytest

from hophinge.cluster.interface import Topic
from hophinge.head.popularity import HeadPopularity, drained
from hophinge.maintenance.statements import DRAINED, Statement, encode_statement
from hophinge.objects.core_client import TimeBudget
from hophinge.objects.stored_records import shard_of
from hophinge.objects.account_access import Volume
from hophinge.popularity.planner import HoldReason
from tests.popular import Installation, Peers, View, installation, put
from tests.stand_in import Backend, run

MAX_LAYOUTS = 5  # random ones; in a few, the draining backend has all that could be fetched


def drain(built: Installation, backend: Backend) -> None:
    statement = Statement("permit-1", backend.name, DRAINED)
    View(built.peers, "control").put(Topic.DRAINS, statement.key, encode_statement(statement))


def drain_was_observed(built: Installation, head: HeadPopularity, backend: Backend) -> bool:
    """Return whether a prefetch has read from the draining backend, or was held back because of the drain."""
    if any(name == backend.name for name, _ in built.prefetches()):
        return True
    now_us = head.exchange.now_us()
    return head.planner.hold_reason(now_us, "alba", backend.shard, 0, 1.0, head.load_snapshot()) is HoldReason.DRAINING


class CrowdDuringDrain(NamedTuple):
    """The prefetches for a flash crowd while a backend is draining."""

    prefetches: list[tuple[str, str]]  # by backend and target
    drained: str
    readable_chunks: int  # those that the other backends have


async def prefetch_for_flash_crowd_during_drain(folder: Path) -> CrowdDuringDrain:
    """Run prefetches for a flash crowd while a backend that has some of the chunks is draining."""
    async with installation(folder, {"a": "east", "b": "west"}) as built:
        paths = await put(built.clients["a"], *map(str, range(6)))
        await built.crowd("a", paths, 3)
        built.close_spans()
        drained = built.world.backends[0]
        drain(built, drained)
        west, readable_chunks = built.popular["b"], 0
        assert any(target.startswith("/transfer-write/") for _, target in drained.seen)
        for path in paths:
            popularity = built.popular["a"]
            bucket = next(iter(popularity.site.known.values())).locator.volume
            if shard_of(bucket, path[10:], 3) != drained.shard:
                manifest = await popularity.store.head(Volume(bucket, "priority"), path[10:], TimeBudget(0, None))
                readable_chunks += sum(chunk.shard != drained.shard for run in manifest.runs for chunk in run.chunks)
        # The random id of the volume determines which backend has which chunk, so a few fetches may need no chunk of
        # the draining backend. This continues until a prefetch from it was held back, or was made.
        while len(west.cache.chunks) < readable_chunks or not drain_was_observed(built, west, drained):
            west.attempted.clear()
            west.planner.backoff_until_us = 0
            west.planner.shard_backoff_until.clear()
            await west.fetch()
            await asyncio.sleep(0.005)
        cached, fetched = len(west.cache.chunks), built.prefetches()
        # The crowd arrives: all requests are served, from the cache and from all backends, the draining one included.
        await built.crowd("b", paths, 12)
        assert west.cache.hits >= cached
        built.peers.held.clear()
        west.attempted.clear()
        west.cache.remove_tenant("alba")
        built.close_own("b")
        assert built.prefetches() == fetched
        await built.fetch("b", 6)  # the drain is over
        return CrowdDuringDrain(fetched, drained.name, readable_chunks)


def test_nothing_is_prefetched_from_a_draining_backend(tmp_path: Path) -> None:
    for layout in range(MAX_LAYOUTS):
        (folder := tmp_path / str(layout)).mkdir()
        crowd = run(prefetch_for_flash_crowd_during_drain(folder))
        assert all(name != crowd.drained for name, _ in crowd.prefetches)
        if crowd.readable_chunks:
            break
    assert crowd.prefetches


def test_a_backend_whose_name_is_a_prefix_of_a_draining_one_is_not_draining() -> None:
    view = View(Peers({"a": ""}), "a")
    for key, value in (
        ("permit-1/b11", encode_statement(Statement("permit-1", "b11", DRAINED))),
        ("halt/1", b""),
        ("permit-2/b2", encode_statement(Statement("permit-1", "b2", DRAINED))),
        ("permit-3/b3", b"b3"),
    ):
        view.put(Topic.DRAINS, key, value)
    assert drained(view) == {"b11"} and drained(None) == set()


def test_a_head_that_ignores_drains_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.head.popularity.drained", lambda board: frozenset())
    crowd = run(prefetch_for_flash_crowd_during_drain(tmp_path))
    with pytest.raises(AssertionError):
        assert all(name != crowd.drained for name, _ in crowd.prefetches)
