"""Metrics of the requests at one head: outcomes, reasons of rejections, and the accuracy of forecasts."""

from __future__ import annotations

from collections import Counter

from hophinge.fleet.forwarding.trace import Attempt, RequestTrace

ANSWERED, READ = "ANSWERED", "READ"
LATE_PREFILL_S = 0.1  # a prefill that exceeds its forecast by more counts as late
MILLISECONDS = 1_000
MICROSECONDS = 1_000_000


class RequestMetrics:
    """Counts since the head's start; the keys of `snapshot` are part of the status."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.surplus = 0
        self.prefills = 0
        self.late_prefills = 0
        self.forecast_s = 0.0
        self.actual_s = 0.0

    def record_surplus(self, count: int) -> None:
        """Record the surplus responses that a request's attempts received."""
        self.surplus += count

    def record(self, trace: RequestTrace) -> None:
        """Record a completed request."""
        self.outcomes[_outcome_name(trace)] += 1
        if trace.refusal:
            self.refusals[trace.refusal] += 1
        for attempt in trace.attempts:
            if attempt.ending == READ and attempt.over_s is not None:
                self._record_prefill(attempt, attempt.over_s - attempt.sent_s)

    def _record_prefill(self, attempt: Attempt, took_s: float) -> None:
        forecast_s = (attempt.forecast.wait_us + attempt.forecast.spent_us) / MICROSECONDS
        self.prefills += 1
        self.forecast_s += forecast_s
        self.actual_s += took_s
        self.late_prefills += took_s - forecast_s > LATE_PREFILL_S

    def snapshot(self) -> dict[str, object]:
        """Return the counts; times are means over all prefills, in milliseconds."""
        prefill_count = max(1, self.prefills)
        return {
            "endings": dict(sorted(self.outcomes.items())),
            "refusals": dict(sorted(self.refusals.items())),
            "surplus-responses": self.surplus,
            "reads": self.prefills,
            "reads-over-100-ms-late": self.late_prefills,
            "read-forecast-ms": round(self.forecast_s / prefill_count * MILLISECONDS, 1),
            "read-actual-ms": round(self.actual_s / prefill_count * MILLISECONDS, 1),
        }


def _outcome_name(trace: RequestTrace) -> str:
    """Return the name under which the outcome of a request is counted."""
    if trace.ending != ANSWERED:
        return trace.ending.lower()
    return "in time" if trace.first_s is not None and trace.first_s <= trace.aim_s else "late"
