"""The daily season of a site: how its total number of requests rises and falls over the day."""

from __future__ import annotations

import math

BUCKETS_PER_DAY = 24  # each keeps the mean total of its spans
MAX_GROWTH, MIN_GROWTH = 2.0, 0.3  # of a rate from one span to the next: limits extrapolation from two unusual counts
MEMORY_DAYS = 0.5  # time constant of the mean of a bucket
TRUST_DAYS = 2.0  # time constant of the trust in the season
INITIAL_TRUST = 0.05  # prior weight of the trust in a new season: a quarter of what a day of a moderate season adds


class DailySeason:
    """The daily season of a site's total requests, which predicts the growth from one span to the next.

    A flash crowd looks like a season until the next day. The logarithm of the predicted growth is therefore multiplied
    by a trust between 0 and 1: the slope of the actual over the predicted logarithmic growth so far.
    """

    def __init__(self, spans_a_day: int) -> None:
        self.spans_a_day = max(BUCKETS_PER_DAY, spans_a_day)
        self.span = 0
        self.levels = [-1.0] * BUCKETS_PER_DAY
        self.open_totals: list[float] = []  # totals of the spans in the current bucket
        self.last_mean = -1.0  # of the previous bucket; below 0: unknown
        self.predicted_log_growth = 0.0  # from the previous bucket to this one
        self.covariance = self.variance = INITIAL_TRUST

    def bucket(self, spans_ahead: int = 0) -> int:
        """Return the bucket of the span that is `spans_ahead` after the current one."""
        return (self.span + spans_ahead) % self.spans_a_day * BUCKETS_PER_DAY // self.spans_a_day

    def close_span(self, total: float) -> float:
        """Add the total of the current span; returns the factor by which the next total is expected to grow."""
        current, following = self.bucket(), self.bucket(1)
        self.span += 1
        self.open_totals.append(total)
        weight = min(1.0, MEMORY_DAYS * BUCKETS_PER_DAY / self.spans_a_day)
        level, growth = self.levels[current], 1.0
        if current != following:
            self._close_bucket()
            # Predicted only after a complete day: before that, a rise is no evidence of a season.
            if self.levels[following] >= 0.0 and level >= 0.0 and self.span > self.spans_a_day:
                growth = min(MAX_GROWTH, max(MIN_GROWTH, (self.levels[following] + 1.0) / (level + 1.0)))
            self.predicted_log_growth = math.log(growth)
        self.levels[current] = total if level < 0.0 else level + weight * (total - level)
        return math.pow(growth, min(1.0, max(0.0, self.covariance / self.variance)))

    def _close_bucket(self) -> None:
        """Close a bucket: compare the predicted growth with the actual one."""
        mean, self.open_totals = math.fsum(self.open_totals) / len(self.open_totals), []
        if self.predicted_log_growth and self.last_mean >= 0.0:
            decay = math.exp(-1.0 / (TRUST_DAYS * BUCKETS_PER_DAY))
            log_growth = math.log((mean + 1.0) / (self.last_mean + 1.0))
            self.covariance = decay * self.covariance + self.predicted_log_growth * max(-1.0, min(1.0, log_growth))
            self.variance = decay * self.variance + self.predicted_log_growth * self.predicted_log_growth
        self.last_mean = mean
