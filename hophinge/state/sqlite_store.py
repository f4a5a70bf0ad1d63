"""A SQLite file that is opened or created, checked for corruption, and changed in transactions.

Table and column names are part of the stored format. The column `form` holds the schema version.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Iterator
from pathlib import Path

from hophinge.state.errors import BusyError, FullError, LedgerError

SCHEMA_VERSION = 1
OPEN_TIMEOUT_S = 5.0  # waiting for another process that opens or creates the file; nothing is served yet
BUSY_TIMEOUT_S = 0.05  # waiting for another process's transaction; it blocks the caller's event loop
RETRY_INTERVAL_S = 0.005

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


class SqliteStore:
    """An open SQLite file with the ledger's tables."""

    def __init__(self, path: Path) -> None:
        """Open the file, or create it with a new epoch.

        Raises:
            LedgerError: The file is corrupt, is not an SQLite database, or has an unsupported schema version.

        """
        self.path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.db = sqlite3.connect(path, isolation_level=None, timeout=OPEN_TIMEOUT_S)
            os.chmod(path, 0o600)
            self._enable_write_ahead_log()
            self.db.execute("PRAGMA synchronous=FULL")
            with self.transaction():
                self._create_tables_if_missing()
            # The id identifies this file; a replica has the epoch of the ledger that it replicates.
            version, self.epoch, self.store_id = self.db.execute("SELECT form, epoch, id FROM meta").fetchone()
            self._check(version)
            self.db.execute(f"PRAGMA busy_timeout={int(BUSY_TIMEOUT_S * 1000)}")
        except sqlite3.DatabaseError as error:
            raise LedgerError(f"{path}: {error}") from error

    def _enable_write_ahead_log(self) -> None:
        """Switch to write-ahead logging.

        When two processes create the file at the same time, SQLite fails for one of them at once, without applying its
        busy timeout. That process retries here.
        """
        deadline = time.monotonic() + OPEN_TIMEOUT_S
        while True:
            try:
                self.db.execute("PRAGMA journal_mode=WAL")
                return
            except sqlite3.OperationalError as error:
                if "locked" not in str(error) or time.monotonic() > deadline:
                    raise
                time.sleep(RETRY_INTERVAL_S)

    def _create_tables_if_missing(self) -> None:
        if self.db.execute("SELECT count(*) FROM sqlite_master WHERE name = 'meta'").fetchone()[0]:
            return
        for statement in SCHEMA.split(";"):
            self.db.execute(statement)
        epoch = int.from_bytes(os.urandom(6), "big") | 1
        self.db.execute("INSERT INTO meta VALUES (?, ?, 0, 0, ?)", (SCHEMA_VERSION, epoch, os.urandom(6).hex()))

    def _check(self, version: int) -> None:
        if version != SCHEMA_VERSION:
            raise LedgerError(
                f"{self.path}: unsupported schema version {version}; this program supports version {SCHEMA_VERSION}"
            )
        result = self.db.execute("PRAGMA quick_check(1)").fetchone()[0]
        if result != "ok":
            raise LedgerError(f"{self.path}: corrupt database: {result}")

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Run the body as one transaction, which is committed at its end or rolled back if it raises.

        Raises:
            BusyError: Another process holds the write lock.
            FullError: The disk is full or read-only.

        """
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
