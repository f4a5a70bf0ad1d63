"""The planner of fetches: budgets, sources, owners."""

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


def facts(*backends: BackendObservation, unanswered: int = 0, overloaded: bool = False) -> LoadSnapshot:
    sources: dict[int, list[BackendObservation]] = {}
    for one in backends:
        sources.setdefault(one.shard, []).append(one)
    return LoadSnapshot(unanswered, overloaded, sources)


def candidate(at: int, tenant: str = "t", shard: int = 0, size: int = 100, expected: float = 5.0) -> PrefetchCandidate:
    return PrefetchCandidate(at.to_bytes(8, "big"), tenant, shard, size, 1.0, expected)


def test_each_object_has_one_owner_and_members_that_go_move_only_their_own() -> None:
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
    plans = [planner.plan(0, members, facts(backend(0, spare=1e9)), map(candidate, range(40))) for planner in planners]
    found = [one.key for plan in plans for one in plan]
    assert len(found) == len(set(found)) == 40


def check_budgets(lots: random.Random, make: type[PrefetchPlanner] = PrefetchPlanner) -> None:
    """Whatever happens, never more bytes than rate and burst, in all and of a tenant; never from an unfit brick."""
    rate, part = 1000.0, lots.choice((0.3, 0.5, 1.0))
    planner, now, spent = make("me", "", rate, part, 0), 0, {"a": 0, "b": 0}
    for _ in range(80):
        now += lots.randrange(0, 2_000_000)
        seen = facts(
            *(
                backend(
                    shard, lots.random() < 0.9, lots.random() < 0.8, lots.choice((0.0, 2.0, 8.0)), lots.random() < 0.3
                )
                for shard in range(3)
            ),
            unanswered=lots.randrange(MAX_UNANSWERED + 2),
        )
        for one in planner.plan(
            now,
            [],
            seen,
            [candidate(at, lots.choice("ab"), lots.randrange(4), lots.randrange(1, 6000)) for at in range(20)],
        ):
            why = planner.hold_reason(now, one.tenant, one.shard, one.size, one.units, seen)
            if why is None:
                source = seen.backends_by_shard[one.shard][0]
                assert (
                    not source.is_draining and source.is_serving and source.is_warm and source.idle_units >= one.units
                )
                assert seen.unanswered < MAX_UNANSWERED
                planner.spend(now, one.tenant, one.size)
                spent[one.tenant] += one.size
        most = rate * (now / 1e6 + BURST_S)
        assert sum(spent.values()) <= most + 1 and max(spent.values()) <= part * most + 1


@given(st.integers(0, 1 << 32))
@settings(max_examples=60, deadline=None)
def test_no_plan_goes_over_a_budget_or_to_an_unfit_backend(seed: int) -> None:
    check_budgets(random.Random(seed))


class Spendthrift(PrefetchPlanner):
    """A mutant: the tenant's budget is ignored."""

    def _tenant_budget(self, tenant: str, now_us: int) -> ByteRateBudget:
        return ByteRateBudget(1e12, now_us)


class Drainer(PrefetchPlanner):
    """A mutant: drains are not looked at."""

    def shard_hold_reason(self, shard: int, units: float, facts: LoadSnapshot) -> HoldReason | None:
        why = super().shard_hold_reason(shard, units, facts)
        return None if why is HoldReason.DRAINING else why


class Warmer(PrefetchPlanner):
    """A mutant: cold bricks are read."""

    def shard_hold_reason(self, shard: int, units: float, facts: LoadSnapshot) -> HoldReason | None:
        why = super().shard_hold_reason(shard, units, facts)
        return None if why is HoldReason.WARMING_UP else why


@pytest.mark.parametrize("mutant", [Spendthrift, Drainer, Warmer])
def test_a_budget_drain_or_cold_backend_that_is_ignored_is_caught(mutant: type[PrefetchPlanner]) -> None:
    with pytest.raises(AssertionError):
        for seed in range(30):
            check_budgets(random.Random(seed), mutant)


def test_fetches_stop_first_under_overload_and_rest_after_it() -> None:
    planner, quiet = PrefetchPlanner("me", "", 1e6, 1.0, 0), facts(backend(0))
    assert planner.plan(0, [], quiet, [candidate(1)])
    now = 0
    for bad, rest in (
        (facts(backend(0), unanswered=MAX_UNANSWERED), BUSY_BACKOFF_US),
        (facts(backend(0), overloaded=True), OVERLOAD_BACKOFF_US),
    ):
        assert not planner.plan(now, [], bad, [candidate(1)])
        assert planner.hold_reason(now + rest - 1, "t", 0, 1, 1.0, quiet) is HoldReason.BUSY
        now += rest
        assert planner.hold_reason(now, "t", 0, 1, 1.0, quiet) is None
    planner.record_rejection(now)
    assert planner.hold_reason(now + OVERLOAD_BACKOFF_US - 1, "t", 0, 1, 1.0, quiet) is HoldReason.BUSY
    assert planner.hold_reason(now + OVERLOAD_BACKOFF_US, "t", 7, 1, 1.0, quiet) is HoldReason.UNKNOWN


def test_a_fetch_has_no_reserve_and_counts_in_nobody_s_fair_part() -> None:
    """A volume of fetches used to lower what each tenant beyond its reserve may use, and so had others refused."""
    found = []
    for spare in (None, True, False):
        gate = Gateway()
        scheduler = gate.scheduler
        for at in range(60):
            for volume in ("tenant", "beforehand")[: 1 + (spare is not None and at % 4 == 0)]:
                name, later = f"{volume}{at}", MS if volume == "tenant" else 0
                one = ask(name, units=2, volume=volume)
                gate.at(later, structs.replace(one, is_background=volume != "tenant" and spare is True))
                gate.at(later, end(name, Result.OK))
                scheduler.volumes[volume].reserve = TokenBucket(0.0, 0.0, 0.0, gate.now)
        found.append(scheduler._fair_use_per_weight("n0") * scheduler.volumes["tenant"].plan.weight)
        if spare:
            gate.at(0, structs.replace(ask("held", units=1, volume="new"), is_background=True))
            assert scheduler._value_factor(scheduler.requests["held"], "n0", 0.0) == SETTINGS.spare_value
            assert not scheduler.volumes["beforehand"].excess_use
    assert found[0] > 1 and found[1] == pytest.approx(found[0], rel=0.1) and found[2] < 0.8 * found[0]


def test_a_shard_rests_after_a_fetch_as_long_as_all_heads_fetches_want_it() -> None:
    planner, quiet = PrefetchPlanner("me", "", 1e6, 1.0, 0), facts(backend(0), backend(1))
    planner.divide(0, 1, 4)
    planner.record_read(0, 0, 2000)
    rest = int(2000 * 4 / IDLE_CAPACITY_FRACTION)
    assert planner.wait_us(0, 0) == rest and planner.wait_us(0, 1) == 0
    assert (
        planner.hold_reason(rest - 1, "t", 0, 1, 1.0, quiet) is HoldReason.SHARD_BACKOFF
        and planner.hold_reason(0, "t", 1, 1, 1.0, quiet) is None
    )
    assert planner.hold_reason(rest, "t", 0, 1, 1.0, quiet) is None
    planner.record_read(0, 1, 10**9)  # one that hung; too long to wait for, and not for ever
    assert planner.wait_us(0, 1) == 0 and planner.hold_reason(1, "t", 1, 1, 1.0, quiet) is HoldReason.SHARD_BACKOFF
    assert planner.hold_reason(MAX_SHARD_BACKOFF_US, "t", 1, 1, 1.0, quiet) is None


def test_what_saves_most_work_a_byte_goes_first_and_a_loud_tenant_leaves_room() -> None:
    planner = PrefetchPlanner("me", "", 100.0, 0.5, 0)  # saved up: 1000 bytes, 500 of a tenant
    loud = [candidate(at, "loud", size=100, expected=1e6) for at in range(50)]
    plan = planner.plan(
        0,
        [],
        facts(backend(0, spare=1e9)),
        [
            *loud,
            candidate(100, "calm", size=100, expected=0.6),
            candidate(101, "calm", size=50, expected=2.0),
            candidate(102, "calm", size=50, expected=0.01),
        ],
    )
    assert [one.tenant for one in plan].count("loud") == 5
    assert [one.key[-1] for one in plan if one.tenant == "calm"] == [101, 100]
    assert plan[0].key[-1] == 101 and request_probability(0.0) == 0.0 and request_probability(1e9) == 1.0


def test_heads_of_a_site_share_its_bytes() -> None:
    planner = PrefetchPlanner("me", "z", 1000.0, 0.5, 0)
    assert planner.hold_reason(0, "t", 0, 5000, 1.0, facts(backend(0))) is None
    planner.divide(0, 4)
    assert planner.hold_reason(0, "t", 0, 1251, 1.0, facts(backend(0))) is HoldReason.TENANT
    assert planner.hold_reason(0, "t", 0, 2501, 1.0, facts(backend(0))) is HoldReason.SITE
