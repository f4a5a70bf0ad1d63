"""Prediction intervals, calibrated by a site's own past errors, by the expected count and the age of the object.

The model gives a mean and a variance; how many standard deviations hold nine counts in ten is tracked for each bound
separately: a small step outwards after each miss and a smaller one inwards after each hit, so that the miss rate is
the intended one whatever the model assumes (adaptive conformal inference, Gibbs and Candes, 2021).
"""

from __future__ import annotations

import math

from msgspec import Struct

MISS_RATE = 0.1  # of counts outside the interval: half on each side, all above it if the low bound is 0
ADAPTATION_STEP = 0.02  # in standard deviations, for a miss; a hit steps back in proportion
INITIAL_Z = 1.645  # standard deviations at the start: those of a normal error
MAX_Z = 4.0
MEAN_CLASSES = 6  # of predicted means: below 1/4, 1, 4, 16, 64, and above
MAX_YOUNG_AGE = 4  # in spans; younger objects have classes of their own


class Prediction(Struct, frozen=True):
    """The requests in the next span: the mean, and bounds that hold nine times in ten."""

    mean: float
    low: float
    high: float


def prediction_class(mean: float, age: int) -> int:
    """Return the class of a prediction by its mean and the object's age in spans."""
    power = min(MEAN_CLASSES - 1, max(0, math.floor(math.log(max(mean, 1e-9), 4.0)) + 2))
    return power + (MEAN_CLASSES if age < MAX_YOUNG_AGE else 0)


class Calibration:
    """Standard deviations below and above the mean by class: a constant size, however many objects."""

    def __init__(self) -> None:
        self.below = [INITIAL_Z] * (2 * MEAN_CLASSES)
        self.above = [INITIAL_Z] * (2 * MEAN_CLASSES)

    def record_outcome(self, class_index: int, low: float, high: float, count: float) -> None:
        """Record the actual count of a prediction."""
        allowed = MISS_RATE if low <= 0.0 else MISS_RATE / 2
        self.above[class_index] = _step(self.above[class_index], count > high, allowed)
        if low > 0.0:  # no count misses a bound of 0, which therefore says nothing
            self.below[class_index] = _step(self.below[class_index], count < low, allowed)

    def interval(self, class_index: int, mean: float, variance: float) -> Prediction:
        """Return a skewed interval: the logarithm of the count plus a half is assumed normal, by its moments."""
        shifted = mean + 0.5
        spread = math.sqrt(math.log1p(variance / (shifted * shifted)))
        centre = math.log(shifted) - spread * spread / 2.0
        low = math.exp(centre - self.below[class_index] * spread) - 0.5
        high = math.exp(centre + self.above[class_index] * spread) - 0.5
        return Prediction(mean, float(max(0, round(low))), float(max(0, round(high))))


def _step(spreads: float, missed: bool, allowed: float) -> float:
    return min(MAX_Z, max(0.0, spreads + ADAPTATION_STEP * ((1.0 if missed else 0.0) - allowed)))
