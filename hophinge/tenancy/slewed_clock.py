"""The time by which keys expire: it follows the wall clock, never back and never by leaps.

If the wall clock were used, setting it an hour ahead would expire every key, and setting it back would revive expired
ones. Within a process time goes on by the monotonic clock, a little faster or slower towards what the wall clock says.
A process begins at the later of the wall clock and the time of the latest stored change.
"""

from __future__ import annotations

MAX_SLEW = 0.1  # fraction by which time may run faster or slower than the monotonic clock
US_PER_MS = 1000


class SlewedClock:
    """One process's time in milliseconds since 1970, from a wall clock that may step and a monotonic one."""

    def __init__(self, wall_ms: int, steady_us: int, last_stored_ms: int = 0) -> None:
        self.steady_us = steady_us
        self.time_ms = float(max(wall_ms, last_stored_ms))

    def now_ms(self, wall_ms: int, steady_us: int) -> int:
        """Return the time, given what both clocks show."""
        elapsed_ms = max(0, steady_us - self.steady_us) / US_PER_MS
        self.steady_us = max(self.steady_us, steady_us)
        gap_ms = wall_ms - (self.time_ms + elapsed_ms)
        self.time_ms += elapsed_ms + max(-MAX_SLEW * elapsed_ms, min(MAX_SLEW * elapsed_ms, gap_ms))
        return int(self.time_ms)

    def wall_clock_ahead_ms(self, wall_ms: int) -> int:
        """Return by how much the wall clock is ahead; operators are notified of more than a minute."""
        return int(wall_ms - self.time_ms)
