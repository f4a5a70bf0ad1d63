"""Plans prefetches within byte budgets: load snapshots and candidates come in, candidates to fetch go out.

A prefetch only moves work from a busy time to an idle one, so it has the lowest priority: it is made where the budgets
of the site and the tenant allow it, from backends that are warm, not draining and have idle capacity, and not while
requests are queued. Two heads that each take themselves for an object's owner cost a fetch and no wrong answer.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from hashlib import blake2b

from msgspec import Struct

from hophinge.cluster.interface import Member, Role, MemberState

BURST_S = 10.0  # of budget that may be saved up: what a span left over serves the next, not a night's
MIN_CHANCE = 0.4  # that an object is asked for in the span; below, most fetches would be for nothing
MAX_UNANSWERED = 8  # requests unanswered at this head from which nothing is fetched: two objects' reads at once
BUSY_BACKOFF_US = 50_000  # after so many were seen
OVERLOAD_BACKOFF_US = 2_000_000  # after overload was seen; a queue that has just emptied fills again
# Of what a shard's backends have idle, for the fetches of all heads. A read takes its work over the idle part of its
# backend, so one in so many times what the last one took adds at most this part to the mean wait of others there.
IDLE_CAPACITY_FRACTION = 0.04
MAX_SHARD_BACKOFF_US = 30_000_000  # one read that hung says little about the next minute
MAX_SHARDS = 4096  # whose rests are kept before those that are over are dropped
MAX_WAIT_US = 1_000_000  # that a fetch waits for a shard; what rests longer is left to a later one


class HoldReason(Enum):
    """Why no prefetch may be made from a shard, or at all, now."""

    BUSY = "busy"  # requests wait here, or did a moment ago
    UNKNOWN = "unknown"  # no backend of the shard is known
    SHARD_BACKOFF = "rest"  # the last fetch from there was too short a while ago
    DRAINING = "drain"
    WARMING_UP = "cold"
    UNITS = "units"
    SITE = "site"  # bytes
    TENANT = "tenant"  # bytes


class BackendObservation(Struct, frozen=True):
    """A backend as this head observes it now."""

    node: str
    shard: int
    is_serving: bool  # listed as taking requests
    is_warm: bool
    idle_units: float  # that it can take from here without anything waiting for it
    is_draining: bool = False  # some member says that it is in a drain


class LoadSnapshot(Struct, frozen=True):
    """The load that this head observes now."""

    unanswered: int
    is_overloaded: bool
    backends_by_shard: Mapping[int, Sequence[BackendObservation]]  # by shard


class PrefetchCandidate(Struct, frozen=True):
    """An object that may be prefetched: its expected requests in the next interval, and its cost."""

    key: bytes
    tenant: str
    shard: int  # of its manifest
    size: int  # bytes, as far as is known
    units: float  # that its reading costs backends
    expected_requests: float  # requests in the next span at this site


class ByteRateBudget:
    """A byte budget that is refilled at a rate, up to a capacity of `BURST_S` seconds."""

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.capacity = rate * BURST_S
        self.available = self.capacity
        self.updated_us = now_us

    def fill(self, now_us: int) -> float:
        """Refill up to a time and return the available bytes."""
        if now_us > self.updated_us:
            self.available = min(self.capacity, self.available + self.rate * (now_us - self.updated_us) / 1e6)
            self.updated_us = now_us
        return self.available


def owner_of_key(key: bytes, members: Iterable[Member], zone: str) -> str:
    """Return the head of a site that fetches an object, by rendezvous hashing over live heads; empty without any.

    Members that come and go move only the keys that they win or had won.
    """
    live = (
        one.name for one in members if one.zone == zone and one.role is Role.HEAD and one.state is MemberState.ALIVE
    )
    return max(live, key=lambda name: blake2b(key, digest_size=8, key=name.encode()[:64]).digest(), default="")


def request_probability(expected: float) -> float:
    """Return the chance of at least one request; one fetch saves one, whatever the number that then come."""
    return -math.expm1(-max(0.0, expected))


def _most_worthwhile(candidates: Iterable[PrefetchCandidate], limit: int) -> list[PrefetchCandidate]:
    """Return the likely candidates that save most work a byte, the best first."""
    rows = heapq.nsmallest(
        limit,
        (
            (
                -request_probability(candidate.expected_requests) * candidate.units / max(1, candidate.size),
                candidate.key,
                candidate,
            )
            for candidate in candidates
            if request_probability(candidate.expected_requests) >= MIN_CHANCE
        ),
        key=lambda row: row[:2],
    )
    return [candidate for _, _, candidate in rows]


class PrefetchPlanner:
    """The prefetch budgets and backoffs of one head."""

    def __init__(self, me: str, zone: str, bytes_s: float, tenant_fraction: float, now_us: int) -> None:
        self.me = me
        self.zone = zone
        self.bytes_s = bytes_s
        self.tenant_fraction = tenant_fraction
        self.site = ByteRateBudget(bytes_s, now_us)
        self.tenants: dict[str, ByteRateBudget] = {}
        self.heads = 1  # that live, at all sites: all of them fetch from the same backends
        self.shard_backoff_until: dict[int, int] = {}  # by shard, until when
        self.backoff_until_us = 0
        self.hold_counts: dict[HoldReason, int] = dict.fromkeys(HoldReason, 0)

    def divide(self, now_us: int, heads: int, heads_everywhere: int = 1) -> None:
        """Divide the site's bytes among so many live heads there, and backends' idle time among those everywhere."""
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
            # Those that are full again say no more than a new one would.
            for name in [name for name, one in self.tenants.items() if one.fill(now_us) >= one.capacity]:
                del self.tenants[name]
            budget = self.tenants[tenant] = ByteRateBudget(self.site.rate * self.tenant_fraction, now_us)
        return budget

    def record_rejection(self, now_us: int) -> None:
        """Back off after a rejected prefetch: there is no idle capacity."""
        self.backoff_until_us = now_us + OVERLOAD_BACKOFF_US

    def is_backing_off(self, now_us: int, facts: LoadSnapshot) -> bool:
        """Return whether prefetching backs off because of clients' requests."""
        if facts.is_overloaded:
            self.backoff_until_us = now_us + OVERLOAD_BACKOFF_US
        elif facts.unanswered >= MAX_UNANSWERED:
            self.backoff_until_us = max(self.backoff_until_us, now_us + BUSY_BACKOFF_US)
        return now_us < self.backoff_until_us

    def record_read(self, now_us: int, shard: int, duration_us: int) -> None:
        """Back off from a shard in proportion to the duration of a read."""
        if len(self.shard_backoff_until) >= MAX_SHARDS:
            self.shard_backoff_until = {one: until for one, until in self.shard_backoff_until.items() if until > now_us}
        self.shard_backoff_until[shard] = now_us + min(
            MAX_SHARD_BACKOFF_US, int(max(0, duration_us) * self.heads / IDLE_CAPACITY_FRACTION)
        )

    def wait_us(self, now_us: int, shard: int) -> int:
        """Return how long to wait before a read from a shard; 0 also where that is too long to wait for."""
        left = self.shard_backoff_until.get(shard, 0) - now_us
        return left if 0 < left <= MAX_WAIT_US else 0

    def shard_hold_reason(self, shard: int, units: float, facts: LoadSnapshot) -> HoldReason | None:
        """Return why no read may be made from a shard now; None where one may.

        The scheduler chooses among a shard's backends, so each that it might choose must be fit for it.
        """
        backends = [one for one in facts.backends_by_shard.get(shard, ()) if one.is_serving]
        if any(one.is_draining for one in facts.backends_by_shard.get(shard, ())):
            return HoldReason.DRAINING
        if not backends:
            return HoldReason.UNKNOWN
        if not all(one.is_warm for one in backends):
            return HoldReason.WARMING_UP
        if any(one.idle_units < units for one in backends):
            return HoldReason.UNITS
        return None

    def hold_reason(
        self, now_us: int, tenant: str, shard: int, size: int, units: float, facts: LoadSnapshot
    ) -> HoldReason | None:
        """Return why a read may not be made now; checked before each, as load changes while an object is fetched."""
        why: HoldReason | None
        if self.is_backing_off(now_us, facts):
            why = HoldReason.BUSY
        elif size > self.site.fill(now_us):
            why = HoldReason.SITE
        elif size > self._tenant_budget(tenant, now_us).fill(now_us):
            why = HoldReason.TENANT
        elif now_us < self.shard_backoff_until.get(shard, 0):
            why = HoldReason.SHARD_BACKOFF
        else:
            why = self.shard_hold_reason(shard, units, facts)
        if why is not None:
            self.hold_counts[why] += 1
        return why

    def spend(self, now_us: int, tenant: str, size: int) -> None:
        """Charge both budgets before a read, whatever its outcome: the backend's work is spent all the same."""
        self.site.available -= size
        self._tenant_budget(tenant, now_us).available -= size

    def plan(
        self,
        now_us: int,
        members: Iterable[Member],
        facts: LoadSnapshot,
        candidates: Iterable[PrefetchCandidate],
        most: int = 64,
    ) -> list[PrefetchCandidate]:
        """Return the candidates to fetch, those that save most work a byte first, as far as the budgets reach.

        Budgets are looked at and not taken here: `spend` does that for each read.
        """
        if self.is_backing_off(now_us, facts):
            return []
        live = list(members)
        ranked = _most_worthwhile(candidates, most * 4)
        left, of_tenant = self.site.fill(now_us), dict[str, float]()
        units = {
            shard: min((one.idle_units for one in backends if one.is_serving), default=0.0)
            for shard, backends in facts.backends_by_shard.items()
        }
        found: list[PrefetchCandidate] = []
        for one in ranked:
            if len(found) >= most:
                break
            if owner_of_key(one.key, live, self.zone) not in ("", self.me):
                continue
            rest = of_tenant.get(one.tenant)
            if rest is None:
                rest = self._tenant_budget(one.tenant, now_us).fill(now_us)
            if one.size > left or one.size > rest or self.shard_hold_reason(one.shard, 1.0, facts) is not None:
                continue
            if units.get(one.shard, 0.0) < 1.0:
                continue
            units[one.shard] -= 1.0
            left -= one.size
            of_tenant[one.tenant] = rest - one.size
            found.append(one)
        return found
