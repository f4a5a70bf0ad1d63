"""The first start of a group of replicas, beside kills and freezes: operators race for the first change."""

from __future__ import annotations

from random import Random

import pytest

from hophinge.coordination.registers import Outcome
from tests.coordination_world import World, change

OPERATORS = 2
ROUNDS = 20
ROUND_S = 0.5
SEEDS = 16
CATCH_UP_S = 4.0  # for which a member counts as lost after it has come back
FAULT_CHANCE = 0.4
MAX_FAULT_S = 1.5
SETTLE_S = 12.0


def inject_fault(world: World, random: Random) -> float:
    """Kill or freeze one member for a while; return the time until which it counts as lost, 0 where none does."""
    if random.random() >= FAULT_CHANCE:
        return 0.0
    address = random.choice(sorted(world.members))
    seconds = random.uniform(0.05, MAX_FAULT_S)
    if random.random() < 0.5:
        world.freeze(address, seconds)
    else:
        world.kill(address)
        world.at(seconds, lambda: world.start(address))
    return world.now + seconds + CATCH_UP_S


def play_first_start(seed: int) -> tuple[World, dict[int, int]]:
    """Return the world after a first start, and the requests for a first change with the version that each asks for."""
    world, random = World(seed, 3 + seed % 3), Random(seed)
    requests: dict[int, int] = {}
    lost_until = 0.0  # one member is tolerated
    for _ in range(ROUNDS):
        if world.now >= lost_until:
            lost_until = inject_fault(world, random)
        for operator in range(OPERATORS):
            version = operator + 1
            address = random.choice(sorted(world.members))
            requests[world.request(address, change(0, version, f"operator {operator}"))] = version
        world.run(ROUND_S)
    world.run(SETTLE_S)
    return world, requests


@pytest.mark.parametrize("seed", range(SEEDS))
def test_one_of_two_operators_wins_the_first_change_however_the_members_start(seed: int) -> None:
    """No other test has faults before the first view is formed and the first change is applied."""
    world, requests = play_first_start(seed)
    answers = {request: world.responses[request] for request in requests if request in world.responses}
    applied = {requests[request] for request, answer in answers.items() if answer.outcome is Outcome.APPLIED}
    assert len(applied) == 1, "one operator is acknowledged, and one only"
    [winner] = applied
    refused = {requests[request] for request, answer in answers.items() if answer.outcome is Outcome.CONFLICT}
    assert winner not in refused, "what was taken is never refused"
    for address in sorted(world.members):
        answer = world.read(address)
        assert answer is not None, f"{address} does not answer reads after the last fault"
        assert answer.version == winner
