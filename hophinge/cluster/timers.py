"""The timers of a member's state machine, in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class TimerQueue:
    """Callbacks by the time at which they are scheduled; the driver of the state machine calls it at `next_us`."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled_count = 0  # keeps callbacks of the same time in order

    def schedule(self, when_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self.scheduled_count += 1
        heapq.heappush(self.heap, (when_us, self.scheduled_count, callback))

    @property
    def next_us(self) -> int | None:
        """The time of the next callback, if there is one."""
        return self.heap[0][0] if self.heap else None

    def pop_expired(self, now_us: int) -> Callable[[], None] | None:
        """Remove and return the first callback whose time has come, if there is one."""
        if self.heap and self.heap[0][0] <= now_us:
            return heapq.heappop(self.heap)[2]
        return None
