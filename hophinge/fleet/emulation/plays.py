"""Plays of two deployments in virtual time, from which ways of placement are compared on the same seeds.

Engines and kinds of requests are as the operators' page tells of them; how often subjects recur is an assumption.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean

from hophinge.fleet.emulation.traffic import Burst, Kind, TrafficProfile
from hophinge.fleet.emulation.virtual_engine import EngineProfile
from hophinge.fleet.emulation.virtual_fleet import Outcome, VirtualFleet

SECONDS = 34.0
WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet and its traffic."""

    name: str
    engine: EngineProfile
    kinds: tuple[Kind, ...]
    prefill: int
    decode: int
    heads: int
    zones: int


SCREENING = Deployment(
    "screening",
    EngineProfile(64, 441_937, 0.00463, 37_900, 2_048, 18_432 * 8 / 370e9, 3.9),
    (
        Kind("narrative", 13_300, 3_720, 15, 4.3, 0.8, 6.0, 2.0, 0.6, 50),
        Kind("summary", 6_300, 2_890, 7, 2.8, 0.6, 4.0, 3.0, 0.9, 50),
        Kind("match", 350, 1_110, 22, 4.6, 0.4, 8.0, 1.0, 0.3, 50),
    ),
    4,
    5,
    11,
    3,
)
RULINGS = Deployment(
    "rulings",
    EngineProfile(64, 481_377, 0.00655, 62_400, 2_048, 35_136 * 8 / 740e9, 3.9),
    (
        Kind("ruling", 13_300, 3_720, 24, 5.6, 0.8, 8.0, 2.0, 0.6, 50),
        Kind("check", 6_300, 2_890, 10, 2.6, 0.6, 5.0, 3.0, 0.9, 50),
        Kind("ask", 350, 1_110, 34, 5.4, 0.5, 10.0, 1.0, 0.3, 50),
    ),
    3,
    2,
    10,
    4,
)


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one play."""

    day: float
    worst_kind: float
    worst_windows: float
    late: float
    reading: int


def _part(outcomes: list[Outcome]) -> float:
    owed = sum(outcome.arrival.kind.worth for outcome in outcomes)
    return sum(outcome.worth() for outcome in outcomes) / owed if owed else 1.0


def play(deployment: Deployment, seed: int, load: float, burst: float = 1.0, crash: bool = False) -> Row:
    """Play a deployment once; `load` times its usual rate, with a burst of its first kind and a crash in the middle."""
    kinds = tuple(
        Kind(
            one.name,
            one.shared_tokens,
            one.own_tokens,
            one.tokens_out,
            one.per_s * load,
            one.aim_s,
            one.deadline_s,
            one.worth,
            one.late_worth,
            one.subjects,
        )
        for one in deployment.kinds
    )
    bursts = (Burst(kinds[0].name, 9.0, 18.0, burst),)
    fleet = VirtualFleet(
        TrafficProfile(kinds, bursts),
        deployment.engine,
        deployment.prefill,
        deployment.decode,
        deployment.heads,
        deployment.zones,
        seed,
    )
    if crash:
        fleet.crash(f"i-{seed % (deployment.prefill + deployment.decode)}", 14.0)
    outcomes = fleet.play(SECONDS)
    windows = [
        [one for one in outcomes if int(one.arrival.at / WINDOW_S) == number]
        for number in range(int(SECONDS / WINDOW_S))
    ]
    worst = sorted(_part(window) for window in windows if window)[:2]
    by_kind = [_part([one for one in outcomes if one.arrival.kind is kind]) for kind in kinds]
    late = sum(one.first_s is not None and one.first_s > one.arrival.kind.aim_s for one in outcomes)
    reading = sum(engine.stage == "prefill" for engine in fleet.engines.values())
    return Row(_part(outcomes), min(by_kind), sum(worst) / len(worst), late / len(outcomes), reading)


def mean(rows: list[Row]) -> str:
    """Tell the means of some plays."""
    return (
        f"day {fmean(row.day for row in rows):.3f}  worst kind {fmean(row.worst_kind for row in rows):.3f}"
        f"  worst windows {fmean(row.worst_windows for row in rows):.3f}"
        f"  late {fmean(row.late for row in rows):.3f}  reading {fmean(row.reading for row in rows):.1f}"
    )
