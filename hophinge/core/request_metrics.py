"""The metrics that operators read; counters start with the process and only grow."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

FULFILLED, THROTTLED, FAULTED = OUTCOMES = ("fulfilled", "throttled", "faulted")
PREFIX = "edge."


class OpenRequestCount:
    """Counts a request from its acceptance to its end; only the first end counts."""

    __slots__ = ("metrics", "klass", "is_ended")

    def __init__(self, metrics: RequestMetrics, klass: str) -> None:
        self.metrics = metrics
        self.klass = klass
        self.is_ended = False
        metrics.open += 1

    def end(self, outcome: str | None) -> None:
        """Count the end; None where the client had left, which is not counted."""
        if self.is_ended:
            return
        self.is_ended = True
        self.metrics.open -= 1
        if outcome is not None:
            self.metrics.ended[self.klass, outcome] += 1


class RequestMetrics:
    """Requests by class and outcome, attempts completely sent to backends, and current values."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {(klass, outcome): 0 for klass in classes for outcome in OUTCOMES}
        self.relayed = self.open = 0
        self.current_values: Callable[[], Mapping[str, int]] = dict  # figures that others hold; asked at each reading

    def open_request(self, klass: str) -> OpenRequestCount:
        """Return the count of a newly accepted request."""
        return OpenRequestCount(self, klass)

    def gauges(self) -> dict[str, int]:
        """Return the current values."""
        return {"open_requests": self.open, **self.current_values()}

    def text(self) -> str:
        """Return all metrics, one `name=value` a line."""
        rows = [(f"operations.{klass}.{outcome}", value) for (klass, outcome), value in self.ended.items()]
        rows += [("relayed", self.relayed), *self.gauges().items()]
        return "".join(f"{PREFIX}{name}={value}\n" for name, value in rows)
