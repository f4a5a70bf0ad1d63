"""Volumes: what a plan gives one, its limit and its reserve here, and what it used lately."""

from __future__ import annotations

import math

from hophinge.core import interface as api

USED_SLACK_FRACTION = 0.5  # part of a limit's slack used; the rest covers what rounding and clocks may add
USE_DECAY_S = 1.0  # seconds over which a volume's use counts: worth is dealt out second by second


class TokenBucket:
    """A store of units that fills at a rate; it starts empty, as a predecessor may have spent it."""

    def __init__(self, rate: float, depth: float, level: float, now: int) -> None:
        self.rate = rate
        self.depth = depth
        self.level = level
        self.updated_at = now

    def fill(self, now: int, rate: float) -> float:
        """Bring the store up to now and tell its level."""
        self.level = min(self.depth, self.level + self.rate * (now - self.updated_at) / 1e6)
        self.rate = rate
        self.updated_at = now
        return self.level


class DecayingRate:
    """Units that fade with time; its value is about the rate of the last while."""

    def __init__(self) -> None:
        self.units = 0.0
        self.updated_at = 0

    def add(self, now: int, units: float) -> None:
        """Count units."""
        self.units = self.rate(now) + units / USE_DECAY_S
        self.updated_at = now

    def rate(self, now: int) -> float:
        """Units a second, lately."""
        return self.units * math.exp((self.updated_at - now) / 1e6 / USE_DECAY_S)


class VolumeState:
    """What this gateway knows of one volume: its plan's stores, its use here and everywhere."""

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
        """Split the limit by the most gateways heard of: whatever they send, the sum stays within it."""
        self.gateways = max(self.gateways, gateways)
        self.last_observed = now
        shares = self.gateways * processes
        self.limit.depth = (self.plan.limit_burst + USED_SLACK_FRACTION * self.plan.limit_slack) / shares
        self.limit.fill(now, self.plan.limit / shares)

    def within_limit(self, units: float, now: int) -> bool:
        """Return whether the limit's part of this gateway has these units."""
        return self.plan.limit <= 0 or self.limit.fill(now, self.limit.rate) >= units

    def reserve_left(self, now: int) -> float:
        """Reserve still due here: this gateway's part is its part of the volume's use, by the meter."""
        own = self.local_use.rate(now)
        share = max(own / max(own, self.reported_use, 1e-9), 1 / self.gateways)
        return self.reserve.fill(now, self.plan.reserve * share)
