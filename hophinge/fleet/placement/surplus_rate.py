"""Tracks how often an instance sends surplus responses, and whether it is avoided because of them."""

from __future__ import annotations

WINDOW_S = 10.0
MIN_SURPLUS = 5  # in a window, before an instance is avoided
MAX_SURPLUS_FRACTION = 0.15  # of the attempts in a window
AVOIDANCE_S = 1.2  # for which the instance gets requests only if there is no other


class SurplusRate:
    """The attempts at one instance in the current window, and the surplus responses received during them."""

    def __init__(self) -> None:
        self.window_end = float("-inf")
        self.attempts = 0
        self.surplus = 0
        self.avoided_until = float("-inf")

    def record_attempt(self, now: float, surplus: int) -> None:
        """Record an attempt that has ended, and the number of surplus responses before its own response."""
        if now >= self.window_end:
            self.window_end = now + WINDOW_S
            self.attempts = self.surplus = 0
        self.attempts += 1
        self.surplus += surplus
        if surplus and self.surplus >= max(MIN_SURPLUS, MAX_SURPLUS_FRACTION * self.attempts):
            self.avoided_until = now + AVOIDANCE_S

    def is_avoided(self, now: float) -> bool:
        """Return whether requests prefer other instances."""
        return now < self.avoided_until
