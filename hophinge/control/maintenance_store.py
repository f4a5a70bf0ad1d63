"""Maintenance tables of the control service's store: permits, progress of releases, zones of heads, and statements.

When `save` returns, its changes are on disk. A service whose store has been taken over by another one can no longer
write. Free permits are deleted, as the audit log records them. A permit's id contains the fencing token, so that no id
is issued twice.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from hophinge.control.store import ControlStore
from hophinge.maintenance.permits import Permit, PermitState
from hophinge.maintenance.releases import ReleaseProgress
from hophinge.routing import records
from hophinge.routing.records import Record

STARTS_PER_EPOCH = 1_000_000  # a new epoch, begun after a restore, has fencing tokens above all of the lost one


class MaintenanceStore:
    """Maintenance tables of a store; `fencing_token` is part of each permit's id."""

    def __init__(self, store: ControlStore, now_ms: Callable[[], int]) -> None:
        self.store = store
        self.db = store.db
        self.now_ms = now_ms
        self.issuer: str = store.issuer
        self.fencing_token: int = store.epoch * STARTS_PER_EPOCH + store.fencing_token

    def permits(self) -> list[Permit]:
        """Return all permits that are not free."""
        return [msgspec.json.decode(row[0], type=Permit) for row in self.db.execute("SELECT body FROM permit")]

    def releases(self) -> list[ReleaseProgress]:
        """Return the progress of all releases."""
        return [
            msgspec.json.decode(row[0], type=ReleaseProgress) for row in self.db.execute("SELECT body FROM release")
        ]

    def zones(self, heads: Sequence[str]) -> dict[str, str]:
        """Return the zone that each head reported last; empty for a head that never reported one."""
        zones = dict.fromkeys(heads, "")
        for head, zone in self.db.execute("SELECT head, zone FROM place"):
            if head in zones:
                zones[head] = zone
        return zones

    def statements(self) -> list[Record]:
        """Return the current maintenance statements."""
        row = self.db.execute("SELECT body FROM upkeep").fetchone()
        bodies = msgspec.json.decode(row[0], type=list[msgspec.Raw]) if row else []
        return [records.decode(bytes(body)) for body in bodies]

    def store_zone(self, head: str, zone: str) -> None:
        """Store a head's zone."""
        with self.store.transaction():
            self.db.execute(
                "INSERT INTO place VALUES (?, ?) ON CONFLICT(head) DO UPDATE SET zone = excluded.zone", (head, zone)
            )

    def save(self, permits: Sequence[Permit], releases: Sequence[ReleaseProgress]) -> None:
        """Store permits and progress of releases in one transaction; if it raises, nothing is stored."""
        with self.store.transaction():
            for permit in permits:
                self._write_permit(permit)
            for release in releases:
                self._write_release(release)

    def _write_permit(self, permit: Permit) -> None:
        self.db.execute("DELETE FROM permit WHERE id = ?", (permit.id,))
        if permit.state is not PermitState.FREE:
            self.db.execute("INSERT INTO permit VALUES (?, ?)", (permit.id, msgspec.json.encode(permit)))
        detail = f"{permit.id} for {permit.kind.value} {permit.name}: {permit.state.value}"
        self.store.append_audit(self.now_ms(), permit.requester, "permit", detail)

    def _write_release(self, release: ReleaseProgress) -> None:
        self.db.execute(
            "INSERT INTO release VALUES (?, ?) ON CONFLICT(name) DO UPDATE SET body = excluded.body",
            (release.name, msgspec.json.encode(release)),
        )
        reason = f": {release.reason}" if release.reason else ""
        detail = f"{release.name}: {release.stage.value}, wave {release.wave}{reason}"
        self.store.append_audit(self.now_ms(), "control service", "release", detail)
