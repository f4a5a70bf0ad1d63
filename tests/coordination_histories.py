"""Drawn histories of a chain's replicas: machines fail, operators change and read, and what must hold is checked."""

from __future__ import annotations

import itertools
from functools import partial
from random import Random

from hophinge.coordination.registers import Outcome
from tests.coordination_world import Attempted, World, change


def start_if_there(world: World, address: str) -> None:
    if address in world.members:
        world.start(address)


def trouble(world: World, random: Random, down: dict[str, float]) -> None:
    """As many machines at most as may be lost at once; one counts as lost until its time to catch up is over."""
    lost = {address for address, until in down.items() if until > world.now}
    if len(lost) >= world.losses:
        return
    address = random.choice(sorted(set(world.members) - lost))
    seconds = random.uniform(0.1, 4.0)
    kind = random.choice(["kill", "wipe", "freeze", "cut", "one_way", "replace", "power"])
    down[address] = world.now + seconds + 4.0
    if kind == "kill":
        world.kill(address)
        world.at(seconds, lambda: world.start(address))
    elif kind == "wipe":
        world.wipe(address)
        world.at(seconds, lambda: world.start(address))
    elif kind == "freeze":
        world.freeze(address, seconds)
    elif kind in ("cut", "one_way"):
        world.cut(address, seconds, kind == "one_way")
    elif kind == "replace":
        world.kill(address)
        del world.members[address]
        number = 20 + len(down)
        world.seeds = tuple(sorted(world.members)[:3])      # the platform names machines that are there
        world.at(seconds, lambda: world.add(f"10.0.1.{number}:7660"))
        down[f"10.0.1.{number}:7660"] = world.now + seconds + 4.0
    elif not lost:
        for one in list(world.members):
            world.kill(one)
            world.at(0.5, partial(start_if_there, world, one))


def play(seed: int, count: int, losses: int = 1) -> tuple[World, list[Attempted]]:
    world, random = World(seed, count, losses), Random(seed)
    world.loss = random.choice([0.0, 0.0, 0.02, 0.1])
    world.run(2.5)
    attempts: list[Attempted] = []
    requests: dict[int, Attempted] = {}
    known, down = 0, dict[str, float]()
    numbers = itertools.count(1)
    for _ in range(60):
        if random.random() < 0.25:
            trouble(world, random, down)
        for _ in range(random.choice([0, 1, 2])):
            attempt = Attempted(change(known, known + next(numbers), random.choice("abc")))
            attempts.append(attempt)
            for _ in range(random.choice([1, 1, 2])):
                requests[world.ask(random.choice(sorted(world.members)), attempt.change)] = attempt
        world.run(random.uniform(0.05, 1.0))
        for request, attempt in requests.items():
            answer = world.answers.get(request)
            if answer is None or answer.outcome is None:
                continue
            if answer.outcome is Outcome.TAKEN and attempt.acknowledged_at is None:
                attempt.acknowledged_at = world.answered_at[request]
                known = max(known, attempt.change.version)
            attempt.refused |= answer.outcome in (Outcome.CONFLICT, Outcome.OUTDATED)
            known = max(known, answer.version)
    world.loss = 0.0
    world.run(8.0)
    return world, attempts


def check(world: World, attempts: list[Attempted]) -> None:
    """Check what a history has to have kept; raises AssertionError."""
    acknowledged = [one for one in attempts if one.acknowledged_at is not None]
    bases = [one.change.base for one in acknowledged]
    assert len(set(bases)) == len(bases), "two changes of one version were acknowledged"
    assert not any(one.refused for one in acknowledged), "one change was both taken and refused"
    refused = {one.change.payload for one in attempts if one.refused}
    assert not refused & set(world.published.values()), "a refused change is in force"
    newest = max((one.change.version for one in acknowledged), default=0)
    for address in sorted(world.members):
        answer = world.read(address)
        assert answer is not None, f"{address} does not answer reads after the last fault"
        assert answer.version >= newest, "an acknowledged change is lost"
    assert len(acknowledged) >= 5, "hardly anything was taken"
