"""Traffic splits follow their weights in every window of requests, at one head and over many heads."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.split import TrafficSplit

ROUTE = Route("r", "h", "/", "safe", 4.0, 0.5, 0.0, 1, 1, False, ("a", "b", "c"), (0.1, 0.4, 1.0))
SHARES = {"a": 0.1, "b": 0.3, "c": 0.6}


@pytest.mark.parametrize(("heads", "max_deviation"), [(1, 0.015), (11, 0.06), (95, 0.1)])
def test_every_window_of_200_requests_is_split_by_the_weights(heads: int, max_deviation: float) -> None:
    random = Random(5)
    splits = [TrafficSplit(Random(number)) for number in range(heads)]
    chosen = [random.choice(splits).choose_service(ROUTE) for _ in range(3_000)]
    for begin in range(0, len(chosen) - 200, 20):
        counts = Counter(chosen[begin : begin + 200])
        for service, share in SHARES.items():
            assert abs(counts[service] / 200 - share) <= max_deviation


def test_each_route_is_split_separately_and_dropped_with_its_configuration() -> None:
    split = TrafficSplit(Random(1))
    other = replace(ROUTE, name="other")
    counts = Counter(split.choose_service(route) for _ in range(100) for route in (ROUTE, other))
    assert abs(counts["c"] - 120) <= 3
    split.retain_routes({"other"})
    assert set(split.positions) == {"other"}


def test_a_route_with_one_service_draws_nothing() -> None:
    split = TrafficSplit(Random(1))
    assert split.choose_service(replace(ROUTE, services=("a",), cumulative_weights=(1.0,))) == "a"
    assert not split.positions
