"""Popularity while a brick of its site is in a drain: nothing is fetched beforehand from there."""

from __future__ import annotations

import asyncio
from pathlib import Path

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


def drain(built: Installation, backend: Backend) -> None:
    one = Statement("permit-1", backend.name, DRAINED)
    View(built.peers, "control").put(Topic.DRAINS, one.key, encode_statement(one))


def drain_was_met(built: Installation, head: HeadPopularity, backend: Backend) -> bool:
    """Tell whether fetching beforehand has asked a brick in a drain, or stands back from it for its drain."""
    if any(name == backend.name for name, _ in built.beforehand()):
        return True
    now_us = head.exchange.now_us()
    return head.planner.hold_reason(now_us, "alba", backend.shard, 0, 1.0, head.load_snapshot()) is HoldReason.DRAINING


async def flash_crowd_in_a_drain(folder: Path) -> tuple[list[tuple[str, str]], str]:
    """A publisher's flash crowd while a brick that holds some of its pieces is in a drain."""
    async with installation(folder, {"a": "east", "b": "west"}) as built:
        paths = await put(built.clients["a"], *map(str, range(6)))
        await built.crowd("a", paths, 3)
        built.close_spans()
        drained = built.world.backends[0]
        drain(built, drained)
        west, fit = built.popular["b"], 0
        assert any(target.startswith("/transfer-write/") for _, target in drained.seen)
        for path in paths:
            one = built.popular["a"]
            bucket = next(iter(one.site.known.values())).locator.volume
            if shard_of(bucket, path[10:], 3) != drained.shard:
                found = await one.store.head(Volume(bucket, "priority"), path[10:], TimeBudget(0, None))
                fit += sum(piece.shard != drained.shard for run in found.runs for piece in run.chunks)
        # Which brick holds what is drawn by the volume's random id, so a few fetches may need none of the drained
        # one's pieces. It goes on until the drain was met: the planner stands back from it, or has asked there.
        while len(west.cache.chunks) < fit or not drain_was_met(built, west, drained):
            west.attempted.clear()
            west.planner.backoff_until_us = 0
            west.planner.shard_backoff_until.clear()
            await west.fetch()
            await asyncio.sleep(0.005)
        kept, fetched = len(west.cache.chunks), built.beforehand()
        # The crowd arrives: all is served, from what is kept and from bricks, the one in the drain among them.
        await built.crowd("b", paths, 12)
        assert west.cache.hits >= kept
        built.peers.held.clear()
        west.attempted.clear()
        west.cache.remove_tenant("alba")
        built.close_own("b")
        assert built.beforehand() == fetched
        await built.fetch("b", 6)  # the drain is over
        return fetched, drained.name


def test_a_flash_crowd_in_a_drain_of_its_site_fetches_nothing_from_what_drains(tmp_path: Path) -> None:
    fetched, drained = run(flash_crowd_in_a_drain(tmp_path))
    assert fetched and all(name != drained for name, _ in fetched)


def test_a_backend_whose_name_is_within_another_s_is_not_in_that_one_s_drain() -> None:
    view = View(Peers({"a": ""}), "a")
    for key, said in (
        ("permit-1/b11", encode_statement(Statement("permit-1", "b11", DRAINED))),
        ("halt/1", b""),
        ("permit-2/b2", encode_statement(Statement("permit-1", "b2", DRAINED))),
        ("permit-3/b3", b"b3"),
    ):
        view.put(Topic.DRAINS, key, said)
    assert drained(view) == {"b11"} and drained(None) == set()


def test_a_drain_that_is_not_looked_at_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.head.popularity.drained", lambda board: frozenset())
    fetched, drained = run(flash_crowd_in_a_drain(tmp_path))
    with pytest.raises(AssertionError):
        assert all(name != drained for name, _ in fetched)
