"""Simulation of a head with admission and a server in simulated time, and an index of fairness."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from hophinge.tenancy.admission import (
    Admission,
    AdmissionDecision,
    AdmissionRequest,
    SpareCapacity,
    TenantShares,
    Ticket,
)

S, MS = 1_000_000, 1000


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index: 1 if all n values are equal, 1/n if all but one are 0."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


class SimulatedHead:
    """Admission in front of a server that serves requests one at a time at `rate` units/s, in simulated time."""

    def __init__(self, shares: dict[str, TenantShares], spare: SpareCapacity, rate: float) -> None:
        self.admission = Admission(lambda name: shares.get(name, TenantShares()), spare, 8.0)
        self.rate, self.now_us, self.free_at_us = rate, 0, 0.0
        self.in_service: list[tuple[float, Ticket]] = []
        self.latencies_ms: dict[str, list[float]] = {}
        self.rejected: Counter[str] = Counter()
        self.queued: set[int] = set()

    def arrive(self, tenant: str, units: float = 1.0, volume: str = "", priority: float = 1.0) -> AdmissionDecision:
        request = AdmissionRequest(tenant, volume or f"{tenant}-v", units, priority, 0.0, 1.0, 150 * MS)
        decision, ticket, retry_after_us = self.admission.arrive(self.now_us, request)
        assert (decision is AdmissionDecision.REJECTED) == (retry_after_us > 0)
        if decision is AdmissionDecision.QUEUED:
            self.queued.add(id(ticket))
        elif decision is AdmissionDecision.REJECTED:
            self.rejected[tenant] += 1
        else:
            self._serve(ticket)
        return decision

    def _serve(self, ticket: Ticket) -> None:
        self.free_at_us = max(self.free_at_us, self.now_us) + ticket.request.units / self.rate * S
        self.in_service.append((self.free_at_us, ticket))

    def _dispatch(self) -> None:
        for ticket, retry_after_us in self.admission.dispatch(self.now_us):
            self.queued.remove(id(ticket))  # a KeyError means that the ticket left twice, or was never queued
            if retry_after_us:
                self.rejected[ticket.request.tenant] += 1
            else:
                self._serve(ticket)

    def run_until(self, end_us: int) -> None:
        while True:
            next_us = min(
                [
                    end_us,
                    *(int(done_at_us) + 1 for done_at_us, _ in self.in_service[:1]),
                    *([self.admission.next_deadline_us] if self.admission.next_deadline_us else []),
                ]
            )
            self.now_us = max(self.now_us, next_us)
            while self.in_service and self.in_service[0][0] <= self.now_us:
                _, ticket = self.in_service.pop(0)
                self.admission.finish(self.now_us, ticket)
                self.latencies_ms.setdefault(ticket.request.tenant, []).append((self.now_us - ticket.arrived_us) / MS)
            self._dispatch()
            if next_us >= end_us:
                return


def run_surge(surge: float, seconds: int = 20) -> SimulatedHead:
    """Simulate a surge of one tenant.

    Each of three tenants has a reserve of 30 units/s, at a head that serves 120 units/s. Tenants a and b request
    27 units/s, tenant c requests `surge` times as much.
    """
    head = SimulatedHead({name: TenantShares(30.0, 1.0, 64) for name in "abc"}, SpareCapacity(2.0, 50 * MS), 120.0)
    rng = random.Random(5)
    arrivals = sorted(
        (int(arrival_us), name)
        for name, rate in (("a", 27.0), ("b", 27.0), ("c", 27.0 * surge))
        for arrival_us in itertools.accumulate(rng.expovariate(rate / S) for _ in range(int(rate * seconds)))
    )
    for arrival_us, name in arrivals:
        head.run_until(arrival_us)
        head.arrive(name)
    head.run_until(arrivals[-1][0] + S)
    return head
