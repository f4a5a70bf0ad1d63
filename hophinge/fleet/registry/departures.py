"""The departure records that a control member keeps on its disk, without I/O.

An acknowledged departure must survive a restart of all processes that acknowledged it: a heartbeat sent before the
departure may arrive after the restart, and would register the instance again. So a member confirms a departure record
only after it is synced to disk, and restores the records before it accepts heartbeats.
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
    """The snapshot of all departure records on a disk."""

    records: tuple[GossipRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """A record that has to be synced to disk before it is confirmed.

    Attributes:
        record: The departure record.
        token: The token of its replication.
        requester: The address of the member that replicates it; None if that is this member.

    """

    record: GossipRecord
    token: int
    requester: str | None = None


class DepartureStorage(Protocol):
    """A disk that stores departure records."""

    @property
    def recovered(self) -> list[GossipRecord]:
        """The records that were on the disk at the start."""

    def store(self, request: StoreRequest) -> None:
        """Sync a record, then have it confirmed. If the disk cannot be written to, it is confirmed at once."""

    def tick(self) -> None:
        """Retry a disk that has failed."""


@dataclass(slots=True)
class _StoredDeparture:
    record: GossipRecord
    stored_at: float  # seconds on the caller's clock


class DepartureLog:
    """The newest record of each departed instance, retained for as long as a late heartbeat may arrive."""

    def __init__(self) -> None:
        self.departures: dict[str, _StoredDeparture] = {}  # by key

    def restore(self, now: float, state: DepartureState, records: Iterable[GossipRecord]) -> list[GossipRecord]:
        """Apply the snapshot and the further records of a disk; return the newest record of each key."""
        for record in (*state.records, *records):
            self.add(now, record)
        return [stored.record for stored in self.departures.values()]

    def add(self, now: float, record: GossipRecord) -> bool:
        """Add a record; return whether it is newer than the stored record of its key, and has to be written."""
        stored = self.departures.get(record.key)
        if stored is not None and stored.record.stamp >= record.stamp:
            return False
        self.departures[record.key] = _StoredDeparture(record, now)
        return True

    def state(self, now: float) -> DepartureState:
        """Return a snapshot of all records, and remove those whose retention has passed."""
        self.departures = {
            key: stored for key, stored in self.departures.items() if now - stored.stored_at < UNREGISTERED_RETENTION_S
        }
        return DepartureState(tuple(stored.record for stored in self.departures.values()))
