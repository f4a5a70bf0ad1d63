"""The exclusion of a failed scorer: increasing backoff, probation, and disabling until it is reinstated.

A call that exceeds its wall clock budget proves nothing: the process may have been preempted, or the garbage collector
ran. Its result is dropped for that choice only, and the scorer's next calls are measured, so that it is judged by
the CPU time and context switches of the calls themselves.
"""

from __future__ import annotations

from msgspec import Struct

INITIAL_BACKOFF_US = 1_000_000  # after the first failure: long for a request, short for a repair
MAX_BACKOFF_US = 300_000_000  # a scorer that recovers by itself is back within five minutes
PROBATION_CALLS = 200  # calls in a row without a failure after which earlier failures are forgotten
MAX_SLOW_BACKOFFS = 5  # exclusions for slowness without a probation passed between them
MEASURED_CALLS = 1_000  # calls that are measured, from the start and after each slow call
MAX_EXCUSED = 3  # calls that a garbage collection excuses: a scorer that causes one each time is slow


class CallUsage(Struct, frozen=True, gc=False):
    """The resources that a slow call itself has used."""

    cpu_ns: int  # CPU time of its thread
    voluntary_switches: int  # voluntary context switches: sleep, a lock, a socket, a file
    is_collected: bool  # older generations were garbage collected meanwhile


class ScorerExclusion:
    """Whether one scorer may be called; times in microseconds."""

    def __init__(self) -> None:
        self.excluded_until_us = 0
        self.failures = 0  # since the last passed probation
        self.slow_failures = 0  # of these, exclusions for slow calls
        self.successes = 0  # in a row
        self.measured_calls_left = MEASURED_CALLS  # calls that are still to be measured
        self.suspect_calls_left = 0  # calls during which a first proof of slowness still counts
        self.excused_calls = 0
        self.is_disabled = False

    def is_callable(self, now_us: int) -> bool:
        """Return whether the scorer may be called now."""
        return not self.is_disabled and now_us >= self.excluded_until_us

    def record_success(self) -> None:
        """Count a call without a failure."""
        if self.measured_calls_left:
            self.measured_calls_left -= 1
            self.suspect_calls_left = max(0, self.suspect_calls_left - 1)
            if not self.measured_calls_left:
                self.excused_calls = 0
        if self.failures:
            self.successes += 1
            if self.successes >= PROBATION_CALLS:
                self.failures = self.slow_failures = self.successes = 0

    def record_failure(self, now_us: int, is_slow: bool = False) -> None:
        """Count a failure: the backoff doubles with each one, and too many slow calls disable the scorer."""
        self.excluded_until_us = now_us + min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << min(self.failures, 20))
        self.failures += 1
        self.slow_failures += is_slow
        self.successes = self.suspect_calls_left = 0
        self.is_disabled = self.is_disabled or self.slow_failures >= MAX_SLOW_BACKOFFS

    def record_slow_call(self, now_us: int, usage: CallUsage | None, budget_ns: int) -> bool:
        """Judge a slow call by its usage, None if not measured; returns whether the scorer is now excluded.

        The second proof within `MEASURED_CALLS` excludes it, as a single one may be chance (a page read from disk, a
        thread that held the interpreter lock); for a scorer on probation the first proof does.
        """
        self.measured_calls_left = MEASURED_CALLS
        if usage is None or not (usage.voluntary_switches or usage.cpu_ns > budget_ns):
            return False
        if usage.is_collected and not usage.voluntary_switches and self.excused_calls < MAX_EXCUSED:
            self.excused_calls += 1
            return False
        if self.suspect_calls_left or self.failures:
            self.record_failure(now_us, is_slow=True)
            return True
        self.suspect_calls_left = MEASURED_CALLS
        return False

    def reinstate(self) -> None:
        """Make the scorer callable again, by an operator's command."""
        self.excluded_until_us = self.failures = self.slow_failures = self.successes = self.suspect_calls_left = (
            self.excused_calls
        ) = 0
        self.measured_calls_left = MEASURED_CALLS
        self.is_disabled = False
