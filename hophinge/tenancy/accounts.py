"""Tenants, their buckets and their keys: validates changes and authenticates keys. No I/O, no clock.

All changed rows are applied by `apply`, whichever process changed them. A requested change is checked against the
current rows and returned as the record to write. It takes effect only when its row is applied by `apply`, so that a
change which could not be stored has no effect.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from msgspec.structs import replace

from hophinge.state.rows import Row
from hophinge.tenancy.lifecycle import TenantAction, TenantState, next_state
from hophinge.tenancy.records import (
    BUCKET_KIND,
    MAX_OVERLAP_S,
    RECORD_TYPES,
    TENANT_KIND,
    Account,
    AccountError,
    Bucket,
    Key,
    Quotas,
    Role,
    Shares,
    checked_name,
    checked_note,
    digest_of,
)

MS_PER_S = 1000


class RotatedKeys(NamedTuple):
    """The new key of a rotation, and the old key if it remains valid for an overlap."""

    new: Key
    old: Key | None


class Accounts:
    """The accounts known to this process; `on_state_change` is called with each tenant whose state has changed."""

    def __init__(self, on_state_change: Callable[[str, TenantState | None], None] = lambda name, state: None) -> None:
        self.on_state_change = on_state_change
        self.tenants: dict[str, Account] = {}
        self.buckets: dict[str, dict[str, Bucket]] = {}  # by tenant and name
        self.keys: dict[str, Key] = {}  # by id
        self.key_ids: dict[str, set[str]] = {}  # by tenant
        self.volumes: dict[str, Bucket] = {}  # by volume id
        self.row_seqs: dict[tuple[str, str], int] = {}  # number of the last change of a row, by kind and name

    def apply(self, rows: Iterable[Row]) -> None:
        """Apply changed rows, in the order of their changes."""
        for row in rows:
            if row.kind in RECORD_TYPES:  # newer versions of the program may store other kinds too
                self._apply(row)

    def _apply(self, row: Row) -> None:
        record = msgspec.json.decode(row.body, type=RECORD_TYPES[row.kind]) if row.body is not None else None
        if record is None:
            self.row_seqs.pop((row.kind, row.name), None)
        else:
            self.row_seqs[row.kind, row.name] = row.seq
        if row.kind == TENANT_KIND:
            self._apply_tenant(row.name, record if isinstance(record, Account) else None)
        elif row.kind == BUCKET_KIND:
            self._apply_bucket(row.name, record if isinstance(record, Bucket) else None)
        else:
            self._apply_key(row.name, record if isinstance(record, Key) else None)

    def _apply_tenant(self, name: str, account: Account | None) -> None:
        before = self.tenants.pop(name, None)
        if account is not None:
            self.tenants[name] = account
        state = account.state if account is not None else None
        if (before.state if before else None) is not state:
            self.on_state_change(name, state)

    def _apply_bucket(self, row_name: str, bucket: Bucket | None) -> None:
        tenant, _, name = row_name.partition("/")
        before = self.buckets.get(tenant, {}).pop(name, None)
        if before is not None:
            self.volumes.pop(before.id, None)
            if not self.buckets[tenant]:
                del self.buckets[tenant]
        if bucket is not None:
            self.buckets.setdefault(tenant, {})[name] = bucket
            self.volumes[bucket.id] = bucket

    def _apply_key(self, key_id: str, key: Key | None) -> None:
        before = self.keys.pop(key_id, None)
        if before is not None:
            self.key_ids[before.tenant].discard(key_id)
            if not self.key_ids[before.tenant]:
                del self.key_ids[before.tenant]
        if key is not None:
            self.keys[key_id] = key
            self.key_ids.setdefault(key.tenant, set()).add(key_id)

    # --- queries

    def authenticate(self, token: str, now_ms: int) -> Key | None:
        """Return the key of a token; None if it is invalid, has expired, or its tenant is not active."""
        name, _, secret = token.partition(".")
        key = self.keys.get(name)
        # The comparison is done in constant time also for an unknown id, so that its duration reveals nothing.
        is_valid = hmac.compare_digest(key.digest if key else digest_of(""), digest_of(secret))
        if not is_valid or key is None or key.has_expired(now_ms) or not self.is_active(key.tenant):
            return None
        return key

    def is_active(self, tenant: str) -> bool:
        """Return whether a tenant exists and is active, so that its requests are served."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is TenantState.ACTIVE

    def owner(self, volume: str) -> str:
        """Return the tenant of a volume, or an empty string if it belongs to no bucket."""
        bucket = self.volumes.get(volume)
        return bucket.tenant if bucket is not None else ""

    def is_blocked(self, tenant: str) -> bool:
        """Return whether a tenant has an account that is not active; a tenant without an account is not blocked."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is not TenantState.ACTIVE

    def seq(self, kind: str, name: str) -> int:
        """Return the number of a row's last change; 0 if there is no such row."""
        return self.row_seqs.get((kind, name), 0)

    # --- changes: each returns the record to write, or raises AccountError

    def tenant(self, name: str) -> Account:
        """Return a tenant; raises AccountError if it does not exist or is closed."""
        account = self.tenants.get(name)
        if account is None or account.state is TenantState.CLOSED:
            raise AccountError("missing", f"no tenant {name}")
        return account

    def _open_tenant(self, name: str) -> Account:
        account = self.tenant(name)
        if account.state is TenantState.CLOSING:
            raise AccountError("state", f"tenant {name} is closing")
        return account

    def create(self, name: str, quotas: Quotas, shares: Shares, note: str, now_ms: int) -> Account:
        """Create a tenant; the name of a closed tenant can be used again once its purge has ended."""
        existing = self.tenants.get(checked_name(name, "tenant"))
        if existing is not None and existing.state is not TenantState.CLOSED:
            reason = (
                "exists"
                if existing.state is not TenantState.CLOSING
                else "is closing: its name can be used again once it is closed"
            )
            raise AccountError("exists", f"tenant {name} {reason}")
        return Account(name, TenantState.ACTIVE, quotas, shares, now_ms, checked_note(note))

    def change(self, name: str, quotas: Quotas | None, shares: Shares | None, note: str | None) -> Account:
        """Change a tenant's quotas, shares or note; None keeps a value. Lower quotas remove no existing resources."""
        account = self._open_tenant(name)
        return replace(
            account,
            quotas=quotas or account.quotas,
            shares=shares or account.shares,
            note=account.note if note is None else checked_note(note),
        )

    def transition(self, name: str, action: TenantAction) -> Account:
        """Return a tenant in the state that follows from an action."""
        account = self.tenant(name)
        state = next_state(account.state, action)
        if state is None:
            raise AccountError("state", f"tenant {name} is {account.state.value}: it cannot {action.value}")
        return replace(account, state=state)

    def put_bucket(self, tenant: str, name: str, plan: str, plans: frozenset[str], volume: str, now_ms: int) -> Bucket:
        """Create a bucket with its own volume, or change the plan of an existing one; it keeps its volume and data."""
        account = self._open_tenant(tenant)
        if plan not in plans:
            raise AccountError("invalid", f"unknown plan {plan}; known plans: {', '.join(sorted(plans))}")
        existing = self.buckets.get(tenant, {})
        if (bucket := existing.get(checked_name(name, "bucket"))) is not None:
            return replace(bucket, plan=plan)
        if len(existing) >= account.quotas.volumes:
            raise AccountError("quota", f"tenant {tenant} has reached its quota of {account.quotas.volumes} buckets")
        if volume in self.volumes:
            raise AccountError("state", "the volume id is already in use")
        return Bucket(tenant, name, volume, plan, now_ms)

    def bucket(self, tenant: str, name: str) -> Bucket:
        """Return a bucket; raises AccountError if it does not exist."""
        self.tenant(tenant)
        bucket = self.buckets.get(tenant, {}).get(name)
        if bucket is None:
            raise AccountError("missing", f"no bucket {name}")
        return bucket

    def add_key(self, tenant: str, key: str, secret: str, role: Role, expires_ms: int, note: str, now_ms: int) -> Key:
        """Create a key; expired keys do not count towards the quota."""
        account = self._open_tenant(tenant)
        if expires_ms and expires_ms <= now_ms:
            raise AccountError("invalid", "the expiry time of the key is in the past")
        live = sum(not self.keys[name].has_expired(now_ms) for name in self.key_ids.get(tenant, ()))
        if live >= account.quotas.keys:
            raise AccountError("quota", f"tenant {tenant} has reached its quota of {account.quotas.keys} valid keys")
        return Key(tenant, key, digest_of(secret), role, now_ms, expires_ms, checked_note(note))

    def key(self, tenant: str, name: str) -> Key:
        """Return a key of a tenant; a key of another tenant is reported as missing."""
        self.tenant(tenant)
        key = self.keys.get(name)
        if key is None or key.tenant != tenant:
            raise AccountError("missing", f"no key {name}")
        return key

    def rotate_key(self, tenant: str, name: str, key: str, secret: str, overlap_s: int, now_ms: int) -> RotatedKeys:
        """Replace a key by a new one with the same role and expiry.

        The old key remains valid for `overlap_s`; without an overlap it is to be removed now.
        """
        self._open_tenant(tenant)
        old = self.key(tenant, name)
        if not 0 <= overlap_s <= MAX_OVERLAP_S:
            raise AccountError("invalid", f"the overlap must be from 0 to {MAX_OVERLAP_S} s")
        if old.has_expired(now_ms):
            raise AccountError("state", f"key {name} has expired")
        new = Key(tenant, key, digest_of(secret), old.role, now_ms, old.expires_ms, old.note)
        if not overlap_s:
            return RotatedKeys(new, None)
        expires_ms = now_ms + overlap_s * MS_PER_S
        return RotatedKeys(
            new, replace(old, expires_ms=min(expires_ms, old.expires_ms) if old.expires_ms else expires_ms)
        )
