"""What a head has taken, sent and answered."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name; ``lines`` is what is printed on request and at exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, number: int = 1) -> None:
        """Count something."""
        self.counts[name] += number

    def most(self, name: str, value: int) -> None:
        """Keep the largest value seen."""
        if value > self.counts[name]:
            self.counts[name] = value

    def text(self) -> str:
        """All counts, one `name value` a line, by name."""
        return "".join(f"{name} {value}\n" for name, value in sorted(self.counts.items()))
