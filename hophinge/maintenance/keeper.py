"""Where promises last, as the issuer of permits needs it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hophinge.maintenance.permits import Permit
from hophinge.maintenance.releases import Course


class Keeper(Protocol):
    """Where promises last."""

    def keep(self, permits: Sequence[Permit], courses: Sequence[Course]) -> None:
        """Store rows in one transaction; raises, and then nothing is stored."""

    def zone(self, head: str, zone: str) -> None:
        """Store a head's zone."""
