"""Drawn histories of a chain's replicas: machines fail, operators change and read, and what must hold is checked."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from functools import partial
from random import Random

from hophinge.coordination.registers import Change, Outcome
from tests import linearizability
from tests.coordination_world import World, change
from tests.linearizability import Call

MIN_TAKEN = 5  # changes that a history takes, however many faults it has


@dataclass
class Attempted:
    """One change that an operator sent, and what is known of it."""

    change: Change
    acknowledged_at: float | None = None
    refused: bool = False


@dataclass(frozen=True, slots=True)
class ReadAttempt:
    """A read, and the newest version that anybody was told of before it was asked."""

    request: int
    floor: int


@dataclass(frozen=True, slots=True)
class History:
    """What was done in one history, and the world as it was left."""

    world: World
    attempts: list[Attempted]
    reads: list[ReadAttempt]


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
        world.seeds = tuple(sorted(world.members)[:3])  # the platform names machines that are there
        world.at(seconds, lambda: world.add(f"10.0.1.{number}:7660"))
        down[f"10.0.1.{number}:7660"] = world.now + seconds + 4.0
    elif not lost:
        for one in list(world.members):
            world.kill(one)
            world.at(0.5, partial(start_if_there, world, one))


def may_lose_disk(world: World) -> bool:
    """Tell whether a disk may be lost beside faults beyond the tolerance: only where enough others hold the state."""
    views = [member.machine.view.number for member in world.members.values() if member.machine and member.machine.view]
    newest = max(views, default=0)
    holding = sum(
        member.machine is not None
        and member.machine.chain.is_serving
        and member.machine.view is not None
        and member.machine.view.number == newest
        for member in world.members.values()
    )
    return len(world.members) - holding + 1 <= world.losses


def trouble_without_bound(world: World, random: Random) -> None:
    """Faults of any number of machines at once, which may stop the chain for a while and must break nothing."""
    address = random.choice(sorted(world.members))
    seconds = random.uniform(0.05, 4.0)
    kind = random.choice(["kill", "freeze", "cut", "one_way", "slow", "lag", "wipe", "wipe", "power"])
    if kind == "kill":
        world.kill(address)
        world.at(seconds, partial(start_if_there, world, address))
    elif kind == "freeze":
        world.freeze(address, seconds)
    elif kind in ("cut", "one_way"):
        world.cut(address, seconds, kind == "one_way")
    elif kind == "slow":
        world.slow_disk(address, random.choice([0.03, 0.3]), seconds)
    elif kind == "lag":
        world.lag(random.choice([0.05, 0.4]), seconds)
    elif kind == "wipe" and may_lose_disk(world):
        world.wipe(address)
        world.at(min(seconds, 0.8), partial(start_if_there, world, address))
    elif kind == "power":
        for one in list(world.members):
            world.kill(one)
            world.at(random.uniform(0.1, 1.0), partial(start_if_there, world, one))


def told(world: World, requests: dict[int, Attempted]) -> int:
    """Tell the newest version that an operator was told is in force."""
    newest = 0
    for request, answer in world.answers.items():
        if answer.outcome is Outcome.VALUE:
            newest = max(newest, answer.version)
        elif answer.outcome is Outcome.APPLIED and request in requests:
            newest = max(newest, requests[request].change.version)
    return newest


def check_reads(world: World, reads: list[ReadAttempt]) -> None:
    """No read tells of less than was told before it was asked."""
    for read in reads:
        answer = world.answers.get(read.request)
        if answer is not None and answer.outcome is Outcome.VALUE:
            assert answer.version >= read.floor, f"read {answer.version} after {read.floor} was told"


def play(seed: int, count: int, losses: int = 1, bounded: bool = True) -> History:
    """Play a history; where faults are not bounded, the chain may stop until they are over."""
    world, random = World(seed, count, losses), Random(seed)
    world.loss = random.choice([0.0, 0.0, 0.02, 0.1])
    world.run(2.5)
    attempts: list[Attempted] = []
    reads: list[ReadAttempt] = []
    requests: dict[int, Attempted] = {}
    known, down = 0, dict[str, float]()
    numbers = itertools.count(1)
    for _ in range(60):
        if random.random() < 0.25:
            if bounded:
                trouble(world, random, down)
            else:
                trouble_without_bound(world, random)
        for _ in range(random.choice([0, 1, 2])):
            attempt = Attempted(change(known, known + next(numbers), random.choice("abc")))
            attempts.append(attempt)
            for _ in range(random.choice([1, 1, 2])):
                requests[world.ask(random.choice(sorted(world.members)), attempt.change)] = attempt
        if random.random() < 0.3:
            floor = told(world, requests)
            reads.append(ReadAttempt(world.ask(random.choice(sorted(world.members)), None), floor))
        world.run(random.uniform(0.05, 1.0))
        for request, attempt in requests.items():
            answer = world.answers.get(request)
            if answer is None or answer.outcome is None:
                continue
            if answer.outcome is Outcome.APPLIED and attempt.acknowledged_at is None:
                attempt.acknowledged_at = world.answered_at[request]
                known = max(known, attempt.change.version)
            attempt.refused |= answer.outcome in (Outcome.CONFLICT, Outcome.OUTDATED)
            known = max(known, answer.version)
    world.loss = 0.0
    world.run(8.0 if bounded else 14.0)
    return History(world, attempts, reads)


def calls(history: History) -> list[Call]:
    """Tell the calls of a history that were answered."""
    world = history.world
    answered = [(request, answer) for request, answer in world.answers.items() if answer.outcome is not None]
    return [
        Call(
            world.asked[request][0], world.answered_at[request], world.asked[request][1], answer.outcome, answer.version
        )
        for request, answer in answered
        if answer.outcome is not None
    ]


def sent(history: History) -> list[tuple[float, Change]]:
    """Tell all changes that were sent, with when."""
    return [(asked, one) for asked, one in history.world.asked.values() if one is not None]


def check(history: History) -> None:
    """Check what a history has to have kept; raises AssertionError."""
    world, attempts = history.world, history.attempts
    check_reads(world, history.reads)
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
    assert len(acknowledged) >= MIN_TAKEN, "hardly anything was taken"
    linearizability.check(calls(history), sent(history))


def drawn(seed: int) -> History:
    """Play the history of a seed: three to six replicas, one or two losses to bear, faults with and without bound."""
    count = 3 + seed % 4
    losses = 2 if count >= 5 and seed % 3 == 0 else 1
    return play(seed, count, losses, bounded=seed % 2 == 0)
