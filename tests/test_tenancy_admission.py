"""Tests of admission: a surge of one tenant, spare capacity by weight, rejections, random steps."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.tenancy.admission import (
    Admission,
    AdmissionDecision,
    AdmissionRequest,
    SpareCapacity,
    TenantShares,
    Ticket,
)
from tests.tenancy_model import MS, SimulatedHead, jain_index, run_surge


def test_a_surge_of_one_tenant_leaves_the_others_their_rate_and_their_latency() -> None:
    normal, surge = run_surge(1.0), run_surge(10.0)
    for name in "ab":
        arrived = len(normal.latencies_ms[name]) + normal.rejected[name]
        assert len(surge.latencies_ms[name]) >= 0.98 * arrived
        before, after = (
            sorted(head.latencies_ms[name])[int(0.99 * len(head.latencies_ms[name]))] for head in (normal, surge)
        )
        assert after <= 1.2 * before
    assert len(surge.latencies_ms["c"]) > 1.8 * len(normal.latencies_ms["c"])  # spare capacity is used
    assert surge.rejected["c"] > 0


def test_a_reserve_changed_during_a_surge_applies_at_once_and_a_negative_level_stays() -> None:
    shares = {"a": TenantShares(30.0, 1.0, 64), "c": TenantShares(30.0, 1.0, 64)}
    head = SimulatedHead(shares, SpareCapacity(2.0, 50 * MS), 100.0)

    def reserved(seconds: int) -> float:
        """Send requests of c at ten times its first reserve; return the units/s that its reserve admitted."""
        started_us, reserved_before = (
            head.now_us,
            head.admission.tenants["c"].usage.reserved if head.admission.tenants else 0.0,
        )
        for step in range(seconds * 200):
            head.run_until(started_us + step * 5 * MS)
            head.arrive("c", 1.5)
            if step % 8 == 0:
                head.arrive("a")
        return (head.admission.tenants["c"].usage.reserved - reserved_before) / seconds

    assert 28 <= reserved(4) <= 33
    in_flight = head.admission.units_in_flight
    shares["c"] = TenantShares(60.0, 1.0, 64)
    assert head.admission.units_in_flight == in_flight  # admitted requests stay in flight
    assert 57 <= reserved(4) <= 63  # at once, without a burst
    shares["c"] = TenantShares(5.0, 1.0, 64)
    assert 4 <= reserved(4) <= 8
    level = head.admission.tenants["c"].reserve.total.level
    assert level < 8.0
    shares["c"] = TenantShares(30.0, 1.0, 64)
    head.arrive("c", 8.0)
    assert (
        head.admission.tenants["c"].reserve.total.level <= level + 0.5
    )  # raising the reserve does not reset the level


def test_spare_capacity_is_shared_by_weight() -> None:
    weights = {"a": 1.0, "b": 2.0, "c": 5.0}
    head = SimulatedHead(
        {name: TenantShares(0.0, weight, 32) for name, weight in weights.items()}, SpareCapacity(8.0, 200 * MS), 100.0
    )
    for step in range(4000):
        head.run_until(step * 5 * MS)
        for name in weights:
            head.arrive(name)
    served = {name: len(head.latencies_ms[name]) for name in weights}
    assert jain_index([served[name] / weight for name, weight in weights.items()]) >= 0.98
    assert 0.95 * 100 * 20 <= sum(served.values()) <= 1.05 * 100 * 20


def test_a_request_of_higher_priority_goes_first_within_its_volume() -> None:
    head = SimulatedHead({}, SpareCapacity(1.0, 100 * MS), 100.0)
    head.arrive("a")
    for priority in (1.0, 3.0, 2.0):
        assert head.arrive("a", priority=priority) is AdmissionDecision.QUEUED
    order = []
    while head.admission.queue.queued_items:
        head.run_until(head.now_us + MS)
        order += [ticket.request.priority for _, ticket in head.in_service if ticket.request.priority not in order]
    assert order == [1.0, 3.0, 2.0, 1.0][: len(order)] or order[:3] == [1.0, 3.0, 2.0]


def test_retry_advice_of_a_rejection_is_when_the_tenants_reserve_is_refilled() -> None:
    head = SimulatedHead({"a": TenantShares(10.0, 1.0, 1)}, SpareCapacity(1.0, 50 * MS), 1.0)
    while head.arrive("a") is AdmissionDecision.RESERVED:
        pass
    head.arrive("a")
    decision, _, retry_after_us = head.admission.arrive(0, AdmissionRequest("a", "v", 2.0, 1.0, 0.0, 1.0, 150 * MS))
    assert decision is AdmissionDecision.REJECTED and 190 * MS <= retry_after_us <= 210 * MS


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["arrive", "arrive", "answer", "abandon", "wait", "shares"]),
            st.integers(0, 3),
            st.floats(0.5, 8.0),
        ),
        max_size=120,
    )
)
def test_after_random_steps_each_request_ended_once_and_no_state_remains(steps: list[tuple[str, int, float]]) -> None:
    shares = {f"t{index}": TenantShares(5.0 * index, 1.0 + index, 3) for index in range(4)}
    admission = Admission(lambda name: shares[name], SpareCapacity(10.0, 40 * MS), 8.0)
    now, in_flight, queued = 0, list[Ticket](), list[Ticket]()

    def dispatch() -> None:
        for ticket, retry_after_us in admission.dispatch(now):
            queued.remove(ticket)
            if not retry_after_us:
                in_flight.append(ticket)

    for step_kind, index, units in steps:
        if step_kind == "arrive":
            request = AdmissionRequest(f"t{index}", "v", units, units, 2.0, 1.0, 30 * MS)
            decision, ticket, _ = admission.arrive(now, request)
            if decision in (AdmissionDecision.RESERVED, AdmissionDecision.SPARE):
                in_flight.append(ticket)
            elif decision is AdmissionDecision.QUEUED:
                queued.append(ticket)
        elif step_kind == "answer" and in_flight:
            admission.finish(now, in_flight.pop(index % len(in_flight)))
        elif step_kind == "abandon" and queued:
            admission.finish(now, queued.pop(index % len(queued)))
        elif step_kind == "shares":
            shares[f"t{index}"] = TenantShares(units * 3, units, 2)
        else:
            now += int(units * 5 * MS)
        dispatch()
        queued_requests = sum(tenant.queued_requests for tenant in admission.tenants.values())
        assert admission.queue.queued_items == len(queued) == queued_requests
        assert abs(admission.units_in_flight - sum(ticket.request.units for ticket in in_flight)) < 1e-6
        assert not admission.next_deadline_us or admission.next_deadline_us > now
    now += 41 * MS
    dispatch()
    for ticket in in_flight:
        admission.finish(now, ticket)
    assert not queued and not admission.queue.queued_items and abs(admission.units_in_flight) < 1e-6
