"""The records of departures that a member keeps on its disk, without I/O.

An acknowledged departure must outlive the processes that acknowledged it: a heartbeat that was sent before it may
arrive after all of them have been killed and started again, and would bring the instance back. So a member confirms
such a record once it is synced, and restores the records before it takes heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import GossipRecord
from hophinge.fleet.registry.registry import UNREGISTERED_RETENTION_S


@wire(110)
@dataclass(frozen=True, slots=True)
class DepartureState:
    """All records that a disk holds."""

    records: tuple[GossipRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """A record to be synced before it is confirmed.

    Attributes:
        record: The record.
        token: The token under which it is replicated.
        requester: The address of the member that replicates it; None where that is this member itself.

    """

    record: GossipRecord
    token: int
    requester: str | None = None


class DepartureStorage(Protocol):
    """A disk that keeps departures."""

    @property
    def recovered(self) -> list[GossipRecord]:
        """The records that it held at the start."""

    def store(self, request: StoreRequest) -> None:
        """Sync a record, then have it confirmed; at once, where the disk takes no writes."""

    def tick(self) -> None:
        """Retry a disk that failed."""


@dataclass(slots=True)
class _StoredDeparture:
    record: GossipRecord
    stored_at: float  # seconds on the caller's clock


class DepartureLog:
    """The newest record of each departed instance, for as long as a late heartbeat of it may come."""

    def __init__(self) -> None:
        self.departures: dict[str, _StoredDeparture] = {}  # by key

    def restore(self, now: float, state: DepartureState, records: Iterable[GossipRecord]) -> list[GossipRecord]:
        """Apply what a disk holds; return the newest record of each key."""
        for record in (*state.records, *records):
            self.add(now, record)
        return [stored.record for stored in self.departures.values()]

    def add(self, now: float, record: GossipRecord) -> bool:
        """Add a record; return whether it is newer than the one of its key, and has to be written."""
        stored = self.departures.get(record.key)
        if stored is not None and stored.record.stamp >= record.stamp:
            return False
        self.departures[record.key] = _StoredDeparture(record, now)
        return True

    def state(self, now: float) -> DepartureState:
        """Return all records, without those whose retention has passed."""
        self.departures = {
            key: stored for key, stored in self.departures.items() if now - stored.stored_at < UNREGISTERED_RETENTION_S
        }
        return DepartureState(tuple(stored.record for stored in self.departures.values()))
