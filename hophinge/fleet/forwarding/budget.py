"""The retry budget that all data planes share: each spends its share, and the shares never exceed the total.

A service may get, in any window, `ratio` times the requests for it and `slack` attempts beyond the first of each
request. The shares by requests add up by themselves; the slack is split evenly over the largest number of heads ever
known. A head that has just started does not know the others yet, and has no slack until it does. Nor does it
know what the previous process on its machine spent, so for one window its share is what that process cannot have spent.
"""

from __future__ import annotations

from collections import deque

USABLE_FRACTION = 0.8  # of the share that may be spent: the operators measure over windows that begin at other times
# Of the share of the slack, for one window: the previous process may have spent USABLE_FRACTION, together about 1.
STARTUP_FRACTION = 0.25


class RetryBudget:
    """One data plane's share of one service's budget. Times are seconds of one clock."""

    def __init__(self, ratio: float, slack: float, window_s: float, started: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.full_share_from = started + window_s
        self.requests: deque[float] = deque()
        self.extra_attempts: deque[float] = deque()

    def _drop_expired(self, now: float) -> None:
        for times in (self.requests, self.extra_attempts):
            while times and times[0] < now - self.window_s:
                times.popleft()

    def record_request(self, now: float) -> None:
        """Record a client's request."""
        self._drop_expired(now)
        self.requests.append(now)

    def allows_extra_attempt(self, now: float, heads: int) -> bool:
        """Return whether one more attempt is within this head's share; `heads` is 0 while their number is unknown."""
        self._drop_expired(now)
        slack = self.slack / heads if heads else 0.0
        if now < self.full_share_from:
            slack *= STARTUP_FRACTION
        share = self.ratio * len(self.requests) + slack
        return len(self.extra_attempts) + 1 <= USABLE_FRACTION * share

    def record_extra_attempt(self, now: float) -> None:
        """Record an attempt beyond the first of its request."""
        self.extra_attempts.append(now)

    def refund_extra_attempt(self, recorded_at: float) -> None:
        """Remove the attempt that was recorded at `recorded_at`: it was not sent."""
        if recorded_at in self.extra_attempts:
            self.extra_attempts.remove(recorded_at)
