"""Writes accounts for tests into a ledger, as the program does."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Mapping
from pathlib import Path

from hophinge.state.ledger import Ledger
from hophinge.state.rows import AuditEntry, LedgerChange, Row
from hophinge.tenancy.records import Account, Bucket, Key, Quotas, Role, digest_of, row_of

NUMBERS = itertools.count(1)


def write(ledger: Ledger, *rows: Row, what: str = "test") -> int:
    return ledger.change(
        lambda: LedgerChange(list(rows), AuditEntry(next(NUMBERS), "tester", "operator", what, "", {}))
    )


def tenant(
    path: Path,
    name: str = "alba",
    buckets: Mapping[str, str] | None = None,
    role: Role = Role.DATA,
    quotas: Quotas | None = None,
) -> str:
    """Create a tenant, or add to it, with buckets by plan and a key; returns the key with its secret."""
    ledger = Ledger(path)
    secret, key = secrets.token_urlsafe(32), f"hk{secrets.token_hex(8)}"
    write(
        ledger,
        row_of(Account(name, quotas=quotas or Quotas())),
        row_of(Key(name, key, digest_of(secret), role)),
        *(
            row_of(Bucket(name, bucket, secrets.token_hex(8), plan))
            for bucket, plan in ({"receipts": "priority"} if buckets is None else buckets).items()
        ),
    )
    ledger.close()
    return f"{key}.{secret}"
