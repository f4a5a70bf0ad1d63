"""Popularity at real heads with simulated backends: what they publish, prefetch, and do not prefetch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from hophinge.cluster.interface import Topic
from hophinge.core.exchange import Answer
from hophinge.core.interface import Arrival
from hophinge.head.popularity import SecretUnusableError, read_secret
from hophinge.objects.core_client import PREFETCH_VOLUME
from hophinge.objects.stored_records import manifest_id
from hophinge.popularity.planner import MAX_UNANSWERED, PrefetchPlanner, owner_of_key
from hophinge.popularity.peer_demand import DemandItem, encode_pages
from tests import books
from tests.stand_in import run
from tests.test_objects import PIECE, Client
from tests.popular import SECRET, View, installation, put


def test_a_site_prefetches_objects_that_only_another_site_has_requested(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            client, west = built.clients["a"], built.popular["b"]
            paths = await put(client, "one", "two")
            await built.crowd("a", paths)
            built.close_spans()
            pages = b"".join(entry.value for entry in built.peers.held.values())
            volume = next(iter(built.popular["a"].site.known.values())).locator.volume
            assert pages and b"one" not in pages and bytes.fromhex(volume) not in pages
            arrivals: list[Arrival] = []
            arrive = west.exchange.arrive

            def record_arrival(arrival: Arrival, payload: object, answer: Callable[[Answer], None]) -> None:
                arrivals.append(arrival)
                arrive(arrival, payload, answer)

            monkeypatch.setattr(west.exchange, "arrive", record_arrival)
            charged_units: list[float] = []
            west.store.chunk_store.on_served = lambda volume, units: charged_units.append(units)
            await built.fetch("b", 2)
            settings = west.exchange.settings
            assert len(arrivals) == len(built.prefetches()) >= 8 and not charged_units  # two manifests, six chunks
            for arrival in arrivals:
                assert arrival.volume == PREFETCH_VOLUME and settings.plans[arrival.plan].price == 1
                request_class = settings.classes[arrival.klass]
                assert (
                    request_class.value == 1
                    and request_class.target_latency_us
                    < arrival.time_left_us
                    <= request_class.deadline_us - request_class.target_latency_us
                )
            before = sum(len(backend.seen) for backend in built.world.backends)
            for path in paths:
                _, body = await built.clients["b"].call("GET", path)
                assert body == path.encode() * (3 * PIECE // len(path))
            assert sum(len(backend.seen) for backend in built.world.backends) - before == 2  # the manifests only
            assert west.cache.used_prefetches == 6 and west.site.trust_in("a") > 0.5
            assert west.requests_per_second(manifest_id("one")) > 0 and west.requests_per_second("f" * 16) == 0.0
            count = len(arrivals)
            await west.fetch()
            assert len(arrivals) == count  # nothing is fetched twice
            status = west.status()
            assert status["peers"] == 1 and west.fetcher.fetched_objects >= 2 and "receipts" not in str(status)
            assert west.tenant("alba")["requests"] == pytest.approx(2, abs=0.1)
            assert west.tenant("beith") == {"requests": 0.0, "followed": 0, "kept_bytes": 0}

    run(main())


def test_within_a_site_each_object_is_fetched_once_by_its_owner(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"far": "east", "a": "west", "b": "west", "c": "west"}) as built:
            paths = await put(built.clients["far"], *map(str, range(12)))
            await built.crowd("far", paths, 2)
            built.close_spans()
            owned = {
                name: sum(
                    owner_of_key(key, View(built.peers, name).members(), "west") == name
                    for key in built.popular[name].site.known
                )
                for name in "abc"
            }
            assert sum(owned.values()) == 12
            for name, count in owned.items():
                await built.fetch(name, count)
            cached_chunks = [chunk for name in "abc" for chunk in built.popular[name].cache.chunks]
            assert len(cached_chunks) == len(set(cached_chunks)) == 12 * 3

    run(main())


def test_a_head_without_peers_uses_its_own_counts(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east"}, cache_bytes=50_000, tenant_part=1.0, alone=True) as built:
            popular, client = built.popular["a"], built.clients["a"]
            paths = await put(client, "one")
            await built.crowd("a", paths, 12)
            popular.cache.remove_tenant("alba")
            built.close_own("a")
            await built.fetch("a", 1)
            assert await client.status("DELETE", paths[0]) == 204
            assert (
                not popular.cache.chunks
                and not popular.site.known
                and popular.requests_per_second(manifest_id("one")) == 0.0
            )

    run(main())


def test_an_object_deleted_at_another_head_is_not_prefetched(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            paths = await put(built.clients["a"], "one")
            await built.crowd("a", paths)
            built.close_spans()
            assert await built.clients["a"].status("DELETE", paths[0]) == 204
            west = built.popular["b"]
            while not built.prefetches():
                await west.fetch()
                await asyncio.sleep(0.005)
            assert len(built.prefetches()) == 1 and not west.cache.chunks and not west.site.known

    run(main())


def test_excessive_claims_for_a_tenant_s_objects_use_up_only_that_tenant_s_budget(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "west", "liar": "west"}, fetch_bytes_s=6000.0) as built:
            popular, client = built.popular["a"], built.clients["a"]
            other = Client(
                built.world,
                built.world.services[0],
                books.tenant(tmp_path / "tenants.db", "beith", {"receipts": "basic"}),
            )
            await put(client, *map(str, range(20)))
            paths = await put(other, "honest")
            for _ in range(12):
                assert await other.status("GET", paths[0]) == 200
            popular.cache.remove_tenant("alba")
            popular.cache.remove_tenant("beith")
            site = popular.site
            items = [
                DemandItem(key, site.keys.seal(known.locator), 1e6)
                for key, known in site.known.items()
                if known.tenant == "alba"
            ]
            View(built.peers, "liar").put(Topic.POPULARITY, "0", encode_pages(1, 1e9, items)[0])
            built.close_own("a")
            believed = sum(site.expected_requests(item.key) for item in items)
            # Four times what this head served, with a margin for the prediction of a first span.
            assert 0 < believed <= 4 * 12 * 1.5
            since = popular.exchange.now_us()
            popular.planner = popular.fetcher.planner = PrefetchPlanner("", "none", 6000.0, 0.5, since)  # owns all keys
            while popular.cache.tenant_bytes.get("beith", 0) < 2 * PIECE:  # the other tenant's object is fetched too
                popular.attempted.clear()
                popular.planner.backoff_until_us = 0
                popular.planner.shard_backoff_until.clear()
                await popular.fetch()
                await asyncio.sleep(0.005)
            max_bytes = 6000.0 * (10 + (popular.exchange.now_us() - since) / 1e6)
            assert (
                sum(len(chunk.body) for chunk in popular.cache.chunks.values() if chunk.tenant == "alba")
                <= 0.5 * max_bytes
            )
            assert popular.fetcher.fetched_bytes <= max_bytes

    run(main())


def test_a_plan_ends_in_time_and_a_failed_publication_does_no_harm(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with installation(tmp_path, {"a": "east", "b": "west"}) as built:
            await built.crowd("a", await put(built.clients["a"], "one"))
            built.close_spans()
            built.peers.full = True
            west = built.popular["b"]
            west.exchange.unanswered += MAX_UNANSWERED
            await west.fetch()
            assert not built.prefetches()  # requests are unanswered at this head
            west.exchange.unanswered -= MAX_UNANSWERED
            monkeypatch.setattr("hophinge.head.popularity.FETCH_US", 0)
            while not built.prefetches():
                west.planner.backoff_until_us = 0
                await west.fetch()
            # The next plan continues the fetch.
            assert len(built.prefetches()) == 1 and not west.cache.chunks and not west.attempted
            await built.crowd("b", await put(built.clients["b"], "two"))
            built.close_spans()
            assert west.failed_publications >= 1

    run(main())


def test_an_unusable_secret_is_reported_with_its_path(tmp_path: Path) -> None:
    for content in (None, b"short"):
        path = tmp_path / "popularity.key"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(SecretUnusableError, match=r"popularity\.key"):
            read_secret(path)
    path.write_bytes(SECRET + b"\n")
    assert read_secret(path) == SECRET
