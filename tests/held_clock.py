"""A clock that a test holds for as long as it prepares something, however long that takes on a busy machine."""

from __future__ import annotations

from collections.abc import Callable


class HeldClock:
    """Microseconds of another clock, standing still until `go_on`; from then it goes on from where it stood."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock, self.stood_at = clock, clock()
        self.behind: int | None = None  # microseconds behind the other clock, once it goes on

    def go_on(self) -> None:
        """Let time pass again."""
        self.behind = self.clock() - self.stood_at

    def __call__(self) -> int:
        """Tell the time."""
        return self.stood_at if self.behind is None else self.clock() - self.behind
