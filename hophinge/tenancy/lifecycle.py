"""The lifecycle of a tenant: active, suspended, closing, closed; and the steps by which a closing tenant is purged.

A state machine without clock or disk. Its caller stores each step before the next one, so that a purge that was cut off
continues from what is stored.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

PURGE_BATCH_ROWS = 500  # that one step removes


class TenantState(Enum):
    """The state of a tenant."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # nothing of it is served; all of it is kept
    CLOSING = "closing"  # the same, and it is being removed: there is no way back
    CLOSED = "closed"  # nothing is left; its name may be used anew


class TenantAction(Enum):
    """An action that changes the state of a tenant."""

    SUSPEND = "suspend"
    RESUME = "resume"
    CLOSE = "close"
    PURGED = "purged"  # by the purge alone, at its end


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
    """Return the state after an action; None where the action is not allowed."""
    return TRANSITIONS.get((state, action))


class RevokeKeys(Struct, frozen=True):
    """Remove these keys; none is valid from the moment the tenant was closing, whether removed or not."""

    keys: tuple[str, ...]


class AbortUploads(Struct, frozen=True):
    """Abort the uploads that are still open."""


class RemoveBuckets(Struct, frozen=True):
    """Remove these buckets; their volumes' ids are never used again."""

    buckets: tuple[str, ...]


class PurgeComplete(Struct, frozen=True):
    """Nothing is left."""


PurgeStep = RevokeKeys | AbortUploads | RemoveBuckets | PurgeComplete


def next_purge_step(keys: list[str], open_uploads: int, buckets: list[str]) -> PurgeStep:
    """Return the next step for a closing tenant, by what is left of it: keys first, then uploads, then buckets."""
    if keys:
        return RevokeKeys(tuple(sorted(keys)[:PURGE_BATCH_ROWS]))
    if open_uploads:
        return AbortUploads()
    if buckets:
        return RemoveBuckets(tuple(sorted(buckets)[:PURGE_BATCH_ROWS]))
    return PurgeComplete()
