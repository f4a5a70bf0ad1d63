"""Decides when and how many connections to a backend are opened, without I/O; times are seconds, given as arguments.

A late connect says little about its backend: the next one is as likely to be in time as any other. So while a request
waits, a connect that takes much longer than typical is hedged by another one. Each connect costs the backend a
handshake, so hedges are bounded: relative to the other connects, in number for each backend, and by this head's share
of the connections that the backend accepts.
"""

from __future__ import annotations

LATE_FACTOR = 4.0  # multiple of the typical connect time after which a connect is late
MIN_LATE_S = 0.01  # lower bound: event-loop delays on a busy machine do not make a connect late
LATE_LIMIT_FRACTION = 1 / 3  # upper bound, as a fraction of the connect time-out: leaves time for another connect
ADJUSTMENT_STEP = 0.1  # fraction by which one connect moves the typical connect time
MAX_HEDGED_CONNECTS = 3  # connects in progress to one backend beyond the number of waiting requests
HEDGE_RATIO = 0.5  # hedges for each other connect: covers up to a third being late, and a third of their hedges
HEDGE_BURST = 8.0  # hedges at once, for many connects that become late together


class ConnectTimeEstimate:
    """The typical connect time over all backends, and the credit for hedges."""

    def __init__(self, limit_s: float) -> None:
        """Args: limit_s: seconds that a request waits for a connection at most."""
        self.limit_s = limit_s
        self.typical_s = 0.0
        self.hedge_credit = HEDGE_BURST

    @property
    def late_after_s(self) -> float:
        """Seconds after which a connect counts as late."""
        return min(LATE_LIMIT_FRACTION * self.limit_s, max(MIN_LATE_S, LATE_FACTOR * self.typical_s))

    def record_success(self, duration_s: float) -> None:
        """Move the typical time towards the median by the duration of a successful connect."""
        if not self.typical_s:
            self.typical_s = min(duration_s, MIN_LATE_S)
        self.typical_s *= 1 + (ADJUSTMENT_STEP if duration_s > self.typical_s else -ADJUSTMENT_STEP)

    def record_start(self) -> None:
        """Add hedge credit for a connect started for a waiting request."""
        self.hedge_credit = min(HEDGE_BURST, self.hedge_credit + HEDGE_RATIO)


class ConnectionAttempts:
    """The connects to one backend that are in progress."""

    def __init__(self, estimate: ConnectTimeEstimate) -> None:
        self.estimate = estimate
        self.started_at: dict[int, float] = {}  # by the number of the connect, in seconds
        self.last_number = 0

    def _count_late(self, now: float) -> int:
        return sum(now - started_at >= self.estimate.late_after_s for started_at in self.started_at.values())

    def start_needed(self, now: float, waiting: int, connected: int, limit: int) -> list[tuple[int, bool]]:
        """Register the connects that are needed now; returns the number of each and whether it hedges a late one.

        Args:
            now: the current time in seconds.
            waiting: requests that wait for a connection.
            connected: open connections to this backend.
            limit: this head's share of the connections that the backend accepts.

        """
        started = list[tuple[int, bool]]()
        late = self._count_late(now)
        while len(self.started_at) < waiting:
            self.estimate.record_start()
            started.append((self._start(now), False))
        while (
            len(self.started_at) - late < waiting
            and len(self.started_at) < waiting + MAX_HEDGED_CONNECTS
            and connected + len(self.started_at) < limit
            and self.estimate.hedge_credit >= 1
        ):
            self.estimate.hedge_credit -= 1
            started.append((self._start(now), True))
        return started

    def _start(self, now: float) -> int:
        self.last_number += 1
        self.started_at[self.last_number] = now
        return self.last_number

    def finish(self, number: int, now: float, succeeded: bool) -> None:
        """Record that a connect ended, and whether it succeeded."""
        started_at = self.started_at.pop(number)
        if succeeded:
            self.estimate.record_success(now - started_at)

    def next_late_at(self, now: float) -> float | None:
        """Return when the next connect becomes late, in seconds; None if there is none that is not late already."""
        late_times = [
            started_at + self.estimate.late_after_s
            for started_at in self.started_at.values()
            if now - started_at < self.estimate.late_after_s
        ]
        return min(late_times, default=None)
