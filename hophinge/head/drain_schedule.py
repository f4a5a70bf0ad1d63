"""Which requests a draining head still accepts, by class: those that it can answer before SIGKILL."""

from __future__ import annotations

from collections.abc import Sequence

from hophinge.core import interface as api

# SIGKILL follows the signal after the longest deadline of a class, at most MAX_DEADLINE_US, plus KILL_MARGIN_US.
MAX_DEADLINE_US, KILL_MARGIN_US = 3_000_000, 700_000
ANSWER_MARGIN_US = 250_000  # between the last response and SIGKILL
TYPICAL_FRACTION = 0.5  # of its class's target latency: the time that a request usually takes


class DrainSchedule:
    """The deadlines of a shutdown, in microseconds of one clock, counted from the signal."""

    def __init__(self, classes: Sequence[api.RequestClass], signalled_us: int) -> None:
        longest_us = max(klass.deadline_us for klass in classes)
        self.answer_by_us = signalled_us + min(MAX_DEADLINE_US, longest_us) + KILL_MARGIN_US - ANSWER_MARGIN_US
        # A request that can hardly be answered in the time left is rejected at once.
        self.min_time_us = [
            int(TYPICAL_FRACTION * min(klass.target_latency_us or klass.deadline_us, klass.deadline_us))
            for klass in classes
        ]
        self.close_at_us = max(signalled_us, self.answer_by_us - min(self.min_time_us))

    def left_us(self, klass: int, time_left_us: int, now_us: int) -> int:
        """Return the microseconds that a request of a class may take; 0 if it must be rejected.

        A request whose own deadline is not later than the shutdown's keeps its time.
        """
        left = self.answer_by_us - now_us
        if time_left_us <= left:
            return time_left_us
        return left if left >= self.min_time_us[klass] else 0

    def rejects_all(self, now_us: int) -> bool:
        """Return whether no class is accepted any more, so that connections are closed."""
        return now_us >= self.close_at_us
