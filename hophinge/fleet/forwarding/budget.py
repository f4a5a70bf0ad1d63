"""The retry budget that all data planes share: each spends a part, and the parts never add up to more than the whole.

A service may get, in any window, `ratio` times the requests for it and `slack` arrivals beyond the first of each
request. The part by requests adds up by itself; the slack is split evenly over the most heads ever heard of. A head
that has just started doesn't know the others yet, and has no slack then; nor does it know what was spent on its machine
before, so for one window its part is what that life cannot have spent.
"""

from __future__ import annotations

from collections import deque

USED_PART = 0.8  # of the whole that is spent: windows of the judge lie otherwise than ours
STARTING_PART = 0.25  # of its part of the slack, for one window: with `USED_PART` of the life before it makes 1


class RetryBudget:
    """One data plane's part of one service's budget."""

    def __init__(self, ratio: float, slack: float, window_s: float, started: float) -> None:
        self.ratio, self.slack, self.window_s = ratio, slack, window_s
        self.whole_from = started + window_s  # seconds of the clock by which the head counts
        self.requests: deque[float] = deque()
        self.extras: deque[float] = deque()

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.extras):
            while times and times[0] < now - self.window_s:
                times.popleft()

    def requested(self, now: float) -> None:
        """Count a client's request."""
        self.requests.append(now)

    def allows(self, now: float, heads: int) -> bool:
        """Tell whether one more arrival is within this head's part. `heads` is 0 while their number is not known."""
        self._forget(now)
        slack = self.slack / heads if heads else 0.0
        if now < self.whole_from:
            slack *= STARTING_PART
        part = self.ratio * len(self.requests) + slack
        return len(self.extras) + 1 <= USED_PART * part

    def spend(self, now: float) -> None:
        """Count an arrival beyond the first of its request."""
        self.extras.append(now)
