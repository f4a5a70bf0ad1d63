"""What the object API needs of accounts; and the old file of accounts, which is imported once."""

from __future__ import annotations

from collections.abc import Awaitable, Iterable
from pathlib import Path
from typing import Protocol

import msgspec

from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.lifecycle import TenantState
from hophinge.tenancy.records import Account, Bucket, Key, row_of


class Volume(msgspec.Struct, frozen=True):
    """A bucket's volume on the backends, and its plan."""

    id: str
    plan: str


class AuthenticatedRequest(msgspec.Struct, frozen=True):
    """The tenant of a request, and the bucket that it is for."""

    tenant: str
    bucket: str
    volume: Volume


class AccountAccess(Protocol):
    """The accounts, as the object API uses them."""

    def admit(self, token: str, bucket: str, request: object, connection: object) -> AuthenticatedRequest:
        """Return the tenant of a key and its bucket's volume; raises ObjectError, also where a quota is reached."""

    def dropped(self, resource: object) -> None:
        """Record the end of a connection or request."""

    def reserve_upload(self, guest: AuthenticatedRequest, name: str) -> Awaitable[None]:
        """Reserve one more upload of the quota; raises ObjectError where it is used up."""

    def record_upload(self, guest: AuthenticatedRequest, name: str, upload: str) -> None:
        """Record an open upload."""

    def forget_upload(self, upload: str) -> None:
        """Record that an upload was completed or aborted."""

    def count_bytes(self, guest: AuthenticatedRequest, direction: int, size: int) -> None:
        """Count bytes of a body; the direction is `INBOUND` or `OUTBOUND`."""

    def count_request(self, guest: AuthenticatedRequest, status: int) -> None:
        """Count the end of a request, by its HTTP status."""


class OldKey(msgspec.Struct):
    """An access key in the old file: its public id and the digest of its secret."""

    id: str
    digest: str


class OldTenant(msgspec.Struct):
    """One account in the old file."""

    name: str
    disabled: bool = False
    keys: list[OldKey] = []
    volumes: dict[str, Volume] = {}


class OldFile(msgspec.Struct):
    """The old file of accounts (JSON)."""

    tenants: dict[str, OldTenant] = {}


def import_accounts(path: Path, now_ms: int) -> list[Row]:
    """Return the rows of the old file; raises OSError and msgspec.MsgspecError."""
    rows: list[Row] = []
    for name, old in msgspec.json.decode(path.read_bytes(), type=OldFile).tenants.items():
        state = TenantState.SUSPENDED if old.disabled else TenantState.ACTIVE
        rows.append(row_of(Account(name, state, created_ms=now_ms)))
        rows += [row_of(Key(name, key.id, key.digest, created_ms=now_ms)) for key in old.keys]
        rows += [row_of(Bucket(name, bucket, one.id, one.plan, now_ms)) for bucket, one in old.volumes.items()]
    return rows


def export_accounts(rows: Iterable[Row]) -> bytes:
    """Return accounts in the form of the old file; what it has no field for is left out, as are keys that expire."""
    accounts = Accounts()
    accounts.apply(rows)
    found = OldFile()
    for name, held in sorted(accounts.tenants.items()):
        if held.state in (TenantState.ACTIVE, TenantState.SUSPENDED):
            keys = [accounts.keys[key] for key in sorted(accounts.key_ids.get(name, ()))]
            found.tenants[name] = OldTenant(
                name,
                held.state is TenantState.SUSPENDED,
                [OldKey(key.id, key.digest) for key in keys if not key.expires_ms and key.role.value == "data"],
                {bucket: Volume(one.id, one.plan) for bucket, one in sorted(accounts.buckets.get(name, {}).items())},
            )
    return msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n"
