"""Worst days, third point: a second loss right after a repair or a replacement, and members that leave."""

from __future__ import annotations

import itertools

import pytest

from hophinge.coordination.messages import EntryRecord, SyncedRecord
from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change

A, B, C, D, E, F = (f"10.0.0.{number}:7660" for number in range(1, 7))
CATCH_UP_S = 4.0            # after its start a new machine counts as whole
BACK_S = 3.0                # for changes to be taken again after a loss
RECOVERY_S = 12.0
HELD_UP_S = 0.45            # that a change may take while a member leaves: it may be sent once more


def _formed(seed: int, count: int = 3) -> World:
    world = World(seed, count)
    world.run(2.0)
    request = world.ask(B, change(0, 1, "first"))
    world.run(0.3)
    assert world.answers[request].outcome is Outcome.TAKEN
    return world


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
    return any(isinstance(record, EntryRecord) or (
        isinstance(record, SyncedRecord) and record.snapshot is not None and record.snapshot.sequence >= 1)
        for record in records)


def _still_works(world: World, *, within_s: float = BACK_S) -> None:
    """What was acknowledged is there, and a change is taken, at each member that runs."""
    world.run(within_s)
    running = [address for address in sorted(world.members) if world.members[address].machine is not None]
    answers = [world.read(address) for address in running]
    assert None not in answers, "no majority is left, or no chain"
    newest = max(answer.version for answer in answers if answer is not None)
    assert newest >= 1
    request = world.ask(running[-1], change(newest, newest + 1, "later"))
    world.run(2.6)
    assert world.answers[request].outcome is Outcome.TAKEN


def _remove(world: World, address: str) -> None:
    world.kill(address)
    del world.members[address]
    world.seeds = tuple(sorted(world.members)[:3])


@pytest.mark.parametrize("next_after_s", [0.0, 0.5, 1.0, 1.5, 2.0, 4.0, 6.0])
@pytest.mark.parametrize("gone", [A, B, C])
@pytest.mark.parametrize("kind", ["gone", "wiped"])
def test_a_second_loss_right_after_a_planned_replacement_leaves_a_majority(
        gone: str, next_after_s: float, kind: str) -> None:
    """The new machine has had its time to catch up; then the old one is told to end, and another is lost."""
    world = _formed(41)
    world.add(D)
    world.run(2.0)
    world.end(gone)
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
    _still_works(world, within_s=CATCH_UP_S)


@pytest.mark.parametrize("next_after_s", [0.0, 1.0, 3.0, 6.0])
@pytest.mark.parametrize("kind", ["gone", "wiped", "killed"])
@pytest.mark.parametrize("place", range(3))
def test_a_second_loss_right_after_an_unplanned_replacement_leaves_a_majority(
        place: int, kind: str, next_after_s: float) -> None:
    world = _formed(42)
    lost = (A, B, C)[place]
    _remove(world, lost)
    world.run(2.0)
    world.add(D)
    world.run(CATCH_UP_S + next_after_s)
    victims = [D, *(address for address in (A, B, C) if address != lost)]
    for victim in victims:              # the newest disk, then the oldest: one after the other has had its time
        if kind == "gone":
            _remove(world, victim)
            _still_works(world)
            world.add(victim.replace("10.0.0", "10.0.2"))
        elif kind == "wiped":
            world.wipe(victim)
            _still_works(world)
            world.start(victim)
        else:
            world.kill(victim)
            _still_works(world)
            world.start(victim)
        world.run(CATCH_UP_S)
        assert _holders(world) >= 2
    _still_works(world)


def test_a_member_that_leaves_goes_when_the_others_hold_what_it_holds_and_not_before() -> None:
    """B is back with an empty disk and has taken over nothing yet: A holds the only whole copy but that of C, down."""
    world = _formed(43)
    world.kill(C)
    world.run(2.0)
    world.wipe(B)
    assert _holders(world) == 2
    world.slow_disk(B, 0.5, 3.0)        # taking over the state takes a while
    world.start(B)
    world.run(0.3)
    world.end(A, most_s=30.0)
    world.run(1.0)
    assert world.members[A].machine is not None, "it waits: nobody else that runs holds the state"
    world.start(C)
    until = world.now + 10.0
    while world.members[A].machine is not None and world.now < until:
        world.run(0.05)
    assert [_on_disk(world, address) for address in (B, C)] == [True, True]
    assert world.members[A].machine is None
    _still_works(world)


@pytest.mark.parametrize("order", list(itertools.permutations((A, B, C))))
def test_machines_stopped_and_started_in_turn_interrupt_no_change(order: tuple[str, ...]) -> None:
    world = _formed(44)
    version = 1
    for address in order:
        world.end(address)
        for _ in range(10):
            asked = next(one for one in (A, B, C) if one != address)
            request = world.ask(asked, change(version, version + 1, "more"))
            world.run(HELD_UP_S)
            assert world.answers.get(request) is not None, f"a planned end of {address} held a change up"
            assert world.answers[request].outcome is Outcome.TAKEN
            version += 1
        assert world.members[address].machine is None
        world.start(address)
        world.run(CATCH_UP_S)
    views = {member.machine.view.number for member in world.members.values() if member.machine and member.machine.view}
    assert views == {7}, "one view to leave and one to come back, for each"


def test_a_member_that_is_alone_ends_at_once_and_one_that_is_cut_off_after_its_time() -> None:
    world = _formed(45)
    world.cut(C, 60.0)
    world.run(2.0)
    world.end(C)
    world.run(6.0)
    assert world.members[C].machine is not None
    world.run(1.0)
    assert world.members[C].machine is None
    alone = World(46, 1, 0)
    alone.run(2.5)
    alone.end(A)
    alone.run(0.2)
    assert alone.members[A].machine is None


def test_a_voter_that_leaves_while_it_has_promised_takes_no_majority_with_it() -> None:
    """D comes in while A, which has voted for that view, is told to end, and B stands still."""
    for wait in (0.0, 0.05, 0.1, 0.2, 0.4, 0.8):
        world = _formed(47)
        world.add(D)
        world.run(0.6 + wait)
        world.end(A)
        world.freeze(B, 1.5)
        world.run(8.0)
        _remove(world, A)
        _still_works(world)


@pytest.mark.parametrize("moment_s", [0.0, 0.3, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2])
def test_a_wipe_while_a_newcomer_takes_its_snapshot_loses_nothing(moment_s: float) -> None:
    world = _formed(48)
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
    _still_works(world, within_s=CATCH_UP_S)


@pytest.mark.parametrize("lost", [(A,), (B,), (C,)])
def test_a_disk_lost_with_all_others_without_power_loses_nothing(lost: tuple[str, ...]) -> None:
    for seed in range(8):
        world = _formed(50 + seed)
        request = world.ask(A, change(1, 2, "last"))
        while request not in world.answers:
            world.run(0.001)
        for address in (A, B, C):
            world.kill(address)
        for address in lost:
            world.wipe(address)
        world.run(0.5)
        for address in (A, B, C):
            world.start(address)
        world.run(RECOVERY_S / 2)
        for address in (A, B, C):
            answer = world.read(address)
            assert answer is not None
            assert answer.payload == b"2:last"


@pytest.mark.parametrize("cut_s", [1.0, 6.0, 20.0])
def test_two_halves_of_a_core_lose_nothing_and_go_on_after_the_heal(cut_s: float) -> None:
    world = _formed(60, 4)
    left, right = {A, B}, {C, D}
    world.blocked |= {(one, other) for one in left for other in right}
    world.blocked |= {(other, one) for one in left for other in right}
    requests = [world.ask(address, change(1, 2 + number, address)) for number, address in enumerate((A, B, C, D))]
    world.run(cut_s)
    world.blocked.clear()
    world.run(RECOVERY_S)
    taken = [one for one in requests if world.answers[one].outcome is Outcome.TAKEN]
    assert len(taken) <= 1
    _still_works(world)


def test_losses_that_overlap_beyond_the_tolerance_stop_service_and_lose_nothing() -> None:
    """Two of three are down, cut off or frozen at once; no disk is lost."""
    for seed, (one, two) in enumerate(itertools.permutations((A, B, C), 2)):
        world = _formed(70 + seed)
        world.kill(one)
        world.run(0.7)
        world.cut(two, 4.0)
        request = world.ask(next(other for other in (A, B, C) if other not in (one, two)), change(1, 2, "alone"))
        world.run(3.0)
        assert world.answers[request].outcome is None
        world.start(one)
        world.run(RECOVERY_S)
        _still_works(world)
