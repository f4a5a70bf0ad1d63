"""The control service's store in SQLite: versions, the rollout plan, known heads and the audit log.

When a call returns, its changes are on disk (one transaction each, `synchronous=FULL`), so that no head is sent a
version that a crash could undo. Only one process at a time can open a store; a second one gets an error.
"""

from __future__ import annotations

import fcntl
import os
import secrets
import sqlite3
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hophinge.control.maintenance_wire import encode_statements
from hophinge.control.messages import NO_VERSION, VersionId
from hophinge.control.rollout import RolloutPlan
from hophinge.control.schema import ADDED_TABLES, SCHEMA
from hophinge.control.snapshot import Snapshot
from hophinge.control.transaction import Transaction
from hophinge.core.errors import HophingeError
from hophinge.routing import records
from hophinge.routing.records import Record

SCHEMA_VERSION = 1
OPEN_TIMEOUT_S = 5.0  # waiting for another process's transaction
SERIALS_PER_BLOCK = 10**9  # leases that one start of the service may grant
MAX_CACHED_SNAPSHOTS = 16  # kept in memory in addition to those in use


class StoreError(HophingeError):
    """The store cannot be used, or a request is not valid for its content."""

    code = "control-store-unfit"
    remedy = "Fix the problem with the store or the request that the message names, and retry; nothing was stored."


class KnownHead(NamedTuple):
    """A head that was ever observed; the time is in milliseconds since 1970."""

    name: str
    last_seen_ms: int


@dataclass(frozen=True)
class NewVersion:
    """A version to be stored: its records as JSON by name, its rollout rule, and the details for its history."""

    bodies: Mapping[str, bytes]
    rule: records.RolloutRule
    author: str
    note: str = ""
    source: bytes = b""  # text of the document
    statements: Sequence[Record] | None = None  # maintenance statements; None leaves the stored ones unchanged


class _VersionRecords:
    """Records of a version by name; `advance` applies the stored changes of the next version."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db
        self.bodies: dict[str, bytes] = {}
        self.changed_in: dict[str, VersionId] = {}

    def advance(self, version_id: VersionId) -> None:
        changes = self.db.execute("SELECT name, body FROM record WHERE epoch = ? AND number = ?", version_id)
        for name, body in changes:
            if body is None:
                self.bodies.pop(name, None)
            else:
                self.bodies[name] = body
                self.changed_in[name] = version_id


class ControlStore:
    """An open store; `snapshots` has the versions in memory by id."""

    def __init__(self, path: Path, new_epoch: bool = False) -> None:
        """Open a store, or create it.

        Args:
            path: The SQLite file; a lock file is created beside it.
            new_epoch: Begin a new epoch, whose versions are higher than all earlier ones; needed after the store was
                restored from a backup.

        Raises:
            StoreError: Another process has the store open, or the store cannot be read.

        """
        path.parent.mkdir(parents=True, exist_ok=True)
        self.fencing_token = 0  # each start of a service gets a higher one, and only the highest may write
        self.lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise StoreError(f"{path}: another control service uses this store") from error
        try:
            self.db = sqlite3.connect(path, isolation_level=None, timeout=OPEN_TIMEOUT_S)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")
            self._open(new_epoch)
        except sqlite3.DatabaseError as error:
            os.close(self.lock)
            raise StoreError(f"{path}: {error}") from error
        self.snapshots: dict[VersionId, Snapshot] = {}
        self._load_snapshots()

    def _open(self, new_epoch: bool) -> None:
        self._create_tables_if_missing()
        version, self.epoch = self.db.execute("SELECT form, epoch FROM meta").fetchone()
        if version != SCHEMA_VERSION:
            raise StoreError(
                f"unsupported schema version {version} of the store; this program supports version {SCHEMA_VERSION}"
            )
        if new_epoch:
            with self.transaction():
                self.db.execute("UPDATE meta SET epoch = epoch + 1")
            self.epoch += 1
        with self.transaction():
            self.db.execute(
                "INSERT INTO fence VALUES (1, ?, 1) ON CONFLICT(one) DO UPDATE SET fence = fence + 1",
                (secrets.token_hex(8),),
            )
        self.issuer, self.fencing_token = self.db.execute("SELECT issuer, fence FROM fence").fetchone()

    def _create_tables_if_missing(self) -> None:
        tables = self.db.execute("SELECT count(*) FROM sqlite_master WHERE name = 'meta'").fetchone()[0]
        if not tables:
            with self.transaction():
                for statement in SCHEMA.split(";"):
                    self.db.execute(statement)
                self.db.execute("INSERT INTO meta VALUES (?, 1)", (SCHEMA_VERSION,))
        for statement in ADDED_TABLES.split(";"):
            self.db.execute(statement)

    def transaction(self) -> Transaction:
        """Return a transaction, whose start raises FencedError once another service has opened the store."""
        return Transaction(self.db, self.fencing_token)

    def _load_snapshots(self) -> None:
        """Rebuild the versions in use, and the newest ones, from the stored changes."""
        plan = self.rollout_plan()
        version_ids: list[VersionId] = [
            (epoch, number)
            for epoch, number in self.db.execute("SELECT epoch, number FROM version ORDER BY epoch, number")
        ]
        needed = {plan.stable, plan.target, *version_ids[-MAX_CACHED_SNAPSHOTS:]}
        newest_needed = max((version_id for version_id in version_ids if version_id in needed), default=NO_VERSION)
        version_records = _VersionRecords(self.db)
        previous: Snapshot | None = None
        for version_id in version_ids:
            if version_id > newest_needed:
                break
            version_records.advance(version_id)
            if version_id in needed:
                pushed_ms = self.db.execute(
                    "SELECT pushed_ms FROM version WHERE epoch = ? AND number = ?", version_id
                ).fetchone()[0]
                previous = Snapshot.rebuild(
                    version_id, version_records.bodies, version_records.changed_in, previous, pushed_ms
                )
                self.snapshots[version_id] = previous

    # --- versions

    @property
    def newest(self) -> Snapshot | None:
        """The newest version; None if there is none."""
        return self.snapshots[max(self.snapshots)] if self.snapshots else None

    def push(self, version: NewVersion, now_ms: int, plan_for: Callable[[VersionId], RolloutPlan]) -> Snapshot:
        """Store a version and its rollout plan in one transaction; the version gets the next number of the epoch.

        Args:
            version: The version.
            now_ms: Milliseconds since 1970.
            plan_for: Returns the plan for the new version's id; if it raises, the transaction is rolled back.

        """
        previous = self.newest
        previous_records = previous.records if previous is not None else {}
        number = previous.id[1] + 1 if previous is not None and previous.id[0] == self.epoch else 1
        snapshot = Snapshot.create((self.epoch, number), version.bodies, previous, now_ms)
        changes: list[tuple[str, bytes | None]] = [
            (name, record.body) for name, record in snapshot.records.items() if previous_records.get(name) != record
        ]
        changed = len(changes)
        changes += [(name, None) for name in previous_records if name not in snapshot.records]
        removed = len(changes) - changed
        with self.transaction():
            self._insert_version(snapshot.id, version, now_ms, changed, removed)
            self.db.executemany(
                "INSERT INTO record VALUES (?,?,?,?)", [(*snapshot.id, name, body) for name, body in changes]
            )
            self._write_rollout_plan(plan_for(snapshot.id))
            if version.statements is not None:
                self.write_maintenance(encode_statements(version.statements))
            note = f": {version.note}" if version.note else ""
            detail = f"version {self.epoch}.{number}: {changed} changed, {removed} removed{note}"
            self.append_audit(now_ms, version.author, "push", detail)
        self.snapshots[snapshot.id] = snapshot
        return snapshot

    def _insert_version(
        self, version_id: VersionId, version: NewVersion, now_ms: int, changed: int, removed: int
    ) -> None:
        rule = records.encode(version.rule)
        source = zlib.compress(version.source)
        self.db.execute(
            "INSERT INTO version VALUES (?,?,?,?,?,?,?,?,?)",
            (*version_id, now_ms, version.author, version.note, changed, removed, rule, source),
        )

    def evict_snapshots(self, in_use: set[VersionId]) -> None:
        """Drop old versions that are not in use from memory; they stay in the store."""
        for version_id in sorted(self.snapshots)[:-MAX_CACHED_SNAPSHOTS]:
            if version_id not in in_use:
                del self.snapshots[version_id]

    def rollout_rule(self, version_id: VersionId) -> records.RolloutRule:
        """Return the rollout rule of a version; the default rule if there is no such version."""
        row = self.db.execute("SELECT rollout FROM version WHERE epoch = ? AND number = ?", version_id).fetchone()
        rule = records.decode(row[0]) if row else records.RolloutRule()
        assert isinstance(rule, records.RolloutRule)
        return rule

    def version_records(self, version_id: VersionId) -> dict[str, bytes]:
        """Return the records of any stored version as JSON by name; raises StoreError if there is no such version."""
        if not self.db.execute("SELECT 1 FROM version WHERE epoch = ? AND number = ?", version_id).fetchone():
            raise StoreError(f"there is no version {version_id[0]}.{version_id[1]}")
        bodies: dict[str, bytes] = {}
        for name, body in self.db.execute(
            "SELECT name, body FROM record WHERE (epoch, number) <= (?, ?) ORDER BY epoch, number", version_id
        ):
            if body is None:
                bodies.pop(name, None)
            else:
                bodies[name] = body
        return bodies

    def history(self, limit: int) -> list[dict[str, Any]]:
        """Return the newest versions as JSON objects, newest first."""
        rows = self.db.execute(
            "SELECT epoch, number, pushed_ms, who, note, changed, removed FROM version "
            "ORDER BY epoch DESC, number DESC LIMIT ?",
            (limit,),
        )
        return [
            {
                "version": f"{epoch}.{number}",
                "pushed_ms": pushed_ms,
                "who": author,
                "note": note,
                "changed": changed,
                "removed": removed,
            }
            for epoch, number, pushed_ms, author, note, changed, removed in rows
        ]

    def allocate_serials(self) -> int:
        """Return the first of a block of lease serials, above all ever allocated; it does not depend on the clock."""
        with self.transaction():
            self.db.execute("INSERT INTO block DEFAULT VALUES")
            block = int(self.db.execute("SELECT max(id) FROM block").fetchone()[0])
        return block * SERIALS_PER_BLOCK

    # --- rollout plan, heads, audit log

    def rollout_plan(self) -> RolloutPlan:
        """Return the stored plan; an empty plan if there is none."""
        row = self.db.execute("SELECT body FROM course").fetchone()
        return msgspec.json.decode(row[0], type=RolloutPlan) if row else RolloutPlan()

    def set_rollout_plan(self, plan: RolloutPlan, actor: str, action: str, detail: str, now_ms: int) -> None:
        """Store a plan with an audit entry; an empty `action` adds none."""
        with self.transaction():
            self._write_rollout_plan(plan)
            if action:
                self.append_audit(now_ms, actor, action, detail)

    def _write_rollout_plan(self, plan: RolloutPlan) -> None:
        self.db.execute(
            "INSERT INTO course VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET body = excluded.body",
            (msgspec.json.encode(plan),),
        )

    def known_heads(self) -> list[KnownHead]:
        """Return all heads that were ever observed, by name."""
        return [
            KnownHead(name, seen_ms)
            for name, seen_ms in self.db.execute("SELECT name, seen_ms FROM head ORDER BY name")
        ]

    def record_head(self, name: str, now_ms: int) -> None:
        """Record when a head was last observed."""
        with self.transaction():
            self.db.execute(
                "INSERT INTO head VALUES (?, ?) ON CONFLICT(name) DO UPDATE SET seen_ms = excluded.seen_ms",
                (name, now_ms),
            )

    def head_count(self) -> int:
        """Return the number of heads in the installation, as last reported by one of them; 0 if none ever has."""
        row = self.db.execute("SELECT heads FROM size").fetchone()
        return int(row[0]) if row else 0

    def set_head_count(self, heads: int) -> None:
        """Store the number of heads in the installation."""
        with self.transaction():
            self.db.execute(
                "INSERT INTO size VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET heads = excluded.heads", (heads,)
            )

    def write_maintenance(self, body: bytes) -> None:
        """Replace the maintenance statements; to be called within a transaction."""
        self.db.execute("INSERT INTO upkeep VALUES (1, ?) ON CONFLICT(one) DO UPDATE SET body = excluded.body", (body,))

    def append_audit(self, now_ms: int, actor: str, action: str, detail: str) -> None:
        """Append an audit entry; to be called within a transaction."""
        self.db.execute("INSERT INTO audit(at_ms, who, what, detail) VALUES (?,?,?,?)", (now_ms, actor, action, detail))

    def audit_entries(self, limit: int) -> list[dict[str, Any]]:
        """Return the newest audit entries as JSON objects, newest first."""
        rows = self.db.execute("SELECT at_ms, who, what, detail FROM audit ORDER BY id DESC LIMIT ?", (limit,))
        return [
            {"at_ms": at_ms, "who": actor, "what": action, "detail": detail} for at_ms, actor, action, detail in rows
        ]

    def close(self) -> None:
        """Close the store and release its lock."""
        self.db.close()
        os.close(self.lock)
