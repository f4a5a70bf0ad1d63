"""The monotonic clock: microseconds since the Unix epoch, by the system time at process start."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Aligned with the system time at start, so that a backend's boot_ms only needs a conversion of its unit. Later steps of
# the system time move no deadline.
OFFSET_US = time.time_ns() // 1000 - time.monotonic_ns() // 1000


def now_us() -> int:
    """Return the time, in microseconds since the Unix epoch."""
    return time.monotonic_ns() // 1000 + OFFSET_US


class Timer:
    """A timer that never fires early, unlike uvloop's.

    uvloop rounds delays to whole milliseconds and counts them from the start of the loop iteration. The scheduler sets
    its next timer when the previous one is due, so after a timer that fired too early it would set no other. Delays are
    rounded up to milliseconds: a delay rounded down to zero would fire in each iteration until the timer is due.
    """

    __slots__ = ("callback", "handle", "loop", "when_us")

    def __init__(self, loop: asyncio.AbstractEventLoop, when_us: int, callback: Callable[[], None]) -> None:
        self.loop = loop
        self.when_us = when_us
        self.callback = callback
        self.handle = loop.call_later(max(0, -(-(when_us - now_us()) // 1000)) / 1000, self._on_timeout)

    def _on_timeout(self) -> None:
        remaining_us = self.when_us - now_us()
        if remaining_us > 0:
            self.handle = self.loop.call_later(-(-remaining_us // 1000) / 1000, self._on_timeout)
        else:
            self.callback()

    def cancel(self) -> None:
        """Cancel the timer."""
        self.handle.cancel()


class LoopClock:
    """The event loop's timers, with the times of this module's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_us(self) -> int:
        """Return the time, in microseconds since the Unix epoch."""
        return now_us()

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call `callback` at a time in microseconds, never before it."""
        return Timer(self.loop, when_us, callback)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next event-loop iteration."""
        self.loop.call_soon(callback)
