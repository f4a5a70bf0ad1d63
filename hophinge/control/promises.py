"""Permits, the courses of releases and the forms on maintenance in the control service's store.

The promise: what `keep` has returned from is on the disk, and a service whose store another one has taken over cannot
keep anything more. What is free is dropped; the audit has it, and its id bears the start that gave it, so none comes
twice.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from hophinge.control.store import Store
from hophinge.maintenance.permits import Permit, State
from hophinge.maintenance.releases import Course
from hophinge.routing import records
from hophinge.routing.records import Record

STARTS = 1_000_000  # of one epoch: a store that was restored begins above all that the lost one gave


class Promises:
    """One store's; `fence` is part of each permit's id."""

    def __init__(self, store: Store, now_ms: Callable[[], int]) -> None:
        self.store, self.db, self.now_ms = store, store.db, now_ms
        self.issuer: str = store.issuer
        self.fence: int = store.epoch * STARTS + store.fence

    def permits(self) -> list[Permit]:
        """Tell all that are not free."""
        return [msgspec.json.decode(row[0], type=Permit) for row in self.db.execute("SELECT body FROM permit")]

    def courses(self) -> list[Course]:
        """Tell the courses of releases."""
        return [msgspec.json.decode(row[0], type=Course) for row in self.db.execute("SELECT body FROM release")]

    def zones(self, heads: Sequence[str]) -> dict[str, str]:
        """Tell the zones of heads, as each has told its own; empty where it never has."""
        return {
            **dict.fromkeys(heads, ""),
            **{head: zone for head, zone in self.db.execute("SELECT head, zone FROM place") if head in heads},
        }

    def upkeep(self) -> list[Record]:
        """Tell the forms on maintenance that were pushed last."""
        row = self.db.execute("SELECT body FROM upkeep").fetchone()
        rows = msgspec.json.decode(row[0], type=list[msgspec.Raw]) if row else []
        return [records.decode(bytes(one)) for one in rows]

    def zone(self, head: str, zone: str) -> None:
        """Store a head's zone."""
        with self.store.transaction():
            self.db.execute(
                "INSERT INTO place VALUES (?, ?) ON CONFLICT(head) DO UPDATE SET zone = excluded.zone", (head, zone)
            )

    def keep(self, permits: Sequence[Permit], courses: Sequence[Course]) -> None:
        """Store rows in one transaction; raises, and then nothing is stored."""
        with self.store.transaction():
            for row in permits:
                self.db.execute("DELETE FROM permit WHERE id = ?", (row.id,))
                if row.state is not State.FREE:
                    self.db.execute("INSERT INTO permit VALUES (?, ?)", (row.id, msgspec.json.encode(row)))
                self.store.note(
                    self.now_ms(), row.by, "permit", f"{row.id} for {row.kind.value} {row.name}: {row.state.value}"
                )
            for course in courses:
                self.db.execute(
                    "INSERT INTO release VALUES (?, ?) ON CONFLICT(name) DO UPDATE SET body = excluded.body",
                    (course.name, msgspec.json.encode(course)),
                )
                self.store.note(
                    self.now_ms(),
                    "control service",
                    "release",
                    f"{course.name}: {course.stage.value}, wave {course.wave}"
                    f"{': ' if course.reason else ''}{course.reason}",
                )
