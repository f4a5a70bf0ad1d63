"""Rows that last, each change with its place in an audit chained by hash, in SQLite; one file for an installation.

The promise, sentence by sentence. A change is one transaction: its rows, its audit entry and the answer kept for its
repetition are there together or not at all. What `change` has returned from is on the disk (synchronous FULL). Each row
knows the number of the change that it had last, and removed rows leave their names, so whoever has all changes up to a
number gets the later ones alone, until names were forgotten: then it gets everything. Two processes may use one file,
as during an upgrade: each change sees all that were committed before. An entry's hash covers the entry and the hash
before it, so whoever changes, removes or inserts one changes all hashes after it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from hophinge.state.audit import GENESIS, chained
from hophinge.state.audit import verify as verify
from hophinge.state.errors import BusyError as BusyError
from hophinge.state.errors import FullError as FullError
from hophinge.state.errors import LedgerError as LedgerError
from hophinge.state.rows import Entry, Kept, Row
from hophinge.state.tallies import Tallies

GONE_KEPT = 100_000  # names of removed rows
ANSWERS_MS = 24 * 3600 * 1000  # an answer to a repeated call is kept for a day


class Ledger(Tallies):
    """One open file; `heard` is told rows that changed, whoever changed them, in their order."""

    def __init__(self, path: Path, heard: Callable[[Iterable[Row]], None] = lambda rows: None) -> None:
        super().__init__(path)
        self.heard = heard
        self.seq = 0  # of a copy it may be less than it had: what it hears again changes nothing
        self.refresh()

    # --- rows

    def refresh(self) -> None:
        """Hear of what another process has changed."""
        rows = [
            Row(*found)
            for found in self.db.execute(
                "SELECT kind, name, body, seq FROM row WHERE seq > ? ORDER BY seq", (self.seq,)
            )
        ]
        if rows:
            self.seq = rows[-1].seq
            self.heard(rows)

    def change(
        self, decide: Callable[[], tuple[list[Row], Entry, Kept | None]], caller: str = "", key: str = ""
    ) -> int:
        """Change rows by what `decide` tells when all earlier changes are heard of; tells the change's number.

        What `decide` raises ends the change. `caller` and `key` name the call whose answer is kept.
        """
        rows: list[Row] = []
        with self.write():
            self.refresh()
            made, entry, kept = decide()
            seq, before = self.db.execute("SELECT seq, hash FROM audit ORDER BY seq DESC LIMIT 1").fetchone() or (
                0,
                GENESIS,
            )
            seq = max(seq, self.seq) + 1
            rows = [Row(row.kind, row.name, row.body, seq) for row in made]
            self.db.executemany(
                "INSERT INTO row VALUES (?,?,?,?) ON CONFLICT(kind, name) DO UPDATE SET "
                "body = excluded.body, seq = excluded.seq",
                [(row.kind, row.name, row.body, seq) for row in rows],
            )
            body = msgspec.json.encode(entry, order="deterministic")
            self.db.execute("INSERT INTO audit VALUES (?,?,?)", (seq, body, chained(before, seq, body)))
            if kept is not None:
                self.db.execute(
                    "INSERT OR REPLACE INTO answer VALUES (?,?,?,?,?,?)",
                    (caller, key, kept.asked, kept.status, kept.body, entry.at_ms),
                )
                self.db.execute("DELETE FROM answer WHERE at_ms < ?", (entry.at_ms - ANSWERS_MS,))
            self.db.execute("UPDATE meta SET seen_ms = max(seen_ms, ?)", (entry.at_ms,))
            if any(row.body is None for row in rows):
                self._forget()
        # Heard only now: what could not be committed is nowhere.
        self.seq = seq
        self.heard(rows)
        return seq

    def _forget(self) -> None:
        """Forget the oldest names of removed rows, once they are many."""
        gone = self.db.execute("SELECT count(*) FROM row WHERE body IS NULL").fetchone()[0]
        if gone > 2 * GONE_KEPT:
            floor = self.db.execute(
                "SELECT seq FROM row WHERE body IS NULL ORDER BY seq LIMIT 1 OFFSET ?", (gone - GONE_KEPT,)
            ).fetchone()[0]
            self.db.execute("DELETE FROM row WHERE body IS NULL AND seq < ?", (floor,))
            self.db.execute("UPDATE meta SET floor = ?", (floor,))

    def floor(self) -> int:
        """Tell the number below which names of removed rows were forgotten."""
        return int(self.db.execute("SELECT floor FROM meta").fetchone()[0])

    def page(self, since: int, most: int, gone_after: int = -1) -> list[Row]:
        """Tell rows after a change's number in order, about `most`, removed ones only after `gone_after`.

        A change is never cut: the last one may bring more rows than were asked for.
        """
        until = (
            self.db.execute(
                "SELECT max(seq) FROM (SELECT seq FROM row WHERE seq > ? AND (body IS NOT NULL OR "
                "seq > ?) ORDER BY seq LIMIT ?)",
                (since, gone_after, most),
            ).fetchone()[0]
            or since
        )
        return [
            Row(*found)
            for found in self.db.execute(
                "SELECT kind, name, body, seq FROM row WHERE seq > ? AND seq <= ? AND (body IS NOT NULL OR seq > ?) "
                "ORDER BY seq",
                (since, until, gone_after),
            )
        ]

    def rows(self) -> list[Row]:
        """Tell all rows that are there."""
        return self.page(0, 1 << 40, 1 << 60)

    def copy(self, epoch: int, rows: Iterable[Row], seq: int, anew: bool, now_ms: int) -> None:
        """Take rows of another ledger, whose replica this is; `anew`: what they do not name is gone."""
        rows = list(rows)
        with self.write():
            if anew:
                named = {(row.kind, row.name) for row in rows}
                rows += [
                    Row(kind, name, None, seq)
                    for kind, name in self.db.execute("SELECT kind, name FROM row WHERE body IS NOT NULL")
                    if (kind, name) not in named
                ]
                self.db.execute("DELETE FROM row")
                self.db.execute("DELETE FROM audit")  # of another ledger; this one's entries are kept there
                self.db.execute("UPDATE meta SET epoch = ?, floor = 0", (epoch,))
            self.db.executemany(
                "INSERT INTO row VALUES (?,?,?,?) ON CONFLICT(kind, name) DO UPDATE SET "
                "body = excluded.body, seq = excluded.seq",
                [(row.kind, row.name, row.body, row.seq) for row in rows],
            )
            self.db.execute("UPDATE meta SET seen_ms = max(seen_ms, ?)", (now_ms,))
        self.epoch, self.seq = epoch, seq
        self.heard(rows)

    def seen_ms(self) -> int:
        """Tell the latest time that any change was made at."""
        return int(self.db.execute("SELECT seen_ms FROM meta").fetchone()[0])

    # --- answers to repeated calls

    def kept(self, caller: str, key: str, now_ms: int) -> Kept | None:
        """Tell the answer that a call with this key got before."""
        found = self.db.execute(
            "SELECT asked, status, body FROM answer WHERE caller = ? AND key = ? AND at_ms >= ?",
            (caller, key, now_ms - ANSWERS_MS),
        ).fetchone()
        return Kept(*found) if found else None

    # --- the audit

    def audit(self, after: int, most: int) -> list[tuple[int, Entry, str]]:
        """Tell entries after a number, the oldest first, each with its hash."""
        return [
            (seq, msgspec.json.decode(entry, type=Entry), mark.hex())
            for seq, entry, mark in self.db.execute(
                "SELECT seq, entry, hash FROM audit WHERE seq > ? ORDER BY seq LIMIT ?", (after, most)
            )
        ]

    def head(self) -> tuple[int, str]:
        """Tell the last entry's number and hash; kept elsewhere, it shows that entries were cut off."""
        seq, mark = self.db.execute("SELECT seq, hash FROM audit ORDER BY seq DESC LIMIT 1").fetchone() or (0, GENESIS)
        return seq, mark.hex()
