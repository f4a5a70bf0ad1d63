"""The scorer `outlook`: new objects avoid backends that are being drained, objects in demand avoid cold ones."""

from __future__ import annotations

from msgspec import Struct

from hophinge.scoring.interface import INTERFACE, Kind, Scorer, Setting, View, scorer_impl


class Parameters(Struct, forbid_unknown_fields=True):
    """`[scoring.parameters.outlook]`."""

    drain_part: float = 1.0  # of the clamp, for a backend that is being drained
    cold_part: float = 0.5  # of the clamp, for a completely cold backend and a key in full demand
    demand_s: float = 10.0  # requests per second that count as full demand

    def __post_init__(self) -> None:
        """Validate the ranges."""
        if not 0.0 <= self.drain_part <= 1.0 or not 0.0 <= self.cold_part <= 1.0 or not 0.0 < self.demand_s <= 1e9:
            raise ValueError("drain_part and cold_part must be from 0 to 1, demand_s above 0")


class Outlook(Scorer):
    """Uses the drains in force and the predicted demand; it learns nothing."""

    def __init__(self, parameters: Parameters, setting: Setting) -> None:
        self.drain_us = parameters.drain_part * setting.most_us
        self.cold_us = parameters.cold_part * setting.most_us
        self.demand_s = parameters.demand_s

    def added_us(self, view: View) -> list[float]:
        """Add time for a drain, and for a cold backend by demand."""
        drain_us = self.drain_us
        times = [drain_us if draining else 0.0 for draining in view.draining]
        demand_fraction = min(1.0, view.demand / self.demand_s)
        if demand_fraction > 0.0:
            cold_us = self.cold_us * demand_fraction
            times = [time + cold_us * (1.0 - warm) for time, warm in zip(times, view.warmth, strict=True)]
        return times


@scorer_impl
def hophinge_scorer() -> Kind:
    """Return this scorer."""
    return Kind("outlook", INTERFACE, Parameters, Outlook)
