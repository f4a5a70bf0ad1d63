"""A slewed clock for the expiry of keys: it follows the wall clock, but never steps forwards or backwards.

If the wall clock were used directly, setting it an hour ahead would expire keys early, and setting it back would make
expired keys valid again. Within a process, time advances with the monotonic clock, slightly faster or slower to
approach the wall clock. A process starts at the later of the wall clock and the time of the latest stored change.
"""

from __future__ import annotations

MAX_SLEW = 0.1  # fraction by which this clock may run faster or slower than the monotonic clock
US_PER_MS = 1000


class SlewedClock:
    """The Unix time of one process in milliseconds, from a wall clock that may step and a monotonic clock."""

    def __init__(self, wall_ms: int, steady_us: int, last_stored_ms: int = 0) -> None:
        self.steady_us = steady_us
        self.time_ms = float(max(wall_ms, last_stored_ms))

    def now_ms(self, wall_ms: int, steady_us: int) -> int:
        """Return the time, given the readings of both clocks."""
        elapsed_ms = max(0, steady_us - self.steady_us) / US_PER_MS
        self.steady_us = max(self.steady_us, steady_us)
        gap_ms = wall_ms - (self.time_ms + elapsed_ms)
        self.time_ms += elapsed_ms + max(-MAX_SLEW * elapsed_ms, min(MAX_SLEW * elapsed_ms, gap_ms))
        return int(self.time_ms)

    def wall_clock_ahead_ms(self, wall_ms: int) -> int:
        """Return the milliseconds by which the wall clock is ahead; operators are notified of more than a minute."""
        return int(wall_ms - self.time_ms)
