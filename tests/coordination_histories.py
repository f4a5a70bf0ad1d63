"""Random histories of a group of replicas: machines fail, operators change and read, and invariants are checked."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from random import Random

from hophinge.coordination.registers import Change, Outcome
from tests import linearizability
from tests.coordination_world import World, change
from tests.linearizability import Call

MIN_APPLIED = 5  # changes that a history applies, however many faults it has


@dataclass
class AttemptedChange:
    """One change that an operator sent, and its outcome as far as it is known."""

    change: Change
    acknowledged_at: float | None = None
    is_rejected: bool = False


@dataclass(frozen=True, slots=True)
class AttemptedRead:
    """A read, and the newest version that was acknowledged or read before it."""

    request: int
    min_version: int


@dataclass(frozen=True, slots=True)
class History:
    """The operations of one history, and the world at its end."""

    world: World
    attempts: list[AttemptedChange]
    reads: list[AttemptedRead]


def start_if_present(world: World, address: str) -> None:
    if address in world.members:
        world.start(address)


def inject_bounded_fault(world: World, random: Random, down: dict[str, float]) -> None:
    """Inject a fault, of as many machines at once as may be lost; one counts as lost until it has caught up."""
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
            world.at(0.5, partial(start_if_present, world, one))


def may_lose_disk(world: World) -> bool:
    """Return whether a disk may be lost beside unbounded faults: only where enough others are synced."""
    views = [member.machine.view.number for member in world.members.values() if member.machine and member.machine.view]
    newest = max(views, default=0)
    synced_members = sum(
        member.machine is not None
        and member.machine.chain.is_serving
        and member.machine.view is not None
        and member.machine.view.number == newest
        for member in world.members.values()
    )
    return len(world.members) - synced_members + 1 <= world.losses


def inject_fault(world: World, random: Random) -> None:
    """Inject a fault, of any number of machines at once: it may stop the chain for a while, and nothing else."""
    address = random.choice(sorted(world.members))
    seconds = random.uniform(0.05, 4.0)
    kind = random.choice(["kill", "freeze", "cut", "one_way", "slow", "lag", "wipe", "wipe", "power"])
    if kind == "kill":
        world.kill(address)
        world.at(seconds, partial(start_if_present, world, address))
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
        world.at(min(seconds, 0.8), partial(start_if_present, world, address))
    elif kind == "power":
        for one in list(world.members):
            world.kill(one)
            world.at(random.uniform(0.1, 1.0), partial(start_if_present, world, one))


def acknowledged_version(world: World, changes_by_request: dict[int, AttemptedChange]) -> int:
    """Return the newest version that was acknowledged or read."""
    newest = 0
    for request, answer in world.responses.items():
        if answer.outcome is Outcome.VALUE:
            newest = max(newest, answer.version)
        elif answer.outcome is Outcome.APPLIED and request in changes_by_request:
            newest = max(newest, changes_by_request[request].change.version)
    return newest


def check_reads(world: World, reads: list[AttemptedRead]) -> None:
    """Check that no read returned less than was acknowledged or read before it."""
    for read in reads:
        answer = world.responses.get(read.request)
        if answer is not None and answer.outcome is Outcome.VALUE:
            assert answer.version >= read.min_version, f"read {answer.version} after {read.min_version}"


def freeze_one(world: World, random: Random, down: dict[str, float]) -> None:
    """Freeze a member shortly where none counts as lost, so that copies are evaluated late; it counts as lost then."""
    if random.random() < 0.6 or any(until > world.now for until in down.values()):
        return
    address, seconds = random.choice(sorted(world.members)), random.uniform(0.2, 1.5)
    world.freeze(address, seconds)
    down[address] = world.now + seconds + 4.0


def send_pipeline(world: World, random: Random, base: int, numbers: Iterator[int]) -> dict[int, AttemptedChange]:
    """Send changes that build on each other, in any order and some of them twice; return them by request."""
    attempts = []
    for _ in range(random.choice([2, 2, 3])):
        version = next(numbers)  # above all versions sent before
        attempts.append(AttemptedChange(change(base, version, random.choice("abc"))))
        base = version
    copies = [attempt for attempt in attempts for _ in range(random.choice([1, 1, 2]))]
    random.shuffle(copies)
    return {world.request(random.choice(sorted(world.members)), copy.change): copy for copy in copies}


def send_rejected_again(world: World, random: Random, attempts: list[AttemptedChange]) -> dict[int, AttemptedChange]:
    """Send one of the changes that were rejected once more; return it by its new request."""
    rejected = [attempt for attempt in attempts if attempt.is_rejected]
    if not rejected or random.random() < 0.5:
        return {}
    again = random.choice(rejected)
    return {world.request(random.choice(sorted(world.members)), again.change): again}


def lose_disks_and_power(world: World, random: Random, last: AttemptedChange) -> None:
    """Send a last change; around its acknowledgement lose as many disks as may be lost, and the power of all others."""
    request = world.request(random.choice(sorted(world.members)), last.change)
    until = world.now + random.uniform(0.0, 0.4)
    while world.now < until and request not in world.responses:
        world.run(0.001)
    answer = world.responses.get(request)
    if answer is not None and answer.outcome is Outcome.APPLIED:
        last.acknowledged_at = world.responded_at[request]
    wiped = random.sample(sorted(world.members), world.losses)
    for address in sorted(world.members):
        if address in wiped:
            world.wipe(address)
        else:
            world.kill(address)
        world.at(random.uniform(0.1, 1.5), partial(start_if_present, world, address))
    world.run(14.0)


def play(
    seed: int,
    count: int,
    losses: int = 1,
    bounded: bool = True,
    is_pipelined: bool = False,
    ends_with_losses: bool = False,
) -> History:
    """Play a random history; where faults are not bounded, the chain may stop until they are over.

    Where operators are pipelined, they also send changes on top of others that are in flight.
    """
    world, random = World(seed, count, losses), Random(seed)
    world.loss_rate = random.choice([0.0, 0.0, 0.02, 0.1])
    world.run(2.5)
    attempts: list[AttemptedChange] = []
    reads: list[AttemptedRead] = []
    requests: dict[int, AttemptedChange] = {}
    known_version, recovers_at = 0, dict[str, float]()
    numbers = itertools.count(1)
    for _ in range(60):
        if random.random() < 0.25:
            if bounded:
                inject_bounded_fault(world, random, recovers_at)
            else:
                inject_fault(world, random)
        for _ in range(random.choice([0, 1, 2])):
            version = next(numbers) if is_pipelined else known_version + next(numbers)
            attempt = AttemptedChange(change(known_version, version, random.choice("abc")))
            attempts.append(attempt)
            for _ in range(random.choice([1, 1, 2])):
                requests[world.request(random.choice(sorted(world.members)), attempt.change)] = attempt
        if is_pipelined:
            freeze_one(world, random, recovers_at)
            pipelined = send_pipeline(world, random, known_version, numbers)
            attempts += {id(attempt): attempt for attempt in pipelined.values()}.values()
            requests |= pipelined | send_rejected_again(world, random, attempts)
        if random.random() < 0.3:
            min_version = acknowledged_version(world, requests)
            reads.append(AttemptedRead(world.request(random.choice(sorted(world.members)), None), min_version))
        world.run(random.uniform(0.05, 1.0))
        for request, attempt in requests.items():
            answer = world.responses.get(request)
            if answer is None or answer.outcome is None:
                continue
            if answer.outcome is Outcome.APPLIED and attempt.acknowledged_at is None:
                attempt.acknowledged_at = world.responded_at[request]
                known_version = max(known_version, attempt.change.version)
            attempt.is_rejected |= answer.outcome in (Outcome.CONFLICT, Outcome.OUTDATED)
            known_version = max(known_version, answer.version)
    world.loss_rate = 0.0
    world.run(8.0 if bounded else 14.0)
    if ends_with_losses:
        last = AttemptedChange(change(known_version, known_version + next(numbers), "z"))
        attempts.append(last)
        lose_disks_and_power(world, random, last)
    return History(world, attempts, reads)


def calls_of(history: History) -> list[Call]:
    """Return the completed calls of a history."""
    world = history.world
    answered = [(request, answer) for request, answer in world.responses.items() if answer.outcome is not None]
    return [
        Call(
            world.sent_requests[request][0],
            world.responded_at[request],
            world.sent_requests[request][1],
            answer.outcome,
            answer.version,
        )
        for request, answer in answered
        if answer.outcome is not None
    ]


def sent_changes(history: History) -> list[tuple[float, Change]]:
    """Return all changes that were sent, with their times."""
    return [(sent_at, change) for sent_at, change in history.world.sent_requests.values() if change is not None]


def check(history: History) -> None:
    """Check the invariants of a history; raises AssertionError where one is broken."""
    world, attempts = history.world, history.attempts
    check_reads(world, history.reads)
    acknowledged = [attempt for attempt in attempts if attempt.acknowledged_at is not None]
    bases = [attempt.change.base for attempt in acknowledged]
    assert len(set(bases)) == len(bases), "two changes of one version were acknowledged"
    assert not any(attempt.is_rejected for attempt in acknowledged), "a change was both applied and rejected"
    rejected = {attempt.change.payload for attempt in attempts if attempt.is_rejected}
    assert not rejected & set(world.published_payloads.values()), "a rejected change was published"
    newest = max((attempt.change.version for attempt in acknowledged), default=0)
    for address in sorted(world.members):
        answer = world.read(address)
        assert answer is not None, f"{address} does not answer reads after the last fault"
        assert answer.version >= newest, "an acknowledged change is lost"
    assert len(acknowledged) >= MIN_APPLIED, "hardly any change was applied"
    linearizability.check(calls_of(history), sent_changes(history))


def history_of_seed(seed: int) -> History:
    """Play the history of a seed: three to six replicas, one or two tolerated losses, bounded and unbounded faults."""
    count = 3 + seed % 4
    losses = 2 if count >= 5 and seed % 3 == 0 else 1
    return play(seed, count, losses, bounded=seed % 2 == 0)


def closing_history_of_seed(seed: int) -> History:
    """Play the history of a seed at whose end disks are lost while all other machines lose power."""
    count = 3 + seed % 4
    losses = 2 if count >= 5 and seed % 3 == 0 else 1
    return play(seed, count, losses, bounded=seed % 2 == 0, ends_with_losses=True)


def pipelined_history_of_seed(seed: int) -> History:
    """Play the history of a seed in which operators also build on changes that are in flight."""
    return play(seed, 3 + seed % 3, 1, bounded=seed % 2 == 0, is_pipelined=True)
