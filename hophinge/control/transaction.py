"""Transactions of the control service's store, which only the store's newest owner may begin."""

from __future__ import annotations

import sqlite3
from types import TracebackType

from hophinge.core.errors import HophingeError


class FencedError(HophingeError):
    """Another control service has taken over the store; this one must not write any more."""

    code = "control-fenced"
    remedy = "Stop this control service: another one has this store now, and heads follow that."


class Transaction:
    """Context of one transaction: committed at its end, rolled back when its body raises."""

    def __init__(self, db: sqlite3.Connection, fencing_token: int = 0) -> None:
        """Create a transaction; with a token other than 0 it is refused once the store has a higher one."""
        self.db = db
        self.fencing_token = fencing_token

    def __enter__(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        if self.fencing_token:
            newest = int(self.db.execute("SELECT fence FROM fence").fetchone()[0])
            if newest != self.fencing_token:
                self.db.execute("ROLLBACK")
                raise FencedError(
                    f"start {newest} of a control service has taken the store over from {self.fencing_token}"
                )

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        try:
            if error_type is None:
                self.db.execute("COMMIT")
            elif self.db.in_transaction:
                self.db.execute("ROLLBACK")
        except sqlite3.DatabaseError:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise
