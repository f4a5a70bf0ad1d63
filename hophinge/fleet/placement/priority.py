"""The priority of a prompt in an instance's queue: 0 is the highest, equal priorities are in order of arrival.

Times are microseconds.
"""

from __future__ import annotations

from bisect import bisect_right

from hophinge.fleet.placement.policy import PrefillOrder, PlacementPolicy

LATE_PRIORITY = 8  # of requests that cannot meet their target: an instance admits all others first
DEFAULT_PRIORITY = 4  # of all other requests under PrefillOrder.ARRIVAL
SERVICE_TIME_CLASSES_US = (40_000.0, 100_000.0, 200_000.0, 400_000.0, 800_000.0)  # upper bounds of priorities 0, 1, ...


def priority_of(policy: PlacementPolicy, service_us: float, is_late: bool) -> int:
    """Return the priority of a prompt from its service time, and from whether it is too late for its target."""
    if is_late and policy.defers_late:
        return LATE_PRIORITY
    if policy.order is PrefillOrder.SHORTEST:
        return bisect_right(SERVICE_TIME_CLASSES_US, service_us)
    return DEFAULT_PRIORITY
