"""The one clock: microseconds that only go forward, counted from the Unix epoch as it was told at start."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

# Started from the system's time, so that a backend's boot_ms needs no conversion but its unit; a later step of the
# system's time moves no deadline.
OFFSET_US = time.time_ns() // 1000 - time.monotonic_ns() // 1000


def now_us() -> int:
    """Return the time, in microseconds since the Unix epoch."""
    return time.monotonic_ns() // 1000 + OFFSET_US


class Timer:
    """A timer that never fires early; uvloop's count whole milliseconds, rounded, from when the loop's turn began.

    The module sets its next timer when the last one is due, so one that came too early would be the last. Delays are
    rounded up: one that is rounded down to nothing comes again and again until it is due.
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
        """Take the timer back."""
        self.handle.cancel()


class LoopClock:
    """The event loop's timers on the one clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now_us(self) -> int:
        """Return the time, in microseconds since the Unix epoch."""
        return now_us()

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call back at a time, never before it."""
        return Timer(self.loop, when_us, callback)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back in the loop's next turn."""
        self.loop.call_soon(callback)
