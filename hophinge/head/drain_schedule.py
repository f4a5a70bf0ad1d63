"""Which requests a draining head still accepts, by class: those it can answer before SIGKILL."""

from __future__ import annotations

from collections.abc import Sequence

from hophinge.core import interface as api

MAX_DEADLINE_US, KILL_MARGIN_US = (
    3_000_000,
    700_000,
)  # SIGKILL follows after the longest deadline, this one at most, and this
ANSWER_MARGIN_US = 250_000  # before SIGKILL the last answer is out
TYPICAL_FRACTION = 0.5  # of its aim is what a request of a class usually takes


class DrainSchedule:
    """The deadlines of a shutdown, in microseconds of one clock, counted from the signal."""

    def __init__(self, classes: Sequence[api.RequestClass], signalled_us: int) -> None:
        longest_us = max(klass.deadline_us for klass in classes)
        self.answer_by_us = signalled_us + min(MAX_DEADLINE_US, longest_us) + KILL_MARGIN_US - ANSWER_MARGIN_US
        # Who can hardly be answered any more is better told at once.
        self.min_time_us = [
            int(TYPICAL_FRACTION * min(klass.target_latency_us or klass.deadline_us, klass.deadline_us))
            for klass in classes
        ]
        self.close_at_us = max(signalled_us, self.answer_by_us - min(self.min_time_us))

    def left_us(self, klass: int, time_left_us: int, now_us: int) -> int:
        """Return the microseconds that a request of a class may take; 0 where it cannot be answered in time.

        One whose own client waits no longer than is left keeps its time: the end changes nothing for it.
        """
        left = self.answer_by_us - now_us
        if time_left_us <= left:
            return time_left_us
        return left if left >= self.min_time_us[klass] else 0

    def rejects_all(self, now_us: int) -> bool:
        """Return whether no class is accepted any more, so that connections are closed."""
        return now_us >= self.close_at_us
