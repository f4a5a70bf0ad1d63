"""The scorer `latency`: adds a backend's excess latency over the tolerated multiple of the median of all backends."""

from __future__ import annotations

import statistics
from collections.abc import Container, Mapping

from msgspec import Struct

from hophinge.core import interface as api
from hophinge.scoring.interface import INTERFACE, Kind, Scorer, Setting, View, Weight, scorer_impl
from hophinge.scoring.sketch import LatencySketch

MIN_ANSWERS = 3.0  # with fewer, a backend's quantile is just its slowest answer
TIMED_RESULTS = frozenset({api.Result.OK, api.Result.TIMEOUT})  # others may fail immediately, without doing the work


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.latency]`."""

    quantile: float = 0.9  # of a backend's answer times that is compared
    half_life_s: float = 10.0  # in which the weight of an answer halves
    tolerance: float = 1.5  # multiple of the median quantile that counts as normal

    def __post_init__(self) -> None:
        """Validate the ranges."""
        if not 0.0 < self.quantile < 1.0:
            raise ValueError("quantile must be between 0 and 1")
        if not 0.1 <= self.half_life_s <= 3600 or not 1.0 <= self.tolerance <= 100:
            raise ValueError("half_life_s must be from 0.1 to 3600, tolerance from 1 to 100")


class Latency(Scorer):
    """Weights are slowness: 1 - tolerance * median / own quantile, but at least 0.

    They are relative, so that near and distant heads can compare them.
    """

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.parameters = parameters
        self.setting = setting
        self.half_life_us = parameters.half_life_s * 1e6
        self.sketches: dict[str, LatencySketch] = {}
        self.quantiles: dict[str, float] = {}  # cached: only answers change them, decay applies to all alike
        self.median_us = 0.0  # the median of the backends' quantiles
        self.own_weights: dict[str, Weight] = {}
        self.added_times_us: dict[str, float] = {}  # in effect

    def added_us(self, view: View) -> list[float]:
        """Return the times computed by the last tick or merge."""
        get = self.added_times_us.get
        return [get(node, 0.0) for node in view.nodes]

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Record the time of an answer; one that timed out took at least as long."""
        if result in TIMED_RESULTS:
            sketch = self.sketches.get(node)
            if sketch is None:
                sketch = self.sketches[node] = LatencySketch(self.half_life_us, now_us)
            sketch.add(now_us, elapsed_us)
            self.quantiles.pop(node, None)

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Compare the backends' quantiles; a backend with too few answers is not compared."""
        for node in [node for node in self.sketches if node not in nodes]:
            del self.sketches[node]
            self.quantiles.pop(node, None)
        compared = {}
        for node, sketch in self.sketches.items():
            evidence = sketch.evidence(now_us)
            if evidence >= MIN_ANSWERS:
                quantile_us = self.quantiles.get(node)
                if quantile_us is None:
                    quantile_us = self.quantiles[node] = sketch.quantile_us(self.parameters.quantile)
                compared[node] = quantile_us, evidence
        self.median_us = statistics.median(quantile_us for quantile_us, _ in compared.values()) if compared else 0.0
        allowed = self.median_us * self.parameters.tolerance
        self.own_weights = {
            node: Weight(max(0.0, 1.0 - allowed / quantile_us), evidence)
            for node, (quantile_us, evidence) in compared.items()
        }
        self.merged(now_us, {node: weight.value for node, weight in self.own_weights.items()})

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Return the slowness of backends."""
        return self.own_weights

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Convert merged slowness back into microseconds, by the median of this head."""
        max_added_us, allowed = self.setting.most_us, self.median_us * self.parameters.tolerance
        self.added_times_us = {
            node: min(max_added_us, allowed * slowness / (1.0 - slowness)) if slowness < 1.0 else max_added_us
            for node, slowness in weights.items()
            if slowness > 0.0
        }


@scorer_impl
def hophinge_scorer() -> Kind:
    """Return this scorer."""
    return Kind("latency", INTERFACE, Parameters, Latency, "latency-1")
