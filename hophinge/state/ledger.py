"""Ledger in one SQLite file: rows that are changed in transactions, each with an entry in a hash-chained audit log.

Guarantees:

* A change is one transaction: its rows, its audit entry and the response stored for its retry are written together or
  not at all.
* When `change` has returned, the change is on disk (`synchronous=FULL`).
* Each row has the sequence number of the change that last wrote it, and removed rows leave tombstones. A replica that
  has all changes up to some number therefore needs only the later ones. Once tombstones above that number have been
  dropped, it needs a full copy.
* Several processes may use one file, as during an upgrade: each change sees all changes committed before it.
* An audit entry's hash covers the entry and the previous hash (see `hophinge.state.audit`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

import msgspec

from hophinge.state.audit import GENESIS_HASH, entry_hash
from hophinge.state.audit import verify as verify
from hophinge.state.counters import Counters
from hophinge.state.errors import BusyError as BusyError
from hophinge.state.errors import FullError as FullError
from hophinge.state.errors import LedgerError as LedgerError
from hophinge.state.rows import AuditEntry, AuditHead, IdempotentResponse, LedgerChange, Row, StoredAuditEntry

MAX_TOMBSTONES = 100_000  # the newest ones, kept when old ones are dropped; these are dropped beyond twice as many
RESPONSE_RETENTION_MS = 24 * 3600 * 1000  # how long a response is stored for retries of its call


class Ledger(Counters):
    """One open ledger file; `on_rows_changed` is called with committed rows in order, whichever process wrote them."""

    def __init__(self, path: Path, on_rows_changed: Callable[[Iterable[Row]], None] = lambda rows: None) -> None:
        super().__init__(path)
        self.on_rows_changed = on_rows_changed
        self.seq = 0  # sequence number of the last change loaded; a reopened replica may begin below its earlier one
        self.refresh()

    # --- rows

    def refresh(self) -> None:
        """Load rows that other processes have committed, and pass them to `on_rows_changed`."""
        rows = [
            Row(*columns)
            for columns in self.db.execute(
                "SELECT kind, name, body, seq FROM row WHERE seq > ? ORDER BY seq", (self.seq,)
            )
        ]
        if rows:
            self.seq = rows[-1].seq
            self.on_rows_changed(rows)

    def change(self, decide: Callable[[], LedgerChange], caller: str = "", key: str = "") -> int:
        """Commit the change that `decide` returns.

        Args:
            decide: Called within the transaction, after all earlier changes were loaded; if it raises, the transaction
                is rolled back.
            caller: Identity of the caller, under which the response is stored.
            key: Idempotency key of the call.

        Returns:
            The sequence number of the change.

        """
        with self.transaction():
            self.refresh()
            change = decide()
            previous = self._last_audit_row()
            seq = max(previous[0], self.seq) + 1
            rows = [Row(row.kind, row.name, row.body, seq) for row in change.rows]
            self._write_rows(rows)
            body = msgspec.json.encode(change.entry, order="deterministic")
            self.db.execute("INSERT INTO audit VALUES (?,?,?)", (seq, body, entry_hash(previous[1], seq, body)))
            at_ms = change.entry.at_ms
            if change.response is not None:
                self._store_response(caller, key, change.response, at_ms)
            self.db.execute("UPDATE meta SET seen_ms = max(seen_ms, ?)", (at_ms,))
            if any(row.body is None for row in rows):
                self._drop_old_tombstones()
        # Only after the commit: a change that could not be committed must not become visible in memory.
        self.seq = seq
        self.on_rows_changed(rows)
        return seq

    def _last_audit_row(self) -> tuple[int, bytes]:
        row = self.db.execute("SELECT seq, hash FROM audit ORDER BY seq DESC LIMIT 1").fetchone()
        return (row[0], row[1]) if row else (0, GENESIS_HASH)

    def _write_rows(self, rows: Sequence[Row]) -> None:
        self.db.executemany(
            "INSERT INTO row VALUES (?,?,?,?) ON CONFLICT(kind, name) DO UPDATE SET "
            "body = excluded.body, seq = excluded.seq",
            [(row.kind, row.name, row.body, row.seq) for row in rows],
        )

    def _drop_old_tombstones(self) -> None:
        tombstones = self.db.execute("SELECT count(*) FROM row WHERE body IS NULL").fetchone()[0]
        if tombstones <= 2 * MAX_TOMBSTONES:
            return
        floor = self.db.execute(
            "SELECT seq FROM row WHERE body IS NULL ORDER BY seq LIMIT 1 OFFSET ?", (tombstones - MAX_TOMBSTONES,)
        ).fetchone()[0]
        self.db.execute("DELETE FROM row WHERE body IS NULL AND seq < ?", (floor,))
        self.db.execute("UPDATE meta SET floor = ?", (floor,))

    def tombstone_floor(self) -> int:
        """Return the sequence number below which tombstones were dropped."""
        return int(self.db.execute("SELECT floor FROM meta").fetchone()[0])

    def page(self, since: int, limit: int, tombstones_after: int = -1) -> list[Row]:
        """Return rows that were last written after a change, ordered by sequence number.

        Args:
            since: Sequence number of that change.
            limit: Approximate number of rows; it may be exceeded, as the rows of one change are never split.
            tombstones_after: Only tombstones with a higher sequence number are included.

        """
        last_seq = (
            self.db.execute(
                "SELECT max(seq) FROM (SELECT seq FROM row WHERE seq > ? AND (body IS NOT NULL OR "
                "seq > ?) ORDER BY seq LIMIT ?)",
                (since, tombstones_after, limit),
            ).fetchone()[0]
            or since
        )
        return [
            Row(*columns)
            for columns in self.db.execute(
                "SELECT kind, name, body, seq FROM row WHERE seq > ? AND seq <= ? AND (body IS NOT NULL OR seq > ?) "
                "ORDER BY seq",
                (since, last_seq, tombstones_after),
            )
        ]

    def rows(self) -> list[Row]:
        """Return all rows except tombstones."""
        return self.page(0, 1 << 40, 1 << 60)

    def replicate(self, epoch: int, rows: Iterable[Row], seq: int, replace_all: bool, now_ms: int) -> None:
        """Apply rows received from the ledger that this one replicates.

        Args:
            epoch: Epoch of the source ledger.
            rows: Its changed rows.
            seq: Sequence number of the last change that `rows` cover.
            replace_all: The rows are a full copy: all other rows are removed.
            now_ms: Milliseconds since 1970.

        """
        rows = list(rows)
        with self.transaction():
            if replace_all:
                named = {(row.kind, row.name) for row in rows}
                rows += [
                    Row(kind, name, None, seq)
                    for kind, name in self.db.execute("SELECT kind, name FROM row WHERE body IS NOT NULL")
                    if (kind, name) not in named
                ]
                self.db.execute("DELETE FROM row")
                self.db.execute("DELETE FROM audit")  # its entries belong to another ledger, which keeps them
                self.db.execute("UPDATE meta SET epoch = ?, floor = 0", (epoch,))
            self._write_rows(rows)
            self.db.execute("UPDATE meta SET seen_ms = max(seen_ms, ?)", (now_ms,))
        self.epoch = epoch
        self.seq = seq
        self.on_rows_changed(rows)

    def last_change_ms(self) -> int:
        """Return the latest time that any change recorded, in milliseconds since 1970."""
        return int(self.db.execute("SELECT seen_ms FROM meta").fetchone()[0])

    # --- responses to idempotent calls

    def stored_response(self, caller: str, key: str, now_ms: int) -> IdempotentResponse | None:
        """Return the response to an earlier call with this idempotency key; None if there is none or it has expired."""
        columns = self.db.execute(
            "SELECT asked, status, body FROM answer WHERE caller = ? AND key = ? AND at_ms >= ?",
            (caller, key, now_ms - RESPONSE_RETENTION_MS),
        ).fetchone()
        return IdempotentResponse(*columns) if columns else None

    def _store_response(self, caller: str, key: str, response: IdempotentResponse, at_ms: int) -> None:
        self.db.execute(
            "INSERT OR REPLACE INTO answer VALUES (?,?,?,?,?,?)",
            (caller, key, response.request_digest, response.status, response.body, at_ms),
        )
        self.db.execute("DELETE FROM answer WHERE at_ms < ?", (at_ms - RESPONSE_RETENTION_MS,))

    # --- audit log

    def audit_entries(self, after: int, limit: int) -> list[StoredAuditEntry]:
        """Return audit entries after a sequence number, oldest first."""
        return [
            StoredAuditEntry(seq, msgspec.json.decode(entry, type=AuditEntry), stored_hash.hex())
            for seq, entry, stored_hash in self.db.execute(
                "SELECT seq, entry, hash FROM audit WHERE seq > ? ORDER BY seq LIMIT ?", (after, limit)
            )
        ]

    def audit_head(self) -> AuditHead:
        """Return the newest audit entry's number and hash; a copy stored elsewhere reveals a later truncation."""
        seq, stored_hash = self._last_audit_row()
        return AuditHead(seq, stored_hash.hex())
