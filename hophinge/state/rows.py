"""Data types of a ledger, free of I/O: rows, audit entries and stored responses to idempotent calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

UsageKey = tuple[str, str, str]
"""Tenant, volume and metered field that an amount of usage is counted under."""


class Row(msgspec.Struct, frozen=True):
    """One row; a row without a body is the tombstone of a removed one."""

    kind: str
    name: str
    body: bytes | None
    seq: int = 0  # number of the change that wrote it last


class AuditEntry(msgspec.Struct, frozen=True):
    """One change as the audit records it; `detail` names what changed and never holds a secret."""

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
    """Result of checking a hash chain: entries that are intact, the last intact hash, the first modified entry."""

    intact_entries: int
    last_hash: str
    modified: ModifiedEntry | None
