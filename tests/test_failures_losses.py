"""Failure scenarios: a second loss right after a repair or a replacement, and members that leave."""

from __future__ import annotations

import itertools

import pytest

from hophinge.coordination.messages import EntryRecord, SyncedRecord
from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change
from tests.failure_scenarios import A, B, C, D, form_group_with_a_change, assert_serving

E = "10.0.0.5:7660"
CATCH_UP_S = 4.0  # after its start a new machine counts as whole
MAX_DELAY_S = 0.45  # that a change may take while a member leaves: it may be sent once more


def _holders(world: World, sequence: int = 1) -> int:
    """Tell how many disks hold a change, those of stopped processes too."""
    held = 0
    for address, member in world.members.items():
        machine = member.machine
        if machine is None:
            world.start(address)
            held += world.machine(address).chain.registers.sequence >= sequence
            world.kill(address)
        else:
            held += machine.chain.registers.sequence >= sequence
    return held


def _on_disk(world: World, address: str) -> bool:
    """Tell whether a disk holds the first change: by itself, or in a state that was taken over."""
    records = world.members[address].disk.records
    return any(
        isinstance(record, EntryRecord)
        or (isinstance(record, SyncedRecord) and record.snapshot is not None and record.snapshot.sequence >= 1)
        for record in records
    )


def _remove(world: World, address: str) -> None:
    world.kill(address)
    del world.members[address]
    world.seeds = tuple(sorted(world.members)[:3])


@pytest.mark.parametrize("next_after_s", [0.0, 0.5, 1.0, 1.5, 2.0, 4.0, 6.0])
@pytest.mark.parametrize("gone", [A, B, C])
@pytest.mark.parametrize("kind", ["gone", "wiped"])
def test_a_second_loss_right_after_a_planned_replacement_leaves_a_majority(
    gone: str, next_after_s: float, kind: str
) -> None:
    """The new machine has had its time to catch up; then the old one is told to end, and another is lost."""
    world = form_group_with_a_change(41)
    world.add(D)
    world.run(2.0)
    world.drain(gone)
    world.run(CATCH_UP_S - 2.0 + next_after_s)
    assert world.members[gone].machine is None, "it ended by itself, long before it would have been killed"
    _remove(world, gone)
    victim = next(address for address in (A, B, C) if address != gone)
    if kind == "gone":
        _remove(world, victim)
        world.run(2.0)
        world.add(E)
    else:
        world.wipe(victim)
        world.run(2.0)
        world.start(victim)
    assert_serving(world, within_s=CATCH_UP_S)


@pytest.mark.parametrize("next_after_s", [0.0, 1.0, 3.0, 6.0])
@pytest.mark.parametrize("kind", ["gone", "wiped", "killed"])
@pytest.mark.parametrize("place", range(3))
def test_a_second_loss_right_after_an_unplanned_replacement_leaves_a_majority(
    place: int, kind: str, next_after_s: float
) -> None:
    world = form_group_with_a_change(42)
    lost = (A, B, C)[place]
    _remove(world, lost)
    world.run(2.0)
    world.add(D)
    world.run(CATCH_UP_S + next_after_s)
    victims = [D, *(address for address in (A, B, C) if address != lost)]
    for victim in victims:  # the newest disk, then the oldest: one after the other has had its time
        if kind == "gone":
            _remove(world, victim)
            assert_serving(world)
            world.add(victim.replace("10.0.0", "10.0.2"))
        elif kind == "wiped":
            world.wipe(victim)
            assert_serving(world)
            world.start(victim)
        else:
            world.kill(victim)
            assert_serving(world)
            world.start(victim)
        world.run(CATCH_UP_S)
        assert _holders(world) >= 2
    assert_serving(world)


def test_a_draining_member_ends_once_the_others_have_its_records() -> None:
    """B is back with an empty disk and has taken over nothing yet: A holds the only whole copy but that of C, down."""
    world = form_group_with_a_change(43)
    world.kill(C)
    world.run(2.0)
    world.wipe(B)
    assert _holders(world) == 2
    world.slow_disk(B, 0.5, 3.0)  # taking over the state takes a while
    world.start(B)
    world.run(0.3)
    world.drain(A, timeout_s=30.0)
    world.run(1.0)
    assert world.members[A].machine is not None, "it waits: nobody else that runs holds the state"
    world.start(C)
    until = world.now + 10.0
    while world.members[A].machine is not None and world.now < until:
        world.run(0.05)
    assert [_on_disk(world, address) for address in (B, C)] == [True, True]
    assert world.members[A].machine is None
    assert_serving(world)


@pytest.mark.parametrize("order", list(itertools.permutations((A, B, C))))
def test_machines_stopped_and_started_in_turn_interrupt_no_change(order: tuple[str, ...]) -> None:
    world = form_group_with_a_change(44)
    version = 1
    for address in order:
        world.drain(address)
        for _ in range(10):
            asked = next(one for one in (A, B, C) if one != address)
            request = world.request(asked, change(version, version + 1, "more"))
            world.run(MAX_DELAY_S)
            assert world.responses.get(request) is not None, f"a planned end of {address} held a change up"
            assert world.responses[request].outcome is Outcome.APPLIED
            version += 1
        assert world.members[address].machine is None
        world.start(address)
        world.run(CATCH_UP_S)
    views = {member.machine.view.number for member in world.members.values() if member.machine and member.machine.view}
    assert views == {7}, "one view to leave and one to come back, for each"


def test_a_lone_member_ends_at_once_and_a_partitioned_one_after_its_timeout() -> None:
    world = form_group_with_a_change(45)
    world.cut(C, 60.0)
    world.run(2.0)
    world.drain(C)
    world.run(6.0)
    assert world.members[C].machine is not None
    world.run(1.0)
    assert world.members[C].machine is None
    alone = World(46, 1, 0)
    alone.run(2.5)
    alone.drain(A)
    alone.run(0.2)
    assert alone.members[A].machine is None


def test_a_voter_draining_after_a_promise_does_not_cost_the_majority() -> None:
    """D comes in while A, which has voted for that view, is told to end, and B stands still."""
    for wait in (0.0, 0.05, 0.1, 0.2, 0.4, 0.8):
        world = form_group_with_a_change(47)
        world.add(D)
        world.run(0.6 + wait)
        world.drain(A)
        world.freeze(B, 1.5)
        world.run(8.0)
        _remove(world, A)
        assert_serving(world)


@pytest.mark.parametrize("moment_s", [0.0, 0.3, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2])
def test_a_wipe_during_the_snapshot_of_a_new_member_loses_nothing(moment_s: float) -> None:
    world = form_group_with_a_change(48)
    _remove(world, C)
    world.run(1.5)
    world.add(D)
    world.run(moment_s)
    world.wipe(D)
    world.run(0.2)
    world.start(D)
    world.run(CATCH_UP_S)
    assert _holders(world) >= 2
    world.wipe(A)
    world.run(0.5)
    world.start(A)
    assert_serving(world, within_s=CATCH_UP_S)
