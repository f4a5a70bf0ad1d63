"""What a front needs of an account; and the old file of accounts, which is taken over once."""

from __future__ import annotations

from collections.abc import Awaitable, Iterable
from pathlib import Path
from typing import Protocol

import msgspec

from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import Account, Bucket, Key, row_of
from hophinge.tenancy.lifecycle import TenantState


class Volume(msgspec.Struct, frozen=True):
    """A bucket's volume on the bricks and the plan that it stands on."""

    id: str
    plan: str


class AuthenticatedRequest(msgspec.Struct, frozen=True):
    """Whose request it is, and the bucket that it is for."""

    tenant: str
    bucket: str
    volume: Volume


class Admission(Protocol):
    """What the front asks of the accounts."""

    def admit(self, token: str, bucket: str, request: object, connection: object) -> AuthenticatedRequest:
        """Tell whose key this is and its bucket's volume; raises ObjectError, also where a bound is reached."""

    def dropped(self, resource: object) -> None:
        """Note the end of a connection or request."""

    def reserve_upload(self, guest: AuthenticatedRequest, name: str) -> Awaitable[None]:
        """Ask for room for one more upload; raises ObjectError where there is none."""

    def record_upload(self, guest: AuthenticatedRequest, name: str, upload: str) -> None:
        """Note an open upload."""

    def forget_upload(self, upload: str) -> None:
        """Note that an upload was completed or aborted."""

    def moved(self, guest: AuthenticatedRequest, direction: int, size: int) -> None:
        """Count bytes."""

    def ended(self, guest: AuthenticatedRequest, status: int) -> None:
        """Count a request's end."""


class OldKey(msgspec.Struct):
    """An access key: its public id and the digest of its secret."""

    id: str
    digest: str


class OldTenant(msgspec.Struct):
    """One account."""

    name: str
    disabled: bool = False
    keys: list[OldKey] = []
    volumes: dict[str, Volume] = {}


class OldFile(msgspec.Struct):
    """The file."""

    tenants: dict[str, OldTenant] = {}


def import_accounts(path: Path, now_ms: int) -> list[Row]:
    """Read the old file as rows; raises OSError and msgspec's errors."""
    rows: list[Row] = []
    for name, old in msgspec.json.decode(path.read_bytes(), type=OldFile).tenants.items():
        state = TenantState.SUSPENDED if old.disabled else TenantState.ACTIVE
        rows.append(row_of(Account(name, state, created_ms=now_ms)))
        rows += [row_of(Key(name, key.id, key.digest, created_ms=now_ms)) for key in old.keys]
        rows += [row_of(Bucket(name, bucket, one.id, one.plan, now_ms)) for bucket, one in old.volumes.items()]
    return rows


def export_accounts(rows: Iterable[Row]) -> bytes:
    """Write accounts as the old file has them; what it has no place for is left out, as are keys that end."""
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
