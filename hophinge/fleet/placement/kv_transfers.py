"""Avoids pairs of zones between which KV caches cannot be transferred, learned from failed fetches of decode instances.

A head may reach two zones that cannot reach each other, or have open connections to a zone that accepts no new ones. A
prompt prefilled in one of these zones cannot be decoded in the other, and each such attempt costs two retries. Refusals
for other reasons look the same, so the first refusal makes the pair avoided only for a short time.

Without I/O; times are seconds on the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

BASE_BACKOFF_S = 1.0  # after a refusal; doubles with each failed probe
MAX_BACKOFF_S = 8.0


@dataclass(slots=True)
class FailingPair:
    """Two zones between which the last transfer failed."""

    avoided_until: float
    failed_probes: int = 0


class KvTransfers:
    """The zone pairs with failing transfers, as one head knows them; a failure counts for both directions."""

    def __init__(self) -> None:
        self.failing: dict[frozenset[str], FailingPair] = {}

    def is_avoided(self, now: float, first_zone: str, second_zone: str) -> bool:
        """Return whether no prompt may be prefilled in one of the zones and decoded in the other now."""
        pair = self.failing.get(frozenset((first_zone, second_zone)))
        return pair is not None and now < pair.avoided_until

    def record_refusal(self, now: float, first_zone: str, second_zone: str) -> None:
        """Record that an instance refused a request for which it had to fetch a KV cache."""
        if first_zone == second_zone:
            return
        pair = self.failing.setdefault(frozenset((first_zone, second_zone)), FailingPair(now + BASE_BACKOFF_S))
        if now >= pair.avoided_until:
            pair.failed_probes += 1
            pair.avoided_until = now + min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0**pair.failed_probes)

    def record_transfer(self, first_zone: str, second_zone: str) -> None:
        """Record that a KV cache was transferred between two zones."""
        self.failing.pop(frozenset((first_zone, second_zone)), None)
