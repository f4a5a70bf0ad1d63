"""A site's daily wave: how its requests as a whole rise and fall over the hours of a day."""

from __future__ import annotations

import math

PHASES = 24             # buckets of a day
MOST_GROWTH, LEAST_GROWTH = 2.0, 0.3   # of a rate in one span: a fit to two odd counts must not run away
SEASON_DAYS = 0.5       # a bucket's weight of yesterday when it is met again
TRUST_DAYS = 2.0        # that experience with the wave reaches back
FIRST_TRUST = 0.05      # of experience that a new wave is believed for: a quarter of what a gentle one's day weighs


class Season:
    """A site's daily wave, from all its requests: by how much the next span's should differ.

    A crowd of yesterday looks like a wave until today shows otherwise. So the wave counts as far as what it foretold
    came true: the slope of growth as it was over growth as foretold, both logarithmic, from 0 to 1.
    """

    def __init__(self, spans_a_day: int) -> None:
        self.spans_a_day = max(PHASES, spans_a_day)
        self.span = 0
        self.levels = [-1.0] * PHASES
        self.last = self.told = 0.0         # the last span's total, and the logarithm of the growth foretold from it
        self.agreed = self.power = FIRST_TRUST

    def bucket(self, ahead: int = 0) -> int:
        """Tell the bucket of the day of a span to come; 0: of the one that closes."""
        return (self.span + ahead) % self.spans_a_day * PHASES // self.spans_a_day

    def close(self, total: float) -> float:
        """Take a span's total; tell the growth to expect from it to the next."""
        here, then = self.bucket(), self.bucket(1)
        self.span += 1
        if self.told:
            kept = math.exp(-1.0 / (TRUST_DAYS * self.spans_a_day))
            was = math.log((total + 1.0) / (self.last + 1.0))
            self.agreed = kept * self.agreed + self.told * max(-1.0, min(1.0, was))
            self.power = kept * self.power + self.told * self.told
        part = min(1.0, SEASON_DAYS * PHASES / self.spans_a_day)
        known = self.levels[here]
        ratio = 1.0
        # Only what a whole day showed counts: before that a rise may be anything.
        if here != then and self.levels[then] >= 0.0 and known >= 0.0 and self.span > self.spans_a_day:
            ratio = (self.levels[then] + 1.0) / (known + 1.0)
        self.last, self.told = total, math.log(min(MOST_GROWTH, max(LEAST_GROWTH, ratio)))
        self.levels[here] = total if known < 0.0 else known + part * (total - known)
        return math.exp(self.told * min(1.0, max(0.0, self.agreed / self.power)))
