"""The time that keys end by: it follows the wall clock, never back and never by leaps.

Somebody sets a clock an hour ahead and every key would end; an hour back, and ended ones would live again. Within a
process time goes on by the steady clock, a little faster or slower towards what the wall clock says. A process begins
at the later of the wall clock and the latest time that any change was stored at.
"""

from __future__ import annotations

MAX_SLEW = 0.1  # part by which time may run faster or slower than the steady clock


class SlewedClock:
    """One process's time in milliseconds since 1970, from a wall clock that may step and a steady one."""

    def __init__(self, wall_ms: int, steady_us: int, last_stored_ms: int = 0) -> None:
        self.steady_us = steady_us
        self.time_ms = float(max(wall_ms, last_stored_ms))

    def now_ms(self, wall_ms: int, steady_us: int) -> int:
        """Tell the time."""
        span = max(0, steady_us - self.steady_us) / 1000
        self.steady_us = max(self.steady_us, steady_us)
        gap = wall_ms - (self.time_ms + span)
        self.time_ms += span + max(-MAX_SLEW * span, min(MAX_SLEW * span, gap))
        return int(self.time_ms)

    def wall_clock_ahead_ms(self, wall_ms: int) -> int:
        """Tell by how much the wall clock is ahead; staff hear of more than a minute."""
        return int(wall_ms - self.time_ms)
