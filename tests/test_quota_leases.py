"""Leases of shares: their sum never exceeds the reserve, whatever the network does; plans by demand and capacity."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.tenancy.share_leases import (
    MAX_CLOCK_DRIFT,
    HIGH_SHARE_TERM_US,
    LOW_SHARE_TERM_US,
    ShareLeaseHolder,
    ShareLeaseIssuer,
    ShareLease,
)
from hophinge.tenancy.share_planner import DemandEstimate, find_shortfall, plan_shares

S = 1_000_000


class Installation:
    """Lease holders with clocks of their own speed, one issuer, and a network that delays, loses and duplicates."""

    def __init__(self, heads: int, seed: int, lossy: bool = True) -> None:
        self.rng, self.lossy = random.Random(seed), lossy
        self.now = 0
        self.names = [f"n{at}" for at in range(heads)]
        self.speed = {name: 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2.1 for name in self.names}
        self.skew = {name: self.rng.randrange(10**9) for name in self.names}
        self.processes = itertools.count(1)
        self.holders = {name: self.new_holder(name) for name in self.names}
        self.issuer = ShareLeaseIssuer(heads, 0, 0)
        self.demand: dict[str, float] = {}
        self.disconnected: set[str] = set()
        self.in_transit: list[tuple[int, int, Any]] = []
        self.count = itertools.count()
        self.max_total = 0.0

    def new_holder(self, name: str) -> ShareLeaseHolder:
        return ShareLeaseHolder(len(self.names), next(self.processes), self.clock(name))

    def clock(self, name: str) -> int:
        """A head's own steady clock; it may be hours off."""
        return self.skew[name] + int(self.now * self.speed[name])

    def send(self, message: tuple[Any, ...]) -> None:
        copies = self.rng.choice([0, 1, 1, 1, 2]) if self.lossy else 1
        for _ in range(copies):
            delay = self.rng.choice([1000, 50_000, 3 * S, 15 * S, 40 * S]) if self.lossy else 1000
            heapq.heappush(self.in_transit, (self.now + delay, next(self.count), message))

    def ask(self, name: str) -> None:
        self.send(("ask", name, self.holders[name].process, *self.holders[name].next_request(self.clock(name))))

    def run(self, span: int, step: int = S // 2, every: int = 2 * S) -> None:
        until = self.now + span
        while self.now < until:
            self.now += step
            for name in self.names:
                if self.now % every < step and name not in self.disconnected:
                    self.ask(name)
            while self.in_transit and self.in_transit[0][0] <= self.now:
                kind, name, *rest = heapq.heappop(self.in_transit)[2]
                if name in self.disconnected:
                    continue
                if kind == "ask":
                    want = {"t": self.demand[name]} if name in self.demand else {}
                    process, asked, held = rest
                    lease = self.issuer.grant(self.now, name, process, asked, held, want)
                    if lease is not None:
                        self.send(("lease", name, lease))
                else:
                    self.holders[name].accept(self.clock(name), rest[0])
            total = sum(holder.share("t", self.clock(name)) for name, holder in self.holders.items())
            self.max_total = max(self.max_total, total)
            assert total <= 1 + 1e-9, (
                self.now,
                {name: holder.share("t", self.clock(name)) for name, holder in self.holders.items()},
            )


def test_shares_follow_demand_and_fall_back_to_even_ones_when_disconnected() -> None:
    here = Installation(2, 1, lossy=False)
    here.run(15 * S)
    here.demand = {"n0": 0.9, "n1": 0.1}
    here.run(8 * S)
    assert here.holders["n0"].share("t", here.clock("n0")) == pytest.approx(0.9)
    assert here.holders["n1"].share("t", here.clock("n1")) == pytest.approx(0.1)
    here.demand = {"n0": 0.1, "n1": 0.9}
    here.run(8 * S + HIGH_SHARE_TERM_US)
    assert here.holders["n1"].share("t", here.clock("n1")) == pytest.approx(0.9)
    here.disconnected = {"n0", "n1"}
    here.run(HIGH_SHARE_TERM_US + 5 * S)
    assert here.holders["n1"].share("t", here.clock("n1")) == 0.5  # what it took has ended first
    assert here.holders["n0"].share("t", here.clock("n0")) == pytest.approx(0.1)
    here.run(LOW_SHARE_TERM_US)
    assert here.holders["n0"].share("t", here.clock("n0")) == 0.5
    assert here.max_total > 0.99


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "run", "want", "cut", "heal", "restart", "issuer"]),
        st.integers(0, 5),
        st.floats(0.0, 1.0),
    ),
    max_size=25,
)


@settings(max_examples=150)
@given(st.integers(2, 4), st.integers(0, 2**32), STEPS)
def test_sum_of_shares_never_exceeds_the_reserve(heads: int, seed: int, steps: list[tuple[str, int, float]]) -> None:
    here = Installation(heads, seed)
    for step, index, share in steps:
        name = here.names[index % heads]
        if step == "run":
            here.run(int(share * 30 * S) + S)
        elif step == "want":
            rest = (1 - share) / max(1, heads - 1)
            here.demand = {one: share if one == name else rest for one in here.names}
        elif step == "cut":
            here.disconnected.add(name)
        elif step == "heal":
            here.disconnected.discard(name)
        elif step == "restart":  # a new process: no lease, no asks; its clock goes on
            here.holders[name] = here.new_holder(name)
        else:  # a new issuer, which knows nothing but the last serial
            here.issuer = ShareLeaseIssuer(heads, here.issuer.serial, here.now)
    here.disconnected = set()
    here.run(60 * S)


def test_late_or_duplicate_lease_is_ignored() -> None:
    holder = ShareLeaseHolder(2, 7, -LOW_SHARE_TERM_US - 1)
    asked, _ = holder.next_request(0)
    lease = ShareLease(3, 7, asked, {"t": 0.8})
    assert not holder.accept(0, ShareLease(2, 6, asked, {"t": 0.8})) and holder.share("t", 0) == 0.5
    assert holder.accept(HIGH_SHARE_TERM_US - 1, lease) and holder.share("t", HIGH_SHARE_TERM_US - 1) == 0.8
    assert holder.share("t", HIGH_SHARE_TERM_US) == 0.5  # counted from the ask, however late it came
    assert not holder.accept(HIGH_SHARE_TERM_US, lease) and holder.stale_leases == 2
    for _ in range(20):
        holder.next_request(HIGH_SHARE_TERM_US)
    assert not holder.accept(HIGH_SHARE_TERM_US, ShareLease(9, 7, asked, {"t": 0.8}))
    young = ShareLeaseHolder(2, 8, 0)
    assert young.share("t", LOW_SHARE_TERM_US) == 0.0 and young.share("t", LOW_SHARE_TERM_US + 1) == 0.5


# --- plans


AMOUNTS = st.floats(0.5, 100.0)


@given(
    st.dictionaries(st.sampled_from(["t1", "t2", "t3", "t4"]), AMOUNTS, min_size=1),
    st.dictionaries(st.sampled_from(["h1", "h2", "h3"]), AMOUNTS, min_size=1),
    st.integers(0, 2**32),
)
def test_plan_gives_each_tenant_its_reserve_within_each_head_s_capacity(
    reserves: dict[str, float], capacities: dict[str, float], seed: int
) -> None:
    rng = random.Random(seed)
    demand = {name: {head: rng.choice([0.0, 1.0, 30.0]) for head in capacities} for name in reserves}
    if (shortfall := find_shortfall(reserves, capacities)) is not None:
        assert shortfall.reserved > shortfall.capacity and "lower reserves by" in str(shortfall)
        with pytest.raises(ValueError, match="do not fit"):
            plan_shares(reserves, capacities, demand)
        return
    parts = plan_shares(reserves, capacities, demand)
    for shares in parts.values():
        assert sum(shares.values()) == pytest.approx(1.0) and min(shares.values()) >= -1e-9
    if set(parts) == set(reserves):
        for head, capacity in capacities.items():
            assert sum(reserves[name] * parts[name][head] for name in parts) <= capacity * (1 + 1e-6) + 1e-6


def test_plan_follows_demand_up_to_a_head_s_capacity() -> None:
    demand = {"a": {"h1": 30.0}, "b": {"h1": 5.0, "h2": 5.0}}
    roomy = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 100.0, "h2": 100.0}, demand)
    assert roomy["a"]["h1"] == pytest.approx(0.875) and roomy["b"]["h1"] == pytest.approx(0.5)
    tight = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 45.0, "h2": 45.0}, demand)
    assert 40 * (tight["a"]["h1"] + tight["b"]["h1"]) == pytest.approx(45.0)
    assert plan_shares({"a": 40.0}, {"h1": 50.0}, {}) == {}


def test_demand_decays_and_a_removed_head_is_not_counted() -> None:
    demand = DemandEstimate()
    for _ in range(30):
        demand.report("h1", {"t": 10.0})
        demand.report("h2", {"t": 30.0})
    assert demand.rates["t"]["h1"] == pytest.approx(10.0, rel=0.01)
    demand.forget("h2")
    assert set(demand.rates["t"]) == {"h1"}
    for _ in range(60):
        demand.report("h1", {})
    assert demand.rates == {}
