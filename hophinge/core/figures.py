"""The figures that operators read: one owner, whose counts run from the start of the process and only grow."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

FULFILLED, THROTTLED, FAULTED = OUTCOMES = ("fulfilled", "throttled", "faulted")
PREFIX = "edge."


class Ticket:
    """A request from when it is taken until its true end; whatever comes after the first end is void."""

    __slots__ = ("figures", "klass", "over")

    def __init__(self, figures: Figures, klass: str) -> None:
        self.figures = figures
        self.klass = klass
        self.over = False
        figures.open += 1

    def end(self, outcome: str | None) -> None:
        """Count the end; None: its client had left, and it stands under no count."""
        if self.over:
            return
        self.over = True
        self.figures.open -= 1
        if outcome is not None:
            self.figures.ended[self.klass, outcome] += 1


class Figures:
    """Requests by class and end, attempts written whole to bricks, and what is now."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ended = {(klass, outcome): 0 for klass in classes for outcome in OUTCOMES}
        self.relayed = self.open = 0
        self.now: Callable[[], Mapping[str, int]] = dict  # figures that others hold; asked at each reading

    def take(self, klass: str) -> Ticket:
        """Note a request that is taken."""
        return Ticket(self, klass)

    def gauges(self) -> dict[str, int]:
        """Tell what is now."""
        return {"open_requests": self.open, **self.now()}

    def text(self) -> str:
        """All figures, one `name=value` a line."""
        rows = [(f"operations.{klass}.{outcome}", value) for (klass, outcome), value in self.ended.items()]
        rows += [("relayed", self.relayed), *self.gauges().items()]
        return "".join(f"{PREFIX}{name}={value}\n" for name, value in rows)
