"""Bodies and answers of the administration API.

The published description is generated from these classes: their names, their docstrings and their fields are part of
the API and stay as they are.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

from hophinge.tenancy.records import MAX_OVERLAP_S, Account, Bucket, Key, Quotas, Role, Shares

Amount = Annotated[float, Meta(ge=0)]


class NewTenant(Struct, forbid_unknown_fields=True):
    """What a tenant begins with."""

    quotas: Quotas = Quotas()
    shares: Shares = Shares()
    note: str = ""


class TenantChange(Struct, forbid_unknown_fields=True):
    """What is to change of a tenant; what is left out stays."""

    quotas: Quotas | UnsetType = UNSET
    shares: Shares | UnsetType = UNSET
    note: str | UnsetType = UNSET
    state: Literal["active", "suspended"] | UnsetType = UNSET


class VolumeBody(Struct, forbid_unknown_fields=True):
    """The plan that a bucket's volume stands on."""

    plan: str


class NewKey(Struct, forbid_unknown_fields=True):
    """What a key is for, and for how many seconds; 0: until it is ended."""

    role: Role = Role.DATA
    expires_s: Annotated[int, Meta(ge=0, le=10 * 365 * 24 * 3600)] = 0
    note: str = ""


class Rotation(Struct, forbid_unknown_fields=True):
    """For how many seconds the old key lives on beside the new one."""

    overlap_s: Annotated[int, Meta(ge=0, le=MAX_OVERLAP_S)] = 0


class TenantShown(Struct):
    """A tenant."""

    name: str
    state: Literal["active", "suspended", "closing", "closed"]
    quotas: Quotas
    shares: Shares
    made_ms: int
    note: str
    volumes: int
    keys: int


class VolumeShown(Struct):
    """A bucket and its volume."""

    bucket: str
    volume: str
    plan: str
    made_ms: int


class KeyShown(Struct):
    """A key, without its secret."""

    id: str
    role: Role
    made_ms: int
    ends_ms: int
    note: str


class KeyMade(Struct):
    """A new key; the whole of it is told once, and not by the repetition of a call."""

    id: str
    key: str | None
    role: Role
    ends_ms: int


class TenantPage(Struct):
    """Tenants by name; `next` is the `after` of the next page."""

    tenants: list[TenantShown]
    next: str | None


class VolumePage(Struct):
    """Buckets by name."""

    volumes: list[VolumeShown]
    next: str | None


class KeyPage(Struct):
    """Keys by id."""

    keys: list[KeyShown]
    next: str | None


class Plans(Struct):
    """The plans that there are."""

    plans: list[str]


class UsageShown(Struct):
    """What a tenant used, as far as it is stored: by bucket, of removed ones, and in all."""

    tenant: str
    volumes: dict[str, dict[str, Amount]]
    removed: dict[str, Amount]
    total: dict[str, Amount]


class AuditRow(Struct):
    """One change; its hash covers it and the hash before it."""

    seq: int
    at_ms: int
    who: str
    role: str
    what: str
    target: str
    detail: dict[str, Any]
    hash: str


class AuditPage(Struct):
    """Changes in their order, and the last one's number and hash."""

    entries: list[AuditRow]
    next: int | None
    head: str


class Problem(Struct, omit_defaults=True):
    """What went wrong, as RFC 9457 has it."""

    type: str
    title: str
    status: int
    detail: str = ""


def tenant_answer(tenant: Account, volumes: int, keys: int) -> TenantShown:
    """Return a tenant as the API shows it."""
    return TenantShown(
        tenant.name, tenant.state.value, tenant.quotas, tenant.shares, tenant.created_ms, tenant.note, volumes, keys
    )


def volume_answer(bucket: Bucket) -> VolumeShown:
    """Return a bucket as the API shows it."""
    return VolumeShown(bucket.name, bucket.id, bucket.plan, bucket.created_ms)


def key_answer(key: Key) -> KeyShown:
    """Return a key as the API shows it, without its digest."""
    return KeyShown(key.id, key.role, key.created_ms, key.expires_ms, key.note)
