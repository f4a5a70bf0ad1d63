"""The figures that operators read: one owner, whose counts run from the start of the process and only grow."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

FULFILLED, THROTTLED, FAULTED = OUTCOMES = ("fulfilled", "throttled", "faulted")
PREFIX = "edge."


class OpenRequestCount:
    """A request from when it is taken until its true end; whatever comes after the first end is void."""

    __slots__ = ("metrics", "klass", "is_ended")

    def __init__(self, metrics: RequestMetrics, klass: str) -> None:
        self.metrics = metrics
        self.klass = klass
        self.is_ended = False
        metrics.open += 1

    def end(self, outcome: str | None) -> None:
        """Count the end; None: its client had left, and it stands under no count."""
        if self.is_ended:
            return
        self.is_ended = True
        self.metrics.open -= 1
        if outcome is not None:
            self.metrics.ended[self.klass, outcome] += 1


class RequestMetrics:
    """Requests by class and end, attempts written whole to bricks, and what is now."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {(klass, outcome): 0 for klass in classes for outcome in OUTCOMES}
        self.relayed = self.open = 0
        self.current_values: Callable[[], Mapping[str, int]] = dict  # figures that others hold; asked at each reading

    def open_request(self, klass: str) -> OpenRequestCount:
        """Note a request that is taken."""
        return OpenRequestCount(self, klass)

    def gauges(self) -> dict[str, int]:
        """Tell what is now."""
        return {"open_requests": self.open, **self.current_values()}

    def text(self) -> str:
        """All figures, one `name=value` a line."""
        rows = [(f"operations.{klass}.{outcome}", value) for (klass, outcome), value in self.ended.items()]
        rows += [("relayed", self.relayed), *self.gauges().items()]
        return "".join(f"{PREFIX}{name}={value}\n" for name, value in rows)
