"""The scorer `suspicion`: adds time to a backend that fails more than usual, in proportion to the certainty.

Accrual by cumulative sums (Page, 1954): each result adds the log likelihood ratio of a failing backend to a healthy
one, never below zero. A single failure among many answers is soon forgotten, a lasting rate of failures adds up.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping

from msgspec import Struct

from hophinge.core import interface as api
from hophinge.scoring.interface import INTERFACE, Kind, Scorer, Setting, View, Weight, scorer_impl

FAILED = frozenset({api.Result.ERROR, api.Result.RESET, api.Result.CONNECT_FAILED, api.Result.TIMEOUT})
FAILURES_TO_FULL = 3.0  # failures from zero that lead to full suspicion
MIN_EVIDENCE = 0.01  # with less, a backend counts as unknown


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.suspicion]`."""

    usual: float = 0.01  # failure rate of a healthy backend
    failing: float = 0.3  # failure rate of one that should be avoided
    half_life_s: float = 10.0  # in which suspicion halves without results
    most_part: float = 1.0  # of the clamp, for full suspicion

    def __post_init__(self) -> None:
        """Validate the ranges."""
        if not 0.0001 <= self.usual < self.failing <= 0.99:
            raise ValueError("usual must be from 0.0001, below failing, and failing at most 0.99")
        if not 0.1 <= self.half_life_s <= 3600 or not 0.0 < self.most_part <= 1.0:
            raise ValueError("half_life_s must be from 0.1 to 3600, most_part above 0 and at most 1")


class ResultRecord:
    """The results of own attempts at one backend."""

    __slots__ = ("updated_us", "evidence", "level")

    def __init__(self, now_us: int) -> None:
        self.updated_us = now_us
        self.level = 0.0
        self.evidence = 0.0


class Suspicion(Scorer):
    """Weights are levels of suspicion; without many own results, peers' reports take effect at once."""

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.half_life_us = parameters.half_life_s * 1e6
        self.step = math.log(parameters.failing / parameters.usual)
        self.relief = math.log((1 - parameters.usual) / (1 - parameters.failing))
        self.full_level = self.step * FAILURES_TO_FULL
        self.max_added_us = setting.most_us * parameters.most_part
        self.records: dict[str, ResultRecord] = {}
        self.levels: dict[str, float] = {}  # in effect, above 0 and up to 1; neutral ones are omitted
        self.peer_levels: dict[str, float] = {}  # increases of own levels by peers' reports

    def added_us(self, view: View) -> list[float]:
        """Return times by the levels in effect, which change with each result."""
        get, time_us = self.levels.get, self.max_added_us
        return [get(node, 0.0) * time_us for node in view.nodes]

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Record a served or failed attempt; rejections and cancellations are ignored."""
        if result not in FAILED and result is not api.Result.OK:
            return
        record = self.records.get(node)
        if record is None:
            record = self.records[node] = ResultRecord(now_us)
        self._decay(record, now_us)
        record.evidence += 1.0
        previous_level = record.level
        record.level = min(
            self.full_level, max(0.0, previous_level + (self.step if result in FAILED else -self.relief))
        )
        if previous_level or record.level:
            # The own level changes at once; the increase by peers stays until the next merge.
            self._set_level(node, min(1.0, record.level / self.full_level + self.peer_levels.get(node, 0.0)))

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Decay the levels."""
        for node, record in list(self.records.items()):
            self._decay(record, now_us)
            if node not in nodes or record.evidence < MIN_EVIDENCE:
                del self.records[node]
        self.merged(now_us, {node: record.level / self.full_level for node, record in self.records.items()})

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Return the own levels, with the number of results they are based on."""
        return {node: Weight(record.level / self.full_level, record.evidence) for node, record in self.records.items()}

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Put merged levels into effect."""
        self.levels = {node: level for node, level in weights.items() if level > 0.0}
        own = {node: record.level / self.full_level for node, record in self.records.items()}
        self.peer_levels = {
            node: increase for node, level in weights.items() if (increase := level - own.get(node, 0.0)) > 0.0
        }

    def _set_level(self, node: str, level: float) -> None:
        if level > 0.0:
            self.levels[node] = level
        else:
            self.levels.pop(node, None)

    def _decay(self, record: ResultRecord, now_us: int) -> None:
        factor = 2.0 ** -min((now_us - record.updated_us) / self.half_life_us, 1000.0)
        record.level *= factor
        record.evidence *= factor
        record.updated_us = now_us


@scorer_impl
def hophinge_scorer() -> Kind:
    """Return this scorer."""
    return Kind("suspicion", INTERFACE, Parameters, Suspicion, "suspicion-1")
