"""What routing decides: scopes, pools and their order, limits, budgets, outliers, and versions side by side."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from hophinge.core.interface import (
    Action, Arrival, Bounds, Cancel, Event, Fail, ListKind, NodeEntry, NodeList, Outcome, Phase, Refuse, Result, Send,
    TimerDue, Waits,
)
from hophinge.core.choice import Scheduler
from hophinge.routing.eject import Ejector
from hophinge.routing.forms import read
from hophinge.routing.index import Index
from hophinge.routing.limits import Limiter
from hophinge.routing.records import Eject, Limit, Plan, Record, Retries, Scope
from hophinge.routing.retries import Budget
from hophinge.routing.router import Pass, Router
from hophinge.routing.table import EMPTY, Facts, Table, check
from tests.test_choice import MS, SAFE, SETTINGS, T0

S = 1_000_000
NAMED = replace(SETTINGS, zones=("hall-a", "hall-b"), kinds=("std",), classes=tuple(
    replace(klass, name=f"class-{at}") for at, klass in enumerate(SETTINGS.classes)), plans=tuple(
    replace(plan, name=f"plan-{at}") for at, plan in enumerate(SETTINGS.plans)))
FACTS = Facts.of(NAMED)


def brick(number: int, zone: int, phase: Phase = Phase.ON, shard: int | None = None) -> NodeEntry:
    return NodeEntry(f"n{number}", zone, number if shard is None else shard, phase, 1.0, 0)


def table(text: str, version: tuple[int, int] = (1, 1), of: Table = EMPTY,
          before: dict[str, Record] | None = None) -> Table:
    document = read(("(hophinge 1)" + text).encode())
    assert document.lines("f") == []
    gone: dict[str, Record | None] = dict.fromkeys((before or {}).keys() - document.records.keys())
    assert check(document.records, document.records, FACTS) == []
    return of.changed(version, {**document.records, **gone}, before or {})


def ask(name: str, tenant: str = "", shard: int = -1, units: float = 2.0, klass: int = SAFE,
        volume: str = "00000000000000aa") -> Arrival:
    return Arrival(name, units, tenant or volume, klass, shard, 1, name, 2000 * MS, klass != SAFE, 0)


def router(text: str, *entries: NodeEntry) -> Router:
    made = Router(NAMED)
    made.owner = lambda volume: volume if volume in ("alba", "other") else ""
    made.nodes(T0, NodeList(ListKind.FULL, entries or tuple(brick(at, at // 3) for at in range(6))))
    made.take_up(table(text), T0)
    return made


def within(bounds: Bounds | Waits | int, shard: int = -1) -> set[str]:
    assert isinstance(bounds, Pass)
    return {f"n{at}" for at in range(12) if bounds.takes(f"n{at}", shard)}


POOLS = "(pool a (zones hall-a) (at-least 2 bricks)) (pool b (zones hall-b))"


def test_a_route_narrows_and_the_rest_is_free() -> None:
    made = router(POOLS + "(route (tenant alba) (pools a))")
    assert within(made.admit(T0, ask("r1", "alba"))) == {"n0", "n1", "n2"}
    assert within(made.admit(T0, ask("r2", "other"))) == {f"n{at}" for at in range(6)}


def test_a_volume_tells_its_tenant_whatever_its_case() -> None:
    made = router(POOLS + "(tenant alba (volumes 00000000000000aa)) (route (tenant alba) (pools b))")
    assert within(made.admit(T0, ask("r1", volume="00000000000000AA"))) == {"n3", "n4", "n5"}


def test_a_pool_with_too_few_live_bricks_is_filled_up_by_the_next_and_gets_its_own_back() -> None:
    made = router(POOLS + "(route (pools a b))")
    held = made.admit(T0, ask("r1"))
    made.nodes(T0, NodeList(ListKind.CHANGES, (brick(0, 0, Phase.DRAINING),)))
    assert within(held) == {"n1", "n2"}
    made.nodes(T0, NodeList(ListKind.CHANGES, (brick(1, 0, Phase.GONE),)))
    assert within(held) == {"n2", "n3", "n4", "n5"}
    made.nodes(T0, NodeList(ListKind.CHANGES, (brick(0, 0), brick(1, 0))))
    assert within(held) == {"n0", "n1", "n2"}


def test_no_live_brick_in_any_pool_refuses_with_advice_or_goes_anywhere_as_the_route_says() -> None:
    gone = NodeList(ListKind.CHANGES, tuple(brick(at, 0, Phase.DRAINING) for at in range(3)))
    strict, open_ = router(POOLS + "(route (pools a))"), router(POOLS + "(route (pools a) (else any))")
    for made in (strict, open_):
        made.nodes(T0, gone)
    advice = strict.admit(T0, ask("r1"))
    assert isinstance(advice, int) and advice > 0
    assert within(open_.admit(T0, ask("r1"))) == {"n3", "n4", "n5"}
    assert not strict.open and not strict.versions


def test_data_is_read_where_it_lies_even_outside_of_the_pools() -> None:
    made = router(POOLS + "(route (pools a))")
    inside, outside = made.admit(T0, ask("r1", shard=1)), made.admit(T0, ask("r2", shard=4))
    assert within(inside, 1) == {"n0", "n1", "n2"}
    assert "n4" in within(outside, 4)
    assert made.followed == 1


def test_a_full_pool_spills_over_in_the_route_s_order_and_fills_again_when_answered() -> None:
    made = router("(pool a (zones hall-a) (open 1 requests)) (pool b (zones hall-b) (open 1 requests))"
                  "(route (pools a b))")
    held = [made.admit(T0, ask(f"r{at}")) for at in range(7)]
    pools = [one.pool for one in held if isinstance(one, Pass)]
    assert pools == ["a"] * 3 + ["b"] * 3 + ["a"]       # all full: the first again, where the module decides
    assert made.spilled == 3
    first = held[0]
    assert isinstance(first, Pass)
    made.answered(T0, first)
    made.answered(T0, next(one for one in held[1:3] if isinstance(one, Pass)))
    again = made.admit(T0, ask("r8"))
    assert isinstance(again, Pass) and again.pool == "a"


def test_a_request_keeps_its_version_and_a_removed_pool_lets_its_requests_end() -> None:
    made = router(POOLS + "(route (pools a))")
    old = made.admit(T0, ask("old"))
    before = read(("(hophinge 1)" + POOLS + "(route (pools a))").encode()).records
    made.take_up(table("(pool b (zones hall-b)) (route (pools b))", (1, 2), made.table, before), T0)
    new = made.admit(T0, ask("new"))
    assert within(old) == {"n0", "n1", "n2"} and within(new) == {"n3", "n4", "n5"}
    assert made.versions == {(1, 1): 1, (1, 2): 1} and made.figures()["draining_versions"] == 1
    made.nodes(T0, NodeList(ListKind.CHANGES, (brick(0, 0, Phase.GONE),)))
    assert within(old) == {"n1", "n2"}          # an old version's bricks die as well
    assert isinstance(old, Pass)
    made.answered(T0, old)
    assert made.versions == {(1, 2): 1} and (1, 1) not in made.chains and (1, 1) not in made.tables


def test_limits_add_up_over_scopes_and_take_all_or_nothing() -> None:
    made = router("(limit (tenant alba) (rate 10 units/s) (burst 1 s)) (limit (open 3 requests))")
    held = [made.admit(T0, ask(f"r{at}", "alba")) for at in range(3)]
    assert all(isinstance(one, Pass) for one in held)
    assert isinstance(made.admit(T0, ask("full", "other")), int)
    alba = made.limiter.states["limit/alba/*/*"]
    level = alba.level
    assert isinstance(made.admit(T0, ask("both", "alba")), int)
    assert alba.level == level                  # refused by the open ones: no unit of the rate is gone
    for one in held:
        assert isinstance(one, Pass)
        made.answered(T0 + 50 * MS, one)
    wait = made.admit(T0 + 50 * MS, ask("big", "alba", units=8.0))
    assert isinstance(wait, int) and 300 * MS < wait < 400 * MS
    assert isinstance(made.admit(T0 + 50 * MS + wait, ask("big", "alba", units=8.0)), Pass)


@given(st.lists(st.tuples(st.integers(0, 400 * MS), st.floats(0.5, 8.0), st.sampled_from([5.0, 20.0, 80.0])),
                max_size=60))
def test_units_through_a_limit_stay_within_its_rates_whatever_versions_come(
        steps: list[tuple[int, float, float]]) -> None:
    limiter, now, rate = Limiter(), T0, 20.0
    bound = rate + 8.0          # one second's burst, and one request more that a full bucket lets through
    taken = 0.0
    limiter.state(Limit(Scope(), rate, S), now)
    for span, units, new in steps:
        bound += rate * span / S
        now += span
        rate = new
        states, wait = limiter.admit([Limit(Scope(), rate, S)], units, now)
        assert bool(states) != bool(wait)
        taken += units if states else 0.0
        assert taken <= bound + 1e-6


def test_states_of_removed_limits_are_dropped_once_they_are_many() -> None:
    limiter = Limiter()
    for at in range(600):
        assert limiter.admit([Limit(Scope(f"t{at}"), open=1)], 1.0, T0)[0]
    left = Index.of([(Scope("t7"), Limit(Scope("t7"), open=1))])
    limiter.forget(left.get, left.size)
    assert list(limiter.states) == ["limit/t7/*/*"]
    assert limiter.admit([Limit(Scope("t7"), open=1)], 1.0, T0)[1] > 0      # and it is still full


@given(st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(1, 200_000)), max_size=60))
def test_bytes_that_pause_as_told_keep_to_their_rate(steps: list[tuple[int, int]]) -> None:
    limiter, limit, now, moved = Limiter(), Limit(Scope(), bytes_in=100_000.0), T0, 0
    for span, size in steps:
        now += span
        moved += size
        now += limiter.pause_us([limit, Limit(Scope("t"), 5.0)], 0, size, now)
        # What has moved when the pause is over: a second's worth saved up, and the rate since.
        assert moved <= 100_000 + 100_000 * (now - T0) / S + 1
    assert limiter.pause_us([limit], 1, 10 ** 9, now) == 0      # the other way has no bound


def test_a_clock_that_goes_back_gives_nothing_and_takes_nothing() -> None:
    limiter, limit = Limiter(), Limit(Scope(), 10.0, S)
    assert limiter.admit([limit], 10.0, T0)[0]
    assert limiter.admit([limit], 1.0, T0 - 3600 * S)[1] > 0
    assert limiter.admit([limit], 1.0, T0 - 3600 * S + S)[0]


@given(st.lists(st.tuples(st.integers(0, 900 * MS), st.booleans()), max_size=120))
def test_a_budget_never_lets_more_through_than_its_share_of_any_window(steps: list[tuple[int, bool]]) -> None:
    budget, now = Budget(Retries(budget=0.2, free=1)), T0
    firsts: list[int] = []
    further: list[int] = []
    for span, first in steps:
        now += span
        if first:
            budget.took(now)
            firsts.append(now)
        elif budget.allows(now):
            budget.repeated(now)
            further.append(now)
            since = (now // S - 9) * S
            assert sum(at >= since for at in further) <= 1 + 0.2 * sum(at >= since for at in firsts)
    assert len(further) <= 1 + len(further) // 2 + 0.2 * len(firsts) + now // S


RULE = Eject(0.5, 2 * S, S, 0.3)


@given(st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(0, 9), st.booleans(), st.integers(0, 30)),
                max_size=200))
def test_never_more_bricks_rest_than_the_stated_share(steps: list[tuple[int, int, bool, int]]) -> None:
    ejector, now = Ejector(), T0
    ejector.change(RULE, now)
    ejector.list([f"n{at}" for at in range(10)], now)
    for span, at, error, change in steps:
        now += span
        ejector.lapse(now)
        if change < 10:
            ejector.list([f"n{one}" for one in range(change)], now)
        ejector.ended(f"n{at}", error, now)
        assert len(ejector.out) <= int(0.3 * len(ejector.live) + 1e-9)
        assert ejector.out.keys() <= ejector.live


def test_an_outlier_rests_longer_each_time_and_comes_back() -> None:
    ejector, now = Ejector(), T0
    ejector.change(RULE, now)
    ejector.list([f"n{at}" for at in range(10)], now)
    rests = []
    for _ in range(3):
        while not ejector.ended("n3", True, now):
            now += 10 * MS
        rests.append(ejector.out["n3"] - now)
        assert not ejector.lapse(now + rests[-1] - 1) and ejector.lapse(now + rests[-1])
        now += rests[-1]
    assert rests == [S, 2 * S, 4 * S]
    for _ in range(100):
        assert not ejector.ended("n4", False, now)
    assert ejector.change(None, now) is False and not ejector.ended("n4", True, now)


def test_an_ejected_brick_gets_nothing_unless_it_alone_holds_the_data() -> None:
    made = router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(5):
        made.ended(T0, "n3", Result.ERROR)
    assert within(made.admit(T0, ask("r1"))) == {"n0", "n1", "n2", "n4", "n5"}
    assert "n3" in within(made.admit(T0, ask("r2", shard=3)), 3)
    assert "n3" in within(made.admit(T0 + S, ask("r3")))
    full = router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(20):
        full.ended(T0, "n3", Result.FULL)       # busy is not broken
    assert not full.ejector.out


SCOPES = st.builds(Scope, st.sampled_from(["", "t1", "t2"]), st.sampled_from(["", "v1", "v2"]),
                   st.sampled_from(["", "k1", "k2"]))


@given(st.dictionaries(SCOPES, st.integers(), max_size=20), st.dictionaries(SCOPES, st.none() | st.integers()))
def test_the_index_finds_what_a_scan_finds(rows: dict[Scope, int], changes: dict[Scope, int | None]) -> None:
    index = Index.of(rows.items()).changed(changes.items())
    now = {scope: value for scope, value in {**rows, **changes}.items() if value is not None}
    assert index.size == len(now)
    for tenant, volume, klass in itertools.product(("t1", "t2", "x"), ("v1", "v2", "x"), ("k1", "k2", "x")):
        fits = sorted((scope for scope in now if scope.tenant in ("", tenant) and scope.volume in ("", volume)
                       and scope.klass in ("", klass)),
                      key=lambda scope: (bool(scope.volume), bool(scope.tenant), bool(scope.klass)), reverse=True)
        assert list(index.all(tenant, volume, klass)) == [now[scope] for scope in fits]
        assert index.find(tenant, volume, klass) == (now[fits[0]] if fits else None)


def test_a_table_changed_step_by_step_is_the_one_made_at_once() -> None:
    first = read(("(hophinge 1)" + POOLS + "(tenant t (volumes 00000000000000aa 00000000000000bb))"
                  "(route (tenant t) (pools a))(plan plan-0 (weight 1))").encode()).records
    second = read(b"(hophinge 1)(pool b (zones hall-b))(tenant t (volumes 00000000000000bb))"
                   b"(tenant u (volumes 00000000000000aa))(limit (open 3 requests))").records
    made = EMPTY.changed((1, 1), first, {})
    changes: dict[str, Record | None] = {**dict.fromkeys(first.keys() - second.keys()), **second}
    stepped, whole = made.changed((1, 2), changes, first), EMPTY.changed((1, 2), second, {})
    assert (stepped.owners, stepped.pools, stepped.plans) == (whole.owners, whole.pools, whole.plans)
    assert list(stepped.limits) == list(whole.limits) and not list(stepped.routes)


@pytest.mark.parametrize(("text", "why"), [
    ("(pool x (zones mars))", "pool/x: no zone mars here"),
    ("(pool x (kinds odd))", "pool/x: no machine kind odd here"),
    ("(pool b (zones hall-b))(route (class gone) (pools b))", "route/*/*/gone: no class gone here"),
    ("(limit (class gone) (open 1 requests))", "no class gone here"),
    ("(retries (attempts 9))", "retries/*: 9 attempts; the platform allows 3"),
    ("(plan plan-0 (reserve 9999 units/s))", "plan/plan-0: reserves 9999 units/s"),
    ("(plan unknown (weight 1))", "plan/unknown: no such plan here")])
def test_a_head_turns_down_what_it_lacks_or_what_the_platform_forbids(text: str, why: str) -> None:
    found = read(("(hophinge 1)" + text).encode()).records
    assert any(why in reason for reason in check(found, found, FACTS))
    found2 = read(b"(hophinge 1)(retries (second-copy 80 ms))").records
    assert check(found2, found2, replace(FACTS, second_copies=False)) != []


def test_plans_only_lower_what_the_platform_states_and_the_module_follows() -> None:
    made = router("(plan plan-0 (reserve 1 units/s) (weight 0.5))")
    plans = made.plans()
    assert plans[0].reserve == min(1.0, NAMED.plans[0].reserve) and plans[0].weight == 0.5
    assert made.table.plans["plan-0"] == Plan("plan-0", 1.0, 0.5)
    module = Scheduler(NAMED, 7)
    module.handle(T0, [NodeList(ListKind.SAVED, (brick(0, 0),)), ask("r1")])
    module.replan(plans)
    assert next(iter(module.volumes.values())).plan.reserve == plans[0].reserve


# --- with the module


class Pair:
    """A router before a module, and the clock that a test moves."""

    def __init__(self, text: str, *entries: NodeEntry) -> None:
        self.router, self.module, self.now = router(text, *entries), Scheduler(NAMED, 7), T0
        self.module.handle(T0, [NodeList(ListKind.SAVED, tuple(self.router.entries.values()))])

    def at(self, later: int, *events: Event) -> list[Action]:
        self.now += later
        return self.module.handle(self.now, events)

    def arrive(self, arrival: Arrival) -> list[Action]:
        bounds = self.router.admit(self.now, arrival)
        assert isinstance(bounds, Pass)
        return self.at(0, structs.replace(arrival, bounds=bounds))

    def run(self, span: int, step: int = 5 * MS) -> list[Action]:
        return [action for _ in range(span // step) for action in self.at(step, TimerDue(0))]


def sends(actions: Iterable[Action]) -> list[str]:
    return [one.node for one in actions if isinstance(one, Send)]


def test_the_module_sends_new_objects_to_their_pool_alone() -> None:
    pair = Pair(POOLS + "(route (pools b))", *(brick(at, at // 10) for at in range(20)))
    chosen = [node for at in range(40) for node in sends(pair.arrive(ask(f"r{at}", units=0.1)))]
    assert len(chosen) >= 8 and all(int(node[1:]) >= 10 for node in chosen)


def test_a_pool_that_a_list_brings_back_takes_what_waits() -> None:
    pair = Pair(POOLS + "(route (pools a))", brick(0, 0), brick(1, 0), brick(3, 1))
    for number in (0, 1):
        entry = brick(number, 0, Phase.DRAINING)
        pair.at(0, NodeList(ListKind.CHANGES, (entry,)))    # the module hears of it before the router
    assert sends(pair.arrive(ask("r1"))) == []
    back = NodeList(ListKind.CHANGES, (brick(1, 0),))
    pair.router.nodes(pair.now, back)
    assert sends(pair.at(0, back)) == ["n1"]


def failed(name: str, node: str, attempt: int = 0, result: Result = Result.ERROR) -> Outcome:
    return Outcome(name, attempt, node, result, 10 * MS, False, 0, 0.0, {})


def test_attempts_beyond_the_version_s_are_answered_at_once() -> None:
    pair = Pair("(retries (attempts 1))")
    (node,) = sends(pair.arrive(ask("r1")))
    actions = pair.at(10 * MS, failed("r1", node))
    assert [type(one) for one in actions if isinstance(one, Send | Refuse | Fail)] == [Refuse]


def test_a_dry_budget_is_answered_at_once_not_held_to_the_deadline() -> None:
    pair = Pair("(retries (budget 50 %))")
    (one,) = sends(pair.arrive(ask("r1")))
    assert any(isinstance(action, Refuse) for action in pair.at(10 * MS, failed("r1", one)))
    (two,) = sends(pair.arrive(ask("r2")))
    actions = pair.at(10 * MS, failed("r2", two)) + pair.run(400 * MS)
    assert len(sends(actions)) == 1 and not any(isinstance(action, Refuse) for action in actions)


def test_a_second_copy_goes_elsewhere_after_its_time_and_the_first_answer_cancels_the_other() -> None:
    pair = Pair("(retries (second-copy 80 ms))")
    (first,) = sends(pair.arrive(ask("r1")))
    assert sends(pair.run(75 * MS)) == []
    (second,) = sends(pair.run(30 * MS))
    assert second != first
    assert sends(pair.run(300 * MS)) == []      # two copies, never three
    actions = pair.at(1, Outcome("r1", 1, second, Result.OK, 10 * MS, True, 0, 0.0, {}))
    assert [one for one in actions if isinstance(one, Cancel)] == [Cancel("r1", 0)]
    pair.at(1, Outcome("r1", 0, first, Result.CANCELLED, 10 * MS, True, 0, 0.0, {}))
    assert not pair.module.requests and not pair.module.busy


def test_a_second_copy_needs_another_brick_with_the_data_and_its_budget() -> None:
    alone = Pair("(retries (second-copy 80 ms))")
    assert len(sends(alone.arrive(ask("r1", shard=1)))) == 1 and sends(alone.run(300 * MS)) == []
    two = Pair("(retries (second-copy 80 ms))", brick(0, 0, shard=1), brick(1, 0, shard=1))
    assert len(sends(two.arrive(ask("r1", shard=1)))) == 1 and len(sends(two.run(200 * MS))) == 1
    dry = Pair("(retries (second-copy 80 ms) (budget 10 %))")
    assert len(sends(dry.arrive(ask("r1")))) == 1 and sends(dry.run(300 * MS)) == []
