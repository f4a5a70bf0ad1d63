"""The scorer `suspicion`: a brick that fails more than is usual gets time added, the more the surer it is.

Accrual by cumulative sums (Page, 1954): each end adds how much likelier it is from a failing brick than from a sound
one, never below nought. A single failure among many answers is soon forgotten, a part of failures that stays adds up.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping

from msgspec import Struct

from hophinge.core import interface as api
from hophinge.scoring.interface import INTERFACE, Kind, Scorer, Setting, View, Weight, scorer_impl

FAILED = frozenset({api.Result.ERROR, api.Result.RESET, api.Result.CONNECT_FAILED, api.Result.TIMEOUT})
FULL_AT = 3.0  # failures from nought that make the most of it
FORGOTTEN = 0.01  # evidence below which a brick is as unknown


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.suspicion]`."""

    usual: float = 0.01  # part of attempts that fail at a sound brick
    failing: float = 0.3  # part that fail at one that should be left alone
    half_life_s: float = 10.0  # in which suspicion fades by half while nothing is heard
    most_part: float = 1.0  # of the clamp that full suspicion adds

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0.0001 <= self.usual < self.failing <= 0.99:
            raise ValueError("usual must be from 0.0001, below failing, and failing at most 0.99")
        if not 0.1 <= self.half_life_s <= 3600 or not 0.0 < self.most_part <= 1.0:
            raise ValueError("half_life_s must be from 0.1 to 3600, most_part above 0 and at most 1")


class Record:
    """One brick's own ends."""

    __slots__ = ("at_us", "evidence", "level")

    def __init__(self, now_us: int) -> None:
        self.at_us, self.level, self.evidence = now_us, 0.0, 0.0


class Suspicion(Scorer):
    """Weights are levels of suspicion; what peers say is used at once where own ends say little."""

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.half_life_us = parameters.half_life_s * 1e6
        self.step = math.log(parameters.failing / parameters.usual)
        self.relief = math.log((1 - parameters.usual) / (1 - parameters.failing))
        self.full = self.step * FULL_AT
        self.time_us = setting.most_us * parameters.most_part
        self.records: dict[str, Record] = {}
        self.levels: dict[str, float] = {}  # that are used now, from 0 to 1, neutral ones left out
        self.beyond: dict[str, float] = {}  # what peers' words add to own levels

    def added_us(self, view: View) -> list[float]:
        """Look levels up; they change with each end that is heard."""
        get, time_us = self.levels.get, self.time_us
        return [get(node, 0.0) * time_us for node in view.nodes]

    def heard(self, now_us: int, node: str, result: api.Result, elapsed_us: int) -> None:
        """Take an end; one that this head caused says nothing of the brick."""
        if result not in FAILED and result is not api.Result.OK:
            return
        record = self.records.get(node)
        if record is None:
            record = self.records[node] = Record(now_us)
        self._fade(record, now_us)
        record.evidence += 1.0
        before = record.level
        record.level = min(self.full, max(0.0, before + (self.step if result in FAILED else -self.relief)))
        if before or record.level:
            # What peers say beyond it stands until the next merge; the own word moves at once.
            self._use(node, min(1.0, record.level / self.full + self.beyond.get(node, 0.0)))

    def tick(self, now_us: int, nodes: Container[str]) -> None:
        """Let suspicion fade."""
        for node, record in list(self.records.items()):
            self._fade(record, now_us)
            if node not in nodes or record.evidence < FORGOTTEN:
                del self.records[node]
        self.merged(now_us, {node: record.level / self.full for node, record in self.records.items()})

    def weights(self, now_us: int) -> Mapping[str, Weight]:
        """Tell levels, with the ends that they rest on."""
        return {node: Weight(record.level / self.full, record.evidence) for node, record in self.records.items()}

    def merged(self, now_us: int, weights: Mapping[str, float]) -> None:
        """Take the levels as they are used."""
        self.levels = {node: level for node, level in weights.items() if level > 0.0}
        own = {node: record.level / self.full for node, record in self.records.items()}
        self.beyond = {node: more for node, level in weights.items() if (more := level - own.get(node, 0.0)) > 0.0}

    def _use(self, node: str, level: float) -> None:
        if level > 0.0:
            self.levels[node] = level
        else:
            self.levels.pop(node, None)

    def _fade(self, record: Record, now_us: int) -> None:
        factor = 2.0 ** -min((now_us - record.at_us) / self.half_life_us, 1000.0)
        record.level *= factor
        record.evidence *= factor
        record.at_us = now_us


@scorer_impl
def hophinge_scorer() -> Kind:
    """Tell this scorer."""
    return Kind("suspicion", INTERFACE, Parameters, Suspicion, "suspicion-1")
