"""Decayed counts of requested keys in bounded memory: the space-saving algorithm with forward decay, by tenant.

A counter never underestimates, and has a bound on its overestimate (its error). Each tenant has a bounded share of the
counters and a floor of its own, the upper bound for its keys without a counter. A tenant whose share
is used up evicts a counter of its own; otherwise, if all counters are in use, the tenant with most counters loses one.
So a tenant that requests millions of objects evicts its own counters, and not those of small tenants.
"""

from __future__ import annotations

import heapq
import math
from msgspec import Struct

MAX_POWER = 60.0  # half-lives after which all weights are scaled down: up to 2 ** 60 doubles are exact enough

EVICTIONS_PER_SEARCH = 64  # between searches for the tenant with most counters; shares change little in between


class KeyCount(Struct, frozen=True):
    """The count of a key: between `count - error` and `count` decayed requests."""

    key: bytes
    tenant: str
    count: float
    error: float


class KeyCounter(Struct):
    """The counter of a key; `count` and `error` are weights relative to the landmark, `span_requests` is undecayed."""

    tenant: str
    count: float
    error: float
    span_requests: float = 0.0


class TenantCounters(Struct):
    """The counters of one tenant: a heap by count, which may hold stale counts, and the floor of evicted keys."""

    heap: list[tuple[float, bytes]]
    live_count: int = 0
    floor: float = 0.0  # upper bound for keys of the tenant without a counter
    weight: float = 0.0  # of all its requests


class FrequencySketch:
    """The decayed request counts of one process.

    Args:
        counters: The maximum number of counters.
        half_life_us: The time in which a count decays to half.
        tenant_fraction: The share of the counters that one tenant may have.

    """

    def __init__(self, counters: int, half_life_us: int, tenant_fraction: float = 1.0) -> None:
        if counters < 1 or half_life_us < 1 or not 0.0 < tenant_fraction <= 1.0:
            raise ValueError("counters and half_life_us must be at least 1, tenant_fraction above 0 and at most 1")
        self.max_counters = counters
        self.half_life_us = half_life_us
        self.max_tenant_counters = max(1, int(counters * tenant_fraction))
        self.counters: dict[bytes, KeyCounter] = {}
        self.tenants: dict[str, TenantCounters] = {}
        self.landmark_us = 0
        self.weight = 0.0
        self.largest: TenantCounters | None = None
        self.evictions_until_search = 0  # until the tenant with most counters is searched again

    def __len__(self) -> int:
        return len(self.counters)

    def __contains__(self, key: object) -> bool:
        return key in self.counters

    def _growth(self, now_us: int) -> float:
        """Return the weight of a request now; a clock that goes back is treated as stopped."""
        power = (now_us - self.landmark_us) / self.half_life_us
        if power > MAX_POWER:
            self._rescale(now_us, power)
            power = 0.0
        return math.exp2(power) if power > 0.0 else 1.0

    def _rescale(self, now_us: int, power: float) -> None:
        scale = 2.0 ** -min(power, 1000.0)
        self.landmark_us = now_us
        self.weight = self.weight * scale
        for counter in self.counters.values():
            counter.count *= scale
            counter.error *= scale
        for tenant_counters in self.tenants.values():
            tenant_counters.floor *= scale
            tenant_counters.weight *= scale
            tenant_counters.heap = [(count * scale, key) for count, key in tenant_counters.heap]
        for name in [
            name
            for name, tenant_counters in self.tenants.items()
            if not tenant_counters.live_count and tenant_counters.floor < 1e-9
        ]:
            del self.tenants[name]  # without requests for a long time

    def add(self, now_us: int, key: bytes, tenant: str, requests: float = 1.0) -> None:
        """Count requests for a key."""
        weight = requests * self._growth(now_us)
        self.weight += weight
        counter = self.counters.get(key)
        if counter is not None:
            counter.count += weight
            counter.span_requests += requests
            self.tenants[counter.tenant].weight += weight
            return
        tenant_counters = self.tenants.get(tenant)
        if tenant_counters is None:
            tenant_counters = self.tenants[tenant] = TenantCounters([])
        tenant_counters.weight += weight
        if tenant_counters.live_count >= self.max_tenant_counters:
            self._evict(tenant_counters)
        elif len(self.counters) >= self.max_counters:
            self._evict(self._largest())
        self.counters[key] = KeyCounter(tenant, tenant_counters.floor + weight, tenant_counters.floor, requests)
        tenant_counters.live_count += 1
        heapq.heappush(tenant_counters.heap, (tenant_counters.floor + weight, key))

    def _largest(self) -> TenantCounters:
        """Return the tenant with most counters, searched only at intervals, as there may be many tenants."""
        if self.evictions_until_search <= 0 or self.largest is None or not self.largest.live_count:
            self.evictions_until_search = EVICTIONS_PER_SEARCH
            self.largest = max(self.tenants.values(), key=lambda tenant_counters: tenant_counters.live_count)
        self.evictions_until_search -= 1
        return self.largest

    def _evict(self, tenant_counters: TenantCounters) -> None:
        """Evict the smallest counter of a tenant, and raise the tenant's floor to its count."""
        heap = tenant_counters.heap
        while True:
            heap_count, key = heap[0]
            count = self.counters[key].count
            if count <= heap_count:
                break
            heapq.heapreplace(heap, (count, key))  # the count has grown since it was pushed
        heapq.heappop(heap)
        del self.counters[key]
        tenant_counters.live_count -= 1
        tenant_counters.floor = max(tenant_counters.floor, count)

    def forget(self, key: bytes) -> None:
        """Drop a deleted key; the floor stays as it is, since the key is not requested again."""
        counter = self.counters.pop(key, None)
        if counter is not None:
            tenant_counters = self.tenants[counter.tenant]
            tenant_counters.live_count -= 1
            tenant_counters.heap = [entry for entry in tenant_counters.heap if entry[1] != key]
            heapq.heapify(tenant_counters.heap)

    def count(self, now_us: int, key: bytes, tenant: str) -> KeyCount:
        """Return the count of a key, and its error."""
        growth = self._growth(now_us)
        counter = self.counters.get(key)
        if counter is not None:
            return KeyCount(key, counter.tenant, counter.count / growth, counter.error / growth)
        floor = self.tenants[tenant].floor / growth if tenant in self.tenants else 0.0
        return KeyCount(key, tenant, floor, floor)

    def top(self, now_us: int, max_keys: int, tenant: str | None = None) -> list[KeyCount]:
        """Return the keys with the highest counts less error, of one tenant or all; ties are ordered by key."""
        growth = self._growth(now_us)
        ranked = (
            (-(counter.count - counter.error), key)
            for key, counter in self.counters.items()
            if tenant is None or counter.tenant == tenant
        )
        return [
            KeyCount(
                key, self.counters[key].tenant, self.counters[key].count / growth, self.counters[key].error / growth
            )
            for _, key in heapq.nsmallest(max_keys, ranked)
        ]

    def total(self, now_us: int, tenant: str | None = None) -> float:
        """Return the decayed sum of requests, of one tenant or all."""
        growth = self._growth(now_us)
        if tenant is None:
            return self.weight / growth
        return self.tenants[tenant].weight / growth if tenant in self.tenants else 0.0

    def close_span(self) -> list[tuple[bytes, str, float]]:
        """Return key, tenant and undecayed requests since the last call for each counter; starts a new span."""
        span_counts = [
            (key, key_counter.tenant, key_counter.span_requests) for key, key_counter in self.counters.items()
        ]
        for counter in self.counters.values():
            counter.span_requests = 0.0
        return span_counts
