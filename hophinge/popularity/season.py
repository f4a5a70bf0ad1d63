"""The daily season of a site: how its total of requests rises and falls over the day."""

from __future__ import annotations

import math

BUCKETS_PER_DAY = 24  # each with the mean of its spans
MAX_GROWTH, MIN_GROWTH = 2.0, 0.3  # of a rate in one span: limits extrapolation from two unusual counts
MEMORY_DAYS = 0.5  # time constant of a bucket's mean
TRUST_DAYS = 2.0  # time constant of the trust in the season
INITIAL_TRUST = 0.05  # prior weight of a new season: a quarter of what a moderate one's day weighs


class DailySeason:
    """The daily season of a site's total of requests, which predicts the growth from one span to the next.

    A flash crowd looks like a season until the next day. So the season counts as far as its predictions were right: by
    the slope of actual over predicted growth, both logarithmic, limited to 0 to 1.
    """

    def __init__(self, spans_a_day: int) -> None:
        self.spans_a_day = max(BUCKETS_PER_DAY, spans_a_day)
        self.span = 0
        self.levels = [-1.0] * BUCKETS_PER_DAY
        self.open_totals: list[float] = []  # of the bucket in progress
        self.last_mean = -1.0  # of the previous bucket; below 0: unknown
        self.predicted_log_growth = 0.0  # from the previous bucket to this one
        self.covariance = self.variance = INITIAL_TRUST

    def bucket(self, spans_ahead: int = 0) -> int:
        """Return the bucket of a future span; 0: of the one that closes."""
        return (self.span + spans_ahead) % self.spans_a_day * BUCKETS_PER_DAY // self.spans_a_day

    def close_span(self, total: float) -> float:
        """Add the total of a span; returns the expected growth to the next span."""
        here, then = self.bucket(), self.bucket(1)
        self.span += 1
        self.open_totals.append(total)
        weight = min(1.0, MEMORY_DAYS * BUCKETS_PER_DAY / self.spans_a_day)
        known, growth = self.levels[here], 1.0
        if here != then:
            self._close_bucket()
            # Only from a complete day on: before that a rise proves nothing.
            if self.levels[then] >= 0.0 and known >= 0.0 and self.span > self.spans_a_day:
                growth = min(MAX_GROWTH, max(MIN_GROWTH, (self.levels[then] + 1.0) / (known + 1.0)))
            self.predicted_log_growth = math.log(growth)
        self.levels[here] = total if known < 0.0 else known + weight * (total - known)
        return math.pow(growth, min(1.0, max(0.0, self.covariance / self.variance)))

    def _close_bucket(self) -> None:
        """Close a bucket: compare the predicted growth with the actual one."""
        mean, self.open_totals = math.fsum(self.open_totals) / len(self.open_totals), []
        if self.predicted_log_growth and self.last_mean >= 0.0:
            kept = math.exp(-1.0 / (TRUST_DAYS * BUCKETS_PER_DAY))
            was = math.log((mean + 1.0) / (self.last_mean + 1.0))
            self.covariance = kept * self.covariance + self.predicted_log_growth * max(-1.0, min(1.0, was))
            self.variance = kept * self.variance + self.predicted_log_growth * self.predicted_log_growth
        self.last_mean = mean
