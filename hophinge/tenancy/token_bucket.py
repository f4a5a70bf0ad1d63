"""A token bucket whose level may be negative: what is owed is refilled before anything is given again."""

from __future__ import annotations

US_PER_S = 1e6


class TokenBucket:
    """Units that are refilled at a rate, up to a depth; a level below 0 is owed."""

    __slots__ = ("depth", "level", "rate", "updated_us")

    def __init__(self, rate: float, depth: float, now_us: int) -> None:
        self.rate = rate  # units a second
        self.depth = depth
        self.level = depth
        self.updated_us = now_us

    def fill(self, now_us: int) -> float:
        """Refill up to a time and return the level; a clock that went back refills nothing."""
        self.level = min(self.depth, self.level + self.rate * max(0, now_us - self.updated_us) / US_PER_S)
        self.updated_us = now_us
        return self.level

    def set_rate(self, rate: float, depth: float, now_us: int) -> None:
        """Change rate and depth: what was taken stays taken, and what is owed stays owed."""
        if rate != self.rate or depth != self.depth:
            self.fill(now_us)
            self.level = min(self.level + max(0.0, depth - self.depth) * (self.level >= self.depth), depth)
            self.rate = rate
            self.depth = depth

    def wait_us(self, units: float) -> int:
        """Return the microseconds until it holds so many units; 0: now, -1: never."""
        if self.level >= units:
            return 0
        return int((units - self.level) / self.rate * US_PER_S) + 1 if self.rate > 0 and units <= self.depth else -1
