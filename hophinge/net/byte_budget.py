"""A limit on the buffered bytes of request and answer bodies, over all connections."""

from __future__ import annotations


class ByteBudget:
    """Bytes in use and their limit; a connection that holds none may always use some, so that none waits for ever."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether connections that already hold bytes must not take more."""
        return self.used >= self.limit
