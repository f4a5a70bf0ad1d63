"""A sketch of how long a brick's answers take: a histogram in steps of a fixed ratio whose counts decay with time.

Quantiles are right to within a tenth. Older answers count for less by forward decay (Cormode and others, 2009): new
ones are entered with a weight that grows, so that no count is touched until the weights grow too large.
"""

from __future__ import annotations

import math

RATIO = 1.2  # between a step's ends: its middle is at most a tenth from any answer in it
MIN_US = 100.0  # answers below are one step
STEPS = 80  # up to 100 us * 1.2 ** 79, three minutes; no request lives so long
LOG_RATIO = math.log(RATIO)
LARGEST_POWER = 60.0  # half-lives after which counts are brought down, far from where floats end


class Sketch:
    """One brick's answers."""

    __slots__ = ("counts", "half_life_us", "start_us", "total")

    def __init__(self, half_life_us: float, now_us: int) -> None:
        self.half_life_us, self.start_us = half_life_us, now_us
        self.counts = [0.0] * STEPS
        self.total = 0.0

    def add(self, now_us: int, took_us: float) -> None:
        """Count one answer."""
        power = (now_us - self.start_us) / self.half_life_us
        if power > LARGEST_POWER:
            factor = 2.0 ** -min(power, 1000.0)
            self.counts = [count * factor for count in self.counts]
            self.total = math.fsum(self.counts)
            self.start_us, power = now_us, 0.0
        step = int(math.log(took_us / MIN_US) / LOG_RATIO) + 1 if took_us > MIN_US else 0
        weight = 2.0**power
        self.counts[min(step, STEPS - 1)] += weight
        self.total += weight

    def evidence(self, now_us: int) -> float:
        """Tell how many answers it rests on, older ones counted for less."""
        return self.total * math.pow(2.0, -min((now_us - self.start_us) / self.half_life_us, 1000.0))

    def quantile_us(self, part: float) -> float:
        """Tell the time below which this part of the answers lies; 0.0 where there is none."""
        if self.total <= 0.0:
            return 0.0
        left = part * self.total
        for step, count in enumerate(self.counts):
            left -= count
            if left <= 0.0 and count:
                return MIN_US * RATIO ** (step - 0.5) if step else MIN_US
        return MIN_US * RATIO ** (STEPS - 1)
