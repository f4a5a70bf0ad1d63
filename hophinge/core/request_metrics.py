"""The request metrics for operators; counters start at zero with the process and only increase."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

FULFILLED, THROTTLED, FAULTED = OUTCOMES = ("fulfilled", "throttled", "faulted")
PREFIX = "edge."


class OpenRequestCount:
    """Counts one request as open until its first `end`; later calls have no effect."""

    __slots__ = ("metrics", "klass", "is_ended")

    def __init__(self, metrics: RequestMetrics, klass: str) -> None:
        self.metrics = metrics
        self.klass = klass
        self.is_ended = False
        metrics.open += 1

    def end(self, outcome: str | None) -> None:
        """Count the outcome; None if the client had disconnected, which is not counted."""
        if self.is_ended:
            return
        self.is_ended = True
        self.metrics.open -= 1
        if outcome is not None:
            self.metrics.ended[self.klass, outcome] += 1


class RequestMetrics:
    """Counts of requests by class and outcome and of attempts completely sent to backends, and current values."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {(klass, outcome): 0 for klass in classes for outcome in OUTCOMES}
        self.relayed = self.open = 0
        self.current_values: Callable[[], Mapping[str, int]] = dict  # gauges of other components, called at each read

    def open_request(self, klass: str) -> OpenRequestCount:
        """Count a newly accepted request as open; the caller ends it."""
        return OpenRequestCount(self, klass)

    def gauges(self) -> dict[str, int]:
        """Return the current values."""
        return {"open_requests": self.open, **self.current_values()}

    def text(self) -> str:
        """Return all metrics, one `name=value` per line."""
        rows = [(f"operations.{klass}.{outcome}", value) for (klass, outcome), value in self.ended.items()]
        rows += [("relayed", self.relayed), *self.gauges().items()]
        return "".join(f"{PREFIX}{name}={value}\n" for name, value in rows)
