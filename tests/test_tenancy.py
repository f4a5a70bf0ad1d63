"""Admission of tenants' requests: a surge, spare by weight, refusals, random steps."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.tenancy.admission import (
    Admission,
    AdmissionRequest,
    TenantShares,
    SpareCapacity,
    Ticket,
    AdmissionDecision,
)
from tests.tenancy_model import MS, Head, jain, played


def test_a_surge_of_one_tenant_leaves_the_others_their_rate_and_their_times() -> None:
    calm, surge = played(1.0), played(10.0)
    for name in "ab":
        asked = len(calm.times[name]) + calm.refused[name]
        assert len(surge.times[name]) >= 0.98 * asked
        before, after = (sorted(head.times[name])[int(0.99 * len(head.times[name]))] for head in (calm, surge))
        assert after <= 1.2 * before
    assert len(surge.times["c"]) > 1.8 * len(calm.times["c"])  # what is spare is used
    assert surge.refused["c"] > 0


def test_a_reserve_changed_within_a_surge_holds_from_then_on_and_what_is_owed_stays_owed() -> None:
    shares = {"a": TenantShares(30.0, 1.0, 64), "c": TenantShares(30.0, 1.0, 64)}
    head = Head(shares, SpareCapacity(2.0, 50 * MS), 100.0)

    def reserved(seconds: int) -> float:
        """Ask as c at ten times its reserve, and tell the units a second that its reserve gave it."""
        since, usage = head.now, head.admission.tenants["c"].usage.reserved if head.admission.tenants else 0.0
        for step in range(seconds * 200):
            head.until(since + step * 5 * MS)
            head.ask("c", 1.5)
            if step % 8 == 0:
                head.ask("a")
        return (head.admission.tenants["c"].usage.reserved - usage) / seconds

    assert 28 <= reserved(4) <= 33
    inside = head.admission.units_in_flight
    shares["c"] = TenantShares(60.0, 1.0, 64)
    assert head.admission.units_in_flight == inside  # what was admitted stays
    assert 57 <= reserved(4) <= 63  # from now on, without a second's worth at once
    shares["c"] = TenantShares(5.0, 1.0, 64)
    assert 4 <= reserved(4) <= 8
    level = head.admission.tenants["c"].reserve.total.level
    assert level < 8.0
    shares["c"] = TenantShares(30.0, 1.0, 64)
    head.ask("c", 8.0)
    assert head.admission.tenants["c"].reserve.total.level <= level + 0.5  # a raise gives nothing back


def test_spare_is_shared_by_weight() -> None:
    weights = {"a": 1.0, "b": 2.0, "c": 5.0}
    head = Head(
        {name: TenantShares(0.0, weight, 32) for name, weight in weights.items()}, SpareCapacity(8.0, 200 * MS), 100.0
    )
    for step in range(4000):
        head.until(step * 5 * MS)
        for name in weights:
            head.ask(name)
    got = {name: len(head.times[name]) for name in weights}
    assert jain([got[name] / weight for name, weight in weights.items()]) >= 0.98
    assert 0.95 * 100 * 20 <= sum(got.values()) <= 1.05 * 100 * 20


def test_a_class_of_more_worth_goes_first_within_its_volume() -> None:
    head = Head({}, SpareCapacity(1.0, 100 * MS), 100.0)
    head.ask("a")
    for worth in (1.0, 3.0, 2.0):
        assert head.ask("a", worth=worth) is AdmissionDecision.QUEUED
    order = []
    while head.admission.queue.queued_items:
        head.until(head.now + MS)
        order += [ticket.request.priority for _, ticket in head.out if ticket.request.priority not in order]
    assert order == [1.0, 3.0, 2.0, 1.0][: len(order)] or order[:3] == [1.0, 3.0, 2.0]


def test_a_refusal_says_when_the_tenant_s_own_reserve_is_there() -> None:
    head = Head({"a": TenantShares(10.0, 1.0, 1)}, SpareCapacity(1.0, 50 * MS), 1.0)
    while head.ask("a") is AdmissionDecision.RESERVED:
        pass
    head.ask("a")
    verdict, _, wait = head.admission.arrive(0, AdmissionRequest("a", "v", 2.0, 1.0, 0.0, 1.0, 150 * MS))
    assert verdict is AdmissionDecision.REJECTED and 190 * MS <= wait <= 210 * MS


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "ask", "end", "leave", "wait", "shares"]), st.integers(0, 3), st.floats(0.5, 8.0)
        ),
        max_size=120,
    )
)
def test_by_random_steps_each_request_ends_once_and_nothing_is_left(steps: list[tuple[str, int, float]]) -> None:
    shares = {f"t{at}": TenantShares(5.0 * at, 1.0 + at, 3) for at in range(4)}
    admission = Admission(lambda name: shares[name], SpareCapacity(10.0, 40 * MS), 8.0)
    now, inside, waits = 0, list[Ticket](), list[Ticket]()

    def turn() -> None:
        for ticket, wait in admission.dispatch(now):
            waits.remove(ticket)
            if not wait:
                inside.append(ticket)

    for word, at, units in steps:
        if word == "ask":
            verdict, ticket, _ = admission.arrive(now, AdmissionRequest(f"t{at}", "v", units, units, 2.0, 1.0, 30 * MS))
            (
                inside
                if verdict in (AdmissionDecision.RESERVED, AdmissionDecision.SPARE)
                else waits
                if verdict is AdmissionDecision.QUEUED
                else []
            ).append(ticket)
        elif word == "end" and inside:
            admission.finish(now, inside.pop(at % len(inside)))
        elif word == "leave" and waits:
            admission.finish(now, waits.pop(at % len(waits)))
        elif word == "shares":
            shares[f"t{at}"] = TenantShares(units * 3, units, 2)
        else:
            now += int(units * 5 * MS)
        turn()
        assert (
            admission.queue.queued_items == len(waits) == sum(one.queued_requests for one in admission.tenants.values())
        )
        assert abs(admission.units_in_flight - sum(ticket.request.units for ticket in inside)) < 1e-6
        assert not admission.next_deadline_us or admission.next_deadline_us > now
    now += 41 * MS
    turn()
    for ticket in inside:
        admission.finish(now, ticket)
    assert not waits and not admission.queue.queued_items and abs(admission.units_in_flight) < 1e-6
