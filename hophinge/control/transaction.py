"""One write of the control service's store: done whole or not at all, and only by the store's newest owner."""

from __future__ import annotations

import sqlite3

from hophinge.core.errors import HophingeError


class FencedError(HophingeError):
    """Another control service has taken the store over; this one must not write any more."""

    code = "control-fenced"
    remedy = "Stop this control service: another one has this store now, and heads follow that."


class Transaction:
    """A write; with a fence it is refused once the store has a higher one."""

    def __init__(self, db: sqlite3.Connection, fence: int = 0) -> None:
        self.db, self.fence = db, fence

    def __enter__(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        if self.fence:
            newest = int(self.db.execute("SELECT fence FROM fence").fetchone()[0])
            if newest != self.fence:
                self.db.execute("ROLLBACK")
                raise FencedError(f"start {newest} of a control service has taken the store over from {self.fence}")

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        try:
            if kind is None:
                self.db.execute("COMMIT")
            elif self.db.in_transaction:
                self.db.execute("ROLLBACK")
        except sqlite3.DatabaseError:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise
