"""The control state in virtual time: formed once, changed, read, and preserved while machines fail."""

from __future__ import annotations

import pytest

from hophinge.coordination.registers import Outcome
from tests import coordination_histories as histories
from tests.coordination_world import World, change

HISTORIES = 60


def test_a_first_start_forms_one_view_and_applies_a_change() -> None:
    world = World(1)
    world.run(1.0)
    views = {member.machine.view for member in world.members.values() if member.machine}
    assert len(views) == 1
    view = views.pop()
    assert view is not None
    assert view.number == 1
    assert len(view.chain) == 3
    request = world.request("10.0.0.2:7660", change(0, 5, "a"))
    world.run(0.2)
    assert world.responses[request].outcome is Outcome.APPLIED
    assert all(member.committed_values[-1].register.payload == b"5:a" for member in world.members.values())


def test_a_retried_change_is_applied_and_another_on_the_same_version_conflicts() -> None:
    world = World(2)
    world.run(1.0)
    first = world.request("10.0.0.1:7660", change(0, 3, "a"))
    other = world.request("10.0.0.3:7660", change(0, 4, "b"))
    world.run(0.5)
    assert sorted(world.responses[one].outcome or 0 for one in (first, other)) == [Outcome.APPLIED, Outcome.CONFLICT]
    winner = change(0, 3, "a") if world.responses[first].outcome is Outcome.APPLIED else change(0, 4, "b")
    retried = world.request("10.0.0.2:7660", winner)
    world.run(0.5)
    assert world.responses[retried].outcome is Outcome.APPLIED


@pytest.mark.parametrize("index", range(3))
def test_changes_are_applied_soon_after_a_machine_is_lost(index: int) -> None:
    world = World(3)
    world.run(1.0)
    address = sorted(world.members)[index]
    world.kill(address)
    world.run(2.0)
    alive = next(one for one in sorted(world.members) if one != address)
    request = world.request(alive, change(0, 1, "a"))
    world.run(0.3)
    assert world.responses[request].outcome is Outcome.APPLIED


def test_a_wiped_disk_is_a_new_replica_that_catches_up_in_time() -> None:
    world = World(4)
    world.run(1.0)
    world.request("10.0.0.1:7660", change(0, 1, "a"))
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


def test_a_replacement_at_another_address_becomes_a_voter() -> None:
    world = World(5)
    world.run(1.0)
    world.request("10.0.0.1:7660", change(0, 1, "a"))
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


def test_a_partitioned_minority_neither_applies_nor_rejects() -> None:
    world = World(6)
    world.run(1.0)
    world.cut("10.0.0.1:7660", 10.0)
    world.run(2.0)
    taken = world.request("10.0.0.2:7660", change(0, 1, "a"))
    lost = world.request("10.0.0.1:7660", change(0, 2, "b"))
    world.run(3.0)
    assert world.responses[taken].outcome is Outcome.APPLIED
    assert world.responses[lost].outcome is None


def test_acknowledged_changes_survive_a_power_loss_of_all_replicas() -> None:
    world = World(7)
    world.run(1.0)
    request = world.request("10.0.0.1:7660", change(0, 1, "a"))
    while request not in world.responses:
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
def test_random_histories_keep_acknowledged_changes(seed: int) -> None:
    histories.check(histories.play(seed, 3 + seed % 3))


@pytest.mark.parametrize("seed", range(HISTORIES // 2))
def test_random_histories_with_two_losses_at_once_keep_acknowledged_changes(seed: int) -> None:
    histories.check(histories.play(seed, 5 + seed % 2, losses=2))


@pytest.mark.parametrize("seed", range(HISTORIES // 2))
def test_random_histories_with_unbounded_faults_keep_acknowledged_changes(seed: int) -> None:
    """Faults beyond the tolerated losses, disks that stall or tear a write, late messages, reads between."""
    histories.check(histories.history_of_seed(seed))


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_with_changes_on_top_of_changes_in_flight_apply_no_rejected_change(seed: int) -> None:
    """A caller was told 412, and a later copy of the change was in force (review/4)."""
    histories.check(histories.pipelined_history_of_seed(seed))


def test_a_change_that_arrives_before_its_base_is_applied_after_it_at_one_member_and_at_two() -> None:
    """The change that builds on another one in flight was rejected and then applied (review/4)."""
    world = World(5)
    world.run(1.0)
    copies = [world.request(address, change(1, 2, "b")) for address in ("10.0.0.1:7660", "10.0.0.2:7660")]
    world.run(0.2)
    assert not any(copy in world.responses for copy in copies), "it is undecided until its base is there"
    first = world.request("10.0.0.3:7660", change(0, 1, "a"))
    world.run(0.5)
    assert [world.responses[request].outcome for request in (first, *copies)] == [Outcome.APPLIED] * 3


def test_a_change_whose_base_is_replaced_stays_rejected_at_every_member_after_a_restart_and_under_another_head() -> (
    None
):
    world = World(6)
    world.run(1.0)
    world.request("10.0.0.1:7660", change(0, 3, "a"))
    world.run(0.3)
    loser = change(0, 4, "b")

    def is_rejected_everywhere() -> bool:
        requests = [
            world.request(address, loser) for address in sorted(world.members) if world.members[address].machine
        ]
        world.run(0.5)
        return all(world.responses[request].outcome is Outcome.CONFLICT for request in requests)

    assert is_rejected_everywhere()
    for address in sorted(world.members):
        world.kill(address)
        world.start(address)
    world.run(2.0)
    assert is_rejected_everywhere()
    world.kill("10.0.0.1:7660")
    world.run(3.0)
    assert is_rejected_everywhere()


def test_a_copy_that_a_member_submits_after_it_stood_still_is_decided_as_the_first_copy_was() -> None:
    """The copy of an order at a machine that stood still could be applied after the 412 at another (review/4)."""
    world = World(7)
    world.run(1.0)
    early = change(1, 2, "b")
    late_copy = world.request("10.0.0.2:7660", early)
    world.freeze("10.0.0.2:7660", 0.7)
    other_copy = world.request("10.0.0.3:7660", early)
    world.run(0.35)
    base = world.request("10.0.0.1:7660", change(0, 1, "a"))
    world.run(2.5)
    assert world.responses[base].outcome is Outcome.APPLIED
    outcomes = {world.responses[request].outcome for request in (late_copy, other_copy) if request in world.responses}
    assert outcomes == {Outcome.APPLIED}


# Guards against an acknowledgement that rests on the memory of machines which lose power together with lost disks.
@pytest.mark.parametrize("first", range(0, 40, 8))
def test_what_is_acknowledged_survives_lost_disks_while_all_other_machines_lose_power(first: int) -> None:
    acknowledged = 0
    for seed in range(first, first + 8):
        history = histories.closing_history_of_seed(seed)
        histories.check(history)
        acknowledged += history.attempts[-1].acknowledged_at is not None
    assert acknowledged, "some of the last changes are acknowledged before the losses"
