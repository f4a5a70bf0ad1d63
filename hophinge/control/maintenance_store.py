"""Maintenance in the control service's store: permits, plans of releases, zones of heads, and the statements.

What `keep` has returned from is on disk, and a service whose store another one has taken over can write nothing more.
Free permits are dropped, as the audit has them; a permit's id bears the fencing token, so that no id is issued twice.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from hophinge.control.store import ControlStore
from hophinge.maintenance.permits import Permit, PermitState
from hophinge.maintenance.releases import ReleaseProgress
from hophinge.routing import records
from hophinge.routing.records import Record

STARTS_PER_EPOCH = 1_000_000  # a store that was restored into a new epoch begins above all ids of the lost one


class MaintenanceStore:
    """Maintenance tables of a store; `fence` is part of each permit's id."""

    def __init__(self, store: ControlStore, now_ms: Callable[[], int]) -> None:
        self.store = store
        self.db = store.db
        self.now_ms = now_ms
        self.issuer: str = store.issuer
        self.fence: int = store.epoch * STARTS_PER_EPOCH + store.fence

    def permits(self) -> list[Permit]:
        """Return all permits that are not free."""
        return [msgspec.json.decode(row[0], type=Permit) for row in self.db.execute("SELECT body FROM permit")]

    def courses(self) -> list[ReleaseProgress]:
        """Return the plans of releases."""
        return [
            msgspec.json.decode(row[0], type=ReleaseProgress) for row in self.db.execute("SELECT body FROM release")
        ]

    def zones(self, heads: Sequence[str]) -> dict[str, str]:
        """Return the zone of each head, as it reported last; empty where it never has."""
        zones = dict.fromkeys(heads, "")
        for head, zone in self.db.execute("SELECT head, zone FROM place"):
            if head in zones:
                zones[head] = zone
        return zones

    def statements(self) -> list[Record]:
        """Return the statements on maintenance that were pushed last."""
        row = self.db.execute("SELECT body FROM upkeep").fetchone()
        bodies = msgspec.json.decode(row[0], type=list[msgspec.Raw]) if row else []
        return [records.decode(bytes(body)) for body in bodies]

    def store_zone(self, head: str, zone: str) -> None:
        """Store a head's zone."""
        with self.store.transaction():
            self.db.execute(
                "INSERT INTO place VALUES (?, ?) ON CONFLICT(head) DO UPDATE SET zone = excluded.zone", (head, zone)
            )

    def save(self, permits: Sequence[Permit], courses: Sequence[ReleaseProgress]) -> None:
        """Store permits and plans of releases in one transaction; if it raises, nothing is stored."""
        with self.store.transaction():
            for permit in permits:
                self._write_permit(permit)
            for course in courses:
                self._write_course(course)

    def _write_permit(self, permit: Permit) -> None:
        self.db.execute("DELETE FROM permit WHERE id = ?", (permit.id,))
        if permit.state is not PermitState.FREE:
            self.db.execute("INSERT INTO permit VALUES (?, ?)", (permit.id, msgspec.json.encode(permit)))
        detail = f"{permit.id} for {permit.kind.value} {permit.name}: {permit.state.value}"
        self.store.append_audit(self.now_ms(), permit.requester, "permit", detail)

    def _write_course(self, course: ReleaseProgress) -> None:
        self.db.execute(
            "INSERT INTO release VALUES (?, ?) ON CONFLICT(name) DO UPDATE SET body = excluded.body",
            (course.name, msgspec.json.encode(course)),
        )
        reason = f": {course.reason}" if course.reason else ""
        detail = f"{course.name}: {course.stage.value}, wave {course.wave}{reason}"
        self.store.append_audit(self.now_ms(), "control service", "release", detail)
