"""The table of permits, drain statements, and a head's side of permits and drains."""

from __future__ import annotations

import pytest

from hophinge.maintenance.drain_verdicts import DrainStatements, required_heads
from hophinge.maintenance.head_drains import Announce, Eject, HeadDrains, Restore, Retract
from hophinge.maintenance.messages import BackendListing, PermitUpdate
from hophinge.maintenance.observations import backend_floors, required_count
from hophinge.maintenance.permit_holder import GoOffline, IssuerError, PermitHolder
from hophinge.maintenance.permits import (
    BEGIN_US,
    LEASE_US,
    Availability,
    CapacityFloor,
    Permit,
    PermitError,
    PermitKind,
    PermitRequest,
    PermitState,
    PermitTable,
)
from hophinge.maintenance.statements import DRAINED, SERVED, Statement
from hophinge.routing.maintenance_records import DisruptionBudget
from hophinge.routing.records import Pool, Route, Scope, TenantRule

S = 1_000_000
UP = {f"n{at}": f"z{at % 3}" for at in range(9)}


def availability(down: dict[str, str] | None = None, total: int = 0) -> Availability:
    down = down or {}
    return Availability(total or 9, {name: zone for name, zone in UP.items() if name not in down}, down)


def request(name: str, key: str = "k", begun: bool = False) -> PermitRequest:
    return PermitRequest(PermitKind.HEAD, name, "me", key, begin_at_once=begun)


def rejection_of_grant(
    table: PermitTable, name: str, observed: Availability, limit: DisruptionBudget, now: int = 0
) -> str:
    decision = table.decide(now, request(name), observed, limit)
    table.apply(now, decision.rows)
    return decision.reason


def test_the_strictest_of_counts_and_fractions_applies_in_total_and_in_a_zone() -> None:
    table = PermitTable((), 1, 0)
    assert rejection_of_grant(table, "n0", availability(), DisruptionBudget(3, 0.3, 1)) == ""
    assert "in zone z0, 1 may" in rejection_of_grant(table, "n3", availability(), DisruptionBudget(3, 0.3, 1))
    assert rejection_of_grant(table, "n1", availability(), DisruptionBudget(3, 0.3, 1)) == ""
    assert "3 heads of 9 would be out, 2 may" in rejection_of_grant(
        table, "n2", availability(), DisruptionBudget(3, 0.3, 1)
    )
    assert rejection_of_grant(table, "n2", availability(), DisruptionBudget(3, 0.34, 1)) == ""


@pytest.mark.parametrize(("down", "total"), [({"n4": "z1", "n5": "z2", "n8": "z2"}, 9), ({}, 12)])
def test_unplanned_and_unknown_outages_count_towards_the_limit(down: dict[str, str], total: int) -> None:
    assert "may" in rejection_of_grant(PermitTable((), 1, 0), "n0", availability(down, total), DisruptionBudget(3))
    assert (
        rejection_of_grant(
            PermitTable((), 1, 0),
            "n0",
            availability(dict(list(down.items())[1:]), max(9, total - 1)),
            DisruptionBudget(3),
        )
        == ""
    )


def test_a_process_of_unknown_zone_counts_in_every_zone() -> None:
    assert "zone z0" in rejection_of_grant(
        PermitTable((), 1, 0), "n0", availability({"n8": ""}), DisruptionBudget(3, -1.0, 1)
    )
    assert (
        rejection_of_grant(PermitTable((), 1, 0), "n0", availability({"n8": "z2"}), DisruptionBudget(3, -1.0, 1)) == ""
    )


def test_a_repeated_request_gets_the_same_permit_and_no_other_request_does() -> None:
    table = PermitTable((), 7, 0)
    first = table.decide(0, request("n0"), availability(), DisruptionBudget(3))
    table.apply(0, first.rows)
    again = table.decide(1, request("n0"), availability(), DisruptionBudget(3))
    assert again.permit == first.permit and not again.rows and first.permit is not None and first.permit.id == "7.1"
    assert (
        "already has permit 7.1 of me"
        in table.decide(1, request("n0", "other"), availability(), DisruptionBudget(3)).reason
    )


def test_a_permit_expires_before_its_begin_and_never_after() -> None:
    table = PermitTable((), 1, 0)
    rejection_of_grant(table, "n0", availability(), DisruptionBudget(3))
    rejection_of_grant(table, "n1", availability(), DisruptionBudget(3))
    table.apply(0, table.begin(BEGIN_US, "1.1", 5, availability(), DisruptionBudget(3)).rows)
    assert BEGIN_US * 1.01 < LEASE_US and table.expired(LEASE_US - 1) == ()
    assert [row.id for row in table.expired(LEASE_US)] == ["1.2"]
    assert table.expired(10**15) == table.expired(LEASE_US)
    assert "expired" in table.begin(LEASE_US, "1.2", 5, availability(), DisruptionBudget(3)).reason
    again = PermitTable(table.active.values(), 2, 100 * S)  # the time of the grant is unknown: a full lease from now
    assert again.expired(100 * S + LEASE_US - 1) == () and len(again.expired(100 * S + LEASE_US)) == 1


def test_a_begin_is_rejected_after_losses_have_used_up_the_limit() -> None:
    table = PermitTable((), 1, 0)
    rejection_of_grant(table, "n0", availability(), DisruptionBudget(2))
    assert (
        "would be out" in table.begin(1, "1.1", 5, availability({"n4": "z1", "n5": "z2"}), DisruptionBudget(2)).reason
    )
    assert table.begin(1, "1.1", 5, availability({"n4": "z1"}), DisruptionBudget(2)).permit is not None
    table.apply(1, table.begin(1, "1.1", 5, availability(), DisruptionBudget(2)).rows)
    assert table.begin(2, "1.1", 5, availability(), DisruptionBudget(2)).permit is not None  # a repeated begin
    assert "another process" in table.begin(2, "1.1", 6, availability(), DisruptionBudget(2)).reason
    with pytest.raises(PermitError, match="begun, and cannot be granted"):
        table.transition("1.1", PermitState.GRANTED)


def test_floors_keep_the_capacity_for_reserves() -> None:
    floors = backend_floors(
        [
            Pool("a", ("z0",), min_backends=2),
            Pool("b", ("z1",)),
            Route(Scope("t"), ("a",)),
            TenantRule("t", reserve=70.0),
        ],
        {f"b{at}": BackendListing(f"z{at % 2}", "", True) for at in range(10)},
        25.0,
        {"u": 10.0},
    )
    assert [(floor.name, len(floor.members), floor.min_up) for floor in floors] == [
        ("the pool a", 5, 3),
        ("the pool b", 5, 1),
        ("the installation", 0, 4),
    ]
    assert required_count({"t": 100.0}, 25.0, 2) == 4 and required_count({"t": 100.0}, 0.0, 2) == 2
    table = PermitTable((), 1, 0)
    observed = availability({"n1": "z1"})
    floor = CapacityFloor("the pool a", frozenset({"n0", "n1", "n2"}), 2)
    assert "the pool a would have 1" in table.decide(0, request("n0"), observed, DisruptionBudget(9), [floor]).reason
    assert table.decide(0, request("n4"), observed, DisruptionBudget(9), [floor]).permit is not None


# --- drains


def test_a_missing_statement_is_no_consent_and_a_statement_counts_only_for_its_permit() -> None:
    drains = DrainStatements()
    drains.record_statements("n0", [Statement("1.1", "b0", DRAINED), Statement("0.9", "b0", DRAINED)], True, {"1.1"})
    assert drains.verdict("1.1", ["n0", "n1"]).missing == ("n1",)
    drains.record_statements("n1", [Statement("1.2", "b0", DRAINED)], True, {"1.1", "1.2"})
    assert not drains.verdict("1.1", ["n0", "n1"]).is_complete
    drains.record_statements("n1", [Statement("1.1", "b0", DRAINED)], False, {"1.1"})
    assert drains.verdict("1.1", ["n0", "n1"]).is_complete
    drains.record_statements("n0", [], True, {"1.1"})  # withdrawn
    assert drains.verdict("1.1", ["n0", "n1"]).missing == ("n0",)


def test_a_head_is_exempt_only_by_all_views_of_the_cluster_or_by_an_operator() -> None:
    known, connected = ["n0", "n1", "n2", "n3"], {"n0", "n1"}
    # Nobody has a view of the cluster: silence may be a partition.
    assert required_heads(known, connected, {}, {}) == set(known)
    assert required_heads(known, connected, {"n0": ["n0", "n1"], "n1": ["n1"]}, {"n0": ["n2", "n3"], "n1": ["n2"]}) == {
        "n0",
        "n1",
        "n3",
    }
    assert required_heads(known, connected, {"n0": ["n2"]}, {"n0": ["n3"], "n1": ["n2", "n3"]}) == {"n0", "n1", "n2"}
    # A connected head is required, whatever its peers report.
    assert required_heads(known, connected, {}, {"n0": ["n1"]}) == set(known)
    assert required_heads(known, connected, {}, {}, ["n2", "n3"]) == connected


def test_a_head_states_drained_without_requests_in_flight_and_retracts_it_after_a_manual_restore() -> None:
    head = HeadDrains()
    assert head.apply_update({"1.1": "b0"}, {}) == [Eject("b0")]
    statement = Statement("1.1", "b0", DRAINED)
    assert head.observe({"b0": 2}, {"b0"}, ["b0"]) == [] and head.observe({"b0": 0}, {"b0"}, []) == [
        Announce(statement)
    ]
    assert head.apply_update({"1.1": "b0"}, {}) == [] and head.statements() == [statement]  # repeated: nothing changes
    assert head.observe({}, set(), []) == [Retract(statement), Eject("b0")]
    assert head.observe({}, {"b0"}, []) == [Announce(statement)]
    again = HeadDrains(head.to_store().items())  # a restart without a stream to the issuer
    assert again.start() == [Eject("b0")] and again.statements() == []
    assert head.apply_update({}, {"1.1": "b0"}) == [Retract(statement), Restore("b0")]
    assert head.observe({}, set(), ["b0"]) == [Announce(Statement("1.1", "b0", SERVED))]
    assert head.apply_update({}, {}) == [Retract(Statement("1.1", "b0", SERVED))] and head.drains == {}


# --- a head's permit


def permit(state: PermitState, process: int = 0, by: str = "release r", key: str = "r/0/2") -> Permit:
    return Permit("1.1", PermitKind.HEAD, "n0", "z0", by, key, state, "2", process)


def test_a_head_goes_offline_only_after_its_begin_is_stored() -> None:
    head = PermitHolder(5, "1")
    assert head.apply_update(0, PermitUpdate("s", 1, 1, own_permit=permit(PermitState.GRANTED))) == []
    assert head.permit_to_begin(1) == "1.1" and head.permit_to_begin(BEGIN_US) == ""
    # A halt that peers have received counts, if it is of the same release and attempt.
    assert head.permit_to_begin(1, {"r/0"}) == "" and head.permit_to_begin(1, {"r/1", "q/0"}) == "1.1"
    assert head.apply_update(10**12, PermitUpdate("s", 1, 2, own_permit=permit(PermitState.BEGUN, 5))) == [
        GoOffline("1.1", "2")
    ]
    assert head.apply_update(10**12, PermitUpdate("s", 1, 3, own_permit=permit(PermitState.OUT, 5))) == []
    # Back with the desired build.
    assert PermitHolder(6, "2").apply_update(0, PermitUpdate("s", 1, 3, own_permit=permit(PermitState.BACK, 5))) == []
    assert PermitHolder(6, "3").apply_update(0, PermitUpdate("s", 1, 3, own_permit=permit(PermitState.BACK, 5))) == [
        GoOffline("1.1", "2")
    ]


def test_stale_updates_and_those_of_another_store_have_no_effect() -> None:
    head = PermitHolder(5, "1")
    head.apply_update(0, PermitUpdate("s", 2, 1, own_permit=permit(PermitState.GRANTED)))
    assert (
        head.apply_update(0, PermitUpdate("s", 1, 9, own_permit=permit(PermitState.BEGUN, 5))) == []
        and head.stale_updates == 1
    )
    with pytest.raises(IssuerError, match="not from s"):
        head.apply_update(0, PermitUpdate("other", 3, 1))
    assert head.permit_to_begin(1) == "1.1"


def test_the_deadline_of_an_own_request_counts_from_the_request() -> None:
    head = PermitHolder(5, "1")
    head.request(0, "up")
    head.apply_update(
        BEGIN_US - 1, PermitUpdate("s", 1, 1, own_permit=permit(PermitState.GRANTED, by="head n0", key="up"))
    )
    assert head.permit_to_begin(BEGIN_US - 1) == "1.1" and head.permit_to_begin(BEGIN_US) == ""
    head.withdraw_request()
    assert head.permit_to_begin(1) == ""
