"""How wide an interval is: a site's own past errors say it, by how much was expected and how young the object was.

The model gives a centre and a spread; how many spreads hold nine counts in ten is tracked at each bound by itself, a
small step outwards after each miss and a smaller one inwards after each hit, so that misses come as often as they are
meant to whatever the model believed (adaptive conformal inference, Gibbs and Candes, 2021).
"""

from __future__ import annotations

import math

from msgspec import Struct

MISSES = 0.1  # part of counts that may lie outside: half on each side, all above where the low bound is 0
STEP = 0.02  # of spreads, for a miss; a hit steps back in proportion
Z90 = 1.645  # spreads to begin with: those of a normal error
MAX_Z = 4.0
CLASSES = 6  # of means: below 1/4, 1, 4, 16, 64, and above
YOUNG = 4  # spans of age below which an object is judged among the young


class Prediction(Struct, frozen=True):
    """Requests in the next span: the mean, and bounds that hold nine times in ten."""

    mean: float
    low: float
    high: float


def place(mean: float, age: int) -> int:
    """Tell the class of a prediction; young and old have their own."""
    power = min(CLASSES - 1, max(0, math.floor(math.log(max(mean, 1e-9), 4.0)) + 2))
    return power + (CLASSES if age < YOUNG else 0)


class Calibration:
    """Spreads below and above by class: twenty-four numbers, however many objects."""

    def __init__(self) -> None:
        self.below, self.above = [Z90] * (2 * CLASSES), [Z90] * (2 * CLASSES)

    def take(self, at: int, low: float, high: float, count: float) -> None:
        """Take what became of a prediction of a class."""
        allowed = MISSES if low <= 0.0 else MISSES / 2
        self.above[at] = _step(self.above[at], count > high, allowed)
        if low > 0.0:  # at 0 none can miss: the bound is judged where it says something
            self.below[at] = _step(self.below[at], count < low, allowed)

    def interval(self, at: int, mean: float, variance: float) -> Prediction:
        """Tell a skewed interval: the logarithm of the count and a half is taken for normal, by its moments."""
        shifted = mean + 0.5
        spread = math.sqrt(math.log1p(variance / (shifted * shifted)))
        centre = math.log(shifted) - spread * spread / 2.0
        low = math.exp(centre - self.below[at] * spread) - 0.5
        high = math.exp(centre + self.above[at] * spread) - 0.5
        return Prediction(mean, float(max(0, round(low))), float(max(0, round(high))))


def _step(spreads: float, missed: bool, allowed: float) -> float:
    return min(MAX_Z, max(0.0, spreads + STEP * ((1.0 if missed else 0.0) - allowed)))
