"""Instances that announce their end one after the other, in virtual time: what the fleet serves meanwhile.

`python -m benchmarks.stage_notices --count 40` prints a line for each seed and the means. Five instances under a high
prefill load; two of them announce their end 2 to 3 s ahead, at drawn moments.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from statistics import fmean
from typing import Annotated, Any

import cappa

from hophinge.fleet.emulation.simulations import RULINGS, Deployment
from hophinge.fleet.emulation.traffic import TrafficProfile
from hophinge.fleet.emulation.virtual_fleet import RequestOutcome, VirtualFleet

LONG: cappa.Arg[Any] = cappa.Arg(long=True)
SECONDS = 30.0
LEAD_S = 2.0  # before the first request
FIRST_NOTICE_S = (12.0, 16.0)  # from the start
NOTICE_GAP_S = (2.0, 5.5)  # until the second notice
NOTICE_S = (2.0, 3.0)  # from a notice until the instance leaves
OUTAGE_WINDOW_S = 8.0  # from the second notice, over which the worst of it is measured


@dataclass(frozen=True, slots=True)
class NoticeResult:
    """The fractions of the offered worth that were earned."""

    day: float
    after_notices: float  # of what arrived in the OUTAGE_WINDOW_S after the second notice
    rejections: int  # in all


def _earned(outcomes: list[RequestOutcome]) -> float:
    offered = sum(outcome.arrival.kind.worth for outcome in outcomes)
    return sum(outcome.earned_worth() for outcome in outcomes) / offered if offered else 1.0


def play(seed: int, load: float, deployment: Deployment = RULINGS, same_stage: str | None = None) -> NoticeResult:
    """Play a fleet in which two instances leave.

    Args:
        seed: Of the arrivals, the instances that leave, and the moments.
        load: A factor of the usual rates.
        deployment: The fleet and its traffic.
        same_stage: The stage that both instances are of; None draws them from all.

    """
    random = Random(seed)
    kinds = tuple(replace(kind, rate_per_s=kind.rate_per_s * load) for kind in deployment.kinds)
    fleet = VirtualFleet(
        TrafficProfile(kinds, ()),
        deployment.engine,
        deployment.prefill,
        deployment.decode,
        deployment.heads,
        deployment.zones,
        seed,
    )
    candidates = [name for name, engine in fleet.engines.items() if same_stage in (None, engine.stage)]
    leaving = random.sample(sorted(candidates), 2)
    first_s = random.uniform(*FIRST_NOTICE_S)
    second_s = first_s + random.uniform(*NOTICE_GAP_S)
    for identity, notice_at in zip(leaving, (first_s, second_s), strict=True):
        fleet.announce_end(identity, LEAD_S + notice_at, random.uniform(*NOTICE_S))
    outcomes = fleet.run(SECONDS, LEAD_S)
    after = [one for one in outcomes if second_s <= one.arrival.at <= second_s + OUTAGE_WINDOW_S]
    return NoticeResult(_earned(outcomes), _earned(after), sum(outcome.rejections for outcome in outcomes))


@dataclass
class Options:
    """Which seeds to play."""

    first: Annotated[int, LONG] = 1
    count: Annotated[int, LONG] = 20
    load: Annotated[float, LONG] = 1.3
    stage: Annotated[str, LONG] = ""  # that both are of; empty draws them


def main() -> None:
    """Print a line for each seed, and the means."""
    options = cappa.parse(Options)
    results: list[NoticeResult] = []
    for seed in range(options.first, options.first + options.count):
        result = play(seed, options.load, same_stage=options.stage or None)
        results.append(result)
        print(f"{seed:4} day {result.day:.3f} after {result.after_notices:.3f} rejections {result.rejections}")
    worst = min(results, key=lambda result: result.after_notices)
    print(
        f"mean day {fmean(one.day for one in results):.3f} after {fmean(one.after_notices for one in results):.3f} "
        f"worst after {worst.after_notices:.3f} rejections {fmean(one.rejections for one in results):.1f}"
    )


if __name__ == "__main__":
    main()
