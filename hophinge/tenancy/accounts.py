"""Tenants, their buckets and their keys: what may become of them, and whom a key speaks for. No I/O, no clock.

Rows come in by `take`, whoever changed them. What is wished is decided against them and told as the rows to write;
nothing here changes before these come back by `take`, so what could not be stored is nowhere.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable

import msgspec
from msgspec.structs import replace

from hophinge.state.rows import Row
from hophinge.tenancy.records import (
    BUCKET_KIND,
    RECORD_TYPES,
    MAX_OVERLAP_S,
    TENANT_KIND,
    Account,
    AccountError,
    Bucket,
    Key,
    Quotas,
    Role,
    Shares,
    checked_name,
    digest_of,
    checked_note,
)
from hophinge.tenancy.lifecycle import TenantState, TenantAction, next_state


class Accounts:
    """All rows, as they are known here; `changed` is told of each tenant whose state is another one now."""

    def __init__(self, on_state_change: Callable[[str, TenantState | None], None] = lambda name, state: None) -> None:
        self.on_state_change = on_state_change
        self.tenants: dict[str, Account] = {}
        self.buckets: dict[str, dict[str, Bucket]] = {}
        self.keys: dict[str, Key] = {}
        self.key_ids: dict[str, set[str]] = {}
        self.volumes: dict[str, Bucket] = {}  # by the volume's id
        self.row_seqs: dict[tuple[str, str], int] = {}

    def apply(self, rows: Iterable[Row]) -> None:
        """Take rows as they have become."""
        for one in rows:
            if one.kind in RECORD_TYPES:  # a newer program may keep others beside
                self._take(one)

    def _take(self, one: Row) -> None:
        value = msgspec.json.decode(one.body, type=RECORD_TYPES[one.kind]) if one.body is not None else None
        if value is None:
            self.row_seqs.pop((one.kind, one.name), None)
        else:
            self.row_seqs[one.kind, one.name] = one.seq
        if one.kind == TENANT_KIND:
            before = self.tenants.pop(one.name, None)
            if isinstance(value, Account):
                self.tenants[one.name] = value
            now = value.state if isinstance(value, Account) else None
            if (before.state if before else None) is not now:
                self.on_state_change(one.name, now)
        elif one.kind == BUCKET_KIND:
            tenant, _, name = one.name.partition("/")
            held = self.buckets.get(tenant, {}).pop(name, None)
            if held is not None:
                self.volumes.pop(held.id, None)
                if not self.buckets[tenant]:
                    del self.buckets[tenant]
            if isinstance(value, Bucket):
                self.buckets.setdefault(tenant, {})[name] = value
                self.volumes[value.id] = value
        else:
            old = self.keys.pop(one.name, None)
            if old is not None:
                self.key_ids[old.tenant].discard(one.name)
                if not self.key_ids[old.tenant]:
                    del self.key_ids[old.tenant]
            if isinstance(value, Key):
                self.keys[one.name] = value
                self.key_ids.setdefault(value.tenant, set()).add(one.name)

    # --- what fronts ask

    def authenticate(self, token: str, now_ms: int) -> Key | None:
        """Tell whose key this is; none is valid of a tenant that is not active, or once it has ended."""
        name, _, secret = token.partition(".")
        key = self.keys.get(name)
        # Compared in constant time also where the id is unknown: how long it takes tells nothing.
        good = hmac.compare_digest(key.digest if key else digest_of(""), digest_of(secret))
        if not good or key is None or key.has_expired(now_ms) or not self.is_active(key.tenant):
            return None
        return key

    def is_active(self, tenant: str) -> bool:
        """Tell whether a tenant is served."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is TenantState.ACTIVE

    def owner(self, volume: str) -> str:
        """Tell the tenant of a volume; nothing where it is no bucket's."""
        bucket = self.volumes.get(volume)
        return bucket.tenant if bucket is not None else ""

    def is_blocked(self, tenant: str) -> bool:
        """Tell whether a tenant that has an account is not served; one that has none is no matter of accounts."""
        account = self.tenants.get(tenant)
        return account is not None and account.state is not TenantState.ACTIVE

    def seq(self, kind: str, name: str) -> int:
        """Tell the number of a row's last change."""
        return self.row_seqs.get((kind, name), 0)

    # --- what is wished: each tells the rows to write

    def tenant(self, name: str) -> Account:
        """Find a tenant that is there; one that is closed is not."""
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
        """Make a tenant; a name is free again once its purge has ended."""
        existing = self.tenants.get(checked_name(name, "tenant"))
        if existing is not None and existing.state is not TenantState.CLOSED:
            why = (
                "exists"
                if existing.state is not TenantState.CLOSING
                else "is closing: its name is free once that has ended"
            )
            raise AccountError("exists", f"tenant {name} {why}")
        return Account(name, TenantState.ACTIVE, quotas, shares, now_ms, checked_note(note))

    def change(self, name: str, quotas: Quotas | None, shares: Shares | None, note: str | None) -> Account:
        """Change what a tenant may have; what it has already stays."""
        account = self._open_tenant(name)
        return replace(
            account,
            quotas=quotas or account.quotas,
            shares=shares or account.shares,
            note=account.note if note is None else checked_note(note),
        )

    def transition(self, name: str, action: TenantAction) -> Account:
        """Lead a tenant to another state."""
        account = self.tenant(name)
        state = next_state(account.state, action)
        if state is None:
            raise AccountError("state", f"tenant {name} is {account.state.value}: it cannot {action.value}")
        return replace(account, state=state)

    def put_bucket(self, tenant: str, name: str, plan: str, plans: frozenset[str], volume: str, now_ms: int) -> Bucket:
        """Make a bucket on a volume of its own, or move it to another plan: the volume, and so its data, stays."""
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
        """Find a bucket."""
        self.tenant(tenant)
        bucket = self.buckets.get(tenant, {}).get(name)
        if bucket is None:
            raise AccountError("missing", f"no bucket {name}")
        return bucket

    def add_key(self, tenant: str, key: str, secret: str, role: Role, ends_ms: int, note: str, now_ms: int) -> Key:
        """Make a key; those that have ended do not count."""
        account = self._open_tenant(tenant)
        if ends_ms and ends_ms <= now_ms:
            raise AccountError("invalid", "the key would have ended already")
        live = sum(not self.keys[name].has_expired(now_ms) for name in self.key_ids.get(tenant, ()))
        if live >= account.quotas.keys:
            raise AccountError("quota", f"tenant {tenant} may have {account.quotas.keys} keys")
        return Key(tenant, key, digest_of(secret), role, now_ms, ends_ms, checked_note(note))

    def key(self, tenant: str, name: str) -> Key:
        """Find a key of a tenant; another's looks like none."""
        self.tenant(tenant)
        key = self.keys.get(name)
        if key is None or key.tenant != tenant:
            raise AccountError("missing", f"no key {name}")
        return key

    def rotate_key(
        self, tenant: str, name: str, key: str, secret: str, overlap_s: int, now_ms: int
    ) -> tuple[Key, Key | None]:
        """Make the key that replaces one, with its role and end; the old one lives on for the overlap, or ends now."""
        self._open_tenant(tenant)
        old = self.key(tenant, name)
        if not 0 <= overlap_s <= MAX_OVERLAP_S:
            raise AccountError("invalid", f"an overlap is from 0 to {MAX_OVERLAP_S} s")
        if old.has_expired(now_ms):
            raise AccountError("state", f"key {name} has ended")
        new = Key(tenant, key, digest_of(secret), old.role, now_ms, old.ends_ms, old.note)
        if not overlap_s:
            return new, None
        ends = now_ms + overlap_s * 1000
        return new, replace(old, ends_ms=min(ends, old.ends_ms) if old.ends_ms else ends)
