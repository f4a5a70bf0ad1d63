"""The interface by which other packages query predicted demand."""

from __future__ import annotations

from typing import Protocol


class Demand(Protocol):
    """Demand as this process predicts it."""

    def requests_per_second(self, key: str) -> float:
        """Return the predicted requests per second for a key at this site; 0.0 if unknown."""
