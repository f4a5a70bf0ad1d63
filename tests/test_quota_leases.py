"""Tests of share leases (their sum never exceeds the reserve, whatever the network does) and of share plans."""

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
    """Lease holders with clocks of different speeds, an issuer, and a network that delays, loses and duplicates."""

    def __init__(self, heads: int, seed: int, lossy: bool = True) -> None:
        self.rng, self.lossy = random.Random(seed), lossy
        self.now = 0
        self.names = [f"n{index}" for index in range(heads)]
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
        """Return the time of a head's own monotonic clock, which may differ from the others by minutes."""
        return self.skew[name] + int(self.now * self.speed[name])

    def send(self, message: tuple[Any, ...]) -> None:
        copies = self.rng.choice([0, 1, 1, 1, 2]) if self.lossy else 1
        for _ in range(copies):
            delay = self.rng.choice([1000, 50_000, 3 * S, 15 * S, 40 * S]) if self.lossy else 1000
            heapq.heappush(self.in_transit, (self.now + delay, next(self.count), message))

    def request_lease(self, name: str) -> None:
        self.send(("request", name, self.holders[name].process, *self.holders[name].next_request(self.clock(name))))

    def run(self, span: int, step: int = S // 2, every: int = 2 * S) -> None:
        until = self.now + span
        while self.now < until:
            self.now += step
            for name in self.names:
                if self.now % every < step and name not in self.disconnected:
                    self.request_lease(name)
            while self.in_transit and self.in_transit[0][0] <= self.now:
                kind, name, *fields = heapq.heappop(self.in_transit)[2]
                if name in self.disconnected:
                    continue
                if kind == "request":
                    desired = {"t": self.demand[name]} if name in self.demand else {}
                    process, request_number, current_serial = fields
                    lease = self.issuer.grant(self.now, name, process, request_number, current_serial, desired)
                    if lease is not None:
                        self.send(("lease", name, lease))
                else:
                    self.holders[name].accept(self.clock(name), fields[0])
            total = sum(holder.share("t", self.clock(name)) for name, holder in self.holders.items())
            self.max_total = max(self.max_total, total)
            assert total <= 1 + 1e-9, (
                self.now,
                {name: holder.share("t", self.clock(name)) for name, holder in self.holders.items()},
            )


def test_shares_follow_demand_and_fall_back_to_even_ones_when_disconnected() -> None:
    installation = Installation(2, 1, lossy=False)
    installation.run(15 * S)
    installation.demand = {"n0": 0.9, "n1": 0.1}
    installation.run(8 * S)
    assert installation.holders["n0"].share("t", installation.clock("n0")) == pytest.approx(0.9)
    assert installation.holders["n1"].share("t", installation.clock("n1")) == pytest.approx(0.1)
    installation.demand = {"n0": 0.1, "n1": 0.9}
    installation.run(8 * S + HIGH_SHARE_TERM_US)
    assert installation.holders["n1"].share("t", installation.clock("n1")) == pytest.approx(0.9)
    installation.disconnected = {"n0", "n1"}
    installation.run(HIGH_SHARE_TERM_US + 5 * S)
    # The high share ends before the low one.
    assert installation.holders["n1"].share("t", installation.clock("n1")) == 0.5
    assert installation.holders["n0"].share("t", installation.clock("n0")) == pytest.approx(0.1)
    installation.run(LOW_SHARE_TERM_US)
    assert installation.holders["n0"].share("t", installation.clock("n0")) == 0.5
    assert installation.max_total > 0.99


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "run", "demand", "disconnect", "reconnect", "restart", "issuer"]),
        st.integers(0, 5),
        st.floats(0.0, 1.0),
    ),
    max_size=25,
)


@settings(max_examples=150)
@given(st.integers(2, 4), st.integers(0, 2**32), STEPS)
def test_sum_of_shares_never_exceeds_the_reserve(heads: int, seed: int, steps: list[tuple[str, int, float]]) -> None:
    installation = Installation(heads, seed)
    for step, index, share in steps:
        name = installation.names[index % heads]
        if step == "run":
            installation.run(int(share * 30 * S) + S)
        elif step == "demand":
            other_share = (1 - share) / max(1, heads - 1)
            installation.demand = {other: share if other == name else other_share for other in installation.names}
        elif step == "disconnect":
            installation.disconnected.add(name)
        elif step == "reconnect":
            installation.disconnected.discard(name)
        elif step == "restart":  # a new process without lease or requests; its clock continues
            installation.holders[name] = installation.new_holder(name)
        else:  # a new issuer, which knows only the last serial
            installation.issuer = ShareLeaseIssuer(heads, installation.issuer.serial, installation.now)
    installation.disconnected = set()
    installation.run(60 * S)


def test_late_or_duplicate_lease_is_ignored() -> None:
    holder = ShareLeaseHolder(2, 7, -LOW_SHARE_TERM_US - 1)
    request_number, _ = holder.next_request(0)
    lease = ShareLease(3, 7, request_number, {"t": 0.8})
    assert not holder.accept(0, ShareLease(2, 6, request_number, {"t": 0.8})) and holder.share("t", 0) == 0.5
    assert holder.accept(HIGH_SHARE_TERM_US - 1, lease) and holder.share("t", HIGH_SHARE_TERM_US - 1) == 0.8
    # The term is counted from the request, however late the lease arrived.
    assert holder.share("t", HIGH_SHARE_TERM_US) == 0.5
    assert not holder.accept(HIGH_SHARE_TERM_US, lease) and holder.stale_leases == 2
    for _ in range(20):
        holder.next_request(HIGH_SHARE_TERM_US)
    assert not holder.accept(HIGH_SHARE_TERM_US, ShareLease(9, 7, request_number, {"t": 0.8}))
    new_holder = ShareLeaseHolder(2, 8, 0)
    assert new_holder.share("t", LOW_SHARE_TERM_US) == 0.0 and new_holder.share("t", LOW_SHARE_TERM_US + 1) == 0.5


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
    planned = plan_shares(reserves, capacities, demand)
    for shares in planned.values():
        assert sum(shares.values()) == pytest.approx(1.0) and min(shares.values()) >= -1e-9
    if set(planned) == set(reserves):
        for head, capacity in capacities.items():
            assert sum(reserves[name] * planned[name][head] for name in planned) <= capacity * (1 + 1e-6) + 1e-6


def test_plan_follows_demand_up_to_a_head_s_capacity() -> None:
    demand = {"a": {"h1": 30.0}, "b": {"h1": 5.0, "h2": 5.0}}
    unconstrained = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 100.0, "h2": 100.0}, demand)
    assert unconstrained["a"]["h1"] == pytest.approx(0.875) and unconstrained["b"]["h1"] == pytest.approx(0.5)
    constrained = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 45.0, "h2": 45.0}, demand)
    assert 40 * (constrained["a"]["h1"] + constrained["b"]["h1"]) == pytest.approx(45.0)
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
