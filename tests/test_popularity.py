"""Counts with decay, what heads tell each other of them, and what leaves a process."""

from __future__ import annotations

import itertools
import math
import random

import pytest
from hypothesis import given, settings, strategies as st

from hophinge.popularity import peer_demand
from hophinge.popularity.object_keys import ObjectKeys, Locator
from hophinge.popularity.peer_demand import (
    CLAIM_FACTOR,
    ITEMS_PER_PAGE,
    MAX_PAGE_BYTES,
    PeerDemand,
    DemandItem,
    encode_pages,
    decode_page,
)
from hophinge.popularity.frequency_sketch import TenantCounters, FrequencySketch

HALF = 1_000_000
ZONE = "hall-a"


def key(at: int) -> bytes:
    return at.to_bytes(8, "big")


# --- the sketch

Asked = list[tuple[int, int, int]]  # microseconds since the last, key, tenant
ASKED = st.lists(st.tuples(st.integers(0, 3 * HALF), st.integers(0, 30), st.integers(0, 2)), max_size=120)


def check_bounds(asked: Asked, counters: int) -> None:
    """Each key's true decayed count lies between what its counter tells less its error, and what it tells."""
    sketch, now = FrequencySketch(counters, HALF, 0.5), 0
    true: dict[tuple[int, int], list[int]] = {}
    for later, number, tenant in asked:
        now += later
        sketch.add(now, key(number * 3 + tenant), str(tenant))
        true.setdefault((number, tenant), []).append(now)
    assert len(sketch) <= counters
    for (number, tenant), times in true.items():
        told = sketch.count(now, key(number * 3 + tenant), str(tenant))
        exact = math.fsum(2.0 ** ((at - now) / HALF) for at in times)
        assert told.count - told.error <= exact * (1 + 1e-9) + 1e-12
        assert told.count >= exact * (1 - 1e-9) - 1e-12


@given(ASKED, st.integers(1, 12))
@settings(max_examples=150, deadline=None)
def test_a_count_s_error_bounds_what_was_really_asked(asked: Asked, counters: int) -> None:
    check_bounds(asked, counters)


def test_a_sketch_without_floors_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    evict = FrequencySketch._evict

    def forgets(self: FrequencySketch, part: TenantCounters) -> None:
        evict(self, part)
        part.floor = 0.0

    monkeypatch.setattr(FrequencySketch, "_evict", forgets)
    with pytest.raises(AssertionError):
        check_bounds([(1, number, 0) for number in (1, 1, 2, 2, 3, 3, 1)], 1)


def test_counts_halve_with_each_half_life_however_long_nothing_came() -> None:
    sketch = FrequencySketch(4, HALF)
    sketch.add(0, key(1), "a", 64)
    assert sketch.count(3 * HALF, key(1), "a").count == pytest.approx(8)
    assert sketch.total(3 * HALF) == pytest.approx(8)
    sketch.add(200 * HALF, key(2), "a")  # beyond what a landmark bears: weights are scaled
    assert sketch.count(200 * HALF, key(2), "a").count == pytest.approx(1)
    assert sketch.total(200 * HALF) == pytest.approx(1)
    assert [one.key for one in sketch.top(200 * HALF, 1)] == [key(2)]
    assert sketch.close_span() == [(key(1), "a", 64), (key(2), "a", 1)]
    assert [count for _, __, count in sketch.close_span()] == [0, 0]


def test_a_tenant_s_flood_pushes_out_its_own_and_nobody_else_s() -> None:
    sketch = FrequencySketch(64, 10**9, 0.5)
    for number in range(20):
        sketch.add(0, key(number), "calm")
    for number in range(10_000):
        sketch.add(number, key(1000 + number), "loud")
    assert [one.key for one in sketch.top(0, 50, "calm")] == [key(number) for number in range(20)]
    assert len(sketch) == 52 and sketch.total(0, "calm") == pytest.approx(20, rel=1e-4)
    sketch.forget(key(3))
    assert key(3) not in sketch and len(sketch.top(0, 50, "calm")) == 19


# --- what heads tell each other


def item(at: int, count: float) -> DemandItem:
    return DemandItem(key(at), b"", count)


Told = tuple[int, int, int, bytes]  # owner, start, count, page


@st.composite
def deliveries(draw: st.DrawFn) -> list[Told]:
    found: list[Told] = []
    for owner in range(draw(st.integers(1, 3))):
        version = 0
        for start, span in itertools.product(range(draw(st.integers(1, 2))), range(draw(st.integers(1, 3)))):
            sizes = draw(st.integers(0, 2 * ITEMS_PER_PAGE))
            for page in encode_pages(
                span, 500.0, [item(at * (span + 1) % 97 + 100 * at, 1.0 + at) for at in range(sizes)]
            ):
                version += 1
                found.append((owner, start, version, page))
    return found


def heard(told: list[Told]) -> dict[str, dict[bytes, float]]:
    hearsay = PeerDemand(HALF)
    for owner, start, version, page in told:
        hearsay.apply_page(0, f"h{owner}", ZONE, (start, version), page)
    return hearsay.sums_by_zone()


def check_merge(told: list[Told], lots: random.Random) -> None:
    """However often and in whatever order words come, the same is heard."""
    again = told + lots.choices(told, k=len(told))
    lots.shuffle(again)
    assert heard(again) == heard(told)


@given(deliveries(), st.randoms(use_true_random=False))
@settings(max_examples=80, deadline=None)
def test_a_page_counts_once_in_any_order_and_however_often_it_is_received(
    told: list[Told], lots: random.Random
) -> None:
    check_merge(told, lots)


def test_a_merge_that_adds_a_duplicate_page_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    class Adding(PeerDemand):
        def apply_page(self, now_us: int, owner: str, zone: str, version: tuple[int, int], data: bytes) -> bool:
            return super().apply_page(now_us, f"{owner}{len(self.owners)}", zone, version, data)

    monkeypatch.setattr(f"{__name__}.PeerDemand", Adding)
    with pytest.raises(AssertionError):
        check_merge([(0, 0, 1, encode_pages(0, 9.0, [item(1, 4.0)])[0])], random.Random(1))


def test_pages_of_two_spans_are_never_mixed() -> None:
    hearsay = PeerDemand(HALF)
    early = encode_pages(1, 900.0, [item(at, 2.0) for at in range(ITEMS_PER_PAGE + 5)])
    late = encode_pages(2, 900.0, [item(at, 3.0) for at in range(ITEMS_PER_PAGE + 4, -1, -1)])
    assert len(early) == len(late) == 2 and all(len(page) <= MAX_PAGE_BYTES for page in early + late)
    for number, page in enumerate(early):
        assert hearsay.apply_page(0, "a", ZONE, (1, number), page)
    assert hearsay.apply_page(0, "a", ZONE, (1, 2), late[0])  # its other page is on its way
    assert set(hearsay.sums_by_zone()[ZONE].values()) == {3.0} and len(hearsay.sums_by_zone()[ZONE]) == ITEMS_PER_PAGE
    assert not hearsay.apply_page(0, "a", ZONE, (1, 1), early[1])
    hearsay.expire(HALF + 1)
    assert hearsay.sums_by_zone() == {}  # nobody says it any more


@given(st.binary(max_size=1000))
def test_what_is_malformed_is_counted_and_changes_nothing(data: bytes) -> None:
    hearsay = PeerDemand(HALF)
    if decode_page(data) is None:
        assert not hearsay.apply_page(0, "a", ZONE, (1, 1), data)
        assert hearsay.malformed == 1 and not hearsay.owners


def test_a_page_that_says_what_cannot_be_is_dropped() -> None:
    good = encode_pages(1, 9.0, [item(1, 4.0)])[0]
    assert decode_page(good) is not None and decode_page(good[:-1]) is None and decode_page(b"\2" + good[1:]) is None
    for count in (math.nan, math.inf, -1.0, 1e13):
        assert decode_page(encode_pages(1, 9.0, [item(1, count)])[0]) is None
        assert decode_page(encode_pages(1, count, [item(1, 1.0)])[0]) is None
    assert decode_page(encode_pages(1, 9.0, [item(1, 4.0), item(1, 4.0)])[0]) is None


# --- liars


@given(
    st.lists(st.floats(1, 1e4), min_size=1, max_size=9), st.lists(st.floats(0, 1e12), max_size=8), st.floats(0, 1e12)
)
@settings(deadline=None)
def test_a_liar_adds_at_most_a_few_times_what_an_honest_head_served(
    honest: list[float], lies: list[float], claim: float
) -> None:
    lies = lies[: len(honest) - 1]
    hearsay = PeerDemand(HALF)
    for at, served in enumerate(honest[1:]):
        hearsay.apply_page(0, f"h{at}", ZONE, (1, 1), encode_pages(1, served, [item(at, served / 2)])[0])
    for at, served in enumerate(lies):
        hearsay.apply_page(0, f"l{at}", ZONE, (1, 1), encode_pages(1, served, [item(999, claim)])[0])
    counted = hearsay.sums_by_zone(honest[0]).get(ZONE, {}).get(key(999), 0.0)
    assert counted <= len(lies) * CLAIM_FACTOR * max(honest) * (1 + 1e-6) + 1e-6
    for at, served in enumerate(honest[1:]):
        if served <= CLAIM_FACTOR * min(honest):
            assert hearsay.claim_factors(honest[0])[f"h{at}"] == 1.0  # an honest head's word counts whole


def test_a_million_claimed_for_one_object_counts_as_what_others_served_and_a_cap_left_out_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def claimed() -> float:
        hearsay = PeerDemand(HALF)
        hearsay.apply_page(0, "liar", ZONE, (1, 1), encode_pages(1, 1e6, [item(1, 1e6)])[0])
        return hearsay.sums_by_zone(50.0)[ZONE][key(1)]

    assert claimed() == pytest.approx(CLAIM_FACTOR * 50.0)
    monkeypatch.setattr(peer_demand, "CLAIM_FACTOR", 1e9)
    assert claimed() == pytest.approx(1e6)


# --- names


def test_names_leave_hashed_and_sealed_and_only_the_secret_opens_them() -> None:
    keys, others = ObjectKeys(b"a secret of sixteen"), ObjectKeys(b"another one of sixteen")
    one = Locator("00000003b4d60021", "7f3a9c21e0b4d655", 2)
    told = encode_pages(1, 1.0, [DemandItem(keys.of(one), keys.seal(one), 1.0)])[0]
    for name in (bytes.fromhex(one.volume), bytes.fromhex(one.manifest), one.volume.encode(), one.manifest.encode()):
        assert name not in told
    assert keys.open(keys.of(one), keys.seal(one)) == one
    assert others.open(keys.of(one), keys.seal(one)) is None and others.of(one) != keys.of(one)
    spoilt = bytes([keys.seal(one)[0] ^ 1]) + keys.seal(one)[1:]
    assert keys.open(keys.of(one), spoilt) is None and keys.open(keys.of(one), b"") is None
    assert keys.seal(Locator("a-name-that-tells", one.manifest, 2)) == b""
    with pytest.raises(ValueError, match="16"):
        ObjectKeys(b"short")
