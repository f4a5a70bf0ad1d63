"""The priority at an instance of a prompt that is to be read: 0 is read first, equals in the order of arrival.

Times are microseconds.
"""

from __future__ import annotations

from bisect import bisect_right

from hophinge.fleet.placement.policy import PrefillOrder, PlacementPolicy

LATE_PRIORITY = 8  # of requests that are late already: an instance admits all others before them
DEFAULT_PRIORITY = 4  # of all others where arrival alone decides
SERVICE_TIME_CLASSES_US = (40_000.0, 100_000.0, 200_000.0, 400_000.0, 800_000.0)  # shorter work comes first


def priority_of(policy: PlacementPolicy, service_us: float, is_late: bool) -> int:
    """Tell the priority of a prompt by what it takes of the instance's time, and whether it is late already."""
    if is_late and policy.defers_late:
        return LATE_PRIORITY
    if policy.order is PrefillOrder.SHORTEST:
        return bisect_right(SERVICE_TIME_CLASSES_US, service_us)
    return DEFAULT_PRIORITY
