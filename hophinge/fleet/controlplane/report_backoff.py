"""Decides when an instance whose report exceeded a limit is asked for its report again, without I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

INITIAL_BACKOFF_S = 2.0  # doubled after each further report over a limit
MAX_BACKOFF_S = 30.0


@dataclass(frozen=True, slots=True)
class Backoff:
    """The time in which an instance is not asked."""

    until: float
    length_s: float


class ReportBackoffs:
    """The instances that are not asked for a while. Times are seconds of one clock."""

    def __init__(self) -> None:
        self._by_instance: dict[str, Backoff] = {}

    def retain(self, identities: Collection[str]) -> None:
        """Forget all instances but these."""
        self._by_instance = {known: backoff for known, backoff in self._by_instance.items() if known in identities}

    def may_ask(self, now: float, identity: str) -> bool:
        """Return whether an instance may be asked."""
        backoff = self._by_instance.get(identity)
        return backoff is None or now >= backoff.until

    def record_response_limit(self, now: float, identity: str) -> None:
        """Record a report that exceeded a limit."""
        previous = self._by_instance.get(identity)
        length_s = min(MAX_BACKOFF_S, 2 * previous.length_s) if previous is not None else INITIAL_BACKOFF_S
        self._by_instance[identity] = Backoff(now + length_s, length_s)

    def record_report(self, identity: str) -> None:
        """Record a report within the limits, which ends the backoff."""
        self._by_instance.pop(identity, None)

    def length_s(self, identity: str) -> float:
        """Return the length of an instance's backoff; 0 where it has none."""
        backoff = self._by_instance.get(identity)
        return backoff.length_s if backoff is not None else 0.0
