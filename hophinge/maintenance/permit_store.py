"""Where promises last, as the issuer of permits needs it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hophinge.maintenance.permits import Permit
from hophinge.maintenance.releases import ReleaseProgress


class PermitStore(Protocol):
    """Where promises last."""

    def save(self, permits: Sequence[Permit], releases: Sequence[ReleaseProgress]) -> None:
        """Store rows in one transaction; raises, and then nothing is stored."""

    def store_zone(self, head: str, zone: str) -> None:
        """Store a head's zone."""
