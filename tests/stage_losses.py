"""Seeded losses of the instances of a service with stages, and the check that the ones that are left serve it.

Instances crash or announce their end, one after the other or together, until one or two are left; some are lost while
they switch. `python -m tests.stage_losses FIRST COUNT` plays seeds by hand.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from random import Random

from hophinge.fleet.emulation.simulations import RULINGS
from hophinge.fleet.emulation.traffic import TrafficProfile
from hophinge.fleet.emulation.virtual_fleet import LOSS_DETECTION_S, STAGE_CHECK_INTERVAL_S, VirtualFleet
from hophinge.fleet.placement.timing import DECODE
from hophinge.fleet.registry.instance import READY

LOAD = 0.1  # of the usual rates: what one instance can serve
HEADS = 2
ZONES = 2
LEAD_S = 2.0
LAST_LOSS_S = 14.0  # at the latest
RECOVERY_S = 12.0  # until a service serves again after a loss
MEASURED_S = 10.0  # after the recovery
SERVED_FRACTION = 0.25  # that a service with an instance serves at the least after its recovery
LEASE_S = 3.0  # that an order may have to wait beyond the duration of a switch
MAX_SWITCHES = 2  # one to the other stage may have begun before the last loss was known, and takes no order
PROCESSES = 3


@dataclass(frozen=True)
class Loss:
    """One instance that is lost."""

    identity: str
    at_s: float
    notice_s: float | None  # None for a crash

    @property
    def known_at_s(self) -> float:
        """When it is known that the instance is gone."""
        return self.at_s + (LOSS_DETECTION_S if self.notice_s is None else self.notice_s)


def draw_losses(random: Random, instances: int) -> list[Loss]:
    """Return the losses of all instances but one or two."""
    survivors = random.choice((1, 1, 2))
    identities = random.sample([f"i-{number}" for number in range(instances)], max(1, instances - survivors))
    first_s = LEAD_S + random.uniform(2.0, 6.0)
    gap_s = random.choice((0.0, 0.3, 2.5, random.uniform(0.0, 3.0)))
    times = [min(first_s + number * gap_s, LAST_LOSS_S) for number in range(len(identities))]
    return [
        Loss(identity, at_s, random.uniform(0.5, 3.0) if random.random() < 0.4 else None)
        for identity, at_s in zip(identities, times, strict=True)
    ]


def play_seed(seed: int) -> list[str]:
    """Play the losses of one seed; return what the instances that are left do not serve."""
    random = Random(seed)
    prefill, decode = random.randint(1, 4), random.randint(1, 3)
    losses = draw_losses(random, prefill + decode)
    kinds = tuple(replace(kind, rate_per_s=kind.rate_per_s * LOAD) for kind in RULINGS.kinds)
    fleet = VirtualFleet(TrafficProfile(kinds), RULINGS.engine, prefill, decode, HEADS, ZONES, seed)
    for loss in losses:
        if loss.notice_s is None:
            fleet.crash(loss.identity, loss.at_s)
        else:
            fleet.announce_end(loss.identity, loss.at_s, loss.notice_s)
    known_at_s = max(loss.known_at_s for loss in losses)
    faults: list[str] = []

    def check_stages() -> None:
        ready = sorted(member.stage for member in fleet.instances.values() if member.state == READY)
        if DECODE not in ready:
            faults.append(f"no instance generates: {ready}")

    refill_s = STAGE_CHECK_INTERVAL_S + LEASE_S + MAX_SWITCHES * RULINGS.engine.switch_s
    fleet.clock.at(known_at_s + refill_s, check_stages)
    measured_from_s = known_at_s + RECOVERY_S - LEAD_S
    outcomes = fleet.run(measured_from_s + MEASURED_S, LEAD_S)
    after = [outcome for outcome in outcomes if outcome.arrival.at >= measured_from_s]
    served = sum(outcome.first_s is not None and not outcome.has_failed for outcome in after)
    if served < SERVED_FRACTION * len(after):
        faults.append(f"{served} of {len(after)} served after the recovery")
    return [f"seed {seed}: {prefill} prefill, {decode} decode, {losses}: {fault}" for fault in faults]


def play_seeds(first: int, count: int, processes: int = PROCESSES) -> list[str]:
    """Play seeds, several at a time; return what was found."""
    with ProcessPoolExecutor(processes) as pool:
        return [fault for faults in pool.map(play_seed, range(first, first + count)) for fault in faults]


def main() -> int:
    """Play seeds by hand; the exit status is 1 if something was found."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    faults = play_seeds(first, count)
    print(*faults, sep="\n")
    print(f"{count} seeds from {first}, {len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
