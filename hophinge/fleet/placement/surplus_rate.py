"""How often an instance sends responses once more, and whether it is avoided for that."""

from __future__ import annotations

WINDOW_S = 10.0
MIN_SURPLUS = 5  # in a window, before an instance is avoided
MAX_SURPLUS_FRACTION = 0.15  # of the attempts in a window
AVOIDANCE_S = 1.2  # for which it gets requests only where there is no other instance


class SurplusRate:
    """The attempts at one instance in the current window, and the surplus responses that they met."""

    def __init__(self) -> None:
        self.window_end = float("-inf")
        self.attempts = 0
        self.surplus = 0
        self.avoided_until = float("-inf")

    def record_attempt(self, now: float, surplus: int) -> None:
        """Record an attempt that has ended, and the surplus responses before its own."""
        if now >= self.window_end:
            self.window_end = now + WINDOW_S
            self.attempts = self.surplus = 0
        self.attempts += 1
        self.surplus += surplus
        if surplus and self.surplus >= max(MIN_SURPLUS, MAX_SURPLUS_FRACTION * self.attempts):
            self.avoided_until = now + AVOIDANCE_S

    def is_avoided(self, now: float) -> bool:
        """Return whether requests go to other instances where there are any."""
        return now < self.avoided_until
