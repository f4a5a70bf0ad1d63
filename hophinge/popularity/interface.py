"""What other parts may ask about demand."""

from __future__ import annotations

from typing import Protocol


class Demand(Protocol):
    """Predicted demand, as this process reckons it."""

    def wanted(self, key: str) -> float:
        """Tell a key's predicted requests a second at this site; 0.0 where nothing is known."""
