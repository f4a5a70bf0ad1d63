"""A bound on the bytes of bodies in flight, over all connections."""

from __future__ import annotations


class ByteBudget:
    """Bytes in use and their limit; a holder of none may always take some, so that no one waits for ever."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether those that already hold bytes must not take more."""
        return self.used >= self.limit
