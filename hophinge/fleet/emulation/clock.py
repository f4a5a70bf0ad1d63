"""Virtual time: a discrete-event scheduler."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Runs callbacks in the order of their times, which are seconds from the start."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, Callback]] = []

    def at(self, time_s: float, callback: Callback) -> None:
        """Schedule a callback at a time; one in the past means now."""
        heapq.heappush(self._scheduled, (max(time_s, self.now), next(self._order), callback))

    def after(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.at(self.now + delay_s, callback)

    def every(self, interval_s: float, callback: Callback) -> None:
        """Schedule a callback at a fixed interval, first after one interval."""

        def repeat() -> None:
            callback()
            self.after(interval_s, repeat)

        self.after(interval_s, repeat)

    def run(self, until: float) -> None:
        """Run all callbacks up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = until
