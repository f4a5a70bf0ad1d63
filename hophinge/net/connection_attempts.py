"""Decides when connections to a backend are opened and how many, without I/O; times are seconds, given as arguments.

A late connect says little about its backend: the next one is as likely to be in time as any. So a connect that takes
longer than typical is hedged while a request waits. Each costs the backend a handshake, so hedges are bounded by the
connects that are started anyway, for each backend, and by this head's share of the backend's connections.
"""

from __future__ import annotations

LATE_FACTOR = 4.0  # multiple of the typical connect time after which a connect is late
MIN_LATE_S = 0.01  # a busy machine's turns, which are no lateness
LATE_LIMIT_FRACTION = 1 / 3  # of the connect limit: what is late is found within it, with time for another
ADJUSTMENT_STEP = 0.1  # part by which one connect moves the usual time
MAX_HEDGED_CONNECTS = 3  # connects to one backend beyond those that wait for one
HEDGE_RATIO = 0.5  # connects beside late ones for each other: up to a third late, and a third of those
HEDGE_BURST = 8.0  # of them at once, when many come late together


class ConnectTimeEstimate:
    """The typical connect time over all backends, and the credit for hedged connects."""

    def __init__(self, limit_s: float) -> None:
        """Args: limit_s: seconds that a request waits for its connection."""
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
        self.started_at: dict[int, float] = {}  # when each began
        self.last_number = 0

    def _count_late(self, now: float) -> int:
        return sum(now - since >= self.estimate.late_after_s for since in self.started_at.values())

    def start_needed(self, now: float, waiting: int, connected: int, limit: int) -> list[tuple[int, bool]]:
        """Start the connects that are needed; returns the number of each and whether it hedges a late one.

        Args:
            now: seconds.
            waiting: requests that wait for a connection.
            connected: open connections to this backend.
            limit: this head's share of the connections that the backend accepts.

        """
        begun = list[tuple[int, bool]]()
        late = self._count_late(now)
        while len(self.started_at) < waiting:
            self.estimate.record_start()
            begun.append((self._start(now), False))
        while (
            len(self.started_at) - late < waiting
            and len(self.started_at) < waiting + MAX_HEDGED_CONNECTS
            and connected + len(self.started_at) < limit
            and self.estimate.hedge_credit >= 1
        ):
            self.estimate.hedge_credit -= 1
            begun.append((self._start(now), True))
        return begun

    def _start(self, now: float) -> int:
        self.last_number += 1
        self.started_at[self.last_number] = now
        return self.last_number

    def finish(self, number: int, now: float, succeeded: bool) -> None:
        """Record that a connect ended, and whether it succeeded."""
        since = self.started_at.pop(number)
        if succeeded:
            self.estimate.record_success(now - since)

    def next_late_at(self, now: float) -> float | None:
        """Return when the next connect becomes late, in seconds; None where all are late."""
        due = [
            since + self.estimate.late_after_s
            for since in self.started_at.values()
            if now - since < self.estimate.late_after_s
        ]
        return min(due, default=None)
