"""Failure scenarios: two operators on one version, and changes that are sent again."""

from __future__ import annotations

import itertools

import pytest

from hophinge.coordination.registers import MAX_APPLIED_DIGESTS, Change, HistoryEntry, Outcome, Registers
from tests.coordination_world import change
from tests.failure_scenarios import CONTACT_TIMEOUT_S, A, B, C, partition, form_group, is_applied


def test_two_operators_in_a_partition_are_never_both_acknowledged() -> None:
    for seed, (left, right) in enumerate(itertools.product((A, B, C), repeat=2)):
        world = form_group(20 + seed)
        assert is_applied(world, B, change(0, 1, "first"))
        one, two = world.request(left, change(1, 2, "left")), world.request(right, change(1, 2, "right"))
        partition(world, {left})
        world.run(6.0)
        world.blocked.clear()
        world.run(CONTACT_TIMEOUT_S)
        again = world.request(left, change(1, 2, "left")), world.request(right, change(1, 2, "right"))
        world.run(2.6)
        outcomes = {
            "left": [world.responses[number].outcome for number in (one, again[0])],
            "right": [world.responses[number].outcome for number in (two, again[1])],
        }
        told_yes = [name for name, found in outcomes.items() if Outcome.APPLIED in found]
        assert len(told_yes) == 1, (left, right, outcomes)
        assert Outcome.CONFLICT not in outcomes[told_yes[0]], "what was taken is never refused"
        answer = world.read(A)
        assert answer is not None
        assert answer.payload == f"2:{told_yes[0]}".encode()


def test_the_identical_bytes_of_two_operators_are_one_change() -> None:
    world = form_group(30)
    requests = [world.request(address, change(0, 1, "same")) for address in (A, B, C)]
    world.run(0.5)
    assert [world.responses[one].outcome for one in requests] == [Outcome.APPLIED] * 3
    assert world.machine(A).chain.registers.sequence == 1


@pytest.mark.parametrize("further", [0, 1, 300])
@pytest.mark.parametrize("between", ["nothing", "view", "power", "restart"])
def test_a_retried_change_is_acknowledged_whatever_came_between(further: int, between: str) -> None:
    world = form_group(31)
    assert is_applied(world, A, change(0, 1, "first"))
    for number in range(1, further + 1):
        request = world.request(B, change(number, number + 1, "more"))
        while request not in world.responses:
            world.run(0.01)
        assert world.responses[request].outcome is Outcome.APPLIED
    if between == "view":
        world.kill(A)
        world.run(3.0)
        world.start(A)
        world.run(3.0)
    elif between in ("power", "restart"):
        for address in (A, B, C):
            if between == "restart":  # from a snapshot: all that a slot holds, and no log
                world.members[address].disk.records = [world.machine(address).durable_state()]
            world.kill(address)
        world.run(0.5)
        for address in (A, B, C):
            world.start(address)
        world.run(3.0)
    for address in (A, B, C):
        assert is_applied(world, address, change(0, 1, "first"))
    answer = world.read(C)
    assert answer is not None
    assert answer.version == further + 1, "nothing was put in force twice"


@pytest.mark.parametrize("survives", [True, False])
def test_a_change_in_flight_at_an_old_head_is_applied_once(survives: bool) -> None:
    """Head A has applied the first copy, and passed it on or not, when the rest goes on without A."""
    world = form_group(32)
    head = world.machine(A).view.head().address  # type: ignore[union-attr]
    others = [address for address in (A, B, C) if address != head]
    if not survives:
        partition(world, {head})
    first = world.request(head, change(0, 1, "x"))
    if survives:
        world.run(0.0015)
        partition(world, {head})
    world.run(2.0)
    second = world.request(others[0], change(0, 1, "x"))
    world.run(2.6)
    assert world.responses[second].outcome is Outcome.APPLIED
    assert world.responses[first].outcome in (None, Outcome.APPLIED)
    world.blocked.clear()
    world.run(CONTACT_TIMEOUT_S)
    assert all(world.machine(address).chain.registers.sequence == 1 for address in (A, B, C))
    assert is_applied(world, head, change(0, 1, "x"))


def test_the_limit_of_remembered_changes() -> None:
    """The newest 4,096 are known again; one that is older is refused like any that builds on an old version."""
    registers, count = Registers(), MAX_APPLIED_DIGESTS + 1
    changes = [Change("k", number, number + 1, b"%d" % number, b"") for number in range(count)]
    for number, one in enumerate(changes, 1):
        assert registers.evaluate(one) is None
        registers.apply(HistoryEntry(number, one))
    assert registers.evaluate(changes[0]) is Outcome.CONFLICT
    assert {registers.evaluate(one) for one in changes[1:]} == {Outcome.APPLIED}
    again = Registers()
    again.restore(registers.snapshot())
    assert {again.evaluate(one) for one in changes[1:]} == {Outcome.APPLIED}
    assert len(registers.applied_digests["k"]) == MAX_APPLIED_DIGESTS
