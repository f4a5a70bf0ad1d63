"""The life of a tenant: active, suspended, closing, closed; and the steps by which what was its own goes.

A plain machine: it knows no clock and no disk. Whoever drives it stores each step before the next, so one that was cut
off goes on from what is stored.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

BATCH = 500  # rows that one step removes


class State(Enum):
    """Where a tenant stands."""

    ACTIVE = "active"
    SUSPENDED = "suspended"  # nothing of it is served; all of it is kept
    CLOSING = "closing"  # the same, and it is being removed: there is no way back
    CLOSED = "closed"  # nothing is left; its name may be taken anew


class Wish(Enum):
    """What somebody wants to become of a tenant."""

    SUSPEND = "suspend"
    RESUME = "resume"
    CLOSE = "close"
    PURGED = "purged"  # said by the purge alone, at its end


STEPS = {
    (State.ACTIVE, Wish.SUSPEND): State.SUSPENDED,
    (State.SUSPENDED, Wish.SUSPEND): State.SUSPENDED,
    (State.ACTIVE, Wish.RESUME): State.ACTIVE,
    (State.SUSPENDED, Wish.RESUME): State.ACTIVE,
    (State.ACTIVE, Wish.CLOSE): State.CLOSING,
    (State.SUSPENDED, Wish.CLOSE): State.CLOSING,
    (State.CLOSING, Wish.CLOSE): State.CLOSING,
    (State.CLOSING, Wish.PURGED): State.CLOSED,
}


def step(state: State, wish: Wish) -> State | None:
    """Tell the state that a wish leads to; None where it cannot be granted."""
    return STEPS.get((state, wish))


class EndKeys(Struct, frozen=True):
    """Remove these keys; none is taken from the moment the tenant was closing, whether removed or not."""

    keys: tuple[str, ...]


class AbortUploads(Struct, frozen=True):
    """Abort what uploads are still open."""


class DropVolumes(Struct, frozen=True):
    """Remove these buckets; their volumes' ids are never given again."""

    buckets: tuple[str, ...]


class Done(Struct, frozen=True):
    """Nothing is left."""


def purge(keys: list[str], uploads_open: int, buckets: list[str]) -> EndKeys | AbortUploads | DropVolumes | Done:
    """Tell the next step of a closing tenant, by what is left of it: keys first, then uploads, then volumes."""
    if keys:
        return EndKeys(tuple(sorted(keys)[:BATCH]))
    if uploads_open:
        return AbortUploads()
    if buckets:
        return DropVolumes(tuple(sorted(buckets)[:BATCH]))
    return Done()
