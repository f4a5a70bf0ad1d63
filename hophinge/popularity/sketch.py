"""Counts of what was asked for, in bounded memory and with decay: space-saving with forward decay, kept by tenant.

A counter never tells less than was counted, and tells how much of it may be others' (its error). A tenant has a bounded
part of the counters and its own floor, so one that asks for millions of objects pushes out its own and nobody else's.
"""

from __future__ import annotations

import heapq
import math
from msgspec import Struct

MAX_POWER = 60.0  # half-lives after which weights are scaled down: 2 ** 60 keeps doubles exact enough

LOOK_EACH = 64  # evictions; parts differ little after so few


class Counted(Struct, frozen=True):
    """What a key was counted: between `count - error` and `count` decayed requests."""

    key: bytes
    tenant: str
    count: float
    error: float


class Counter(Struct):
    """A counter that is held; `count` and `error` are in weights of the landmark, `span` in plain requests."""

    tenant: str
    count: float
    error: float
    span: float = 0.0


class Part(Struct):
    """One tenant's counters: a heap by count with stale places, how many are live, and the floor of the rest."""

    heap: list[tuple[float, bytes]]
    held: int = 0
    floor: float = 0.0  # no key of the tenant that is not held was counted more
    weight: float = 0.0  # of all its requests


class Sketch:
    """Decayed counts of one process."""

    def __init__(self, counters: int, half_life_us: int, tenant_part: float = 1.0) -> None:
        if counters < 1 or half_life_us < 1 or not 0.0 < tenant_part <= 1.0:
            raise ValueError("counters and half_life_us are at least 1, tenant_part is above 0 and at most 1")
        self.most, self.half_life_us = counters, half_life_us
        self.most_each = max(1, int(counters * tenant_part))
        self.counters: dict[bytes, Counter] = {}
        self.parts: dict[str, Part] = {}
        self.landmark = 0
        self.weight = 0.0
        self.largest: Part | None = None
        self.look = 0  # evictions before the largest part is looked for again

    def __len__(self) -> int:
        return len(self.counters)

    def __contains__(self, key: object) -> bool:
        return key in self.counters

    def _growth(self, now_us: int) -> float:
        """Tell the weight of a request now; a clock that goes back counts as standing."""
        power = (now_us - self.landmark) / self.half_life_us
        if power > MAX_POWER:
            self._rescale(now_us, power)
            power = 0.0
        return math.exp2(power) if power > 0.0 else 1.0

    def _rescale(self, now_us: int, power: float) -> None:
        scale = 2.0 ** -min(power, 1000.0)
        self.landmark, self.weight = now_us, self.weight * scale
        for counter in self.counters.values():
            counter.count *= scale
            counter.error *= scale
        for part in self.parts.values():
            part.floor *= scale
            part.weight *= scale
            part.heap = [(count * scale, key) for count, key in part.heap]
        for name in [name for name, part in self.parts.items() if not part.held and part.floor < 1e-9]:
            del self.parts[name]  # a tenant that is gone for long

    def add(self, now_us: int, key: bytes, tenant: str, requests: float = 1.0) -> None:
        """Count requests for a key."""
        weight = requests * self._growth(now_us)
        self.weight += weight
        counter = self.counters.get(key)
        if counter is not None:
            counter.count += weight
            counter.span += requests
            self.parts[counter.tenant].weight += weight
            return
        part = self.parts.get(tenant)
        if part is None:
            part = self.parts[tenant] = Part([])
        part.weight += weight
        if part.held >= self.most_each:
            self._evict(part)
        elif len(self.counters) >= self.most:
            self._evict(self._largest())
        self.counters[key] = Counter(tenant, part.floor + weight, part.floor, requests)
        part.held += 1
        heapq.heappush(part.heap, (part.floor + weight, key))

    def _largest(self) -> Part:
        """Tell the tenant's part with most counters, looked for anew now and then: there may be many tenants."""
        if self.look <= 0 or self.largest is None or not self.largest.held:
            self.look, self.largest = LOOK_EACH, max(self.parts.values(), key=lambda one: one.held)
        self.look -= 1
        return self.largest

    def _evict(self, part: Part) -> None:
        """Give up a part's least counter; its floor rises to that."""
        heap = part.heap
        while True:
            noted, key = heap[0]
            count = self.counters[key].count
            if count <= noted:
                break
            heapq.heapreplace(heap, (count, key))  # it has grown since it was put there
        heapq.heappop(heap)
        del self.counters[key]
        part.held -= 1
        part.floor = max(part.floor, count)

    def forget(self, key: bytes) -> None:
        """Drop a key that is no more; the floor need not rise, for nobody asks for it again."""
        counter = self.counters.pop(key, None)
        if counter is not None:
            part = self.parts[counter.tenant]
            part.held -= 1
            part.heap = [place for place in part.heap if place[1] != key]
            heapq.heapify(part.heap)

    def count(self, now_us: int, key: bytes, tenant: str) -> Counted:
        """Tell what a key was counted at most, and how much of that may be others'."""
        growth = self._growth(now_us)
        counter = self.counters.get(key)
        if counter is not None:
            return Counted(key, counter.tenant, counter.count / growth, counter.error / growth)
        floor = self.parts[tenant].floor / growth if tenant in self.parts else 0.0
        return Counted(key, tenant, floor, floor)

    def top(self, now_us: int, most: int, tenant: str | None = None) -> list[Counted]:
        """Tell the keys that were counted most, one tenant's or all; ties by key, so that it is the same each time."""
        growth = self._growth(now_us)
        found = (
            (-(one.count - one.error), key)
            for key, one in self.counters.items()
            if tenant is None or one.tenant == tenant
        )
        return [
            Counted(
                key, self.counters[key].tenant, self.counters[key].count / growth, self.counters[key].error / growth
            )
            for _, key in heapq.nsmallest(most, found)
        ]

    def total(self, now_us: int, tenant: str | None = None) -> float:
        """Tell the decayed sum of all requests, one tenant's or all."""
        growth = self._growth(now_us)
        if tenant is None:
            return self.weight / growth
        return self.parts[tenant].weight / growth if tenant in self.parts else 0.0

    def close_span(self) -> list[tuple[bytes, str, float]]:
        """Tell each held key's plain requests since the last call, and begin anew."""
        found = [(key, one.tenant, one.span) for key, one in self.counters.items()]
        for counter in self.counters.values():
            counter.span = 0.0
        return found
