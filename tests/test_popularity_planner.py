"""The prefetch planner: budgets, conditions of backends, owners of objects."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies as st
from msgspec import structs

from hophinge.cluster.interface import Member, Role, MemberState
from hophinge.core.choice.volume_state import TokenBucket
from hophinge.core.interface import Result
from hophinge.popularity.planner import (
    BURST_S,
    IDLE_CAPACITY_FRACTION,
    MAX_SHARD_BACKOFF_US,
    OVERLOAD_BACKOFF_US,
    MAX_UNANSWERED,
    BUSY_BACKOFF_US,
    ByteRateBudget,
    PrefetchCandidate,
    LoadSnapshot,
    PrefetchPlanner,
    BackendObservation,
    HoldReason,
    request_probability,
    owner_of_key,
)
from tests.gateways import MS, SETTINGS, Gateway, ask, end


def member(name: str, standing: MemberState = MemberState.ALIVE, zone: str = "z", role: Role = Role.HEAD) -> Member:
    return Member(name, "", 1, standing, zone, role)


def backend(
    shard: int, on: bool = True, warm: bool = True, spare: float = 8.0, draining: bool = False
) -> BackendObservation:
    return BackendObservation(f"s-{shard}", shard, on, warm, spare, draining)


def snapshot(*backends: BackendObservation, unanswered: int = 0, overloaded: bool = False) -> LoadSnapshot:
    sources: dict[int, list[BackendObservation]] = {}
    for observation in backends:
        sources.setdefault(observation.shard, []).append(observation)
    return LoadSnapshot(unanswered, overloaded, sources)


def candidate(at: int, tenant: str = "t", shard: int = 0, size: int = 100, expected: float = 5.0) -> PrefetchCandidate:
    return PrefetchCandidate(at.to_bytes(8, "big"), tenant, shard, size, 1.0, expected)


def test_each_object_has_one_owner_and_a_member_that_leaves_moves_only_its_own_objects() -> None:
    members = [member(f"h{at}") for at in range(5)] + [
        member("other", zone="y"),
        member("control", role=Role.CONTROL),
        member("ill", MemberState.SUSPECT),
    ]
    owners = {at: owner_of_key(at.to_bytes(8, "big"), members, "z") for at in range(500)}
    assert set(owners.values()) == {f"h{at}" for at in range(5)}
    fewer = {at: owner_of_key(at.to_bytes(8, "big"), members[1:], "z") for at in range(500)}
    assert all(fewer[at] == owners[at] for at in owners if owners[at] != "h0")
    planners = [PrefetchPlanner(f"h{at}", "z", 1e6, 1.0, 0) for at in range(5)]
    plans = [
        planner.plan(0, members, snapshot(backend(0, spare=1e9)), map(candidate, range(40))) for planner in planners
    ]
    planned_keys = [planned.key for plan in plans for planned in plan]
    assert len(planned_keys) == len(set(planned_keys)) == 40


def check_budgets(rng: random.Random, make: type[PrefetchPlanner] = PrefetchPlanner) -> None:
    """The bytes never exceed rate and burst, in total and per tenant, and each read is from a backend fit for it."""
    rate, part = 1000.0, rng.choice((0.3, 0.5, 1.0))
    planner, now, spent = make("me", "", rate, part, 0), 0, {"a": 0, "b": 0}
    for _ in range(80):
        now += rng.randrange(0, 2_000_000)
        load = snapshot(
            *(
                backend(shard, rng.random() < 0.9, rng.random() < 0.8, rng.choice((0.0, 2.0, 8.0)), rng.random() < 0.3)
                for shard in range(3)
            ),
            unanswered=rng.randrange(MAX_UNANSWERED + 2),
        )
        for planned in planner.plan(
            now,
            [],
            load,
            [candidate(at, rng.choice("ab"), rng.randrange(4), rng.randrange(1, 6000)) for at in range(20)],
        ):
            reason = planner.hold_reason(now, planned.tenant, planned.shard, planned.size, planned.units, load)
            if reason is None:
                source = load.backends_by_shard[planned.shard][0]
                assert (
                    not source.is_draining
                    and source.is_serving
                    and source.is_warm
                    and source.idle_units >= planned.units
                )
                assert load.unanswered < MAX_UNANSWERED
                planner.spend(now, planned.tenant, planned.size)
                spent[planned.tenant] += planned.size
        max_bytes = rate * (now / 1e6 + BURST_S)
        assert sum(spent.values()) <= max_bytes + 1 and max(spent.values()) <= part * max_bytes + 1


@given(st.integers(0, 1 << 32))
@settings(max_examples=60, deadline=None)
def test_no_plan_goes_over_a_budget_or_to_an_unfit_backend(seed: int) -> None:
    check_budgets(random.Random(seed))


class IgnoresTenantBudget(PrefetchPlanner):
    """A mutant that ignores the tenants' budgets."""

    def _tenant_budget(self, tenant: str, now_us: int) -> ByteRateBudget:
        return ByteRateBudget(1e12, now_us)


class IgnoresDrains(PrefetchPlanner):
    """A mutant that reads from draining backends."""

    def shard_hold_reason(self, shard: int, units: float, load: LoadSnapshot) -> HoldReason | None:
        reason = super().shard_hold_reason(shard, units, load)
        return None if reason is HoldReason.DRAINING else reason


class IgnoresWarmup(PrefetchPlanner):
    """A mutant that reads from cold backends."""

    def shard_hold_reason(self, shard: int, units: float, load: LoadSnapshot) -> HoldReason | None:
        reason = super().shard_hold_reason(shard, units, load)
        return None if reason is HoldReason.WARMING_UP else reason


@pytest.mark.parametrize("mutant", [IgnoresTenantBudget, IgnoresDrains, IgnoresWarmup])
def test_a_planner_that_ignores_budgets_drains_or_cold_backends_is_detected(mutant: type[PrefetchPlanner]) -> None:
    with pytest.raises(AssertionError):
        for seed in range(30):
            check_budgets(random.Random(seed), mutant)


def test_fetches_stop_under_overload_and_back_off_after_it() -> None:
    planner, quiet = PrefetchPlanner("me", "", 1e6, 1.0, 0), snapshot(backend(0))
    assert planner.plan(0, [], quiet, [candidate(1)])
    now = 0
    for busy, backoff_us in (
        (snapshot(backend(0), unanswered=MAX_UNANSWERED), BUSY_BACKOFF_US),
        (snapshot(backend(0), overloaded=True), OVERLOAD_BACKOFF_US),
    ):
        assert not planner.plan(now, [], busy, [candidate(1)])
        assert planner.hold_reason(now + backoff_us - 1, "t", 0, 1, 1.0, quiet) is HoldReason.BUSY
        now += backoff_us
        assert planner.hold_reason(now, "t", 0, 1, 1.0, quiet) is None
    planner.record_rejection(now)
    assert planner.hold_reason(now + OVERLOAD_BACKOFF_US - 1, "t", 0, 1, 1.0, quiet) is HoldReason.BUSY
    assert planner.hold_reason(now + OVERLOAD_BACKOFF_US, "t", 7, 1, 1.0, quiet) is HoldReason.UNKNOWN


def test_a_fetch_has_no_reserve_and_does_not_count_in_fair_shares() -> None:
    """Guards against prefetches that lower the fair share of tenants, whose requests were then rejected."""
    fair_uses = []
    for spare in (None, True, False):
        gate = Gateway()
        scheduler = gate.scheduler
        for at in range(60):
            for volume in ("tenant", "beforehand")[: 1 + (spare is not None and at % 4 == 0)]:
                name, delay_us = f"{volume}{at}", MS if volume == "tenant" else 0
                arrival = ask(name, units=2, volume=volume)
                gate.at(delay_us, structs.replace(arrival, is_background=volume != "tenant" and spare is True))
                gate.at(delay_us, end(name, Result.OK))
                scheduler.volumes[volume].reserve = TokenBucket(0.0, 0.0, 0.0, gate.now)
        fair_uses.append(scheduler._fair_use_per_weight("n0") * scheduler.volumes["tenant"].plan.weight)
        if spare:
            gate.at(0, structs.replace(ask("held", units=1, volume="new"), is_background=True))
            assert scheduler._value_factor(scheduler.requests["held"], "n0", 0.0) == SETTINGS.spare_value
            assert not scheduler.volumes["beforehand"].excess_use
    assert (
        fair_uses[0] > 1 and fair_uses[1] == pytest.approx(fair_uses[0], rel=0.1) and fair_uses[2] < 0.8 * fair_uses[0]
    )


def test_the_backoff_of_a_shard_grows_with_the_number_of_heads() -> None:
    planner, quiet = PrefetchPlanner("me", "", 1e6, 1.0, 0), snapshot(backend(0), backend(1))
    planner.divide(0, 1, 4)
    planner.record_read(0, 0, 2000)
    backoff_us = int(2000 * 4 / IDLE_CAPACITY_FRACTION)
    assert planner.wait_us(0, 0) == backoff_us and planner.wait_us(0, 1) == 0
    assert (
        planner.hold_reason(backoff_us - 1, "t", 0, 1, 1.0, quiet) is HoldReason.SHARD_BACKOFF
        and planner.hold_reason(0, "t", 1, 1, 1.0, quiet) is None
    )
    assert planner.hold_reason(backoff_us, "t", 0, 1, 1.0, quiet) is None
    planner.record_read(0, 1, 10**9)  # a read that hung: too long to wait for, but limited
    assert planner.wait_us(0, 1) == 0 and planner.hold_reason(1, "t", 1, 1, 1.0, quiet) is HoldReason.SHARD_BACKOFF
    assert planner.hold_reason(MAX_SHARD_BACKOFF_US, "t", 1, 1, 1.0, quiet) is None


def test_objects_that_save_most_work_per_byte_go_first_within_each_tenant_s_budget() -> None:
    planner = PrefetchPlanner("me", "", 100.0, 0.5, 0)  # accumulated: 1000 bytes, 500 per tenant
    loud = [candidate(at, "loud", size=100, expected=1e6) for at in range(50)]
    plan = planner.plan(
        0,
        [],
        snapshot(backend(0, spare=1e9)),
        [
            *loud,
            candidate(100, "calm", size=100, expected=0.6),
            candidate(101, "calm", size=50, expected=2.0),
            candidate(102, "calm", size=50, expected=0.01),
        ],
    )
    assert [planned.tenant for planned in plan].count("loud") == 5
    assert [planned.key[-1] for planned in plan if planned.tenant == "calm"] == [101, 100]
    assert plan[0].key[-1] == 101 and request_probability(0.0) == 0.0 and request_probability(1e9) == 1.0


def test_the_heads_of_a_site_share_its_byte_rate() -> None:
    planner = PrefetchPlanner("me", "z", 1000.0, 0.5, 0)
    assert planner.hold_reason(0, "t", 0, 5000, 1.0, snapshot(backend(0))) is None
    planner.divide(0, 4)
    assert planner.hold_reason(0, "t", 0, 1251, 1.0, snapshot(backend(0))) is HoldReason.TENANT
    assert planner.hold_reason(0, "t", 0, 2501, 1.0, snapshot(backend(0))) is HoldReason.SITE
