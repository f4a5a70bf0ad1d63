"""Helpers of the simulated failure scenarios."""

from __future__ import annotations

from hophinge.coordination.registers import Change, Outcome
from tests.coordination_world import World, change

A, B, C, D = (f"10.0.0.{number}:7660" for number in range(1, 5))
CONTACT_TIMEOUT_S = 3.0
RECOVERY_S = 3.0  # for changes to be taken again after a loss


def form_group(seed: int, count: int = 3, others: int = 0) -> World:
    world = World(seed, count)
    for number in range(others):
        world.add(f"10.0.1.{number}:7660", can_vote=False)
    world.run(2.0)
    return world


def is_applied(world: World, address: str, change: Change) -> bool:
    request = world.request(address, change)
    world.run(2.6)
    return world.responses[request].outcome is Outcome.APPLIED


def partition(world: World, inside: set[str], one_way: bool = False) -> None:
    outside = set(world.members) - inside
    world.blocked |= {(one, other) for one in inside for other in outside}
    if not one_way:
        world.blocked |= {(other, one) for one in inside for other in outside}


def form_group_with_a_change(seed: int, count: int = 3) -> World:
    world = World(seed, count)
    world.run(2.0)
    request = world.request(B, change(0, 1, "first"))
    world.run(0.3)
    assert world.responses[request].outcome is Outcome.APPLIED
    return world


def assert_serving(world: World, *, within_s: float = RECOVERY_S) -> None:
    """What was acknowledged is there, and a change is taken, at each member that runs."""
    world.run(within_s)
    running = [address for address in sorted(world.members) if world.members[address].machine is not None]
    answers = [world.read(address) for address in running]
    assert None not in answers, "no majority is left, or no chain"
    newest = max(answer.version for answer in answers if answer is not None)
    assert newest >= 1
    request = world.request(running[-1], change(newest, newest + 1, "later"))
    world.run(2.6)
    assert world.responses[request].outcome is Outcome.APPLIED
