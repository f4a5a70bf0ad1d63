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
    BUCKET,
    KINDS,
    LONGEST_OVERLAP_S,
    TENANT,
    Account,
    AccountError,
    Bucket,
    Key,
    Quotas,
    Role,
    Shares,
    checked,
    digest,
    noted,
)
from hophinge.tenancy.lifecycle import State, Wish, step


class Accounts:
    """All rows, as they are known here; `changed` is told of each tenant whose state is another one now."""

    def __init__(self, changed: Callable[[str, State | None], None] = lambda name, state: None) -> None:
        self.changed = changed
        self.tenants: dict[str, Account] = {}
        self.buckets: dict[str, dict[str, Bucket]] = {}
        self.keys: dict[str, Key] = {}
        self.keys_of: dict[str, set[str]] = {}
        self.volumes: dict[str, Bucket] = {}  # by the volume's id
        self.seqs: dict[tuple[str, str], int] = {}

    def take(self, rows: Iterable[Row]) -> None:
        """Take rows as they have become."""
        for one in rows:
            if one.kind in KINDS:  # a newer program may keep others beside
                self._take(one)

    def _take(self, one: Row) -> None:
        value = msgspec.json.decode(one.body, type=KINDS[one.kind]) if one.body is not None else None
        if value is None:
            self.seqs.pop((one.kind, one.name), None)
        else:
            self.seqs[one.kind, one.name] = one.seq
        if one.kind == TENANT:
            before = self.tenants.pop(one.name, None)
            if isinstance(value, Account):
                self.tenants[one.name] = value
            now = value.state if isinstance(value, Account) else None
            if (before.state if before else None) is not now:
                self.changed(one.name, now)
        elif one.kind == BUCKET:
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
                self.keys_of[old.tenant].discard(one.name)
                if not self.keys_of[old.tenant]:
                    del self.keys_of[old.tenant]
            if isinstance(value, Key):
                self.keys[one.name] = value
                self.keys_of.setdefault(value.tenant, set()).add(one.name)

    # --- what fronts ask

    def authenticate(self, token: str, now_ms: int) -> Key | None:
        """Tell whose key this is; none is valid of a tenant that is not active, or once it has ended."""
        name, _, secret = token.partition(".")
        key = self.keys.get(name)
        # Compared in constant time also where the id is unknown: how long it takes tells nothing.
        good = hmac.compare_digest(key.digest if key else digest(""), digest(secret))
        if not good or key is None or key.ended(now_ms) or not self.active(key.tenant):
            return None
        return key

    def active(self, tenant: str) -> bool:
        """Tell whether a tenant is served."""
        held = self.tenants.get(tenant)
        return held is not None and held.state is State.ACTIVE

    def owner(self, volume: str) -> str:
        """Tell the tenant of a volume; nothing where it is no bucket's."""
        held = self.volumes.get(volume)
        return held.tenant if held is not None else ""

    def barred(self, tenant: str) -> bool:
        """Tell whether a tenant that has an account is not served; one that has none is no matter of accounts."""
        held = self.tenants.get(tenant)
        return held is not None and held.state is not State.ACTIVE

    def seq(self, kind: str, name: str) -> int:
        """Tell the number of a row's last change."""
        return self.seqs.get((kind, name), 0)

    # --- what is wished: each tells the rows to write

    def tenant(self, name: str) -> Account:
        """Find a tenant that is there; one that is closed is not."""
        held = self.tenants.get(name)
        if held is None or held.state is State.CLOSED:
            raise AccountError("missing", f"no tenant {name}")
        return held

    def _open(self, name: str) -> Account:
        held = self.tenant(name)
        if held.state is State.CLOSING:
            raise AccountError("state", f"tenant {name} is closing")
        return held

    def create(self, name: str, quotas: Quotas, shares: Shares, note: str, now_ms: int) -> Account:
        """Make a tenant; a name is free again once its purge has ended."""
        held = self.tenants.get(checked(name, "tenant"))
        if held is not None and held.state is not State.CLOSED:
            why = "exists" if held.state is not State.CLOSING else "is closing: its name is free once that has ended"
            raise AccountError("exists", f"tenant {name} {why}")
        return Account(name, State.ACTIVE, quotas, shares, now_ms, noted(note))

    def change(self, name: str, quotas: Quotas | None, shares: Shares | None, note: str | None) -> Account:
        """Change what a tenant may have; what it has already stays."""
        held = self._open(name)
        return replace(
            held,
            quotas=quotas or held.quotas,
            shares=shares or held.shares,
            note=held.note if note is None else noted(note),
        )

    def become(self, name: str, wish: Wish) -> Account:
        """Lead a tenant to another state."""
        held = self.tenant(name)
        state = step(held.state, wish)
        if state is None:
            raise AccountError("state", f"tenant {name} is {held.state.value}: it cannot {wish.value}")
        return replace(held, state=state)

    def put_bucket(self, tenant: str, name: str, plan: str, plans: frozenset[str], volume: str, now_ms: int) -> Bucket:
        """Make a bucket on a volume of its own, or move it to another plan: the volume, and so its data, stays."""
        held = self._open(tenant)
        if plan not in plans:
            raise AccountError("invalid", f"no plan {plan}; there are {', '.join(sorted(plans))}")
        mine = self.buckets.get(tenant, {})
        if (bucket := mine.get(checked(name, "bucket"))) is not None:
            return replace(bucket, plan=plan)
        if len(mine) >= held.quotas.volumes:
            raise AccountError("quota", f"tenant {tenant} may have {held.quotas.volumes} buckets")
        if volume in self.volumes:
            raise AccountError("state", "the volume's id is in use")
        return Bucket(tenant, name, volume, plan, now_ms)

    def bucket(self, tenant: str, name: str) -> Bucket:
        """Find a bucket."""
        self.tenant(tenant)
        held = self.buckets.get(tenant, {}).get(name)
        if held is None:
            raise AccountError("missing", f"no bucket {name}")
        return held

    def add_key(self, tenant: str, key: str, secret: str, role: Role, ends_ms: int, note: str, now_ms: int) -> Key:
        """Make a key; those that have ended do not count."""
        held = self._open(tenant)
        if ends_ms and ends_ms <= now_ms:
            raise AccountError("invalid", "the key would have ended already")
        live = sum(not self.keys[name].ended(now_ms) for name in self.keys_of.get(tenant, ()))
        if live >= held.quotas.keys:
            raise AccountError("quota", f"tenant {tenant} may have {held.quotas.keys} keys")
        return Key(tenant, key, digest(secret), role, now_ms, ends_ms, noted(note))

    def key(self, tenant: str, name: str) -> Key:
        """Find a key of a tenant; another's looks like none."""
        self.tenant(tenant)
        held = self.keys.get(name)
        if held is None or held.tenant != tenant:
            raise AccountError("missing", f"no key {name}")
        return held

    def rotate_key(
        self, tenant: str, name: str, key: str, secret: str, overlap_s: int, now_ms: int
    ) -> tuple[Key, Key | None]:
        """Make the key that replaces one, with its role and end; the old one lives on for the overlap, or ends now."""
        self._open(tenant)
        old = self.key(tenant, name)
        if not 0 <= overlap_s <= LONGEST_OVERLAP_S:
            raise AccountError("invalid", f"an overlap is from 0 to {LONGEST_OVERLAP_S} s")
        if old.ended(now_ms):
            raise AccountError("state", f"key {name} has ended")
        new = Key(tenant, key, digest(secret), old.role, now_ms, old.ends_ms, old.note)
        if not overlap_s:
            return new, None
        ends = now_ms + overlap_s * 1000
        return new, replace(old, ends_ms=min(ends, old.ends_ms) if old.ends_ms else ends)
