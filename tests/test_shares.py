"""Shares between heads: the sum never passes the reserve, whatever the way does; plans by demand and capacity."""

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
    """Holders with clocks of their own speed, one issuer, and a way that delays, loses and doubles what is sent."""

    def __init__(self, heads: int, seed: int, lossy: bool = True) -> None:
        self.rng, self.lossy = random.Random(seed), lossy
        self.now = 0
        self.names = [f"n{at}" for at in range(heads)]
        self.speed = {name: 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2.1 for name in self.names}
        self.skew = {name: self.rng.randrange(10**9) for name in self.names}
        self.processes = itertools.count(1)
        self.holders = {name: self.born(name) for name in self.names}
        self.issuer = ShareLeaseIssuer(heads, 0, 0)
        self.wanted: dict[str, float] = {}
        self.cut: set[str] = set()
        self.way: list[tuple[int, int, Any]] = []
        self.count = itertools.count()
        self.most = 0.0

    def born(self, name: str) -> ShareLeaseHolder:
        return ShareLeaseHolder(len(self.names), next(self.processes), self.clock(name))

    def clock(self, name: str) -> int:
        """A head's own steady clock; it may be hours off."""
        return self.skew[name] + int(self.now * self.speed[name])

    def send(self, message: tuple[Any, ...]) -> None:
        copies = self.rng.choice([0, 1, 1, 1, 2]) if self.lossy else 1
        for _ in range(copies):
            delay = self.rng.choice([1000, 50_000, 3 * S, 15 * S, 40 * S]) if self.lossy else 1000
            heapq.heappush(self.way, (self.now + delay, next(self.count), message))

    def ask(self, name: str) -> None:
        self.send(("ask", name, self.holders[name].process, *self.holders[name].next_request(self.clock(name))))

    def run(self, span: int, step: int = S // 2, every: int = 2 * S) -> None:
        until = self.now + span
        while self.now < until:
            self.now += step
            for name in self.names:
                if self.now % every < step and name not in self.cut:
                    self.ask(name)
            while self.way and self.way[0][0] <= self.now:
                kind, name, *rest = heapq.heappop(self.way)[2]
                if name in self.cut:
                    continue
                if kind == "ask":
                    want = {"t": self.wanted[name]} if name in self.wanted else {}
                    process, asked, held = rest
                    lease = self.issuer.grant(self.now, name, process, asked, held, want)
                    if lease is not None:
                        self.send(("lease", name, lease))
                else:
                    self.holders[name].accept(self.clock(name), rest[0])
            total = sum(holder.share("t", self.clock(name)) for name, holder in self.holders.items())
            self.most = max(self.most, total)
            assert total <= 1 + 1e-9, (
                self.now,
                {name: holder.share("t", self.clock(name)) for name, holder in self.holders.items()},
            )


def test_shares_follow_demand_within_a_few_asks_and_fall_back_to_even_parts_when_cut_off() -> None:
    here = Installation(2, 1, lossy=False)
    here.run(15 * S)
    here.wanted = {"n0": 0.9, "n1": 0.1}
    here.run(8 * S)
    assert here.holders["n0"].share("t", here.clock("n0")) == pytest.approx(0.9)
    assert here.holders["n1"].share("t", here.clock("n1")) == pytest.approx(0.1)
    here.wanted = {"n0": 0.1, "n1": 0.9}
    here.run(8 * S + HIGH_SHARE_TERM_US)
    assert here.holders["n1"].share("t", here.clock("n1")) == pytest.approx(0.9)
    here.cut = {"n0", "n1"}
    here.run(HIGH_SHARE_TERM_US + 5 * S)
    assert here.holders["n1"].share("t", here.clock("n1")) == 0.5  # what it took has ended first
    assert here.holders["n0"].share("t", here.clock("n0")) == pytest.approx(0.1)
    here.run(LOW_SHARE_TERM_US)
    assert here.holders["n0"].share("t", here.clock("n0")) == 0.5
    assert here.most > 0.99


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
def test_the_sum_never_passes_the_reserve(heads: int, seed: int, steps: list[tuple[str, int, float]]) -> None:
    here = Installation(heads, seed)
    for word, at, part in steps:
        name = here.names[at % heads]
        if word == "run":
            here.run(int(part * 30 * S) + S)
        elif word == "want":
            rest = (1 - part) / max(1, heads - 1)
            here.wanted = {one: part if one == name else rest for one in here.names}
        elif word == "cut":
            here.cut.add(name)
        elif word == "heal":
            here.cut.discard(name)
        elif word == "restart":  # a new process: no lease, no asks; its clock goes on
            here.holders[name] = here.born(name)
        else:  # a new issuer, which knows nothing but the last serial
            here.issuer = ShareLeaseIssuer(heads, here.issuer.serial, here.now)
    here.cut = set()
    here.run(60 * S)


def test_a_lease_that_comes_late_or_twice_is_not_taken() -> None:
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
def test_a_plan_gives_each_its_reserve_within_each_head_s_capacity(
    reserves: dict[str, float], capacities: dict[str, float], seed: int
) -> None:
    rng = random.Random(seed)
    demand = {name: {head: rng.choice([0.0, 1.0, 30.0]) for head in capacities} for name in reserves}
    if (why := find_shortfall(reserves, capacities)) is not None:
        assert why.reserved > why.capacity and "lower reserves by" in str(why)
        with pytest.raises(ValueError, match="do not fit"):
            plan_shares(reserves, capacities, demand)
        return
    parts = plan_shares(reserves, capacities, demand)
    for shares in parts.values():
        assert sum(shares.values()) == pytest.approx(1.0) and min(shares.values()) >= -1e-9
    if set(parts) == set(reserves):
        for head, capacity in capacities.items():
            assert sum(reserves[name] * parts[name][head] for name in parts) <= capacity * (1 + 1e-6) + 1e-6


def test_a_plan_follows_demand_and_yields_where_a_head_is_full() -> None:
    demand = {"a": {"h1": 30.0}, "b": {"h1": 5.0, "h2": 5.0}}
    roomy = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 100.0, "h2": 100.0}, demand)
    assert roomy["a"]["h1"] == pytest.approx(0.875) and roomy["b"]["h1"] == pytest.approx(0.5)
    tight = plan_shares({"a": 40.0, "b": 40.0}, {"h1": 45.0, "h2": 45.0}, demand)
    assert 40 * (tight["a"]["h1"] + tight["b"]["h1"]) == pytest.approx(45.0)
    assert plan_shares({"a": 40.0}, {"h1": 50.0}, {}) == {}


def test_demand_fades_and_a_head_that_is_gone_counts_no_more() -> None:
    seen = DemandEstimate()
    for _ in range(30):
        seen.report("h1", {"t": 10.0})
        seen.report("h2", {"t": 30.0})
    assert seen.rates["t"]["h1"] == pytest.approx(10.0, rel=0.01)
    seen.forget("h2")
    assert set(seen.rates["t"]) == {"h1"}
    for _ in range(60):
        seen.report("h1", {})
    assert seen.rates == {}
