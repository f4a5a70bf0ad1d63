"""Data types of a ledger, free of I/O: rows, audit entries and stored responses to idempotent calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

UsageKey = tuple[str, str, str]
"""Tenant, volume and metered field of a usage total."""


class Row(msgspec.Struct, frozen=True):
    """One row; a row without a body is the tombstone of a removed row."""

    kind: str
    name: str
    body: bytes | None
    seq: int = 0  # sequence number of the change that last wrote it


class AuditEntry(msgspec.Struct, frozen=True):
    """One change as the audit log records it; `detail` names what changed and never contains a secret."""

    at_ms: int
    actor: str = msgspec.field(name="who")
    role: str
    action: str = msgspec.field(name="what")
    target: str
    detail: Mapping[str, object] = {}


class IdempotentResponse(msgspec.Struct, frozen=True):
    """The response to a call with an idempotency key, stored so that a retry gets the same one."""

    request_digest: bytes
    status: int
    body: bytes


class LedgerChange(NamedTuple):
    """Everything that one transaction of a ledger writes."""

    rows: list[Row]
    entry: AuditEntry
    response: IdempotentResponse | None = None


class StoredAuditEntry(NamedTuple):
    """An audit entry with its sequence number and its hash in hexadecimal."""

    seq: int
    entry: AuditEntry
    hash: str


class AuditHead(NamedTuple):
    """Sequence number and hash (hexadecimal) of the newest audit entry."""

    seq: int
    hash: str


class ModifiedEntry(msgspec.Struct, frozen=True):
    """The first audit entry that differs from what was written."""

    seq: int
    reason: str


class AuditVerification(NamedTuple):
    """Result of checking a hash chain: number of intact entries, the last intact hash, and the first modified entry."""

    intact_entries: int
    last_hash: str
    modified: ModifiedEntry | None
