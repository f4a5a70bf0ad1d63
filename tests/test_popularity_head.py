"""Popularity at real heads on stand-in bricks: what they tell, fetch beforehand, and leave alone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from hophinge.cluster.interface import Topic
from hophinge.core.exchange import Answer
from hophinge.core.interface import Arrival
from hophinge.head.popularity import HeadPopularity, SecretUnusableError, drained, read_secret
from hophinge.maintenance.drains import DRAINED, Statement, value
from hophinge.objects.pieces import BEFOREHAND, Budget
from hophinge.objects.records import manifest_id, shard_of
from hophinge.objects.tenants import Volume
from hophinge.popularity.planner import QUIET, Planner, Why, owner
from hophinge.popularity.rumour import Item, pages
from tests import books
from tests.stand_in import Brick, run
from tests.test_objects import PIECE, Client
from tests.popular import SECRET, Installation, Peers, View, installation, put


def test_a_site_fetches_beforehand_what_another_asks_for_and_never_saw_itself(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            client, west = built.clients["a"], built.popular["b"]
            paths = await put(client, "one", "two")
            await built.crowd("a", paths)
            built.close_spans()
            told = b"".join(entry.value for entry in built.peers.held.values())
            volume = next(iter(built.popular["a"].site.known.values())).locator.volume
            assert told and b"one" not in told and bytes.fromhex(volume) not in told
            asks: list[Arrival] = []
            arrive = west.exchange.arrive

            def noted(ask: Arrival, payload: object, answer: Callable[[Answer], None]) -> None:
                asks.append(ask)
                arrive(ask, payload, answer)

            monkeypatch.setattr(west.exchange, "arrive", noted)
            used: list[float] = []
            west.store.core.used = lambda volume, units: used.append(units)
            await built.fetch("b", 2)
            settings = west.exchange.settings
            assert len(asks) == len(built.beforehand()) >= 8 and not used      # two manifests, six pieces
            for ask in asks:
                assert ask.volume == BEFOREHAND and settings.plans[ask.plan].price == 1
                klass = settings.classes[ask.klass]
                assert klass.worth == 1 and klass.aim_us < ask.time_left_us <= klass.deadline_us - klass.aim_us
            before = sum(len(brick.seen) for brick in built.world.bricks)
            for path in paths:
                _, body = await built.clients["b"].call("GET", path)
                assert body == path.encode() * (3 * PIECE // len(path))
            assert sum(len(brick.seen) for brick in built.world.bricks) - before == 2      # its manifests alone
            assert west.cache.useful == 6 and west.site.trusted("a") > 0.5
            assert west.wanted(manifest_id("one")) > 0 and west.wanted("f" * 16) == 0.0
            count = len(asks)
            await west.fetch()
            assert len(asks) == count       # nothing is fetched twice
            status = west.status()
            assert status["peers"] == 1 and west.fetcher.objects >= 2 and "receipts" not in str(status)
            assert west.tenant("alba")["requests"] == pytest.approx(2, abs=0.1)
            assert west.tenant("beith") == {"requests": 0.0, "followed": 0, "kept_bytes": 0}
    run(main())


def test_within_a_site_each_object_is_fetched_once_by_its_owner(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"far": "east", "a": "west", "b": "west", "c": "west"}) as built:
            paths = await put(built.clients["far"], *map(str, range(12)))
            await built.crowd("far", paths, 2)
            built.close_spans()
            mine = {name: sum(owner(key, View(built.peers, name).members(), "west") == name
                              for key in built.popular[name].site.known) for name in "abc"}
            assert sum(mine.values()) == 12
            for name, count in mine.items():
                await built.fetch(name, count)
            kept = [place for name in "abc" for place in built.popular[name].cache.held]
            assert len(kept) == len(set(kept)) == 12 * 3
    run(main())


def test_a_head_whose_peers_are_all_gone_goes_by_its_own_counts(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east"}, cache_bytes=50_000, tenant_part=1.0, alone=True) as built:
            popular, client = built.popular["a"], built.clients["a"]
            paths = await put(client, "one")
            await built.crowd("a", paths, 12)
            popular.cache.forget_tenant("alba")
            built.close_own("a")
            await built.fetch("a", 1)
            assert await client.status("DELETE", paths[0]) == 204
            assert not popular.cache.held and not popular.site.known and popular.wanted(manifest_id("one")) == 0.0
    run(main())


def test_what_was_deleted_elsewhere_is_found_out_and_not_fetched(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            paths = await put(built.clients["a"], "one")
            await built.crowd("a", paths)
            built.close_spans()
            assert await built.clients["a"].status("DELETE", paths[0]) == 204
            west = built.popular["b"]
            while not built.beforehand():
                await west.fetch()
                await asyncio.sleep(0.005)
            assert len(built.beforehand()) == 1 and not west.cache.held and not west.site.known
    run(main())


def drain(built: Installation, brick: Brick) -> None:
    one = Statement("permit-1", brick.name, DRAINED)
    View(built.peers, "control").put(Topic.DRAINS, one.key, value(one))


def drain_was_met(built: Installation, head: HeadPopularity, brick: Brick) -> bool:
    """Tell whether fetching beforehand has asked a brick in a drain, or stands back from it for its drain."""
    if any(name == brick.name for name, _ in built.beforehand()):
        return True
    now_us = head.exchange.now_us()
    return head.planner.may(now_us, "alba", brick.shard, 0, 1.0, head.facts()) is Why.DRAIN


async def flash_crowd_in_a_drain(folder: Path) -> tuple[list[tuple[str, str]], str]:
    """A publisher's flash crowd while a brick that holds some of its pieces is in a drain."""
    async with installation(folder, {"a": "east", "b": "west"}) as built:
        paths = await put(built.clients["a"], *map(str, range(6)))
        await built.crowd("a", paths, 3)
        built.close_spans()
        drained = built.world.bricks[0]
        drain(built, drained)
        west, fit = built.popular["b"], 0
        assert any(target.startswith("/transfer-write/") for _, target in drained.seen)
        for path in paths:
            one = built.popular["a"]
            bucket = next(iter(one.site.known.values())).locator.volume
            if shard_of(bucket, path[10:], 3) != drained.shard:
                found = await one.store.head(Volume(bucket, "priority"), path[10:], Budget(0, None))
                fit += sum(piece.shard != drained.shard for run in found.runs for piece in run.pieces)
        # Which brick holds what is drawn by the volume's random id, so a few fetches may need none of the drained
        # one's pieces. It goes on until the drain was met: the planner stands back from it, or has asked there.
        while len(west.cache.held) < fit or not drain_was_met(built, west, drained):
            west.tried.clear()
            west.planner.paused_us = 0
            west.planner.rests.clear()
            await west.fetch()
            await asyncio.sleep(0.005)
        kept, fetched = len(west.cache.held), built.beforehand()
        # The crowd arrives: all is served, from what is kept and from bricks, the one in the drain among them.
        await built.crowd("b", paths, 12)
        assert west.cache.hits >= kept
        built.peers.held.clear()
        west.tried.clear()
        west.cache.forget_tenant("alba")
        built.close_own("b")
        assert built.beforehand() == fetched
        await built.fetch("b", 6)       # the drain is over
        return fetched, drained.name


def test_a_flash_crowd_in_a_drain_of_its_site_fetches_nothing_from_what_drains(tmp_path: Path) -> None:
    fetched, drained = run(flash_crowd_in_a_drain(tmp_path))
    assert fetched and all(name != drained for name, _ in fetched)


def test_a_brick_whose_name_is_within_another_s_is_not_in_that_one_s_drain() -> None:
    view = View(Peers({"a": ""}), "a")
    for key, said in (("permit-1/b11", value(Statement("permit-1", "b11", DRAINED))), ("halt/1", b""),
                      ("permit-2/b2", value(Statement("permit-1", "b2", DRAINED))), ("permit-3/b3", b"b3")):
        view.put(Topic.DRAINS, key, said)
    assert drained(view) == {"b11"} and drained(None) == set()


def test_a_drain_that_is_not_looked_at_is_caught(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hophinge.head.popularity.drained", lambda board: frozenset())
    fetched, drained = run(flash_crowd_in_a_drain(tmp_path))
    with pytest.raises(AssertionError):
        assert all(name != drained for name, _ in fetched)


def test_a_liar_that_counts_a_tenant_s_objects_a_million_times_costs_that_tenant_s_part_alone(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "west", "liar": "west"}, fetch_bytes_s=6000.0) as built:
            popular, client = built.popular["a"], built.clients["a"]
            other = Client(built.world, built.world.services[0],
                           books.tenant(tmp_path / "tenants.db", "beith", {"receipts": "basic"}))
            await put(client, *map(str, range(20)))
            paths = await put(other, "honest")
            for _ in range(12):
                assert await other.status("GET", paths[0]) == 200
            popular.cache.forget_tenant("alba")
            popular.cache.forget_tenant("beith")
            site = popular.site
            items = [Item(key, site.keys.seal(one.locator), 1e6) for key, one in site.known.items()
                     if one.tenant == "alba"]
            View(built.peers, "liar").put(Topic.POPULARITY, "0", pages(1, 1e9, items)[0])
            built.close_own("a")
            believed = sum(site.expected(one.key) for one in items)
            assert 0 < believed <= 4 * 12 * 1.5     # four times what this head served, and what a first span foretells
            since = popular.exchange.now_us()
            popular.planner = popular.fetcher.planner = Planner("", "none", 6000.0, 0.5, since)     # owns all
            while popular.cache.sizes.get("beith", 0) < 2 * PIECE:      # the honest tenant's is fetched too
                popular.tried.clear()
                popular.planner.paused_us = 0
                popular.planner.rests.clear()
                await popular.fetch()
                await asyncio.sleep(0.005)
            most = 6000.0 * (10 + (popular.exchange.now_us() - since) / 1e6)
            assert sum(len(one.body) for one in popular.cache.held.values() if one.tenant == "alba") <= 0.5 * most
            assert popular.fetcher.bytes <= most
    run(main())


def test_a_plan_ends_in_time_and_a_full_board_costs_nothing(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            await built.crowd("a", await put(built.clients["a"], "one"))
            built.close_spans()
            built.peers.full = True
            west = built.popular["b"]
            west.exchange.unanswered += QUIET
            await west.fetch()
            assert not built.beforehand()       # requests wait here
            west.exchange.unanswered -= QUIET
            monkeypatch.setattr("hophinge.head.popularity.FETCH_US", 0)
            while not built.beforehand():
                west.planner.paused_us = 0
                await west.fetch()
            assert len(built.beforehand()) == 1 and not west.cache.held and not west.tried     # it goes on later
            await built.crowd("b", await put(built.clients["b"], "two"))
            built.close_spans()
            assert west.untold >= 1
    run(main())


def test_a_secret_that_cannot_be_used_is_told_with_its_place(tmp_path: Path) -> None:
    for content in (None, b"short"):
        path = tmp_path / "popularity.key"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(SecretUnusableError, match=r"popularity\.key"):
            read_secret(path)
    path.write_bytes(SECRET + b"\n")
    assert read_secret(path) == SECRET
