"""How what is spare is shared, and what a decision of admission costs: a part of `benchmarks/tenants.py`."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from hophinge.tenancy.admission import Admission, AdmissionRequest, TenantShares, SpareCapacity, AdmissionDecision  # noqa: E402
from stream_costs import quantile  # noqa: E402


def jain(values: list[float]) -> float:
    """Tell Jain's index: 1 where all are equal, 1/n where one has all."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


def fairness() -> list[str]:
    """Share what is spare among tenants of other weights that all want more."""
    weights = {f"t{at}": 1.0 + at % 5 for at in range(20)}
    admission = Admission(lambda name: TenantShares(0.0, weights[name], 64), SpareCapacity(8.0, 1_000_000), 8.0)
    rng, got, now, inside = random.Random(3), dict.fromkeys(weights, 0.0), 0, []
    for _ in range(60_000):
        now += 1000
        name = rng.choice(sorted(weights))
        verdict, ticket, _ = admission.arrive(
            now, AdmissionRequest(name, "v", rng.uniform(0.5, 8), 1.0, 0.0, 1.0, 900_000)
        )
        if verdict is AdmissionDecision.SPARE:
            inside.append(ticket)
        for ticket, wait in admission.dispatch(now):
            if not wait:
                inside.append(ticket)
        while inside and rng.random() < 0.4:
            done = inside.pop(rng.randrange(len(inside)))
            got[done.request.tenant] += done.request.units
            admission.finish(now, done)
            inside += [ticket for ticket, wait in admission.dispatch(now) if not wait]
    return [
        f"Twenty tenants of weights 1 to 5, all asking for more than there is, units of 0.5 to 8: Jain's index of "
        f"what each got for its weight is {jain([got[name] / weight for name, weight in weights.items()]):.4f}."
    ]


class Scan:
    """The same decision by a look at every tenant that ever asked, as a plain list has it."""

    def __init__(self, names: list[str]) -> None:
        self.tags = dict.fromkeys(names, 0.0)
        self.queues: dict[str, list[float]] = {name: [] for name in names}
        self.virtual = 0.0

    def decide(self, name: str, units: float) -> str:
        """Let one wait and take out whose turn it is."""
        self.queues[name].append(units)
        waiting = (name for name in self.tags if self.queues[name])
        first = min(waiting, key=lambda name: max(self.tags[name], self.virtual))
        self.virtual = max(self.tags[first], self.virtual)
        self.tags[first] = self.virtual + self.queues[first].pop(0)
        return first


def costs() -> list[str]:
    """Time a decision with ever more tenants and volumes known."""
    rows = []
    for tenants, volumes in ((10, 10), (1000, 10), (10_000, 10)):
        names = [f"t{at}" for at in range(tenants)]
        rng = random.Random(2)
        admission = Admission(lambda name: TenantShares(1.0, 1.0, 64), SpareCapacity(64.0, 50_000), 8.0)
        now = 0
        asks = [
            AdmissionRequest(names[at % tenants], f"v{at % (tenants * volumes)}", 1.0, 1.0, 0.1, 1.0, 150_000)
            for at in range(tenants * volumes)
        ]
        for ask in asks:  # all are known
            now += 10
            admission.finish(now, admission.arrive(now, ask)[1])
            admission.dispatch(now)
        best = []
        for _ in range(5):
            chosen = rng.choices(asks, k=4000)
            since = time.perf_counter()
            for ask in chosen:
                now += 100
                _, ticket, _ = admission.arrive(now, ask)
                admission.finish(now, ticket)
                admission.dispatch(now)
            best.append((time.perf_counter() - since) / len(chosen) * 1e6)
        scan = Scan(names)
        since = time.perf_counter()
        for at in range(200):
            scan.decide(names[at % tenants], 1.0)
        plain = (time.perf_counter() - since) / 200 * 1e6
        rows.append(f"| {tenants} | {tenants * volumes} | {quantile(best, 0.5):.1f} | {plain:.1f} |")
    return [
        "A decision (arrival, its end, and a look for who is next), in microseconds; the scan looks for whose turn "
        "it is among all tenants and knows neither reserves nor volumes.",
        "",
        "| tenants | volumes | admission, us | plain scan, us |",
        "| --- | --- | --- | --- |",
        *rows,
    ]
