"""Failure scenarios: disks lost while all others have no power, and losses that overlap beyond the tolerance."""

from __future__ import annotations

import itertools

import pytest

from hophinge.coordination.registers import Outcome
from tests.coordination_world import change
from tests.failure_scenarios import A, B, C, D, form_group_with_a_change, assert_serving

RECOVERY_S = 12.0


@pytest.mark.parametrize("lost", [A, B, C])
def test_a_disk_lost_with_all_others_without_power_loses_nothing(lost: str) -> None:
    for seed in range(8):
        world = form_group_with_a_change(50 + seed)
        request = world.request(A, change(1, 2, "last"))
        while request not in world.responses:
            world.run(0.001)
        for address in (A, B, C):
            world.kill(address)
        world.wipe(lost)
        world.run(0.5)
        for address in (A, B, C):
            world.start(address)
        world.run(RECOVERY_S / 2)
        for address in (A, B, C):
            answer = world.read(address)
            assert answer is not None
            assert answer.payload == b"2:last"


@pytest.mark.parametrize("cut_s", [1.0, 6.0, 20.0])
def test_two_halves_of_a_core_lose_nothing_and_continue_after_the_heal(cut_s: float) -> None:
    world = form_group_with_a_change(60, 4)
    left, right = {A, B}, {C, D}
    world.blocked |= {(one, other) for one in left for other in right}
    world.blocked |= {(other, one) for one in left for other in right}
    requests = [world.request(address, change(1, 2 + number, address)) for number, address in enumerate((A, B, C, D))]
    world.run(cut_s)
    world.blocked.clear()
    world.run(RECOVERY_S)
    taken = [one for one in requests if world.responses[one].outcome is Outcome.APPLIED]
    assert len(taken) <= 1
    assert_serving(world)


def test_losses_beyond_the_tolerance_stop_service_and_lose_nothing() -> None:
    """Two of three are down, cut off or frozen at once; no disk is lost."""
    for seed, (one, two) in enumerate(itertools.permutations((A, B, C), 2)):
        world = form_group_with_a_change(70 + seed)
        world.kill(one)
        world.run(0.7)
        world.cut(two, 4.0)
        request = world.request(next(other for other in (A, B, C) if other not in (one, two)), change(1, 2, "alone"))
        world.run(3.0)
        assert world.responses[request].outcome is None
        world.start(one)
        world.run(RECOVERY_S)
        assert_serving(world)
