"""The scorer `latency`: a brick whose answers take longer than most bricks' at a quantile gets the difference added."""

from __future__ import annotations

import statistics
from collections.abc import Container, Mapping

from msgspec import Struct

from hophinge.core import interface as api
from hophinge.scoring.interface import INTERFACE, Kind, Scorer, Setting, View, Weight, scorer_impl
from hophinge.scoring.sketch import Sketch

MIN_ANSWERS = 3.0  # below, a brick's quantile is its chance slowest answer
TOLD = frozenset({api.Result.OK, api.Result.TIMEOUT})  # those that fail at once say nothing of how long work takes


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.latency]`."""

    quantile: float = 0.9  # of a brick's answer times that is compared
    half_life_s: float = 10.0  # in which an answer comes to count for half
    tolerance: float = 1.5  # times the usual quantile that no brick is blamed for

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0.0 < self.quantile < 1.0:
            raise ValueError("quantile must be between 0 and 1")
        if not 0.1 <= self.half_life_s <= 3600 or not 1.0 <= self.tolerance <= 100:
            raise ValueError("half_life_s must be from 0.1 to 3600, tolerance from 1 to 100")


class Latency(Scorer):
    """Weights are slowness: 1 - usual / own quantile, so that heads that are near and far can compare theirs."""

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.parameters, self.setting = parameters, setting
        self.half_life_us = parameters.half_life_s * 1e6
        self.sketches: dict[str, Sketch] = {}
        self.quantiles: dict[str, float] = {}  # they change with answers alone: decay counts all down alike
        self.usual_us = 0.0  # the median of the bricks' quantiles
        self.own: dict[str, Weight] = {}
        self.times: dict[str, float] = {}  # that are added now

    def added_us(self, view: View) -> list[float]:
        """Look up what the last tick found."""
        get = self.times.get
        return [get(node, 0.0) for node in view.nodes]

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Take an answer's time; one that was given up took at least as long."""
        if result in TOLD:
            sketch = self.sketches.get(node)
            if sketch is None:
                sketch = self.sketches[node] = Sketch(self.half_life_us, now_us)
            sketch.add(now_us, elapsed_us)
            self.quantiles.pop(node, None)

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Compare the bricks' quantiles; a brick of too few answers is not compared."""
        for node in [node for node in self.sketches if node not in nodes]:
            del self.sketches[node]
            self.quantiles.pop(node, None)
        found = {}
        for node, sketch in self.sketches.items():
            evidence = sketch.evidence(now_us)
            if evidence >= MIN_ANSWERS:
                at = self.quantiles.get(node)
                if at is None:
                    at = self.quantiles[node] = sketch.quantile_us(self.parameters.quantile)
                found[node] = at, evidence
        self.usual_us = statistics.median(at for at, _ in found.values()) if found else 0.0
        allowed = self.usual_us * self.parameters.tolerance
        self.own = {node: Weight(max(0.0, 1.0 - allowed / at), evidence) for node, (at, evidence) in found.items()}
        self.merged(now_us, {node: weight.value for node, weight in self.own.items()})

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Tell the bricks' slowness."""
        return self.own

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Take slowness as it is used: back into microseconds by what is usual here."""
        most, allowed = self.setting.most_us, self.usual_us * self.parameters.tolerance
        self.times = {
            node: min(most, allowed * slow / (1.0 - slow)) if slow < 1.0 else most
            for node, slow in weights.items()
            if slow > 0.0
        }


@scorer_impl
def hophinge_scorer() -> Kind:
    """Tell this scorer."""
    return Kind("latency", INTERFACE, Parameters, Latency, "latency-1")
