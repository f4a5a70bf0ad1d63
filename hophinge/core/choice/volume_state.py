"""The state of a volume at this gateway: its shares of the plan's limit and reserve, and its recent use."""

from __future__ import annotations

import math

from hophinge.core import interface as api

USED_SLACK_FRACTION = 0.5  # fraction of a limit's slack that is used; the rest covers rounding and clock differences
USE_DECAY_S = 1.0  # time constant of a volume's use: value is accounted per second


class TokenBucket:
    """A token bucket of units, filled at a rate per second.

    The bucket of a limit starts empty, as the previous process may have used up its tokens.
    """

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now

    def fill(self, now: int, rate: float) -> float:
        """Fill the bucket up to now and return its level; `rate` applies from now on."""
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_at) / 1e6)
        self.rate = rate
        self.updated_at = now
        return self.level


class DecayingRate:
    """An exponentially decaying sum of units, which approximates their recent rate."""

    def __init__(self) -> None:
        self.units = 0.0
        self.updated_at = 0

    def add(self, now: int, units: float) -> None:
        """Add units."""
        self.units = self.rate(now) + units / USE_DECAY_S
        self.updated_at = now

    def rate(self, now: int) -> float:
        """Return the recent rate in units per second."""
        return self.units * math.exp((self.updated_at - now) / 1e6 / USE_DECAY_S)


class VolumeState:
    """One volume: the token buckets of its plan, and its use at this gateway and overall."""

    def __init__(self, settings: api.Settings, plan_number: int, now: int) -> None:
        self.plan_number = plan_number
        self.plan = settings.plans[plan_number]
        self.gateways = 1
        self.last_observed = now
        self.reserve = TokenBucket(0.0, self.plan.reserve + settings.max_units, settings.max_units, now)
        self.limit = TokenBucket(0.0, 0.0, 0.0, now)
        self.reported_use = 0.0
        self.local_use = DecayingRate()
        self.excess_use: dict[str, DecayingRate] = {}

    def share_limit(self, gateways: int, now: int, processes: int) -> None:
        """Divide the limit by the largest number of gateways reported, so that their sum stays within it."""
        self.gateways = max(self.gateways, gateways)
        self.last_observed = now
        shares = self.gateways * processes
        self.limit.depth = (self.plan.limit_burst + USED_SLACK_FRACTION * self.plan.limit_slack) / shares
        self.limit.fill(now, self.plan.limit / shares)

    def within_limit(self, units: float, now: int) -> bool:
        """Return whether this gateway's share of the limit has enough units."""
        return self.plan.limit <= 0 or self.limit.fill(now, self.limit.rate) >= units

    def reserve_left(self, now: int) -> float:
        """Return the units of the reserve left here.

        This gateway's share of it is its share of the volume's metered use, but at least an equal share.
        """
        own = self.local_use.rate(now)
        share = max(own / max(own, self.reported_use, 1e-9), 1 / self.gateways)
        return self.reserve.fill(now, self.plan.reserve * share)
