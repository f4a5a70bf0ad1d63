"""Recorded durations of a load run, and their percentiles."""

from __future__ import annotations

from array import array

import numpy as np

MIN_RECORDED_US = 1


class Durations:
    """Durations in microseconds, in the order in which they were recorded; eight bytes each."""

    def __init__(self) -> None:
        self._values_us = array("q")

    def record_s(self, duration_s: float) -> None:
        """Record a duration in seconds; what lasts less than a microsecond counts as one."""
        self._values_us.append(max(MIN_RECORDED_US, int(duration_s * 1e6)))

    def percentile_us(self, percent: float) -> int:
        """Return the smallest recorded duration that `percent` of them do not exceed; 0 where there are none."""
        if not self._values_us:
            return 0
        return int(np.percentile(np.frombuffer(self._values_us, dtype=np.int64), percent, method="inverted_cdf"))
