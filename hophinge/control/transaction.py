"""Transactions of the control service's store, which only the newest service that opened the store may begin."""

from __future__ import annotations

import sqlite3
from types import TracebackType

from hophinge.core.errors import HophingeError


class FencedError(HophingeError):
    """Another control service has taken over the store; this one must no longer write to it."""

    code = "control-fenced"
    remedy = "Stop this control service: another one has taken over its store, and heads follow that one."


class Transaction:
    """Context manager of one transaction, which is committed at its end or rolled back if its body raises."""

    def __init__(self, db: sqlite3.Connection, fencing_token: int = 0) -> None:
        """Create a transaction; a token other than 0 must be the store's newest when the transaction begins."""
        self.db = db
        self.fencing_token = fencing_token

    def __enter__(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")
        if self.fencing_token:
            newest = int(self.db.execute("SELECT fence FROM fence").fetchone()[0])
            if newest != self.fencing_token:
                self.db.execute("ROLLBACK")
                raise FencedError(
                    f"a control service with fencing token {newest} has taken over the store from {self.fencing_token}"
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
