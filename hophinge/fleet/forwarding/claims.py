"""Ends are told apart from what uses them: what has ended is retired, and closes with the last claim on it.

Nothing new goes to what is retired. Each use that is under way keeps its own claim until its own end, at the latest
until the time that it was made for; the last one that is released closes what was retired. Without this, whoever ends
one thing cuts what others still have of it: an instance that has unregistered and serves on would lose its streams.
"""

from __future__ import annotations

import itertools


class Claims:
    """The uses of one thing that somebody else may end. Times are seconds of one clock."""

    def __init__(self) -> None:
        self.retired = False
        self._until: dict[int, float] = {}
        self._numbers = itertools.count()

    @property
    def used(self) -> bool:
        """Tell whether anybody holds a claim."""
        return bool(self._until)

    def claim(self, until: float) -> int | None:
        """Begin a use that ends at `until` at the latest; None where the thing is retired."""
        if self.retired:
            return None
        number = next(self._numbers)
        self._until[number] = until
        return number

    def release(self, number: int) -> bool:
        """End a use; tells whether the thing is to be closed now. A claim that was released already changes nothing."""
        held = self._until.pop(number, None) is not None
        return held and self.retired and not self._until

    def retire(self) -> bool:
        """Begin nothing new; tells whether the thing is to be closed now."""
        first, self.retired = not self.retired, True
        return first and not self._until

    def overdue(self, now: float) -> bool:
        """Tell whether the thing is retired and each use of it should be over: it is closed all the same."""
        return self.retired and self.used and max(self._until.values()) <= now
