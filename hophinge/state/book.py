"""One SQLite file that is opened or made, checked, and changed whole or not at all."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path

from hophinge.state.errors import BusyError, FullError, LedgerError

FORM = 1
OPEN_S, RETRY_INTERVAL_S = 5.0, 0.005  # waited for another process that opens or makes it; nobody is served yet
BUSY_S = 0.05  # waited for another process's change; the caller stands still meanwhile

SCHEMA = """
CREATE TABLE meta(form INTEGER NOT NULL, epoch INTEGER NOT NULL, floor INTEGER NOT NULL, seen_ms INTEGER NOT NULL,
  id TEXT NOT NULL);
CREATE TABLE row(kind TEXT, name TEXT, body BLOB, seq INTEGER NOT NULL, PRIMARY KEY(kind, name)) WITHOUT ROWID;
CREATE INDEX row_seq ON row(seq);
CREATE TABLE audit(seq INTEGER PRIMARY KEY, entry BLOB NOT NULL, hash BLOB NOT NULL);
CREATE TABLE answer(caller TEXT, key TEXT, asked BLOB, status INTEGER, body BLOB, at_ms INTEGER,
  PRIMARY KEY(caller, key)) WITHOUT ROWID;
CREATE TABLE upload(id TEXT PRIMARY KEY, tenant TEXT, body BLOB) WITHOUT ROWID;
CREATE INDEX upload_tenant ON upload(tenant);
CREATE TABLE usage(reporter TEXT, tenant TEXT, volume TEXT, field TEXT, amount REAL NOT NULL,
  PRIMARY KEY(tenant, volume, field, reporter)) WITHOUT ROWID;
"""


class Book:
    """An open file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.db = sqlite3.connect(path, isolation_level=None, timeout=OPEN_S)
            os.chmod(path, 0o600)
            self._logged_ahead()
            self.db.execute("PRAGMA synchronous=FULL")
            with self.write():
                if not self.db.execute("SELECT count(*) FROM sqlite_master WHERE name = 'meta'").fetchone()[0]:
                    for statement in SCHEMA.split(";"):
                        self.db.execute(statement)
                    epoch = int.from_bytes(os.urandom(6), "big") | 1
                    self.db.execute("INSERT INTO meta VALUES (?, ?, 0, 0, ?)", (FORM, epoch, os.urandom(6).hex()))
            # `id` is this file's own; the epoch is that of the ledger whose copy it may be.
            form, self.epoch, self.id = self.db.execute("SELECT form, epoch, id FROM meta").fetchone()
            if form != FORM:
                raise LedgerError(f"{path}: form {form} is not read by this version, which reads form {FORM}")
            if (found := self.db.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
                raise LedgerError(f"{path}: it is torn: {found}")
            self.db.execute(f"PRAGMA busy_timeout={int(BUSY_S * 1000)}")
        except sqlite3.DatabaseError as error:
            raise LedgerError(f"{path}: {error}") from error

    def _logged_ahead(self) -> None:
        """Have changes logged ahead; of two processes that make the file at once, one is told off without a wait."""
        until = time.monotonic() + OPEN_S
        while True:
            try:
                self.db.execute("PRAGMA journal_mode=WAL")
                return
            except sqlite3.OperationalError as error:
                if "locked" not in str(error) or time.monotonic() > until:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    @contextlib.contextmanager
    def write(self) -> Iterator[None]:
        """Do a change whole or not at all; what goes wrong is told as what it means."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                yield
                self.db.execute("COMMIT")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
        except sqlite3.OperationalError as error:
            text = str(error)
            if "locked" in text or "busy" in text:
                raise BusyError(f"{self.path}: {text}") from error
            if "full" in text or "disk I/O" in text or "readonly" in text:
                raise FullError(f"{self.path}: {text}") from error
            raise

    def close(self) -> None:
        """Close the file."""
        self.db.close()
