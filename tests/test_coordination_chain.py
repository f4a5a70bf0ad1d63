"""The control state in virtual time: formed once, changed, read, and kept while machines fail."""

from __future__ import annotations

import pytest

from hophinge.coordination.registers import Outcome
from tests import coordination_histories as histories
from tests.coordination_world import World, change

HISTORIES = 60


def test_a_first_start_forms_one_view_and_takes_a_change() -> None:
    world = World(1)
    world.run(1.0)
    views = {member.machine.view for member in world.members.values() if member.machine}
    assert len(views) == 1
    view = views.pop()
    assert view is not None
    assert view.number == 1
    assert len(view.chain) == 3
    request = world.ask("10.0.0.2:7660", change(0, 5, "a"))
    world.run(0.2)
    assert world.answers[request].outcome is Outcome.APPLIED
    assert all(member.published[-1].register.payload == b"5:a" for member in world.members.values())


def test_a_change_sent_again_is_taken_and_another_on_the_same_version_is_not() -> None:
    world = World(2)
    world.run(1.0)
    first = world.ask("10.0.0.1:7660", change(0, 3, "a"))
    other = world.ask("10.0.0.3:7660", change(0, 4, "b"))
    world.run(0.5)
    assert sorted(world.answers[one].outcome or 0 for one in (first, other)) == [Outcome.APPLIED, Outcome.CONFLICT]
    winner = change(0, 3, "a") if world.answers[first].outcome is Outcome.APPLIED else change(0, 4, "b")
    again = world.ask("10.0.0.2:7660", winner)
    world.run(0.5)
    assert world.answers[again].outcome is Outcome.APPLIED


@pytest.mark.parametrize("place", range(3))
def test_changes_are_taken_again_soon_after_a_machine_is_lost(place: int) -> None:
    world = World(3)
    world.run(1.0)
    address = sorted(world.members)[place]
    world.kill(address)
    world.run(2.0)
    alive = next(one for one in sorted(world.members) if one != address)
    request = world.ask(alive, change(0, 1, "a"))
    world.run(0.3)
    assert world.answers[request].outcome is Outcome.APPLIED


def test_a_wiped_disk_is_a_new_replica_and_holds_the_state_within_the_catch_up_time() -> None:
    world = World(4)
    world.run(1.0)
    world.ask("10.0.0.1:7660", change(0, 1, "a"))
    world.run(0.3)
    for address in ("10.0.0.3:7660", "10.0.0.1:7660", "10.0.0.2:7660"):
        world.wipe(address)
        world.run(0.8)
        world.start(address)
        world.run(4.0)
    answer = world.read("10.0.0.1:7660")
    assert answer is not None
    assert answer.payload == b"1:a"
    machines = [member.machine for member in world.members.values() if member.machine]
    assert all(machine.chain.is_serving and machine.chain.registers.sequence == 1 for machine in machines)


def test_a_machine_replaced_at_another_address_takes_the_place_of_the_lost_one() -> None:
    world = World(5)
    world.run(1.0)
    world.ask("10.0.0.1:7660", change(0, 1, "a"))
    world.run(0.3)
    world.kill("10.0.0.2:7660")
    world.run(1.3)
    world.add("10.0.0.9:7660")
    world.run(4.0)
    view = world.members["10.0.0.9:7660"].machine.view  # type: ignore[union-attr]
    assert view is not None
    assert {voter.address for voter in view.voters} == {"10.0.0.1:7660", "10.0.0.3:7660", "10.0.0.9:7660"}
    world.kill("10.0.0.1:7660")
    world.run(2.0)
    answer = world.read("10.0.0.9:7660")
    assert answer is not None
    assert answer.payload == b"1:a"


def test_a_cut_off_minority_neither_takes_nor_refuses() -> None:
    world = World(6)
    world.run(1.0)
    world.cut("10.0.0.1:7660", 10.0)
    world.run(2.0)
    taken = world.ask("10.0.0.2:7660", change(0, 1, "a"))
    lost = world.ask("10.0.0.1:7660", change(0, 2, "b"))
    world.run(3.0)
    assert world.answers[taken].outcome is Outcome.APPLIED
    assert world.answers[lost].outcome is None


def test_power_lost_by_all_keeps_what_was_acknowledged() -> None:
    world = World(7)
    world.run(1.0)
    request = world.ask("10.0.0.1:7660", change(0, 1, "a"))
    while request not in world.answers:
        world.run(0.001)
    for address in world.members:
        world.kill(address)
    world.wipe("10.0.0.3:7660")
    world.run(0.5)
    for address in world.members:
        world.start(address)
    world.run(4.0)
    answer = world.read("10.0.0.3:7660")
    assert answer is not None
    assert answer.payload == b"1:a"


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_drawn_histories_keep_what_was_acknowledged(seed: int) -> None:
    histories.check(histories.play(seed, 3 + seed % 3))


@pytest.mark.parametrize("seed", range(HISTORIES // 2))
def test_drawn_histories_with_two_machines_lost_at_once_keep_what_was_acknowledged(seed: int) -> None:
    histories.check(histories.play(seed, 5 + seed % 2, losses=2))


@pytest.mark.parametrize("seed", range(HISTORIES // 2))
def test_harsher_histories_keep_what_was_told(seed: int) -> None:
    """Faults beyond what may be lost at once, disks that stall or lose half a write, late messages, reads between."""
    histories.check(histories.drawn(seed))
