"""The life of a tenant: active, suspended, closing, closed; and the steps by which what was its own goes.

A plain machine: it knows no clock and no disk. Whoever drives it stores each step before the next, so one that was cut
off goes on from what is stored.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

PURGE_BATCH_ROWS = 500  # rows that one step removes


class TenantState(Enum):
    """Where a tenant stands."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # nothing of it is served; all of it is kept
    CLOSING = "closing"  # the same, and it is being removed: there is no way back
    CLOSED = "closed"  # nothing is left; its name may be taken anew


class TenantAction(Enum):
    """What somebody wants to become of a tenant."""

    SUSPEND = "suspend"
    RESUME = "resume"
    CLOSE = "close"
    PURGED = "purged"  # said by the purge alone, at its end


TRANSITIONS = {
    (TenantState.ACTIVE, TenantAction.SUSPEND): TenantState.SUSPENDED,
    (TenantState.SUSPENDED, TenantAction.SUSPEND): TenantState.SUSPENDED,
    (TenantState.ACTIVE, TenantAction.RESUME): TenantState.ACTIVE,
    (TenantState.SUSPENDED, TenantAction.RESUME): TenantState.ACTIVE,
    (TenantState.ACTIVE, TenantAction.CLOSE): TenantState.CLOSING,
    (TenantState.SUSPENDED, TenantAction.CLOSE): TenantState.CLOSING,
    (TenantState.CLOSING, TenantAction.CLOSE): TenantState.CLOSING,
    (TenantState.CLOSING, TenantAction.PURGED): TenantState.CLOSED,
}


def next_state(state: TenantState, action: TenantAction) -> TenantState | None:
    """Tell the state that a wish leads to; None where it cannot be granted."""
    return TRANSITIONS.get((state, action))


class RevokeKeys(Struct, frozen=True):
    """Remove these keys; none is taken from the moment the tenant was closing, whether removed or not."""

    keys: tuple[str, ...]


class AbortUploads(Struct, frozen=True):
    """Abort what uploads are still open."""


class RemoveBuckets(Struct, frozen=True):
    """Remove these buckets; their volumes' ids are never given again."""

    buckets: tuple[str, ...]


class PurgeComplete(Struct, frozen=True):
    """Nothing is left."""


def next_purge_step(
    keys: list[str], open_uploads: int, buckets: list[str]
) -> RevokeKeys | AbortUploads | RemoveBuckets | PurgeComplete:
    """Tell the next step of a closing tenant, by what is left of it: keys first, then uploads, then volumes."""
    if keys:
        return RevokeKeys(tuple(sorted(keys)[:PURGE_BATCH_ROWS]))
    if open_uploads:
        return AbortUploads()
    if buckets:
        return RemoveBuckets(tuple(sorted(buckets)[:PURGE_BATCH_ROWS]))
    return PurgeComplete()
