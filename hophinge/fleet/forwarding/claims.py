"""Reference counts with deadlines: a retired resource closes when its last claim is released.

A retired resource gets no new claims. Each use in flight keeps its claim until it ends, at the latest until its
deadline; the release of the last claim closes the resource. Without this, retiring a resource would abort its uses in
flight: an instance that has unregistered but still serves would lose its streams.
"""

from __future__ import annotations

import itertools


class Claims:
    """The claims on one resource. Times are seconds of one clock."""

    def __init__(self) -> None:
        self.is_retired = False
        self._deadlines: dict[int, float] = {}
        self._claim_ids = itertools.count()

    @property
    def is_used(self) -> bool:
        """Whether a claim is held."""
        return bool(self._deadlines)

    def acquire(self, deadline: float) -> int | None:
        """Return the id of a new claim that ends at `deadline` at the latest; None if the resource is retired."""
        if self.is_retired:
            return None
        claim_id = next(self._claim_ids)
        self._deadlines[claim_id] = deadline
        return claim_id

    def release(self, claim_id: int) -> bool:
        """Release a claim; return whether the resource is to be closed now. A second release changes nothing."""
        was_held = self._deadlines.pop(claim_id, None) is not None
        return was_held and self.is_retired and not self._deadlines

    def retire(self) -> bool:
        """Accept no new claims; return whether the resource is to be closed now."""
        is_first = not self.is_retired
        self.is_retired = True
        return is_first and not self._deadlines

    def is_overdue(self, now: float) -> bool:
        """Return whether the resource is retired and all its claims are past their deadlines."""
        return self.is_retired and self.is_used and max(self._deadlines.values()) <= now
