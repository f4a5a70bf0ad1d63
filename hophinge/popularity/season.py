"""A site's daily wave: how its requests as a whole rise and fall over the hours of a day."""

from __future__ import annotations

import math

PHASES = 24  # buckets of a day
MAX_GROWTH, MIN_GROWTH = 2.0, 0.3  # of a rate in one span: a fit to two odd counts must not run away
SEASON_DAYS = 0.5  # a bucket's weight of yesterday when it is met again
TRUST_DAYS = 2.0  # that experience with the wave reaches back
FIRST_TRUST = 0.05  # of experience that a new wave is believed for: a quarter of what a gentle one's day weighs


class Season:
    """A site's daily wave, from all its requests: by how much the next span's should differ.

    A crowd of yesterday looks like a wave until today shows otherwise. So the wave counts as far as what it foretold
    came true: the slope of growth as it was over growth as foretold, both logarithmic, from 0 to 1.
    """

    def __init__(self, spans_a_day: int) -> None:
        self.spans_a_day = max(PHASES, spans_a_day)
        self.span = 0
        self.levels = [-1.0] * PHASES
        self.open: list[float] = []  # totals of the bucket that is open
        self.last = -1.0  # the mean of the bucket before it; below 0: not known
        self.told = 0.0  # the logarithm of the growth that was foretold from that bucket to this
        self.agreed = self.power = FIRST_TRUST

    def bucket(self, ahead: int = 0) -> int:
        """Tell the bucket of the day of a span to come; 0: of the one that closes."""
        return (self.span + ahead) % self.spans_a_day * PHASES // self.spans_a_day

    def close(self, total: float) -> float:
        """Take a span's total; tell the growth to expect from it to the next."""
        here, then = self.bucket(), self.bucket(1)
        self.span += 1
        self.open.append(total)
        part = min(1.0, SEASON_DAYS * PHASES / self.spans_a_day)
        known, growth = self.levels[here], 1.0
        if here != then:
            self._judge()
            # Only what a whole day showed counts: before that a rise may be anything.
            if self.levels[then] >= 0.0 and known >= 0.0 and self.span > self.spans_a_day:
                growth = min(MAX_GROWTH, max(MIN_GROWTH, (self.levels[then] + 1.0) / (known + 1.0)))
            self.told = math.log(growth)
        self.levels[here] = total if known < 0.0 else known + part * (total - known)
        return math.pow(growth, min(1.0, max(0.0, self.agreed / self.power)))

    def _judge(self) -> None:
        """Close a bucket: its mean against the one before it, as foretold and as it was."""
        mean, self.open = math.fsum(self.open) / len(self.open), []
        if self.told and self.last >= 0.0:
            kept = math.exp(-1.0 / (TRUST_DAYS * PHASES))
            was = math.log((mean + 1.0) / (self.last + 1.0))
            self.agreed = kept * self.agreed + self.told * max(-1.0, min(1.0, was))
            self.power = kept * self.power + self.told * self.told
        self.last = mean
