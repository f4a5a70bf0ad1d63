"""Handlers of the administration API's operations: what each changes and answers; callers are authorized before."""

from __future__ import annotations

import re
import secrets
from collections.abc import Callable, Collection, Iterable
from heapq import nsmallest

import msgspec
from msgspec import UNSET, Struct, UnsetType

from hophinge.admin import schemas
from hophinge.admin.operations import MAX_PAGE, DEFAULT_PAGE, ApiRequest, Principal, ProblemError, ApiResponse
from hophinge.state.ledger import Ledger
from hophinge.state.rows import Row
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import KEY_KIND, BUCKET_KIND, TENANT_KIND, Account, AccountError, Bucket, Key, row_of
from hophinge.tenancy.lifecycle import TenantState, TenantAction

ENTITY_TAG = re.compile(r'(?:W/)?"([0-9]{1,15})"', re.ASCII)


class ChangeResult(Struct):
    """Result of a change: rows to write, its answer, the answer to a retry if it differs, and what the audit says."""

    rows: list[Row]
    answer: Struct | None
    target: str
    detail: dict[str, object] = {}
    stored_answer: Struct | UnsetType | None = UNSET


class OperationHandlers:
    """Handlers over one ledger, named `_` and the operation's name.

    Args:
        ledger: Stores the changes.
        accounts: The same accounts in memory.
        plans: Returns the plans of the platform; empty: any name is allowed.
        describe: Returns the API's description.
        reserves_shortfall: Returns why tenants' reserves cannot be guaranteed; empty if they can.

    """

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        plans: Callable[[], Collection[str]],
        describe: Callable[[], bytes],
        reserves_shortfall: Callable[[dict[str, float]], str],
    ) -> None:
        self.ledger = ledger
        self.accounts = accounts
        self.plans = plans
        self.describe_text = describe
        self.reserves_shortfall = reserves_shortfall

    def _check_if_match(self, call: ApiRequest, kind: str, name: str) -> None:
        """Reject a change unless its If-Match header names the current version, or any."""
        expected = call.headers.get("if-match", "").strip()
        if not expected:
            raise ProblemError(428, "say with If-Match which version is to be changed, or * for any")
        if expected != "*":
            tag = ENTITY_TAG.fullmatch(expected)
            if tag is None or int(tag[1]) != self.accounts.seq(kind, name):
                raise ProblemError(412, "it has another version by now; read it again")

    # --- tenants

    def _tenant_answer(self, account: Account) -> schemas.TenantShown:
        return schemas.tenant_answer(
            account, len(self.accounts.buckets.get(account.name, {})), len(self.accounts.key_ids.get(account.name, ()))
        )

    def _list_tenants(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        page, after = _page(call, self.accounts.tenants)
        rows = [self._tenant_answer(self.accounts.tenants[name]) for name in page]
        return _ok(schemas.TenantPage(rows, after))

    def _show_tenant(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        account = self.accounts.tenants.get(names["tenant"])  # also a closed one, so that its end is visible
        if account is None:
            raise AccountError("missing", f"no tenant {names['tenant']}")
        return _ok(self._tenant_answer(account), self.accounts.seq(TENANT_KIND, account.name))

    def _check_reserve(self, name: str, reserve: float) -> None:
        """Reject a reserve that the installation cannot guarantee beside all others."""
        reserves = {
            tenant.name: tenant.shares.reserve
            for tenant in self.accounts.tenants.values()
            if tenant.shares.reserve and tenant.state in (TenantState.ACTIVE, TenantState.SUSPENDED)
        }
        if reserve > reserves.get(name, 0.0) and (shortfall := self.reserves_shortfall({**reserves, name: reserve})):
            raise AccountError("quota", shortfall)

    def _create_tenant(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: schemas.NewTenant, now_ms: int
    ) -> ChangeResult:
        account = self.accounts.create(names["tenant"], body.quotas, body.shares, body.note, now_ms)
        self._check_reserve(account.name, body.shares.reserve)
        return ChangeResult(
            [row_of(account)], schemas.tenant_answer(account, 0, 0), account.name, msgspec.to_builtins(body)
        )

    def _change_tenant(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: schemas.TenantChange, now_ms: int
    ) -> ChangeResult:
        before = self.accounts.tenant(names["tenant"])
        self._check_if_match(call, TENANT_KIND, before.name)
        quotas = None if body.quotas is UNSET else body.quotas
        shares = None if body.shares is UNSET else body.shares
        after = self.accounts.change(before.name, quotas, shares, None if body.note is UNSET else body.note)
        if shares is not None:
            self._check_reserve(before.name, shares.reserve)
        if body.state is not UNSET:
            action = TenantAction.RESUME if body.state == TenantState.ACTIVE.value else TenantAction.SUSPEND
            after = msgspec.structs.replace(after, state=self.accounts.transition(before.name, action).state)
        return ChangeResult([row_of(after)], self._tenant_answer(after), after.name, msgspec.to_builtins(body))

    def _close_tenant(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: None, now_ms: int
    ) -> ChangeResult:
        before = self.accounts.tenant(names["tenant"])
        self._check_if_match(call, TENANT_KIND, before.name)
        after = self.accounts.transition(before.name, TenantAction.CLOSE)
        return ChangeResult([row_of(after)], self._tenant_answer(after), after.name)

    # --- buckets

    def _list_volumes(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        self.accounts.tenant(names["tenant"])
        buckets = self.accounts.buckets.get(names["tenant"], {})
        page, after = _page(call, buckets)
        return _ok(schemas.VolumePage([schemas.volume_answer(buckets[name]) for name in page], after))

    def _show_volume(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        bucket = self.accounts.bucket(names["tenant"], names["bucket"])
        return _ok(schemas.volume_answer(bucket), self.accounts.seq(BUCKET_KIND, f"{bucket.tenant}/{bucket.name}"))

    def _put_volume(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: schemas.VolumeBody, now_ms: int
    ) -> ChangeResult:
        tenant, name = names["tenant"], names["bucket"]
        before = self.accounts.buckets.get(tenant, {}).get(name)
        if before is not None:
            self._check_if_match(call, BUCKET_KIND, f"{tenant}/{name}")
        plans = frozenset(self.plans()) or frozenset({body.plan})
        after = self.accounts.put_bucket(tenant, name, body.plan, plans, secrets.token_hex(8), now_ms)
        return ChangeResult(
            [row_of(after)],
            schemas.volume_answer(after),
            f"{tenant}/{name}",
            {"plan": after.plan, "before": before.plan if before else ""},
        )

    def _remove_volume(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: None, now_ms: int
    ) -> ChangeResult:
        bucket = self.accounts.bucket(names["tenant"], names["bucket"])
        self._check_if_match(call, BUCKET_KIND, f"{bucket.tenant}/{bucket.name}")
        return ChangeResult(
            [Row(BUCKET_KIND, f"{bucket.tenant}/{bucket.name}", None)],
            None,
            f"{bucket.tenant}/{bucket.name}",
            {"volume": bucket.id},
        )

    # --- keys

    def _list_keys(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        self.accounts.tenant(names["tenant"])
        page, after = _page(call, self.accounts.key_ids.get(names["tenant"], ()))
        return _ok(schemas.KeyPage([schemas.key_answer(self.accounts.keys[name]) for name in page], after))

    def _show_key(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        key = self.accounts.key(names["tenant"], names["key"])
        return _ok(schemas.key_answer(key), self.accounts.seq(KEY_KIND, key.id))

    def _key_result(self, rows: list[Row], key: Key, secret: str, detail: dict[str, object]) -> ChangeResult:
        answer = schemas.KeyMade(key.id, f"{key.id}.{secret}", key.role, key.expires_ms)
        return ChangeResult(
            rows, answer, f"{key.tenant}/{key.id}", detail, schemas.KeyMade(key.id, None, key.role, key.expires_ms)
        )

    def _create_key(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: schemas.NewKey, now_ms: int
    ) -> ChangeResult:
        expires_ms = now_ms + body.expires_s * 1000 if body.expires_s else 0
        secret = secrets.token_urlsafe(32)
        key = self.accounts.add_key(names["tenant"], _key_id(), secret, body.role, expires_ms, body.note, now_ms)
        return self._key_result([row_of(key)], key, secret, {"role": key.role.value, "ends_ms": key.expires_ms})

    def _rotate_key(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: schemas.Rotation, now_ms: int
    ) -> ChangeResult:
        secret = secrets.token_urlsafe(32)
        new, old = self.accounts.rotate_key(names["tenant"], names["key"], _key_id(), secret, body.overlap_s, now_ms)
        rows = [row_of(new), Row(KEY_KIND, names["key"], None) if old is None else row_of(old)]
        return self._key_result(rows, new, secret, {"replaces": names["key"], "overlap_s": body.overlap_s})

    def _end_key(
        self, caller: Principal, call: ApiRequest, names: dict[str, str], body: None, now_ms: int
    ) -> ChangeResult:
        key = self.accounts.key(names["tenant"], names["key"])
        return ChangeResult([Row(KEY_KIND, key.id, None)], None, f"{key.tenant}/{key.id}")

    # --- usage, plans, audit, description

    def _show_usage(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        account = self.accounts.tenant(names["tenant"])
        volumes: dict[str, dict[str, float]] = {}
        removed: dict[str, float] = {}
        total: dict[str, float] = {}
        for volume, fields in self.ledger.usage_by_volume(account.name).items():
            bucket: Bucket | None = self.accounts.volumes.get(volume)
            amounts = volumes.setdefault(bucket.name, {}) if bucket is not None else removed
            for field, amount in fields.items():
                amounts[field] = amounts.get(field, 0.0) + amount
                total[field] = total.get(field, 0.0) + amount
        return _ok(schemas.UsageShown(account.name, volumes, removed, total))

    def _list_plans(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        return _ok(schemas.Plans(sorted(self.plans())))

    def _read_audit(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        limit, after = _page_bounds(call)
        if after and not after.isdecimal():
            raise ProblemError(400, "after is the number of an entry")
        rows = [
            schemas.AuditRow(
                seq, entry.at_ms, entry.actor, entry.role, entry.action, entry.target, dict(entry.detail), entry_hash
            )
            for seq, entry, entry_hash in self.ledger.audit_entries(int(after or 0), limit)
        ]
        return _ok(schemas.AuditPage(rows, rows[-1].seq if len(rows) == limit else None, self.ledger.audit_head().hash))

    def _describe(self, caller: Principal, call: ApiRequest, names: dict[str, str]) -> ApiResponse:
        return ApiResponse(200, self.describe_text())


def _key_id() -> str:
    return f"hk{secrets.token_hex(8)}"


def _page_bounds(call: ApiRequest) -> tuple[int, str]:
    text = call.query.get("limit", str(DEFAULT_PAGE))
    if not text.isdecimal() or not text.isascii() or not 1 <= int(text) <= MAX_PAGE:
        raise ProblemError(400, f"limit is from 1 to {MAX_PAGE}")
    return int(text), call.query.get("after", "")


def _page(call: ApiRequest, names: Iterable[str]) -> tuple[list[str], str | None]:
    """Return a page of names in order, and the `after` of the next page."""
    limit, after = _page_bounds(call)
    page = nsmallest(limit + 1, (name for name in names if name > after))
    return page[:limit], page[limit - 1] if len(page) > limit else None


def _ok(answer: Struct, seq: int = 0) -> ApiResponse:
    return ApiResponse(200, msgspec.json.encode(answer), {"ETag": f'"{seq}"'} if seq else {})
