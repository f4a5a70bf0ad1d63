"""The backoff of a fleet at one discovery: many clients in virtual time, and one server that serves in order."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import msgspec
import pytest

from hophinge.net.discovery import parse_listing
from hophinge.net.discovery_pacer import DiscoveryPacer

CALL_S, PATIENCE_S = 0.135, 2.0  # the server's time for a call, also a rejected one, and the longest wait in its queue
UNTIL_S = 60.0


def simulate_calls(heads: int, pauses: Callable[[int], Callable[[], float]], seed: int) -> tuple[float, int]:
    """Let all heads call within 0.15 s; returns when the last was served (UNTIL_S: not all were) and all calls."""
    rng = random.Random(seed)
    due = [(rng.uniform(0.0, 0.15), head) for head in range(heads)]
    heapq.heapify(due)
    pause = {head: pauses(head) for head in range(heads)}
    busy, last, calls, served = 0.0, 0.0, 0, 0
    while due and due[0][0] < UNTIL_S:
        now, head = heapq.heappop(due)
        calls += 1
        refused = busy - now > PATIENCE_S
        busy = max(busy, now) + CALL_S
        if refused:
            heapq.heappush(due, (now + pause[head](), head))
        else:
            last, served = busy, served + 1
    return (last if served == heads else UNTIL_S), calls


def earlier_backoff(head: int) -> Callable[[], float]:
    """Return an earlier backoff of heads: 20 ms, doubled up to a second, for any size of the fleet."""
    rng, pause = random.Random(head), [0.02]

    def after() -> float:
        now = pause[0]
        pause[0] = min(1.0, 2 * now)
        return now * rng.uniform(0.5, 1.5)

    return after


@pytest.mark.parametrize("seed", range(3))
def test_many_heads_are_served_by_a_discovery_that_serves_few_calls_at_a_time(seed: int) -> None:
    pacers = {head: DiscoveryPacer(40, random.Random(100 * seed + head)) for head in range(40)}
    last, calls = simulate_calls(28, lambda head: pacers[head].record_rejection, seed)
    assert last < 15.0
    assert calls < 2.5 * 28
    assert simulate_calls(28, earlier_backoff, seed)[0] == UNTIL_S  # only the first few are ever served


def test_backoff_grows_with_the_fleet_and_is_reset_by_an_answer() -> None:
    few, many = (DiscoveryPacer(heads, random.Random(1)) for heads in (1, 200))
    assert few.record_rejection() < 0.2 < many.record_rejection()
    grown = [many.record_rejection() for _ in range(12)][-1]
    assert 40.0 <= grown <= 120.0  # more frequent calls of 200 heads would keep a busy discovery busy
    many.record_answer()
    assert many.record_rejection() <= 6.0
    assert max(many.record_failure() for _ in range(20)) <= 1.5  # a connection error costs discovery nothing


@pytest.mark.parametrize(("heads", "calls"), [(1, 50), (5, 50), (20, 50), (40, 50), (45, 50), (60, 5), (200, 5)])
def test_a_backoff_ends_before_changes_at_discovery_have_to_be_known(heads: int, calls: int) -> None:
    """With over about forty heads only for five rejections in a row: see the tests below."""
    for seed in range(20):
        pacer = DiscoveryPacer(heads, random.Random(seed))
        pauses = [pacer.record_rejection(99.0 if seed % 2 else 0.0) for _ in range(calls)]
        assert max(pauses) <= 5.5
        pacer.reset()  # another discovery: the rejections of the last one do not count
        assert pacer.record_rejection() <= 5.5
        pacer.record_failure()
        assert pacer.next_timeouts(True, True)[1] + 1.5 <= 5.5  # a call that times out, and the backoff after it
        assert pacer.next_timeouts(False, True)[1] + 1.5 <= 5.5


@pytest.mark.parametrize("heads", [5, 28, 40, 45])
def test_many_heads_are_served_also_with_a_bounded_backoff(heads: int) -> None:
    for seed in range(5):
        pacers = {head: DiscoveryPacer(heads, random.Random(100 * seed + head)) for head in range(heads)}
        last, calls = simulate_calls(heads, lambda head, pacers=pacers: pacers[head].record_rejection, seed)  # type: ignore[misc]
        assert last < 25.0 and calls < 4 * heads


def test_a_backoff_bounded_for_any_fleet_would_keep_a_slow_discovery_busy_with_rejections() -> None:
    def capped(head: int) -> Callable[[], float]:
        rng = random.Random(head)
        return lambda: rng.uniform(4.0, 5.5)

    assert simulate_calls(60, capped, 1)[0] == UNTIL_S
    pacers = {head: DiscoveryPacer(60, random.Random(head)) for head in range(60)}
    assert simulate_calls(60, lambda head: pacers[head].record_rejection, 1)[0] < UNTIL_S


def test_a_retry_delay_from_discovery_is_observed_within_bounds() -> None:
    pacer = DiscoveryPacer(1, random.Random(1))
    assert 3.0 <= pacer.record_rejection(3.0) <= 4.5
    assert pacer.record_rejection(1e9) <= 5.5
    assert DiscoveryPacer(1, random.Random(1), pushed=True).record_rejection(1e9) <= 0.15


GOOD = {"uid": "s-1", "endpoint": "10.1.0.1:8081", "state": "Ready"}


@pytest.mark.parametrize(
    "bad",
    [
        {"uid": "s-2", "endpoint": "10.1.0.2", "state": "Ready"},
        {"uid": "s-2", "endpoint": "h:99999", "state": "Ready"},
        {"uid": "", "endpoint": "10.1.0.2:1", "state": "Ready"},
        {"uid": 7},
        None,
        "text",
    ],
)
def test_only_a_malformed_entry_is_omitted(bad: object) -> None:
    listing, left_out = parse_listing(msgspec.json.encode({"rev": 4, "all": True, "targets": [bad, GOOD]}))
    assert [target.uid for target in listing.targets] == ["s-1"] and left_out == 1 and listing.rev == 4


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b'{"rev":4,"targets":[',
        b'{"rev":"x","targets":[]}',
        b'{"rev":4,"all":true,"targets":[]}',
        b'{"rev":4,"all":true,"targets":[{"uid":"s-2"}]}',
    ],
)
def test_a_malformed_list_or_an_empty_full_list_is_an_error(body: bytes) -> None:
    with pytest.raises(msgspec.MsgspecError):
        parse_listing(body)


def test_a_list_of_changes_may_be_empty() -> None:
    assert parse_listing(b'{"rev":4,"all":false,"targets":[]}')[0].targets == []
