"""What is fetched beforehand: the budgets, and what they are spent on. Facts come in, fetches go out.

A fetch only moves work from a busy time to a spare one, so it has the least right to anything: it goes where a site's
and a tenant's bytes allow it, to backends that are warm, not in a drain and have units to spare, and not at all while
requests wait. Two heads that each think they own an object cost a fetch and no wrong answer.
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
QUIET = 8  # requests unanswered at this head from which nothing is fetched: two objects' reads at once
REST_US = 50_000  # after so many were seen
PAUSE_US = 2_000_000  # after overload was seen; a queue that has just emptied fills again
# Of what a shard's backends have idle, for the fetches of all heads. A read takes its work over the idle part of its
# backend, so one in so many times what the last one took adds at most this part to the mean wait of others there.
IDLE_PART = 0.04
LONGEST_REST_US = 30_000_000  # one read that hung says little about the next minute
MAX_SHARDS = 4096  # whose rests are kept before those that are over are dropped
MAX_REST_US = 1_000_000  # that a fetch waits for a shard; what rests longer is left to a later one


class Why(Enum):
    """Why nothing may go to a backend's shard, or at all, now."""

    BUSY = "busy"  # requests wait here, or did a moment ago
    UNKNOWN = "unknown"  # no backend of the shard is known
    REST = "rest"  # the last fetch from there was too short a while ago
    DRAIN = "drain"
    COLD = "cold"
    UNITS = "units"
    SITE = "site"  # bytes
    TENANT = "tenant"  # bytes


class Source(Struct, frozen=True):
    """A backend as this head sees it now."""

    node: str
    shard: int
    on: bool  # listed as taking requests
    warm: bool
    spare_units: float  # that it can take from here without anything waiting for it
    draining: bool = False  # some member says that it is in a drain


class Facts(Struct, frozen=True):
    """What this head sees now."""

    unanswered: int
    overloaded: bool
    sources: Mapping[int, Sequence[Source]]  # by shard


class Candidate(Struct, frozen=True):
    """An object that might be fetched: what is expected of it in the next span, and what it costs."""

    key: bytes
    tenant: str
    shard: int  # of its manifest
    size: int  # bytes, as far as is known
    units: float  # that its reading costs backends
    expected: float  # requests in the next span at this site


class Bytes:
    """A budget of bytes: a rate, and what was saved up of it."""

    def __init__(self, rate: float, now_us: int) -> None:
        self.rate = rate
        self.most = rate * BURST_S
        self.left = self.most
        self.at_us = now_us

    def fill(self, now_us: int) -> float:
        """Return what is left now."""
        if now_us > self.at_us:
            self.left = min(self.most, self.left + self.rate * (now_us - self.at_us) / 1e6)
            self.at_us = now_us
        return self.left


def owner(key: bytes, members: Iterable[Member], zone: str) -> str:
    """Return which head of a site fetches an object: the highest hash among heads that live; empty where there is none.

    Members that come and go move only the keys that they win or had won.
    """
    live = (
        one.name for one in members if one.zone == zone and one.role is Role.HEAD and one.state is MemberState.ALIVE
    )
    return max(live, key=lambda name: blake2b(key, digest_size=8, key=name.encode()[:64]).digest(), default="")


def chance(expected: float) -> float:
    """Return the chance of at least one request; one fetch saves one, whatever the number that then come."""
    return -math.expm1(-max(0.0, expected))


class Planner:
    """One head's fetches beforehand."""

    def __init__(self, me: str, zone: str, bytes_s: float, tenant_part: float, now_us: int) -> None:
        self.me = me
        self.zone = zone
        self.bytes_s = bytes_s
        self.tenant_part = tenant_part
        self.site = Bytes(bytes_s, now_us)
        self.tenants: dict[str, Bytes] = {}
        self.heads = 1  # that live, at all sites: all of them fetch from the same backends
        self.rests: dict[int, int] = {}  # by shard, until when
        self.paused_us = 0
        self.held_back: dict[Why, int] = dict.fromkeys(Why, 0)

    def share(self, now_us: int, heads: int, everywhere: int = 1) -> None:
        """Divide the site's bytes among so many live heads there, and backends' idle time among those everywhere."""
        self.heads = max(1, heads, everywhere)
        rate = self.bytes_s / max(1, heads)
        if rate != self.site.rate:
            self.site.fill(now_us)
            self.site.rate = rate
            self.site.most = rate * BURST_S
            self.site.left = min(self.site.left, self.site.most)
            for budget in self.tenants.values():
                budget.fill(now_us)
                budget.rate = rate * self.tenant_part
                budget.most = budget.rate * BURST_S
                budget.left = min(budget.left, budget.most)

    def _of(self, tenant: str, now_us: int) -> Bytes:
        budget = self.tenants.get(tenant)
        if budget is None:
            # Those that are full again say no more than a new one would.
            for name in [name for name, one in self.tenants.items() if one.fill(now_us) >= one.most]:
                del self.tenants[name]
            budget = self.tenants[tenant] = Bytes(self.site.rate * self.tenant_part, now_us)
        return budget

    def refused(self, now_us: int) -> None:
        """Note that the module, or whoever stands before it, turned a fetch away: there is nothing spare."""
        self.paused_us = now_us + PAUSE_US

    def busy(self, now_us: int, facts: Facts) -> bool:
        """Return whether fetches are to rest because of others' requests."""
        if facts.overloaded:
            self.paused_us = now_us + PAUSE_US
        elif facts.unanswered >= QUIET:
            self.paused_us = max(self.paused_us, now_us + REST_US)
        return now_us < self.paused_us

    def took(self, now_us: int, shard: int, took_us: int) -> None:
        """Let a shard rest after a read that took so long."""
        if len(self.rests) >= MAX_SHARDS:
            self.rests = {one: until for one, until in self.rests.items() if until > now_us}
        self.rests[shard] = now_us + min(LONGEST_REST_US, int(max(0, took_us) * self.heads / IDLE_PART))

    def rest_us(self, now_us: int, shard: int) -> int:
        """Return how long to wait before a read from a shard; 0 also where that is too long to wait for."""
        left = self.rests.get(shard, 0) - now_us
        return left if 0 < left <= MAX_REST_US else 0

    def source(self, shard: int, units: float, facts: Facts) -> Why | None:
        """Return what speaks against a read from a shard now.

        The module chooses among a shard's backends, so each that it might choose must be fit for it.
        """
        backends = [one for one in facts.sources.get(shard, ()) if one.on]
        if any(one.draining for one in facts.sources.get(shard, ())):
            return Why.DRAIN
        if not backends:
            return Why.UNKNOWN
        if not all(one.warm for one in backends):
            return Why.COLD
        if any(one.spare_units < units for one in backends):
            return Why.UNITS
        return None

    def may(self, now_us: int, tenant: str, shard: int, size: int, units: float, facts: Facts) -> Why | None:
        """Return what speaks against one read now; asked before each, for facts change while an object is fetched."""
        why: Why | None
        if self.busy(now_us, facts):
            why = Why.BUSY
        elif size > self.site.fill(now_us):
            why = Why.SITE
        elif size > self._of(tenant, now_us).fill(now_us):
            why = Why.TENANT
        elif now_us < self.rests.get(shard, 0):
            why = Why.REST
        else:
            why = self.source(shard, units, facts)
        if why is not None:
            self.held_back[why] += 1
        return why

    def spend(self, now_us: int, tenant: str, size: int) -> None:
        """Take bytes from both budgets: before the read, whatever becomes of it, for the backend's work is done."""
        self.site.left -= size
        self._of(tenant, now_us).left -= size

    def plan(
        self, now_us: int, members: Iterable[Member], facts: Facts, candidates: Iterable[Candidate], most: int = 64
    ) -> list[Candidate]:
        """Return what to fetch, in order: what saves most work a byte first, as far as the budgets reach.

        Budgets are looked at and not taken here: `spend` does that for each read.
        """
        if self.busy(now_us, facts):
            return []
        live = list(members)
        ranked = heapq.nsmallest(
            most * 4,
            (
                (-chance(one.expected) * one.units / max(1, one.size), one.key, one)
                for one in candidates
                if chance(one.expected) >= MIN_CHANCE
            ),
            key=lambda row: row[:2],
        )
        left, of_tenant = self.site.fill(now_us), dict[str, float]()
        units = {
            shard: min((one.spare_units for one in backends if one.on), default=0.0)
            for shard, backends in facts.sources.items()
        }
        found: list[Candidate] = []
        for _, _, one in ranked:
            if len(found) >= most:
                break
            if owner(one.key, live, self.zone) not in ("", self.me):
                continue
            rest = of_tenant.get(one.tenant)
            if rest is None:
                rest = self._of(one.tenant, now_us).fill(now_us)
            if one.size > left or one.size > rest or self.source(one.shard, 1.0, facts) is not None:
                continue
            if units.get(one.shard, 0.0) < 1.0:
                continue
            units[one.shard] -= 1.0
            left -= one.size
            of_tenant[one.tenant] = rest - one.size
            found.append(one)
        return found
