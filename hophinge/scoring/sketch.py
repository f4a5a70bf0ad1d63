"""A sketch of a backend's latency: a histogram of logarithmic buckets whose counts decay with time.

Quantiles are accurate to a tenth. Older answers count less by forward decay (Cormode et al., 2009): new answers are
added with an increasing weight, so that counts are only rescaled when the weights become too large.
"""

from __future__ import annotations

import math

BUCKET_RATIO = 1.2  # of a bucket's ends: its middle differs by at most a tenth from any answer in it
MIN_US = 100.0  # shorter answers share one bucket
BUCKETS = 80  # up to 100 us * 1.2 ** 79, three minutes; no request takes that long
LOG_RATIO = math.log(BUCKET_RATIO)
MAX_POWER = 60.0  # half-lives after which counts are scaled down, far below overflow


class LatencySketch:
    """The latency of one backend's answers."""

    __slots__ = ("counts", "half_life_us", "start_us", "total")

    def __init__(self, half_life_us: float, now_us: int) -> None:
        self.half_life_us = half_life_us
        self.start_us = now_us
        self.counts = [0.0] * BUCKETS
        self.total = 0.0

    def add(self, now_us: int, latency_us: float) -> None:
        """Add one answer."""
        power = (now_us - self.start_us) / self.half_life_us
        if power > MAX_POWER:
            factor = 2.0 ** -min(power, 1000.0)
            self.counts = [count * factor for count in self.counts]
            self.total = math.fsum(self.counts)
            self.start_us = now_us
            power = 0.0
        bucket = int(math.log(latency_us / MIN_US) / LOG_RATIO) + 1 if latency_us > MIN_US else 0
        weight = 2.0**power
        self.counts[min(bucket, BUCKETS - 1)] += weight
        self.total += weight

    def evidence(self, now_us: int) -> float:
        """Return the number of answers in the sketch, older ones weighted less."""
        return self.total * math.pow(2.0, -min((now_us - self.start_us) / self.half_life_us, 1000.0))

    def quantile_us(self, quantile: float) -> float:
        """Return a quantile of the answers in microseconds; 0.0 without answers."""
        if self.total <= 0.0:
            return 0.0
        remaining = quantile * self.total
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0.0 and count:
                return MIN_US * BUCKET_RATIO ** (bucket - 0.5) if bucket else MIN_US
        return MIN_US * BUCKET_RATIO ** (BUCKETS - 1)
