"""The durable store of permits and releases, as the issuer of permits needs it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from hophinge.maintenance.permits import Permit
from hophinge.maintenance.releases import ReleaseProgress


class PermitStore(Protocol):
    """The durable store of permits and releases."""

    def save(self, permits: Sequence[Permit], releases: Sequence[ReleaseProgress]) -> None:
        """Store rows in one transaction; if it raises, nothing is stored."""

    def store_zone(self, head: str, zone: str) -> None:
        """Store the zone of a head."""
