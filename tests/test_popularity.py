"""The frequency sketch, the demand pages that heads exchange, and the encryption of object identifiers."""

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

Requests = list[tuple[int, int, int]]  # microseconds since the last request, key, tenant
REQUESTS = st.lists(st.tuples(st.integers(0, 3 * HALF), st.integers(0, 30), st.integers(0, 2)), max_size=120)


def check_bounds(requests: Requests, counters: int) -> None:
    """The true decayed count of each key lies between its reported count less the error, and its reported count."""
    sketch, now = FrequencySketch(counters, HALF, 0.5), 0
    request_times: dict[tuple[int, int], list[int]] = {}
    for elapsed, number, tenant in requests:
        now += elapsed
        sketch.add(now, key(number * 3 + tenant), str(tenant))
        request_times.setdefault((number, tenant), []).append(now)
    assert len(sketch) <= counters
    for (number, tenant), times in request_times.items():
        reported = sketch.count(now, key(number * 3 + tenant), str(tenant))
        exact = math.fsum(2.0 ** ((at - now) / HALF) for at in times)
        assert reported.count - reported.error <= exact * (1 + 1e-9) + 1e-12
        assert reported.count >= exact * (1 - 1e-9) - 1e-12


@given(REQUESTS, st.integers(1, 12))
@settings(max_examples=150, deadline=None)
def test_the_error_of_a_count_bounds_the_true_count(requests: Requests, counters: int) -> None:
    check_bounds(requests, counters)


def test_a_sketch_without_floors_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    evict = FrequencySketch._evict

    def evict_without_floor(self: FrequencySketch, tenant_counters: TenantCounters) -> None:
        evict(self, tenant_counters)
        tenant_counters.floor = 0.0

    monkeypatch.setattr(FrequencySketch, "_evict", evict_without_floor)
    with pytest.raises(AssertionError):
        check_bounds([(1, number, 0) for number in (1, 1, 2, 2, 3, 3, 1)], 1)


def test_counts_halve_with_each_half_life_even_after_long_idle_times() -> None:
    sketch = FrequencySketch(4, HALF)
    sketch.add(0, key(1), "a", 64)
    assert sketch.count(3 * HALF, key(1), "a").count == pytest.approx(8)
    assert sketch.total(3 * HALF) == pytest.approx(8)
    sketch.add(200 * HALF, key(2), "a")  # so long after the landmark that weights are scaled down
    assert sketch.count(200 * HALF, key(2), "a").count == pytest.approx(1)
    assert sketch.total(200 * HALF) == pytest.approx(1)
    assert [counted.key for counted in sketch.top(200 * HALF, 1)] == [key(2)]
    assert sketch.close_span() == [(key(1), "a", 64), (key(2), "a", 1)]
    assert [count for _, __, count in sketch.close_span()] == [0, 0]


def test_a_flood_of_one_tenant_evicts_only_its_own_counters() -> None:
    sketch = FrequencySketch(64, 10**9, 0.5)
    for number in range(20):
        sketch.add(0, key(number), "calm")
    for number in range(10_000):
        sketch.add(number, key(1000 + number), "loud")
    assert [counted.key for counted in sketch.top(0, 50, "calm")] == [key(number) for number in range(20)]
    assert len(sketch) == 52 and sketch.total(0, "calm") == pytest.approx(20, rel=1e-4)
    sketch.forget(key(3))
    assert key(3) not in sketch and len(sketch.top(0, 50, "calm")) == 19


# --- pages of peers


def item(at: int, count: float) -> DemandItem:
    return DemandItem(key(at), b"", count)


Delivery = tuple[int, int, int, bytes]  # owner, start of its process, version of the entry, page


@st.composite
def deliveries(draw: st.DrawFn) -> list[Delivery]:
    sent: list[Delivery] = []
    for owner in range(draw(st.integers(1, 3))):
        version = 0
        for start, span in itertools.product(range(draw(st.integers(1, 2))), range(draw(st.integers(1, 3)))):
            sizes = draw(st.integers(0, 2 * ITEMS_PER_PAGE))
            for page in encode_pages(
                span, 500.0, [item(at * (span + 1) % 97 + 100 * at, 1.0 + at) for at in range(sizes)]
            ):
                version += 1
                sent.append((owner, start, version, page))
    return sent


def received_sums(sent: list[Delivery]) -> dict[str, dict[bytes, float]]:
    demand = PeerDemand(HALF)
    for owner, start, version, page in sent:
        demand.apply_page(0, f"h{owner}", ZONE, (start, version), page)
    return demand.sums_by_zone()


def check_merge(sent: list[Delivery], rng: random.Random) -> None:
    """The sums do not depend on the order of pages, nor on how often each is received."""
    repeated = sent + rng.choices(sent, k=len(sent))
    rng.shuffle(repeated)
    assert received_sums(repeated) == received_sums(sent)


@given(deliveries(), st.randoms(use_true_random=False))
@settings(max_examples=80, deadline=None)
def test_a_page_counts_once_in_any_order_and_however_often_it_is_received(
    sent: list[Delivery], rng: random.Random
) -> None:
    check_merge(sent, rng)


def test_a_merge_that_adds_a_duplicate_page_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    class Adding(PeerDemand):
        def apply_page(self, now_us: int, owner: str, zone: str, version: tuple[int, int], data: bytes) -> bool:
            return super().apply_page(now_us, f"{owner}{len(self.owners)}", zone, version, data)

    monkeypatch.setattr(f"{__name__}.PeerDemand", Adding)
    with pytest.raises(AssertionError):
        check_merge([(0, 0, 1, encode_pages(0, 9.0, [item(1, 4.0)])[0])], random.Random(1))


def test_pages_of_two_spans_are_never_mixed() -> None:
    demand = PeerDemand(HALF)
    early = encode_pages(1, 900.0, [item(at, 2.0) for at in range(ITEMS_PER_PAGE + 5)])
    late = encode_pages(2, 900.0, [item(at, 3.0) for at in range(ITEMS_PER_PAGE + 4, -1, -1)])
    assert len(early) == len(late) == 2 and all(len(page) <= MAX_PAGE_BYTES for page in early + late)
    for number, page in enumerate(early):
        assert demand.apply_page(0, "a", ZONE, (1, number), page)
    assert demand.apply_page(0, "a", ZONE, (1, 2), late[0])  # the other page has not arrived yet
    assert set(demand.sums_by_zone()[ZONE].values()) == {3.0} and len(demand.sums_by_zone()[ZONE]) == ITEMS_PER_PAGE
    assert not demand.apply_page(0, "a", ZONE, (1, 1), early[1])
    demand.expire(HALF + 1)
    assert demand.sums_by_zone() == {}  # the owner has sent nothing for longer than the retention


@given(st.binary(max_size=1000))
def test_malformed_pages_are_counted_and_change_nothing(data: bytes) -> None:
    demand = PeerDemand(HALF)
    if decode_page(data) is None:
        assert not demand.apply_page(0, "a", ZONE, (1, 1), data)
        assert demand.malformed == 1 and not demand.owners


def test_a_page_with_impossible_values_is_rejected() -> None:
    good = encode_pages(1, 9.0, [item(1, 4.0)])[0]
    assert decode_page(good) is not None and decode_page(good[:-1]) is None and decode_page(b"\2" + good[1:]) is None
    for count in (math.nan, math.inf, -1.0, 1e13):
        assert decode_page(encode_pages(1, 9.0, [item(1, count)])[0]) is None
        assert decode_page(encode_pages(1, count, [item(1, 1.0)])[0]) is None
    assert decode_page(encode_pages(1, 9.0, [item(1, 4.0), item(1, 4.0)])[0]) is None


# --- Byzantine heads


@given(
    st.lists(st.floats(1, 1e4), min_size=1, max_size=9), st.lists(st.floats(0, 1e12), max_size=8), st.floats(0, 1e12)
)
@settings(deadline=None)
def test_a_byzantine_head_adds_at_most_a_few_times_what_an_honest_head_served(
    honest: list[float], false_counts: list[float], claim: float
) -> None:
    false_counts = false_counts[: len(honest) - 1]
    demand = PeerDemand(HALF)
    for at, served in enumerate(honest[1:]):
        demand.apply_page(0, f"h{at}", ZONE, (1, 1), encode_pages(1, served, [item(at, served / 2)])[0])
    for at, served in enumerate(false_counts):
        demand.apply_page(0, f"l{at}", ZONE, (1, 1), encode_pages(1, served, [item(999, claim)])[0])
    counted = demand.sums_by_zone(honest[0]).get(ZONE, {}).get(key(999), 0.0)
    assert counted <= len(false_counts) * CLAIM_FACTOR * max(honest) * (1 + 1e-6) + 1e-6
    for at, served in enumerate(honest[1:]):
        if served <= CLAIM_FACTOR * min(honest):
            assert demand.claim_factors(honest[0])[f"h{at}"] == 1.0  # an honest head's claims count in full


def test_an_excessive_claim_is_limited_by_what_others_served_and_a_missing_limit_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def claimed() -> float:
        demand = PeerDemand(HALF)
        demand.apply_page(0, "liar", ZONE, (1, 1), encode_pages(1, 1e6, [item(1, 1e6)])[0])
        return demand.sums_by_zone(50.0)[ZONE][key(1)]

    assert claimed() == pytest.approx(CLAIM_FACTOR * 50.0)
    monkeypatch.setattr(peer_demand, "CLAIM_FACTOR", 1e9)
    assert claimed() == pytest.approx(1e6)


# --- identifiers


def test_object_identifiers_are_hashed_and_encrypted_under_the_secret() -> None:
    keys, other_keys = ObjectKeys(b"a secret of sixteen"), ObjectKeys(b"another one of sixteen")
    locator = Locator("00000003b4d60021", "7f3a9c21e0b4d655", 2)
    page = encode_pages(1, 1.0, [DemandItem(keys.of(locator), keys.seal(locator), 1.0)])[0]
    for name in (
        bytes.fromhex(locator.volume),
        bytes.fromhex(locator.manifest),
        locator.volume.encode(),
        locator.manifest.encode(),
    ):
        assert name not in page
    assert keys.open(keys.of(locator), keys.seal(locator)) == locator
    assert other_keys.open(keys.of(locator), keys.seal(locator)) is None and other_keys.of(locator) != keys.of(locator)
    tampered = bytes([keys.seal(locator)[0] ^ 1]) + keys.seal(locator)[1:]
    assert keys.open(keys.of(locator), tampered) is None and keys.open(keys.of(locator), b"") is None
    assert keys.seal(Locator("a-name-that-tells", locator.manifest, 2)) == b""
    with pytest.raises(ValueError, match="16"):
        ObjectKeys(b"short")
