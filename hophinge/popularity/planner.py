"""Plans prefetches within byte budgets: selects the objects to fetch from candidates and a snapshot of the load.

A prefetch only moves work from a busy time to an idle one, so it has the lowest priority: it is made if the budgets of
the site and the tenant allow it, from backends that are warm, not draining and have idle capacity, and not while
requests are queued. If two heads both consider themselves an object's owner, that costs one fetch and no wrong answer.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from hashlib import blake2b

from msgspec import Struct

from hophinge.cluster.interface import Member, Role, MemberState

BURST_S = 10.0  # of unused budget that may accumulate: enough to carry over between spans, not from a whole night
MIN_REQUEST_PROBABILITY = 0.4  # of an object in the next span; below it most fetches would be wasted
MAX_UNANSWERED = 8  # requests at this head from which on nothing is prefetched: the reads of two objects at once
BUSY_BACKOFF_US = 50_000  # after that many unanswered requests were observed
OVERLOAD_BACKOFF_US = 2_000_000  # after overload or a rejected prefetch: a queue that just emptied may fill again
# Share of the idle capacity of a shard's backends that the prefetches of all heads may use. A read occupies the idle
# part of its backend. If the heads together read at intervals of the last read's duration divided by this share,
# prefetches add at most this share to the mean wait of other requests there.
IDLE_CAPACITY_FRACTION = 0.04
MAX_SHARD_BACKOFF_US = 30_000_000  # limit for a read that hung, which says little about the load in the next minute
MAX_SHARDS = 4096  # with a backoff; from this number on, backoffs that have ended are removed
MAX_WAIT_US = 1_000_000  # of a fetch for a shard's backoff; chunks behind a longer one are left to a later fetch


class HoldReason(Enum):
    """Why no prefetch may be made now, from one shard or from any."""

    BUSY = "busy"  # overload, many unanswered requests or a rejected prefetch, now or a moment ago
    UNKNOWN = "unknown"  # no backend of the shard is known
    SHARD_BACKOFF = "rest"  # too little time has passed since the last read from the shard
    DRAINING = "drain"
    WARMING_UP = "cold"
    UNITS = "units"  # a backend of the shard has too few idle units
    SITE = "site"  # the size exceeds the available bytes of the site
    TENANT = "tenant"  # the size exceeds the available bytes of the tenant


class BackendObservation(Struct, frozen=True):
    """A backend as this head observes it now."""

    node: str
    shard: int
    is_serving: bool  # listed as accepting requests
    is_warm: bool
    idle_units: float  # that this head can use without making other requests wait
    is_draining: bool = False  # some member has stated that it is being drained


class LoadSnapshot(Struct, frozen=True):
    """The load that this head observes now."""

    unanswered: int  # requests, without prefetches
    is_overloaded: bool
    backends_by_shard: Mapping[int, Sequence[BackendObservation]]


class PrefetchCandidate(Struct, frozen=True):
    """An object that may be prefetched: its expected requests in the next interval, and its cost."""

    key: bytes
    tenant: str
    shard: int  # of its manifest
    size: int  # bytes, as far as it is known
    units: float  # that reading it costs the backends
    expected_requests: float  # requests in the next span at this site


class ByteRateBudget:
    """A byte budget that is refilled at a rate in bytes/s, up to a capacity of `BURST_S` seconds."""

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.capacity = rate * BURST_S
        self.available = self.capacity
        self.updated_us = now_us

    def fill(self, now_us: int) -> float:
        """Refill the budget up to the current time and return the available bytes."""
        if now_us > self.updated_us:
            self.available = min(self.capacity, self.available + self.rate * (now_us - self.updated_us) / 1e6)
            self.updated_us = now_us
        return self.available


def owner_of_key(key: bytes, members: Iterable[Member], zone: str) -> str:
    """Return the head of a site that fetches an object, by rendezvous hashing over the live heads; empty without any.

    A member that joins or leaves changes the owner only of the keys that it owns from then on, or owned before.
    """
    live = (
        member.name
        for member in members
        if member.zone == zone and member.role is Role.HEAD and member.state is MemberState.ALIVE
    )
    return max(live, key=lambda name: blake2b(key, digest_size=8, key=name.encode()[:64]).digest(), default="")


def request_probability(expected: float) -> float:
    """Return the probability of at least one request: a prefetch saves one fetch, however many requests follow."""
    return -math.expm1(-max(0.0, expected))


def _rank_by_saved_work(candidates: Iterable[PrefetchCandidate], limit: int) -> list[PrefetchCandidate]:
    """Return the candidates that are likely to be requested, those first that save most work per byte."""
    rows = heapq.nsmallest(
        limit,
        (
            (
                -request_probability(candidate.expected_requests) * candidate.units / max(1, candidate.size),
                candidate.key,
                candidate,
            )
            for candidate in candidates
            if request_probability(candidate.expected_requests) >= MIN_REQUEST_PROBABILITY
        ),
        key=lambda row: row[:2],
    )
    return [candidate for _, _, candidate in rows]


class PrefetchPlanner:
    """The prefetch budgets and backoffs of one head."""

    def __init__(self, own_name: str, zone: str, bytes_s: float, tenant_fraction: float, now_us: int) -> None:
        self.own_name = own_name
        self.zone = zone
        self.bytes_s = bytes_s
        self.tenant_fraction = tenant_fraction
        self.site = ByteRateBudget(bytes_s, now_us)
        self.tenants: dict[str, ByteRateBudget] = {}
        self.heads = 1  # live heads of all sites: all of them fetch from the same backends
        self.shard_backoff_until: dict[int, int] = {}  # in microseconds, by shard
        self.backoff_until_us = 0
        self.hold_counts: dict[HoldReason, int] = dict.fromkeys(HoldReason, 0)

    def divide(self, now_us: int, heads: int, heads_everywhere: int = 1) -> None:
        """Divide the site's byte rate among its live heads, and the backends' idle time among those of all sites."""
        self.heads = max(1, heads, heads_everywhere)
        rate = self.bytes_s / max(1, heads)
        if rate != self.site.rate:
            self.site.fill(now_us)
            self.site.rate = rate
            self.site.capacity = rate * BURST_S
            self.site.available = min(self.site.available, self.site.capacity)
            for budget in self.tenants.values():
                budget.fill(now_us)
                budget.rate = rate * self.tenant_fraction
                budget.capacity = budget.rate * BURST_S
                budget.available = min(budget.available, budget.capacity)

    def _tenant_budget(self, tenant: str, now_us: int) -> ByteRateBudget:
        budget = self.tenants.get(tenant)
        if budget is None:
            # A budget that is full again is the same as a new one.
            for tenant_name in [
                tenant_name
                for tenant_name, tenant_budget in self.tenants.items()
                if tenant_budget.fill(now_us) >= tenant_budget.capacity
            ]:
                del self.tenants[tenant_name]
            budget = self.tenants[tenant] = ByteRateBudget(self.site.rate * self.tenant_fraction, now_us)
        return budget

    def record_rejection(self, now_us: int) -> None:
        """Back off after a rejected prefetch: there is no idle capacity."""
        self.backoff_until_us = now_us + OVERLOAD_BACKOFF_US

    def is_backing_off(self, now_us: int, load: LoadSnapshot) -> bool:
        """Update the backoff by the load; returns whether prefetching backs off now."""
        if load.is_overloaded:
            self.backoff_until_us = now_us + OVERLOAD_BACKOFF_US
        elif load.unanswered >= MAX_UNANSWERED:
            self.backoff_until_us = max(self.backoff_until_us, now_us + BUSY_BACKOFF_US)
        return now_us < self.backoff_until_us

    def record_read(self, now_us: int, shard: int, duration_us: int) -> None:
        """Back off from a shard in proportion to the duration of a read."""
        if len(self.shard_backoff_until) >= MAX_SHARDS:
            self.shard_backoff_until = {
                other_shard: until for other_shard, until in self.shard_backoff_until.items() if until > now_us
            }
        self.shard_backoff_until[shard] = now_us + min(
            MAX_SHARD_BACKOFF_US, int(max(0, duration_us) * self.heads / IDLE_CAPACITY_FRACTION)
        )

    def wait_us(self, now_us: int, shard: int) -> int:
        """Return the wait before a read from a shard; 0 also if the shard backs off for more than `MAX_WAIT_US`."""
        remaining_us = self.shard_backoff_until.get(shard, 0) - now_us
        return remaining_us if 0 < remaining_us <= MAX_WAIT_US else 0

    def shard_hold_reason(self, shard: int, units: float, load: LoadSnapshot) -> HoldReason | None:
        """Return why no read may be made from a shard now; None if one may.

        The scheduler chooses among the shard's backends, so each that it might choose has to meet the conditions.
        """
        backends = [backend for backend in load.backends_by_shard.get(shard, ()) if backend.is_serving]
        if any(backend.is_draining for backend in load.backends_by_shard.get(shard, ())):
            return HoldReason.DRAINING
        if not backends:
            return HoldReason.UNKNOWN
        if not all(backend.is_warm for backend in backends):
            return HoldReason.WARMING_UP
        if any(backend.idle_units < units for backend in backends):
            return HoldReason.UNITS
        return None

    def hold_reason(
        self, now_us: int, tenant: str, shard: int, size: int, units: float, load: LoadSnapshot
    ) -> HoldReason | None:
        """Return why a read may not be made now; None if it may.

        Checked before each read, as the load changes while an object is fetched.
        """
        reason: HoldReason | None
        if self.is_backing_off(now_us, load):
            reason = HoldReason.BUSY
        elif size > self.site.fill(now_us):
            reason = HoldReason.SITE
        elif size > self._tenant_budget(tenant, now_us).fill(now_us):
            reason = HoldReason.TENANT
        elif now_us < self.shard_backoff_until.get(shard, 0):
            reason = HoldReason.SHARD_BACKOFF
        else:
            reason = self.shard_hold_reason(shard, units, load)
        if reason is not None:
            self.hold_counts[reason] += 1
        return reason

    def spend(self, now_us: int, tenant: str, size: int) -> None:
        """Charge both budgets for a read before its outcome is known: the backend does the work in any case."""
        self.site.available -= size
        self._tenant_budget(tenant, now_us).available -= size

    def plan(
        self,
        now_us: int,
        members: Iterable[Member],
        load: LoadSnapshot,
        candidates: Iterable[PrefetchCandidate],
        limit: int = 64,
    ) -> list[PrefetchCandidate]:
        """Return the candidates to fetch within the budgets, those first that save most work per byte.

        The budgets are only checked here; `spend` charges them for each read.
        """
        if self.is_backing_off(now_us, load):
            return []
        known_members = list(members)
        ranked = _rank_by_saved_work(candidates, limit * 4)
        site_left, left_by_tenant = self.site.fill(now_us), dict[str, float]()
        idle_units = {
            shard: min((backend.idle_units for backend in backends if backend.is_serving), default=0.0)
            for shard, backends in load.backends_by_shard.items()
        }
        chosen: list[PrefetchCandidate] = []
        for candidate in ranked:
            if len(chosen) >= limit:
                break
            if owner_of_key(candidate.key, known_members, self.zone) not in ("", self.own_name):
                continue
            tenant_left = left_by_tenant.get(candidate.tenant)
            if tenant_left is None:
                tenant_left = self._tenant_budget(candidate.tenant, now_us).fill(now_us)
            if (
                candidate.size > site_left
                or candidate.size > tenant_left
                or self.shard_hold_reason(candidate.shard, 1.0, load) is not None
            ):
                continue
            if idle_units.get(candidate.shard, 0.0) < 1.0:
                continue
            idle_units[candidate.shard] -= 1.0
            site_left -= candidate.size
            left_by_tenant[candidate.tenant] = tenant_left - candidate.size
            chosen.append(candidate)
        return chosen
