"""The memory that bodies on their way may hold, over all connections together."""

from __future__ import annotations


class Budget:
    """Bytes held and how many may be; who holds none may always take some, so nobody waits for ever."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    @property
    def full(self) -> bool:
        """Whether whoever holds some is to take no more."""
        return self.held >= self.most
