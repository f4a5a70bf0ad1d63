"""Tests of routing decisions: scopes, failover between pools, and several versions in use at once."""

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
from tests.routes import (
    CAPABILITIES,
    NAMED_SETTINGS,
    POOLS,
    make_arrival,
    node_entry,
    make_router,
    make_table,
    allowed_backends,
)
from tests.test_choice import T0


def test_route_applies_to_its_scope_only() -> None:
    router = make_router(POOLS + "(route (tenant alba) (pools a))")
    assert allowed_backends(router.admit(T0, make_arrival("r1", "alba"))) == {"n0", "n1", "n2"}
    assert allowed_backends(router.admit(T0, make_arrival("r2", "other"))) == {f"n{index}" for index in range(6)}


def test_tenant_of_a_volume_is_case_insensitive() -> None:
    router = make_router(POOLS + "(tenant alba (volumes 00000000000000aa)) (route (tenant alba) (pools b))")
    assert allowed_backends(router.admit(T0, make_arrival("r1", volume="00000000000000AA"))) == {"n3", "n4", "n5"}


def test_pool_with_too_few_live_backends_is_filled_up_from_the_next_pool() -> None:
    router = make_router(POOLS + "(route (pools a b))")
    admitted = router.admit(T0, make_arrival("r1"))
    router.nodes(T0, NodeList(ListKind.CHANGES, (node_entry(0, 0, Phase.DRAINING),)))
    assert allowed_backends(admitted) == {"n1", "n2"}
    router.nodes(T0, NodeList(ListKind.CHANGES, (node_entry(1, 0, Phase.GONE),)))
    assert allowed_backends(admitted) == {"n2", "n3", "n4", "n5"}
    router.nodes(T0, NodeList(ListKind.CHANGES, (node_entry(0, 0), node_entry(1, 0))))
    assert allowed_backends(admitted) == {"n0", "n1", "n2"}


def test_without_a_live_backend_the_route_rejects_or_allows_any() -> None:
    all_draining = NodeList(ListKind.CHANGES, tuple(node_entry(index, 0, Phase.DRAINING) for index in range(3)))
    strict, lenient = make_router(POOLS + "(route (pools a))"), make_router(POOLS + "(route (pools a) (else any))")
    for router in (strict, lenient):
        router.nodes(T0, all_draining)
    advice = strict.admit(T0, make_arrival("r1"))
    assert isinstance(advice, int) and advice > 0
    assert allowed_backends(lenient.admit(T0, make_arrival("r1"))) == {"n3", "n4", "n5"}
    assert not strict.open_by_pool and not strict.open_by_version


def test_data_is_read_from_its_shard_even_outside_the_pools() -> None:
    router = make_router(POOLS + "(route (pools a))")
    inside, outside = router.admit(T0, make_arrival("r1", shard=1)), router.admit(T0, make_arrival("r2", shard=4))
    assert allowed_backends(inside, 1) == {"n0", "n1", "n2"}
    assert "n4" in allowed_backends(outside, 4)
    assert router.followed_shard == 1


def test_full_pool_spills_over_in_order_until_requests_are_answered() -> None:
    router = make_router(
        "(pool a (zones hall-a) (open 1 requests)) (pool b (zones hall-b) (open 1 requests))(route (pools a b))"
    )
    admitted = [router.admit(T0, make_arrival(f"r{index}")) for index in range(7)]
    pools = [bounds.pool for bounds in admitted if isinstance(bounds, AdmittedRequest)]
    assert pools == ["a"] * 3 + ["b"] * 3 + ["a"]  # all pools are full: the first one again, and the core decides
    assert router.spilled == 3
    first = admitted[0]
    assert isinstance(first, AdmittedRequest)
    router.answered(T0, first)
    router.answered(T0, next(bounds for bounds in admitted[1:3] if isinstance(bounds, AdmittedRequest)))
    again = router.admit(T0, make_arrival("r8"))
    assert isinstance(again, AdmittedRequest) and again.pool == "a"


def test_request_keeps_its_version_while_a_removed_pool_drains() -> None:
    router = make_router(POOLS + "(route (pools a))")
    old = router.admit(T0, make_arrival("old"))
    previous = read_document(("(hophinge 1)" + POOLS + "(route (pools a))").encode()).records
    router.activate(make_table("(pool b (zones hall-b)) (route (pools b))", (1, 2), router.table, previous), T0)
    new = router.admit(T0, make_arrival("new"))
    assert allowed_backends(old) == {"n0", "n1", "n2"} and allowed_backends(new) == {"n3", "n4", "n5"}
    assert router.open_by_version == {(1, 1): 1, (1, 2): 1} and router.status()["draining_versions"] == 1
    router.nodes(T0, NodeList(ListKind.CHANGES, (node_entry(0, 0, Phase.GONE),)))
    assert allowed_backends(old) == {"n1", "n2"}  # removed backends leave the views of draining versions too
    assert isinstance(old, AdmittedRequest)
    router.answered(T0, old)
    assert (
        router.open_by_version == {(1, 2): 1}
        and (1, 1) not in router.failover_levels.levels_by_version
        and (1, 1) not in router.failover_levels.tables
    )


SCOPES = st.builds(
    Scope, st.sampled_from(["", "t1", "t2"]), st.sampled_from(["", "v1", "v2"]), st.sampled_from(["", "k1", "k2"])
)


@given(st.dictionaries(SCOPES, st.integers(), max_size=20), st.dictionaries(SCOPES, st.none() | st.integers()))
def test_scope_index_agrees_with_a_linear_scan(rows: dict[Scope, int], changes: dict[Scope, int | None]) -> None:
    index = ScopeIndex.of(rows.items()).with_changes(changes.items())
    current = {scope: value for scope, value in {**rows, **changes}.items() if value is not None}
    assert index.size == len(current)
    for tenant, volume, klass in itertools.product(("t1", "t2", "x"), ("v1", "v2", "x"), ("k1", "k2", "x")):
        matching_scopes = sorted(
            (
                scope
                for scope in current
                if scope.tenant in ("", tenant) and scope.volume in ("", volume) and scope.klass in ("", klass)
            ),
            key=lambda scope: (bool(scope.volume), bool(scope.tenant), bool(scope.klass)),
            reverse=True,
        )
        assert list(index.matching(tenant, volume, klass)) == [current[scope] for scope in matching_scopes]
        assert index.most_specific(tenant, volume, klass) == (current[matching_scopes[0]] if matching_scopes else None)


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
    base = EMPTY_TABLE.with_changes((1, 1), first, {})
    changes: dict[str, Record | None] = {**dict.fromkeys(first.keys() - second.keys()), **second}
    stepped, whole = base.with_changes((1, 2), changes, first), EMPTY_TABLE.with_changes((1, 2), second, {})
    assert (stepped.tenant_by_volume, stepped.pools, stepped.plans) == (
        whole.tenant_by_volume,
        whole.pools,
        whole.plans,
    )
    assert list(stepped.limits) == list(whole.limits) and not list(stepped.routes)


@pytest.mark.parametrize(
    ("text", "expected"),
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
def test_unsupported_records_are_rejected(text: str, expected: str) -> None:
    found = read_document(("(hophinge 1)" + text).encode()).records
    assert any(expected in reason for reason in validate(found, found, CAPABILITIES))
    hedging = read_document(b"(hophinge 1)(retries (second-copy 80 ms))").records
    assert validate(hedging, hedging, replace(CAPABILITIES, allows_hedging=False)) != []


def test_plan_overrides_can_only_lower_the_platform_s_plans() -> None:
    router = make_router("(plan plan-0 (reserve 1 units/s) (weight 0.5))")
    plans = router.overridden_plans()
    assert plans[0].reserve == min(1.0, NAMED_SETTINGS.plans[0].reserve) and plans[0].weight == 0.5
    assert router.table.plans["plan-0"] == PlanOverride("plan-0", 1.0, 0.5)
    scheduler = Scheduler(NAMED_SETTINGS, 7)
    scheduler.handle(T0, [NodeList(ListKind.SAVED, (node_entry(0, 0),)), make_arrival("r1")])
    scheduler.replan(plans)
    assert next(iter(scheduler.volumes.values())).plan.reserve == plans[0].reserve
