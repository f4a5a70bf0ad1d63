"""What each call of the administration API changes and answers; who may make it was settled before."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable, Collection, Iterable
from heapq import nsmallest
from typing import Any

import msgspec
from msgspec import UNSET, Struct

from hophinge.admin import shapes
from hophinge.admin.operations import LONGEST_PAGE, PAGE, Call, Principal, ProblemError, Reply
from hophinge.state.ledger import Ledger
from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import KEY_KIND, BUCKET_KIND, TENANT_KIND, Account, AccountError, Bucket, Key, row_of
from hophinge.tenancy.lifecycle import TenantState, TenantAction

TAG = re.compile(r'(?:W/)?"([0-9]{1,15})"', re.ASCII)


class Made(Struct):
    """What a change comes to: rows, what is answered, what is kept for a repetition, what the audit says."""

    rows: list[Row]
    answer: Any
    target: str
    detail: dict[str, object] = {}
    kept: Any = UNSET


class Calls:
    """What the calls do, over one ledger; `plans` are those of the platform, none: any name is taken."""

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        plans: Callable[[], Collection[str]],
        describe: Callable[[], bytes],
        promises: Callable[[dict[str, float]], str],
    ) -> None:
        self.ledger, self.accounts, self.plans, self.describe_text = ledger, accounts, plans, describe
        self.promises = promises  # tells why reserves cannot be kept, or nothing

    def _guard(self, call: Call, kind: str, name: str) -> None:
        """Hold a change to the version that its caller has seen."""
        wanted = call.headers.get("if-match", "").strip()
        if not wanted:
            raise ProblemError(428, "say with If-Match which version is to be changed, or * for any")
        if wanted != "*":
            tag = TAG.fullmatch(wanted)
            if tag is None or int(tag[1]) != self.accounts.seq(kind, name):
                raise ProblemError(412, "it has another version by now; read it again")

    # --- tenants

    def _shown(self, held: Account) -> shapes.TenantShown:
        return shapes.tenant_shown(
            held, len(self.accounts.buckets.get(held.name, {})), len(self.accounts.key_ids.get(held.name, ()))
        )

    def _list_tenants(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        page, after = _page(call, self.accounts.tenants)
        rows = [self._shown(self.accounts.tenants[name]) for name in page]
        return _told(shapes.TenantPage(rows, after))

    def _show_tenant(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        held = self.accounts.tenants.get(names["tenant"])  # a closed one too, for its end to be seen
        if held is None:
            raise AccountError("missing", f"no tenant {names['tenant']}")
        return _told(self._shown(held), self.accounts.seq(TENANT_KIND, held.name))

    def _reserved(self, name: str, reserve: float) -> None:
        """Refuse a reserve that the installation cannot keep beside all others."""
        reserves = {
            one.name: one.shares.reserve
            for one in self.accounts.tenants.values()
            if one.shares.reserve and one.state in (TenantState.ACTIVE, TenantState.SUSPENDED)
        }
        if reserve > reserves.get(name, 0.0) and (why := self.promises({**reserves, name: reserve})):
            raise AccountError("quota", why)

    def _create_tenant(
        self, caller: Principal, call: Call, names: dict[str, str], body: shapes.NewTenant, now_ms: int
    ) -> Made:
        made = self.accounts.create(names["tenant"], body.quotas, body.shares, body.note, now_ms)
        self._reserved(made.name, body.shares.reserve)
        return Made([row_of(made)], shapes.tenant_shown(made, 0, 0), made.name, msgspec.to_builtins(body))

    def _change_tenant(
        self, caller: Principal, call: Call, names: dict[str, str], body: shapes.TenantChange, now_ms: int
    ) -> Made:
        held = self.accounts.tenant(names["tenant"])
        self._guard(call, TENANT_KIND, held.name)
        quotas = None if body.quotas is UNSET else body.quotas
        shares = None if body.shares is UNSET else body.shares
        made = self.accounts.change(held.name, quotas, shares, None if body.note is UNSET else body.note)
        if shares is not None:
            self._reserved(held.name, shares.reserve)
        if body.state is not UNSET:
            wish = TenantAction.RESUME if body.state == TenantState.ACTIVE.value else TenantAction.SUSPEND
            made = msgspec.structs.replace(made, state=self.accounts.transition(held.name, wish).state)
        return Made([row_of(made)], self._shown(made), made.name, msgspec.to_builtins(body))

    def _close_tenant(self, caller: Principal, call: Call, names: dict[str, str], body: None, now_ms: int) -> Made:
        held = self.accounts.tenant(names["tenant"])
        self._guard(call, TENANT_KIND, held.name)
        made = self.accounts.transition(held.name, TenantAction.CLOSE)
        return Made([row_of(made)], self._shown(made), made.name)

    # --- buckets

    def _list_volumes(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        self.accounts.tenant(names["tenant"])
        mine = self.accounts.buckets.get(names["tenant"], {})
        page, after = _page(call, mine)
        return _told(shapes.VolumePage([shapes.volume_shown(mine[name]) for name in page], after))

    def _show_volume(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        held = self.accounts.bucket(names["tenant"], names["bucket"])
        return _told(shapes.volume_shown(held), self.accounts.seq(BUCKET_KIND, f"{held.tenant}/{held.name}"))

    def _put_volume(
        self, caller: Principal, call: Call, names: dict[str, str], body: shapes.VolumeBody, now_ms: int
    ) -> Made:
        tenant, name = names["tenant"], names["bucket"]
        held = self.accounts.buckets.get(tenant, {}).get(name)
        if held is not None:
            self._guard(call, BUCKET_KIND, f"{tenant}/{name}")
        plans = frozenset(self.plans()) or frozenset({body.plan})
        made = self.accounts.put_bucket(tenant, name, body.plan, plans, secrets.token_hex(8), now_ms)
        return Made(
            [row_of(made)],
            shapes.volume_shown(made),
            f"{tenant}/{name}",
            {"plan": made.plan, "before": held.plan if held else ""},
        )

    def _remove_volume(self, caller: Principal, call: Call, names: dict[str, str], body: None, now_ms: int) -> Made:
        held = self.accounts.bucket(names["tenant"], names["bucket"])
        self._guard(call, BUCKET_KIND, f"{held.tenant}/{held.name}")
        return Made(
            [Row(BUCKET_KIND, f"{held.tenant}/{held.name}", None)],
            None,
            f"{held.tenant}/{held.name}",
            {"volume": held.id},
        )

    # --- keys

    def _list_keys(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        self.accounts.tenant(names["tenant"])
        page, after = _page(call, self.accounts.key_ids.get(names["tenant"], ()))
        return _told(shapes.KeyPage([shapes.key_shown(self.accounts.keys[name]) for name in page], after))

    def _show_key(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        held = self.accounts.key(names["tenant"], names["key"])
        return _told(shapes.key_shown(held), self.accounts.seq(KEY_KIND, held.id))

    def _made_key(self, rows: list[Row], key: Key, secret: str, detail: dict[str, object]) -> Made:
        told = shapes.KeyMade(key.id, f"{key.id}.{secret}", key.role, key.expires_ms)
        return Made(
            rows, told, f"{key.tenant}/{key.id}", detail, shapes.KeyMade(key.id, None, key.role, key.expires_ms)
        )

    def _create_key(
        self, caller: Principal, call: Call, names: dict[str, str], body: shapes.NewKey, now_ms: int
    ) -> Made:
        ends = now_ms + body.expires_s * 1000 if body.expires_s else 0
        secret = secrets.token_urlsafe(32)
        key = self.accounts.add_key(names["tenant"], _key_id(), secret, body.role, ends, body.note, now_ms)
        return self._made_key([row_of(key)], key, secret, {"role": key.role.value, "ends_ms": key.expires_ms})

    def _rotate_key(
        self, caller: Principal, call: Call, names: dict[str, str], body: shapes.Rotation, now_ms: int
    ) -> Made:
        secret = secrets.token_urlsafe(32)
        new, old = self.accounts.rotate_key(names["tenant"], names["key"], _key_id(), secret, body.overlap_s, now_ms)
        rows = [row_of(new), Row(KEY_KIND, names["key"], None) if old is None else row_of(old)]
        return self._made_key(rows, new, secret, {"replaces": names["key"], "overlap_s": body.overlap_s})

    def _end_key(self, caller: Principal, call: Call, names: dict[str, str], body: None, now_ms: int) -> Made:
        key = self.accounts.key(names["tenant"], names["key"])
        return Made([Row(KEY_KIND, key.id, None)], None, f"{key.tenant}/{key.id}")

    # --- what is seen

    def _show_usage(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        held = self.accounts.tenant(names["tenant"])
        volumes, removed, total = dict[str, dict[str, float]](), dict[str, float](), dict[str, float]()
        for volume, fields in self.ledger.usage_by_volume(held.name).items():
            bucket: Bucket | None = self.accounts.volumes.get(volume)
            place = volumes.setdefault(bucket.name, {}) if bucket is not None else removed
            for field, amount in fields.items():
                place[field] = place.get(field, 0.0) + amount
                total[field] = total.get(field, 0.0) + amount
        return _told(shapes.UsageShown(held.name, volumes, removed, total))

    def _list_plans(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        return _told(shapes.Plans(sorted(self.plans())))

    def _read_audit(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        limit, after = _bounds(call)
        if after and not after.isdecimal():
            raise ProblemError(400, "after is the number of an entry")
        rows = [
            shapes.AuditRow(
                seq, entry.at_ms, entry.actor, entry.role, entry.action, entry.target, dict(entry.detail), mark
            )
            for seq, entry, mark in self.ledger.audit_entries(int(after or 0), limit)
        ]
        return _told(
            shapes.AuditPage(rows, rows[-1].seq if len(rows) == limit else None, self.ledger.audit_head().hash)
        )

    def _describe(self, caller: Principal, call: Call, names: dict[str, str]) -> Reply:
        return Reply(200, self.describe_text())


def _key_id() -> str:
    return f"hk{secrets.token_hex(8)}"


def _bounds(call: Call) -> tuple[int, str]:
    text = call.query.get("limit", str(PAGE))
    if not text.isdecimal() or not text.isascii() or not 1 <= int(text) <= LONGEST_PAGE:
        raise ProblemError(400, f"limit is from 1 to {LONGEST_PAGE}")
    return int(text), call.query.get("after", "")


def _page(call: Call, names: Iterable[str]) -> tuple[list[str], str | None]:
    """Tell a page of names in their order, and where the next one begins."""
    limit, after = _bounds(call)
    page = nsmallest(limit + 1, (name for name in names if name > after))
    return page[:limit], page[limit - 1] if len(page) > limit else None


def _told(answer: Any, seq: int = 0) -> Reply:
    return Reply(200, msgspec.json.encode(answer), {"ETag": f'"{seq}"'} if seq else {})
