"""Prediction intervals, calibrated on the site's own past errors by class of expected count and age of the object.

The model gives a mean and a variance. The distance of each bound from the mean, in standard deviations, is learned so
that nine counts in ten are between them: the bound moves outwards by a small step after each miss and inwards by a
smaller one after each hit. So the miss rate is the intended one whatever the model assumes (adaptive conformal
inference, Gibbs and Candes, 2021).
"""

from __future__ import annotations

import math

from msgspec import Struct

MISS_RATE = 0.1  # intended share of counts outside the interval: half on each side, all above if the low bound is 0
ADAPTATION_STEP = 0.02  # in standard deviations, times 1 - r for a miss and -r for a hit; r: intended miss rate
INITIAL_Z = 1.645  # standard deviations at the start: a normal distribution has 5 % beyond them on each side
MAX_Z = 4.0
MEAN_CLASSES = 6  # of predicted means: below 1/4, 1, 4, 16, 64, and 64 or more
MAX_YOUNG_AGE = 4  # in spans; younger objects have separate classes


class Prediction(Struct, frozen=True):
    """The predicted requests in the next span: the mean, and bounds that hold in nine cases out of ten."""

    mean: float
    low: float
    high: float


def prediction_class(mean: float, age: int) -> int:
    """Return the class of a prediction by its mean and the object's age in spans."""
    power = min(MEAN_CLASSES - 1, max(0, math.floor(math.log(max(mean, 1e-9), 4.0)) + 2))
    return power + (MEAN_CLASSES if age < MAX_YOUNG_AGE else 0)


class Calibration:
    """The distances of both bounds from the mean in standard deviations, by class; the number of classes is fixed."""

    def __init__(self) -> None:
        self.below = [INITIAL_Z] * (2 * MEAN_CLASSES)
        self.above = [INITIAL_Z] * (2 * MEAN_CLASSES)

    def record_outcome(self, class_index: int, low: float, high: float, count: float) -> None:
        """Record the actual count of a predicted span."""
        allowed = MISS_RATE if low <= 0.0 else MISS_RATE / 2
        self.above[class_index] = _step(self.above[class_index], count > high, allowed)
        if low > 0.0:  # no count can be below a bound of 0, so it is no evidence
            self.below[class_index] = _step(self.below[class_index], count < low, allowed)

    def interval(self, class_index: int, mean: float, variance: float) -> Prediction:
        """Return a skewed interval: the count plus 1/2 is assumed log-normal, matched by its moments."""
        shifted = mean + 0.5
        spread = math.sqrt(math.log1p(variance / (shifted * shifted)))
        centre = math.log(shifted) - spread * spread / 2.0
        low = math.exp(centre - self.below[class_index] * spread) - 0.5
        high = math.exp(centre + self.above[class_index] * spread) - 0.5
        return Prediction(mean, float(max(0, round(low))), float(max(0, round(high))))


def _step(deviations: float, missed: bool, allowed: float) -> float:
    return min(MAX_Z, max(0.0, deviations + ADAPTATION_STEP * ((1.0 if missed else 0.0) - allowed)))
