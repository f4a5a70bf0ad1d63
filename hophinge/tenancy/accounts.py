"""Tenants, their buckets and their keys: which changes are allowed, and whose a key is. No I/O, no clock.

Rows come in by `apply`, whoever changed them. A requested change is judged against them and returned as the record to
write; nothing here changes before its row comes back by `apply`, so what could not be stored is nowhere.
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
    """The key that replaces one, and the old key where it stays valid for a time."""

    new: Key
    old: Key | None


class Accounts:
    """All rows, as they are known here; `on_state_change` is called with each tenant whose state has changed."""

    def __init__(self, on_state_change: Callable[[str, TenantState | None], None] = lambda name, state: None) -> None:
        self.on_state_change = on_state_change
        self.tenants: dict[str, Account] = {}
        self.buckets: dict[str, dict[str, Bucket]] = {}  # by tenant and name
        self.keys: dict[str, Key] = {}  # by id
        self.key_ids: dict[str, set[str]] = {}  # by tenant
        self.volumes: dict[str, Bucket] = {}  # by the volume's id
        self.row_seqs: dict[tuple[str, str], int] = {}  # by kind and name: the last change

    def apply(self, rows: Iterable[Row]) -> None:
        """Apply changed rows, in the order of their changes."""
        for row in rows:
            if row.kind in RECORD_TYPES:  # a newer program may store other kinds as well
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
        """Return the key of a token; None where it is unknown, has expired, or its tenant is not active."""
        name, _, secret = token.partition(".")
        key = self.keys.get(name)
        # Compared in constant time also where the id is unknown, so that the time it takes reveals nothing.
        is_valid = hmac.compare_digest(key.digest if key else digest_of(""), digest_of(secret))
        if not is_valid or key is None or key.has_expired(now_ms) or not self.is_active(key.tenant):
            return None
        return key

    def is_active(self, tenant: str) -> bool:
        """Return whether a tenant is served."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is TenantState.ACTIVE

    def owner(self, volume: str) -> str:
        """Return the tenant of a volume, or an empty text where it is no bucket's."""
        bucket = self.volumes.get(volume)
        return bucket.tenant if bucket is not None else ""

    def is_blocked(self, tenant: str) -> bool:
        """Return whether a tenant has an account and is not served; one without an account is not blocked."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is not TenantState.ACTIVE

    def seq(self, kind: str, name: str) -> int:
        """Return the number of a row's last change; 0 where there is none."""
        return self.row_seqs.get((kind, name), 0)

    # --- changes: each returns the record to write, or raises AccountError

    def tenant(self, name: str) -> Account:
        """Return a tenant; raises AccountError where there is none or it is closed."""
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
        """Create a tenant; a name is free again once its purge has ended."""
        existing = self.tenants.get(checked_name(name, "tenant"))
        if existing is not None and existing.state is not TenantState.CLOSED:
            reason = (
                "exists"
                if existing.state is not TenantState.CLOSING
                else "is closing: its name is free once that has ended"
            )
            raise AccountError("exists", f"tenant {name} {reason}")
        return Account(name, TenantState.ACTIVE, quotas, shares, now_ms, checked_note(note))

    def change(self, name: str, quotas: Quotas | None, shares: Shares | None, note: str | None) -> Account:
        """Change a tenant's quotas, shares or note; None leaves one as it is. What the tenant has already stays."""
        account = self._open_tenant(name)
        return replace(
            account,
            quotas=quotas or account.quotas,
            shares=shares or account.shares,
            note=account.note if note is None else checked_note(note),
        )

    def transition(self, name: str, action: TenantAction) -> Account:
        """Change the state of a tenant by an action."""
        account = self.tenant(name)
        state = next_state(account.state, action)
        if state is None:
            raise AccountError("state", f"tenant {name} is {account.state.value}: it cannot {action.value}")
        return replace(account, state=state)

    def put_bucket(self, tenant: str, name: str, plan: str, plans: frozenset[str], volume: str, now_ms: int) -> Bucket:
        """Create a bucket on a volume of its own, or move one to another plan: the volume, and so its data, stays."""
        account = self._open_tenant(tenant)
        if plan not in plans:
            raise AccountError("invalid", f"no plan {plan}; there are {', '.join(sorted(plans))}")
        existing = self.buckets.get(tenant, {})
        if (bucket := existing.get(checked_name(name, "bucket"))) is not None:
            return replace(bucket, plan=plan)
        if len(existing) >= account.quotas.volumes:
            raise AccountError("quota", f"tenant {tenant} may have {account.quotas.volumes} buckets")
        if volume in self.volumes:
            raise AccountError("state", "the volume's id is in use")
        return Bucket(tenant, name, volume, plan, now_ms)

    def bucket(self, tenant: str, name: str) -> Bucket:
        """Return a bucket; raises AccountError where there is none."""
        self.tenant(tenant)
        bucket = self.buckets.get(tenant, {}).get(name)
        if bucket is None:
            raise AccountError("missing", f"no bucket {name}")
        return bucket

    def add_key(self, tenant: str, key: str, secret: str, role: Role, expires_ms: int, note: str, now_ms: int) -> Key:
        """Create a key; those that have expired do not count for the quota."""
        account = self._open_tenant(tenant)
        if expires_ms and expires_ms <= now_ms:
            raise AccountError("invalid", "the key would have ended already")
        live = sum(not self.keys[name].has_expired(now_ms) for name in self.key_ids.get(tenant, ()))
        if live >= account.quotas.keys:
            raise AccountError("quota", f"tenant {tenant} may have {account.quotas.keys} keys")
        return Key(tenant, key, digest_of(secret), role, now_ms, expires_ms, checked_note(note))

    def key(self, tenant: str, name: str) -> Key:
        """Return a key of a tenant; another tenant's is reported as missing."""
        self.tenant(tenant)
        key = self.keys.get(name)
        if key is None or key.tenant != tenant:
            raise AccountError("missing", f"no key {name}")
        return key

    def rotate_key(self, tenant: str, name: str, key: str, secret: str, overlap_s: int, now_ms: int) -> RotatedKeys:
        """Replace a key by one with its role and expiry; the old one stays valid for the overlap, or ends now."""
        self._open_tenant(tenant)
        old = self.key(tenant, name)
        if not 0 <= overlap_s <= MAX_OVERLAP_S:
            raise AccountError("invalid", f"an overlap is from 0 to {MAX_OVERLAP_S} s")
        if old.has_expired(now_ms):
            raise AccountError("state", f"key {name} has ended")
        new = Key(tenant, key, digest_of(secret), old.role, now_ms, old.expires_ms, old.note)
        if not overlap_s:
            return RotatedKeys(new, None)
        expires_ms = now_ms + overlap_s * MS_PER_S
        return RotatedKeys(
            new, replace(old, expires_ms=min(expires_ms, old.expires_ms) if old.expires_ms else expires_ms)
        )
