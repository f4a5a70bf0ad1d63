"""Virtual time: callbacks in the order of their moments, and nothing that waits."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Runs callbacks at their moments, in seconds from the start."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callback]] = []

    def at(self, moment: float, callback: Callback) -> None:
        """Have something done at a moment; one that is past means now."""
        heapq.heappush(self._due, (max(moment, self.now), next(self._order), callback))

    def after(self, delay: float, callback: Callback) -> None:
        """Have something done after a delay."""
        self.at(self.now + delay, callback)

    def every(self, period: float, callback: Callback) -> None:
        """Have something done again and again."""

        def again() -> None:
            callback()
            self.after(period, again)

        self.after(period, again)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until
