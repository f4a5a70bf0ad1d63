"""An admission before a server whose time is the test's, and the index of fairness."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from hophinge.tenancy.admission import (
    Admission,
    AdmissionRequest,
    TenantShares,
    SpareCapacity,
    Ticket,
    AdmissionDecision,
)

S, MS = 1_000_000, 1000


def jain(values: list[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where one has all."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


class Head:
    """An admission before a server that does so many units a second, one after the other; time is the test's."""

    def __init__(self, shares: dict[str, TenantShares], spare: SpareCapacity, rate: float) -> None:
        self.admission = Admission(lambda name: shares.get(name, TenantShares()), spare, 8.0)
        self.rate, self.now, self.free_at = rate, 0, 0.0
        self.out: list[tuple[float, Ticket]] = []
        self.times: dict[str, list[float]] = {}
        self.refused: Counter[str] = Counter()
        self.waits: set[int] = set()

    def ask(self, tenant: str, units: float = 1.0, volume: str = "", worth: float = 1.0) -> AdmissionDecision:
        ask = AdmissionRequest(tenant, volume or f"{tenant}-v", units, worth, 0.0, 1.0, 150 * MS)
        verdict, ticket, wait = self.admission.arrive(self.now, ask)
        assert (verdict is AdmissionDecision.REJECTED) == (wait > 0)
        if verdict is AdmissionDecision.QUEUED:
            self.waits.add(id(ticket))
        elif verdict is AdmissionDecision.REJECTED:
            self.refused[tenant] += 1
        else:
            self._serve(ticket)
        return verdict

    def _serve(self, ticket: Ticket) -> None:
        self.free_at = max(self.free_at, self.now) + ticket.request.units / self.rate * S
        self.out.append((self.free_at, ticket))

    def _turn(self) -> None:
        for ticket, wait in self.admission.dispatch(self.now):
            self.waits.remove(id(ticket))  # a KeyError: it ended twice, or never waited
            if wait:
                self.refused[ticket.request.tenant] += 1
            else:
                self._serve(ticket)

    def until(self, then: int) -> None:
        while True:
            at = min(
                [
                    then,
                    *(int(at) + 1 for at, _ in self.out[:1]),
                    *([self.admission.next_deadline_us] if self.admission.next_deadline_us else []),
                ]
            )
            self.now = max(self.now, at)
            while self.out and self.out[0][0] <= self.now:
                _, ticket = self.out.pop(0)
                self.admission.finish(self.now, ticket)
                self.times.setdefault(ticket.request.tenant, []).append((self.now - ticket.arrived_us) / MS)
            self._turn()
            if at >= then:
                return


def played(surge: float, seconds: int = 20) -> Head:
    """Three tenants, two near their reserved 30 units/s, the third at a multiple of it, on a head that does 120."""
    head = Head({name: TenantShares(30.0, 1.0, 64) for name in "abc"}, SpareCapacity(2.0, 50 * MS), 120.0)
    rng = random.Random(5)
    arrivals = sorted(
        (int(at), name)
        for name, rate in (("a", 27.0), ("b", 27.0), ("c", 27.0 * surge))
        for at in itertools.accumulate(rng.expovariate(rate / S) for _ in range(int(rate * seconds)))
    )
    for at, name in arrivals:
        head.until(at)
        head.ask(name)
    head.until(arrivals[-1][0] + S)
    return head
