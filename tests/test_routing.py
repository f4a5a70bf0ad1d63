"""Routing decisions: scopes, pools and their order, and versions side by side."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.core.choice import Scheduler
from hophinge.core.interface import ListKind, NodeList, Phase
from hophinge.routing.document_reader import read_document
from hophinge.routing.scope_index import ScopeIndex
from hophinge.routing.admitted_request import AdmittedRequest
from hophinge.routing.records import PlanOverride, Record, Scope
from hophinge.routing.capabilities import validate
from hophinge.routing.routing_table import EMPTY_TABLE
from tests.routes import FACTS, NAMED, POOLS, ask, backend, router, table, within
from tests.test_choice import T0


def test_route_limits_its_scope_only() -> None:
    made = router(POOLS + "(route (tenant alba) (pools a))")
    assert within(made.admit(T0, ask("r1", "alba"))) == {"n0", "n1", "n2"}
    assert within(made.admit(T0, ask("r2", "other"))) == {f"n{at}" for at in range(6)}


def test_tenant_of_a_volume_is_case_insensitive() -> None:
    made = router(POOLS + "(tenant alba (volumes 00000000000000aa)) (route (tenant alba) (pools b))")
    assert within(made.admit(T0, ask("r1", volume="00000000000000AA"))) == {"n3", "n4", "n5"}


def test_pool_with_too_few_live_backends_is_filled_up_by_the_next() -> None:
    made = router(POOLS + "(route (pools a b))")
    held = made.admit(T0, ask("r1"))
    made.nodes(T0, NodeList(ListKind.CHANGES, (backend(0, 0, Phase.DRAINING),)))
    assert within(held) == {"n1", "n2"}
    made.nodes(T0, NodeList(ListKind.CHANGES, (backend(1, 0, Phase.GONE),)))
    assert within(held) == {"n2", "n3", "n4", "n5"}
    made.nodes(T0, NodeList(ListKind.CHANGES, (backend(0, 0), backend(1, 0))))
    assert within(held) == {"n0", "n1", "n2"}


def test_without_a_live_backend_the_route_rejects_or_allows_any() -> None:
    gone = NodeList(ListKind.CHANGES, tuple(backend(at, 0, Phase.DRAINING) for at in range(3)))
    strict, open_ = router(POOLS + "(route (pools a))"), router(POOLS + "(route (pools a) (else any))")
    for made in (strict, open_):
        made.nodes(T0, gone)
    advice = strict.admit(T0, ask("r1"))
    assert isinstance(advice, int) and advice > 0
    assert within(open_.admit(T0, ask("r1"))) == {"n3", "n4", "n5"}
    assert not strict.open_by_pool and not strict.open_by_version


def test_data_is_read_at_its_shard_even_outside_of_the_pools() -> None:
    made = router(POOLS + "(route (pools a))")
    inside, outside = made.admit(T0, ask("r1", shard=1)), made.admit(T0, ask("r2", shard=4))
    assert within(inside, 1) == {"n0", "n1", "n2"}
    assert "n4" in within(outside, 4)
    assert made.followed_shard == 1


def test_full_pool_spills_over_in_order_until_requests_are_answered() -> None:
    made = router(
        "(pool a (zones hall-a) (open 1 requests)) (pool b (zones hall-b) (open 1 requests))(route (pools a b))"
    )
    held = [made.admit(T0, ask(f"r{at}")) for at in range(7)]
    pools = [one.pool for one in held if isinstance(one, AdmittedRequest)]
    assert pools == ["a"] * 3 + ["b"] * 3 + ["a"]  # all full: the first again, where the module decides
    assert made.spilled == 3
    first = held[0]
    assert isinstance(first, AdmittedRequest)
    made.answered(T0, first)
    made.answered(T0, next(one for one in held[1:3] if isinstance(one, AdmittedRequest)))
    again = made.admit(T0, ask("r8"))
    assert isinstance(again, AdmittedRequest) and again.pool == "a"


def test_request_keeps_its_version_while_a_removed_pool_drains() -> None:
    made = router(POOLS + "(route (pools a))")
    old = made.admit(T0, ask("old"))
    before = read_document(("(hophinge 1)" + POOLS + "(route (pools a))").encode()).records
    made.activate(table("(pool b (zones hall-b)) (route (pools b))", (1, 2), made.table, before), T0)
    new = made.admit(T0, ask("new"))
    assert within(old) == {"n0", "n1", "n2"} and within(new) == {"n3", "n4", "n5"}
    assert made.open_by_version == {(1, 1): 1, (1, 2): 1} and made.status()["draining_versions"] == 1
    made.nodes(T0, NodeList(ListKind.CHANGES, (backend(0, 0, Phase.GONE),)))
    assert within(old) == {"n1", "n2"}  # an old version's bricks die as well
    assert isinstance(old, AdmittedRequest)
    made.answered(T0, old)
    assert (
        made.open_by_version == {(1, 2): 1}
        and (1, 1) not in made.failover_levels.levels_by_version
        and (1, 1) not in made.failover_levels.tables
    )


SCOPES = st.builds(
    Scope, st.sampled_from(["", "t1", "t2"]), st.sampled_from(["", "v1", "v2"]), st.sampled_from(["", "k1", "k2"])
)


@given(st.dictionaries(SCOPES, st.integers(), max_size=20), st.dictionaries(SCOPES, st.none() | st.integers()))
def test_scope_index_agrees_with_a_linear_scan(rows: dict[Scope, int], changes: dict[Scope, int | None]) -> None:
    index = ScopeIndex.of(rows.items()).with_changes(changes.items())
    now = {scope: value for scope, value in {**rows, **changes}.items() if value is not None}
    assert index.size == len(now)
    for tenant, volume, klass in itertools.product(("t1", "t2", "x"), ("v1", "v2", "x"), ("k1", "k2", "x")):
        fits = sorted(
            (
                scope
                for scope in now
                if scope.tenant in ("", tenant) and scope.volume in ("", volume) and scope.klass in ("", klass)
            ),
            key=lambda scope: (bool(scope.volume), bool(scope.tenant), bool(scope.klass)),
            reverse=True,
        )
        assert list(index.matching(tenant, volume, klass)) == [now[scope] for scope in fits]
        assert index.most_specific(tenant, volume, klass) == (now[fits[0]] if fits else None)


def test_table_changed_in_steps_equals_one_built_at_once() -> None:
    first = read_document(
        (
            "(hophinge 1)" + POOLS + "(tenant t (volumes 00000000000000aa 00000000000000bb))"
            "(route (tenant t) (pools a))(plan plan-0 (weight 1))"
        ).encode()
    ).records
    second = read_document(
        b"(hophinge 1)(pool b (zones hall-b))(tenant t (volumes 00000000000000bb))"
        b"(tenant u (volumes 00000000000000aa))(limit (open 3 requests))"
    ).records
    made = EMPTY_TABLE.with_changes((1, 1), first, {})
    changes: dict[str, Record | None] = {**dict.fromkeys(first.keys() - second.keys()), **second}
    stepped, whole = made.with_changes((1, 2), changes, first), EMPTY_TABLE.with_changes((1, 2), second, {})
    assert (stepped.tenant_by_volume, stepped.pools, stepped.plans) == (
        whole.tenant_by_volume,
        whole.pools,
        whole.plans,
    )
    assert list(stepped.limits) == list(whole.limits) and not list(stepped.routes)


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("(pool x (zones mars))", "pool/x: unknown zone mars"),
        ("(pool x (kinds odd))", "pool/x: unknown machine kind odd"),
        ("(pool b (zones hall-b))(route (class gone) (pools b))", "route/*/*/gone: unknown request class gone"),
        ("(limit (class gone) (open 1 requests))", "unknown request class gone"),
        ("(retries (attempts 9))", "retries/*: 9 attempts, but the platform allows at most 3"),
        ("(plan plan-0 (reserve 9999 units/s))", "plan/plan-0: reserves 9999 units/s"),
        ("(plan unknown (weight 1))", "plan/unknown: unknown plan"),
    ],
)
def test_unsupported_records_are_rejected(text: str, why: str) -> None:
    found = read_document(("(hophinge 1)" + text).encode()).records
    assert any(why in reason for reason in validate(found, found, FACTS))
    found2 = read_document(b"(hophinge 1)(retries (second-copy 80 ms))").records
    assert validate(found2, found2, replace(FACTS, allows_hedging=False)) != []


def test_plan_overrides_only_lower_the_platform_s_plans() -> None:
    made = router("(plan plan-0 (reserve 1 units/s) (weight 0.5))")
    plans = made.overridden_plans()
    assert plans[0].reserve == min(1.0, NAMED.plans[0].reserve) and plans[0].weight == 0.5
    assert made.table.plans["plan-0"] == PlanOverride("plan-0", 1.0, 0.5)
    module = Scheduler(NAMED, 7)
    module.handle(T0, [NodeList(ListKind.SAVED, (backend(0, 0),)), ask("r1")])
    module.replan(plans)
    assert next(iter(module.volumes.values())).plan.reserve == plans[0].reserve
