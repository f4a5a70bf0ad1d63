"""The priority at an instance of a prompt that is to be read: 0 is read first, equals in the order of arrival.

Times are microseconds.
"""

from __future__ import annotations

from bisect import bisect_right

from hophinge.fleet.placement.policy import Order, Policy

LATE_PRIORITY = 8  # of requests that are late already: an instance admits all others before them
EVEN_PRIORITY = 4  # of all others where arrival alone decides
SHORT_US = (40_000.0, 100_000.0, 200_000.0, 400_000.0, 800_000.0)  # shorter work comes first


def priority_of(policy: Policy, spent_us: float, late: bool) -> int:
    """Tell the priority of a prompt by what it takes of the instance's time, and whether it is late already."""
    if late and policy.late_last:
        return LATE_PRIORITY
    if policy.order is Order.SHORTEST:
        return bisect_right(SHORT_US, spent_us)
    return EVEN_PRIORITY
