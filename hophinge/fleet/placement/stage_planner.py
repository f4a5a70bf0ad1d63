"""Decides when a planned stage switch is ordered: how long it has to be desired first, and how soon it is repeated.

Without I/O; times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.stages import StageLoads, StageSwitch, SwitchReason, plan_switches
from hophinge.fleet.registry.instance import Instance

# How long a switch has to be desired before it is ordered: instances may join or leave in the meantime.
STABILIZATION_S = {SwitchReason.EMPTY: 0.0, SwitchReason.MINIMUM: 1.2, SwitchReason.LOAD: 1.2}
# Between two orders, so that the effect of the last one shows. For an empty stage it is shorter: the order may have
# been lost or refused.
RETRY_INTERVAL_S = {SwitchReason.EMPTY: 1.0, SwitchReason.MINIMUM: 2.5, SwitchReason.LOAD: 2.5}


class DesiredStage(NamedTuple):
    """A stage that needs more instances."""

    service: str
    stage: str


class StagePlanner:
    """Plans stage switches, and returns them when they are due."""

    def __init__(self, loads: StageLoads, policy: PlacementPolicy) -> None:
        self.loads = loads
        self.policy = policy
        self.desired: DesiredStage | None = None
        self.desired_since = 0.0
        self.last_ordered_at = float("-inf")

    def due_switches(self, now: float, instances: Iterable[Instance]) -> tuple[StageSwitch, ...]:
        """Return the switches that are to be ordered now."""
        switches = plan_switches(instances, self.loads, self.policy)
        if not switches:
            self.desired = None
            return ()
        first = switches[0]
        desired = DesiredStage(first.instance.service, first.stage)
        if desired != self.desired:
            self.desired = desired
            self.desired_since = now
        is_steady = now - self.desired_since >= STABILIZATION_S[first.reason]
        may_order = now - self.last_ordered_at >= RETRY_INTERVAL_S[first.reason]
        return switches if is_steady and may_order else ()

    def record_ordered(self, now: float) -> None:
        """Record that switches were ordered."""
        self.last_ordered_at = now
