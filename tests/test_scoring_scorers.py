"""The three built-in scorers, each tested with results and views only."""

from __future__ import annotations

import random
from collections.abc import Callable

import numpy
import pytest

from hophinge.core.interface import Result
from hophinge.scoring import latency, outlook, suspicion
from hophinge.scoring.interface import Surroundings, View
from hophinge.scoring.sketch import LatencySketch
from tests.scoring_fixtures import ASK, MAX_US, SETTING, observations

T0 = 50_000_000
S = 1_000_000
MS = 1_000
NAMES = [f"n{at}" for at in range(10)]


def view(now: int = T0, surroundings: Surroundings | None = None, started_us: int = 0) -> View:
    return View.of(now, ASK, observations(*NAMES, started_us=started_us), surroundings or Surroundings(10 * S))


def test_the_sketch_has_quantiles_exact_to_a_tenth() -> None:
    rng = random.Random(3)
    draws: list[Callable[[], float]] = [
        lambda: rng.expovariate(1 / 20_000),
        lambda: rng.lognormvariate(9, 1.5),
        lambda: 5_000 * rng.random(),
    ]
    for draw in draws:
        sketch, values = LatencySketch(1e9, T0), [draw() for _ in range(3_000)]
        for value in values:
            sketch.add(T0, value)
        for part in (0.5, 0.9, 0.99):
            exact = float(numpy.quantile(values, part, method="inverted_cdf"))
            assert abs(sketch.quantile_us(part) - exact) <= 0.1 * exact + 100
    assert LatencySketch(1e6, T0).quantile_us(0.9) == 0.0


def test_the_sketch_forgets_and_stays_finite_over_years() -> None:
    sketch = LatencySketch(S, T0)
    for _ in range(100):
        sketch.add(T0, 1e6)
    assert sketch.evidence(T0 + S) == 50.0
    for second in range(10):
        sketch.add(T0 + (10 + second) * S, 1_000)
    assert sketch.quantile_us(0.9) < 1_200
    later = T0 + 10**15
    sketch.add(later, 2_000)
    assert sketch.evidence(later) == 1.0 and abs(sketch.quantile_us(0.5) - 2_000) < 200


def test_latency_adds_the_excess_of_a_slow_backend_over_the_median() -> None:
    scorer = latency.Latency(latency.Parameters(), SETTING)
    for at, node in enumerate(NAMES):
        for _ in range(20):
            scorer.heard(T0, node, Result.OK, 60 * MS if at == 4 else 10 * MS + at)
    scorer.heard(T0, "seldom", Result.OK, 900 * MS)
    scorer.tick(T0, {*NAMES, "seldom"})
    times = scorer.added_us(view())
    assert [at for at, time in enumerate(times) if time] == [4]
    assert times[4] == pytest.approx(45 * MS, rel=0.2)  # 60 ms less 1.5 times 10 ms
    assert scorer.weights(T0)["n4"].value == pytest.approx(0.75, abs=0.05) and "seldom" not in scorer.weights(T0)
    scorer.tick(T0, set(NAMES) - {"n4"})
    assert "n4" not in scorer.sketches
    scorer.merged(T0, {"n1": 1.0})
    assert scorer.added_us(view())[1] == MAX_US


def test_latency_counts_timeouts_and_no_immediate_failures() -> None:
    scorer = latency.Latency(latency.Parameters(), SETTING)
    for node in NAMES:
        for _ in range(5):
            scorer.heard(T0, node, Result.OK, 10 * MS)
    for _ in range(5):
        scorer.heard(T0, "n0", Result.ERROR, 10)
        scorer.heard(T0, "n1", Result.TIMEOUT, 500 * MS)
        scorer.heard(T0, "n2", Result.CANCELLED, 500 * MS)
    scorer.tick(T0, set(NAMES))
    assert [at for at, time in enumerate(scorer.added_us(view())) if time] == [1]


def test_suspicion_grows_with_a_lasting_failure_rate_and_not_with_one_failure() -> None:
    scorer, rng = suspicion.Suspicion(suspicion.Parameters(), SETTING), random.Random(9)
    for turn in range(200):
        for node, part in (("n0", 0.5), ("n1", 0.003), ("n2", 0.0)):
            failed = rng.random() < part or (node == "n2" and turn == 100)
            scorer.heard(T0 + turn * 10 * MS, node, Result.ERROR if failed else Result.OK, MS)
    times = scorer.added_us(view())
    assert times[0] > 0.5 * MAX_US and times[1] < 0.1 * MAX_US and times[2] == 0.0
    scorer.heard(T0 + 2 * S, "n2", Result.CANCELLED, MS)
    scorer.heard(T0 + 2 * S, "n2", Result.MOOT, MS)
    assert scorer.added_us(view())[2] == 0.0


def test_suspicion_changes_with_each_result_and_decays_without_results() -> None:
    scorer = suspicion.Suspicion(suspicion.Parameters(half_life_s=10.0), SETTING)
    scorer.heard(T0, "n0", Result.RESET, MS)
    first = scorer.added_us(view())[0]
    assert first == pytest.approx(MAX_US / suspicion.FAILURES_TO_FULL)
    scorer.tick(T0 + 10 * S, set(NAMES))
    assert scorer.added_us(view())[0] == pytest.approx(first / 2)
    scorer.tick(T0 + 1000 * S, set(NAMES))
    assert scorer.added_us(view())[0] == 0.0 and not scorer.records


def test_outlook_avoids_drains_and_cold_backends_for_objects_in_demand() -> None:
    scorer = outlook.Outlook(outlook.Parameters(drain_part=0.8, cold_part=0.5, demand_s=10.0), SETTING)
    around = Surroundings(10 * S)
    assert scorer.added_us(view(surroundings=around)) == [0.0] * 10
    around.drains = frozenset({"n3"})
    assert scorer.added_us(view(surroundings=around)) == [0.0] * 3 + [0.8 * MAX_US] + [0.0] * 6
    around.drains, around.demand = frozenset(), lambda key: 5.0 if key == ASK.key else 0.0
    cold = scorer.added_us(view(surroundings=around, started_us=T0 - 2 * S))
    assert cold == [pytest.approx(0.5 * 0.5 * 0.8 * MAX_US)] * 10
    assert scorer.added_us(view(surroundings=around)) == [0.0] * 10  # all are warm


def test_a_view_has_the_observations_and_computes_each_property_once() -> None:
    seen = observations("a", "b")
    seen[0].reserve(("r", 0), 2.0, 1_000.0, T0)
    seen[1].failures, seen[1].recent_latency = 3, 7_000.0
    asked: list[str] = []
    around = Surroundings(0)

    def demand(key: str) -> float:
        asked.append(key)
        return 4.0

    around.demand = demand
    one = View.of(T0, ASK, seen, around)
    assert (one.nodes, one.zones, one.wait_us, one.lag_us, one.units_out, one.failures, one.warmth, one.draining) == (
        ("a", "b"),
        (0, 1),
        (2_000.0, 0.0),
        (0.0, 7_000.0),
        (2.0, 0.0),
        (0, 3),
        (1.0, 1.0),
        (False, False),
    )
    assert (one.demand, one.demand, one.key, one.units, len(one)) == (4.0, 4.0, "key", 1.0, 2) and asked == ["key"]
    assert one.wait_us is one.wait_us
    with pytest.raises(AttributeError):
        one.now_us = 0  # type: ignore[misc]    # it is frozen
