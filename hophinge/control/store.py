"""The control service's store: versions, the course of their rollout, known heads and the audit, in SQLite.

The promise: what a call has returned from is on the disk (one transaction each, synchronous FULL), so no head hears of
a version that a crash could take back. A store serves one process; a second one is told so.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import sqlite3
import zlib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from hophinge.control.publisher import Snapshot, rebuilt
from hophinge.control.rollout import Course
from hophinge.control.schema import LATER, SCHEMA
from hophinge.control.transaction import Transaction
from hophinge.control.wire import Order
from hophinge.core.errors import HophingeError
from hophinge.routing import records

FORM = 1
SERIALS = 10**9  # leases that one start of the service may give
KEPT = 16  # snapshots held in memory beside those in use


class StoreError(HophingeError):
    """A store that cannot be used, or a call that does not fit what it holds."""

    code = "control-store-unfit"
    remedy = "Mend what is said of the store or of the call, and repeat it; nothing was stored."


class Store:
    """The store of one control service."""

    def __init__(self, path: Path, new_epoch: bool = False) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.fence = 0  # grows with each start on this store; whoever has an older one may not write
        self.lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise StoreError(f"{path}: another control service uses this store") from error
        try:
            self.db = sqlite3.connect(path, isolation_level=None, timeout=5.0)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self._open(new_epoch)
        except sqlite3.DatabaseError as error:
            os.close(self.lock)
            raise StoreError(f"{path}: {error}") from error
        self.snapshots: dict[Order, Snapshot] = {}
        self._load()

    def _open(self, new_epoch: bool) -> None:
        tables = self.db.execute("SELECT count(*) FROM sqlite_master WHERE name = 'meta'").fetchone()[0]
        if not tables:
            with self.transaction():
                for statement in SCHEMA.split(";"):
                    self.db.execute(statement)
                self.db.execute("INSERT INTO meta VALUES (?, 1)", (FORM,))
        for statement in LATER.split(";"):
            self.db.execute(statement)
        form, self.epoch = self.db.execute("SELECT form, epoch FROM meta").fetchone()
        if form != FORM:
            raise StoreError(f"the store has form {form}; this version reads form {FORM}")
        if new_epoch:
            with self.transaction():
                self.db.execute("UPDATE meta SET epoch = epoch + 1")
            self.epoch += 1
        with self.transaction():
            self.db.execute(
                "INSERT INTO fence VALUES (1, ?, 1) ON CONFLICT(one) DO UPDATE SET fence = fence + 1",
                (secrets.token_hex(8),),
            )
        self.issuer, self.fence = self.db.execute("SELECT issuer, fence FROM fence").fetchone()

    def transaction(self) -> Transaction:
        """Tell a write that is done whole or not at all."""
        return Transaction(self.db, self.fence)

    def _load(self) -> None:
        """Make the versions in use, and those just before, out of their changes."""
        course = self.course()
        orders: list[Order] = [
            (epoch, number)
            for epoch, number in self.db.execute("SELECT epoch, number FROM version ORDER BY epoch, number")
        ]
        wanted = {course.stable, course.target, *orders[-KEPT:]}
        bodies: dict[str, bytes] = {}
        before: Snapshot | None = None
        last = max((order for order in orders if order in wanted), default=(0, 0))
        changed_at: dict[str, Order] = {}
        for order in orders:
            if order > last:
                break
            for name, body in self.db.execute("SELECT name, body FROM record WHERE epoch = ? AND number = ?", order):
                if body is None:
                    bodies.pop(name, None)
                else:
                    bodies[name], changed_at[name] = body, order
            if order in wanted:
                pushed = self.db.execute("SELECT pushed_ms FROM version WHERE epoch = ? AND number = ?", order)
                before = self.snapshots[order] = rebuilt(order, bodies, changed_at, before, pushed.fetchone()[0])

    # --- versions

    @property
    def newest(self) -> Snapshot | None:
        """Tell the newest version."""
        return self.snapshots[max(self.snapshots)] if self.snapshots else None

    def push(
        self,
        bodies: Mapping[str, bytes],
        rule: records.Rollout,
        who: str,
        note: str,
        source: bytes,
        now_ms: int,
        course: Callable[[Order], Course],
        upkeep: bytes | None = None,
    ) -> Snapshot:
        """Store a version whole, and the course of its rollout with it; it has the next number of the epoch."""
        before = self.newest
        number = before.order[1] + 1 if before is not None and before.order[0] == self.epoch else 1
        snapshot = Snapshot.made((self.epoch, number), bodies, before, now_ms)
        old = before.rows if before is not None else {}
        changed = [(name, row[2]) for name, row in snapshot.rows.items() if old.get(name) != row]
        removed = [name for name in old if name not in snapshot.rows]
        with self.transaction():
            self.db.execute(
                "INSERT INTO version VALUES (?,?,?,?,?,?,?,?,?)",
                (
                    *snapshot.order,
                    now_ms,
                    who,
                    note,
                    len(changed),
                    len(removed),
                    records.encode(rule),
                    zlib.compress(source),
                ),
            )
            self.db.executemany(
                "INSERT INTO record VALUES (?,?,?,?)",
                [(*snapshot.order, name, body) for name, body in changed]
                + [(*snapshot.order, name, None) for name in removed],
            )
            self._set_course(course(snapshot.order))
            if upkeep is not None:
                self.set_upkeep(upkeep)
            self.note(
                now_ms,
                who,
                "push",
                f"version {self.epoch}.{number}: {len(changed)} changed, "
                f"{len(removed)} removed{': ' if note else ''}{note}",
            )
        self.snapshots[snapshot.order] = snapshot
        return snapshot

    def forget(self, in_use: set[Order]) -> None:
        """Drop old versions from memory; they stay in the store."""
        for order in sorted(self.snapshots)[:-KEPT]:
            if order not in in_use:
                del self.snapshots[order]

    def rule(self, order: Order) -> records.Rollout:
        """Tell how a version is rolled out."""
        row = self.db.execute("SELECT rollout FROM version WHERE epoch = ? AND number = ?", order).fetchone()
        rule = records.decode(row[0]) if row else records.Rollout()
        assert isinstance(rule, records.Rollout)
        return rule

    def content(self, order: Order) -> dict[str, bytes]:
        """Tell a version's records, also of an old one; raises StoreError where there is none."""
        if not self.db.execute("SELECT 1 FROM version WHERE epoch = ? AND number = ?", order).fetchone():
            raise StoreError(f"there is no version {order[0]}.{order[1]}")
        bodies: dict[str, bytes] = {}
        for name, body in self.db.execute(
            "SELECT name, body FROM record WHERE (epoch, number) <= (?, ?) ORDER BY epoch, number", order
        ):
            if body is None:
                bodies.pop(name, None)
            else:
                bodies[name] = body
        return bodies

    def history(self, most: int) -> list[dict[str, Any]]:
        """Tell the newest versions, the newest first."""
        rows = self.db.execute(
            "SELECT epoch, number, pushed_ms, who, note, changed, removed FROM version "
            "ORDER BY epoch DESC, number DESC LIMIT ?",
            (most,),
        )
        return [
            {
                "version": f"{epoch}.{number}",
                "pushed_ms": pushed,
                "who": who,
                "note": note,
                "changed": changed,
                "removed": removed,
            }
            for epoch, number, pushed, who, note, changed, removed in rows
        ]

    def serials(self) -> int:
        """Tell a number for leases that is above any that was ever used, whatever the clocks say."""
        with self.transaction():
            self.db.execute("INSERT INTO block DEFAULT VALUES")
            block = int(self.db.execute("SELECT max(id) FROM block").fetchone()[0])
        return block * SERIALS

    # --- course, heads, audit

    def course(self) -> Course:
        """Tell the course that was stored last."""
        row = self.db.execute("SELECT body FROM course").fetchone()
        return msgspec.json.decode(row[0], type=Course) if row else Course()

    def set_course(self, course: Course, who: str, what: str, detail: str, now_ms: int) -> None:
        """Store a course, and what led to it for the audit; an empty `what` is no news."""
        with self.transaction():
            self._set_course(course)
            if what:
                self.note(now_ms, who, what, detail)

    def _set_course(self, course: Course) -> None:
        self.db.execute(
            "INSERT INTO course VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET body = excluded.body",
            (msgspec.json.encode(course),),
        )

    def heads(self) -> list[tuple[str, int]]:
        """Tell the heads ever heard of, and when last, in milliseconds since 1970."""
        return [(name, seen) for name, seen in self.db.execute("SELECT name, seen_ms FROM head ORDER BY name")]

    def saw(self, name: str, now_ms: int) -> None:
        """Note a head."""
        with self.transaction():
            self.db.execute(
                "INSERT INTO head VALUES (?, ?) ON CONFLICT(name) DO UPDATE SET seen_ms = excluded.seen_ms",
                (name, now_ms),
            )

    def size(self) -> int:
        """Tell how many heads the installation has, as one of them told it last; 0: none ever has."""
        row = self.db.execute("SELECT heads FROM size").fetchone()
        return int(row[0]) if row else 0

    def set_size(self, heads: int) -> None:
        """Store how many heads the installation has."""
        with self.transaction():
            self.db.execute(
                "INSERT INTO size VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET heads = excluded.heads", (heads,)
            )

    def set_upkeep(self, body: bytes) -> None:
        """Put the forms on maintenance in place of those before; within a transaction."""
        self.db.execute("INSERT INTO upkeep VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET body = excluded.body", (body,))

    def note(self, now_ms: int, who: str, what: str, detail: str) -> None:
        """Write a line of the audit; within a transaction."""
        self.db.execute("INSERT INTO audit(at_ms, who, what, detail) VALUES (?,?,?,?)", (now_ms, who, what, detail))

    def audit(self, most: int) -> list[dict[str, Any]]:
        """Tell what was done, the newest first."""
        rows = self.db.execute("SELECT at_ms, who, what, detail FROM audit ORDER BY id DESC LIMIT ?", (most,))
        return [{"at_ms": at, "who": who, "what": what, "detail": detail} for at, who, what, detail in rows]

    def close(self) -> None:
        """Close the store."""
        self.db.close()
        os.close(self.lock)
