"""Simulations of two deployments in virtual time, to compare policies of placement on the same seeds.

Engines and kinds of requests follow the operators' page; how often subjects recur is an assumption.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from statistics import fmean

from hophinge.fleet.emulation.traffic import Burst, RequestKind, TrafficProfile
from hophinge.fleet.emulation.virtual_engine import EngineProfile
from hophinge.fleet.emulation.virtual_fleet import RequestOutcome, VirtualFleet

SECONDS = 34.0
WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet and its traffic."""

    name: str
    engine: EngineProfile
    kinds: tuple[RequestKind, ...]
    prefill: int
    decode: int
    heads: int
    zones: int


SCREENING = Deployment(
    "screening",
    EngineProfile(64, 441_937, 0.00463, 37_900, 2_048, 18_432 * 8 / 370e9, 3.9),
    (
        RequestKind("narrative", 13_300, 3_720, 15, 4.3, 0.8, 6.0, 2.0, 0.6, 50),
        RequestKind("summary", 6_300, 2_890, 7, 2.8, 0.6, 4.0, 3.0, 0.9, 50),
        RequestKind("match", 350, 1_110, 22, 4.6, 0.4, 8.0, 1.0, 0.3, 50),
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
        RequestKind("ruling", 13_300, 3_720, 24, 5.6, 0.8, 8.0, 2.0, 0.6, 50),
        RequestKind("check", 6_300, 2_890, 10, 2.6, 0.6, 5.0, 3.0, 0.9, 50),
        RequestKind("ask", 350, 1_110, 34, 5.4, 0.5, 10.0, 1.0, 0.3, 50),
    ),
    3,
    2,
    10,
    4,
)


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """The results of one simulation.

    Attributes:
        day: the fraction of the offered worth that was earned.
        worst_kind: the same for the kind of request with the lowest one.
        worst_windows: the mean of the same over the two worst windows.
        late: the fraction of requests that were late.
        prefill_engines: their number at the end.

    """

    day: float
    worst_kind: float
    worst_windows: float
    late: float
    prefill_engines: int


def _earned_fraction(outcomes: list[RequestOutcome]) -> float:
    offered_worth = sum(outcome.arrival.kind.worth for outcome in outcomes)
    return sum(outcome.earned_worth() for outcome in outcomes) / offered_worth if offered_worth else 1.0


def simulate(
    deployment: Deployment, seed: int, load: float, burst: float = 1.0, crash: bool = False
) -> SimulationResult:
    """Simulate a deployment once.

    Args:
        deployment: the fleet and its traffic.
        seed: of the random numbers; a simulation is reproducible.
        load: a factor of the usual rates.
        burst: a factor of the rate of the first kind, between 9 and 18 s.
        crash: whether an engine crashes at 14 s.

    """
    kinds = tuple(replace(kind, rate_per_s=kind.rate_per_s * load) for kind in deployment.kinds)
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
    outcomes = fleet.run(SECONDS)
    windows = [
        [outcome for outcome in outcomes if int(outcome.arrival.at / WINDOW_S) == number]
        for number in range(int(SECONDS / WINDOW_S))
    ]
    worst = sorted(_earned_fraction(window) for window in windows if window)[:2]
    by_kind = [_earned_fraction([outcome for outcome in outcomes if outcome.arrival.kind is kind]) for kind in kinds]
    late_count = sum(
        outcome.first_s is not None and outcome.first_s > outcome.arrival.kind.target_s for outcome in outcomes
    )
    prefill_engines = sum(engine.stage == "prefill" for engine in fleet.engines.values())
    return SimulationResult(
        _earned_fraction(outcomes), min(by_kind), sum(worst) / len(worst), late_count / len(outcomes), prefill_engines
    )


def format_means(results: list[SimulationResult]) -> str:
    """Return a line with the means of some results."""
    return (
        f"day {fmean(row.day for row in results):.3f}  worst kind {fmean(row.worst_kind for row in results):.3f}"
        f"  worst windows {fmean(row.worst_windows for row in results):.3f}"
        f"  late {fmean(row.late for row in results):.3f}  reading {fmean(row.prefill_engines for row in results):.1f}"
    )
