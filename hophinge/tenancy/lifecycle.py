"""The lifecycle of a tenant (active, suspended, closing, closed) and the steps that purge a closing tenant.

A state machine without a clock or I/O. The caller stores each step before the next one, so that an interrupted purge
continues from the stored state.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

PURGE_BATCH_ROWS = 500  # maximum number of rows that one step removes


class TenantState(Enum):
    """The state of a tenant."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # its requests are rejected; all of its data is kept
    CLOSING = "closing"  # its requests are rejected and it is being purged; this is irreversible
    CLOSED = "closed"  # the purge has ended; the name may be used again


class TenantAction(Enum):
    """An action that changes the state of a tenant."""

    SUSPEND = "suspend"
    RESUME = "resume"
    CLOSE = "close"
    PURGED = "purged"  # used only by the purge, when it has ended


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
    """Return the state after an action; None if the action is not allowed in this state."""
    return TRANSITIONS.get((state, action))


class RevokeKeys(Struct, frozen=True):
    """Remove these keys; none of them has been valid since the tenant began closing."""

    keys: tuple[str, ...]


class AbortUploads(Struct, frozen=True):
    """Abort the uploads that are still open."""


class RemoveBuckets(Struct, frozen=True):
    """Remove these buckets; the ids of their volumes are never used again."""

    buckets: tuple[str, ...]


class PurgeComplete(Struct, frozen=True):
    """Nothing is left to purge."""


PurgeStep = RevokeKeys | AbortUploads | RemoveBuckets | PurgeComplete


def next_purge_step(keys: list[str], open_uploads: int, buckets: list[str]) -> PurgeStep:
    """Return the next purge step of a closing tenant: its remaining keys first, then uploads, then buckets."""
    if keys:
        return RevokeKeys(tuple(sorted(keys)[:PURGE_BATCH_ROWS]))
    if open_uploads:
        return AbortUploads()
    if buckets:
        return RemoveBuckets(tuple(sorted(buckets)[:PURGE_BATCH_ROWS]))
    return PurgeComplete()
