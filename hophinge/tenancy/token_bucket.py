"""A token bucket whose level may be negative; such a debt is refilled before any units are available again."""

from __future__ import annotations

US_PER_S = 1e6


class TokenBucket:
    """Units that are refilled at a rate, up to a depth; a negative level is a debt."""

    __slots__ = ("depth", "level", "rate", "updated_us")

    def __init__(self, rate: float, depth: float, now_us: int) -> None:
        self.rate = rate  # units/s
        self.depth = depth
        self.level = depth
        self.updated_us = now_us

    def fill(self, now_us: int) -> float:
        """Refill up to `now_us` and return the level; a clock that steps back refills nothing."""
        self.level = min(self.depth, self.level + self.rate * max(0, now_us - self.updated_us) / US_PER_S)
        self.updated_us = now_us
        return self.level

    def set_rate(self, rate: float, depth: float, now_us: int) -> None:
        """Change rate and depth; units that were taken, and debts, are kept."""
        if rate != self.rate or depth != self.depth:
            self.fill(now_us)
            self.level = min(self.level + max(0.0, depth - self.depth) * (self.level >= self.depth), depth)
            self.rate = rate
            self.depth = depth

    def wait_us(self, units: float) -> int:
        """Return the microseconds until the bucket holds `units`; 0: now, -1: never."""
        if self.level >= units:
            return 0
        return int((units - self.level) / self.rate * US_PER_S) + 1 if self.rate > 0 and units <= self.depth else -1
