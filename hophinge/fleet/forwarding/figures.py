"""What operators are told of requests at one head: their ends, reasons of refusals, and how forecasts held."""

from __future__ import annotations

from collections import Counter

from hophinge.fleet.forwarding.trace import Attempt, RequestTrace

ANSWERED, READ = "ANSWERED", "READ"
WIDE_S = 0.1  # by which a reading may take longer than forecast and still count as forecast well
MILLISECONDS = 1_000
MICROSECONDS = 1_000_000


class RequestFigures:
    """Counts since the head's start."""

    def __init__(self) -> None:
        self.endings: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.reads = self.reads_far_off = 0
        self.forecast_s = self.actual_s = 0.0

    def take(self, trace: RequestTrace) -> None:
        """Count a request that is over."""
        self.endings[_ending(trace)] += 1
        if trace.refusal:
            self.refusals[trace.refusal] += 1
        for attempt in trace.attempts:
            if attempt.ending == READ and attempt.over_s is not None:
                self._read(attempt, attempt.over_s - attempt.sent_s)

    def _read(self, attempt: Attempt, took_s: float) -> None:
        forecast_s = (attempt.forecast.wait_us + attempt.forecast.spent_us) / MICROSECONDS
        self.reads += 1
        self.forecast_s += forecast_s
        self.actual_s += took_s
        self.reads_far_off += took_s - forecast_s > WIDE_S

    def told(self) -> dict[str, object]:
        """Tell the counts; times are milliseconds, means over all readings."""
        reads = max(1, self.reads)
        return {
            "endings": dict(sorted(self.endings.items())),
            "refusals": dict(sorted(self.refusals.items())),
            "reads": self.reads,
            "reads-over-100-ms-late": self.reads_far_off,
            "read-forecast-ms": round(self.forecast_s / reads * MILLISECONDS, 1),
            "read-actual-ms": round(self.actual_s / reads * MILLISECONDS, 1),
        }


def _ending(trace: RequestTrace) -> str:
    """Tell how a request ended, in an operator's words."""
    if trace.ending != ANSWERED:
        return trace.ending.lower()
    return "in time" if trace.first_s is not None and trace.first_s <= trace.aim_s else "late"
