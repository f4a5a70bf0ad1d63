"""Failure scenarios: members that missed hundreds of changes catch up, in a stated time and with few bytes."""

from __future__ import annotations

from itertools import pairwise

import pytest

from hophinge.coordination.chain import (
    MAX_SYNC_BACKOFF_DOUBLINGS,
    SYNC_RETRY_INTERVAL_S,
    SYNC_BYTES_PER_S,
    ChainReplica,
)
from hophinge.coordination.codec import encode
from hophinge.coordination.messages import Heartbeat
from hophinge.coordination.events import Outputs
from hophinge.coordination.registers import APPLIED_DIGEST_BYTES, Change, HistoryEntry, Outcome
from hophinge.coordination.view import ChainLink, Replica, View
from tests.coordination_world import KEY, World, change

A, B, C, D = (f"10.0.0.{number}:7660" for number in range(1, 5))
CATCH_UP_S = 4.0
MEGABIT = 125_000
DOCUMENT = 4 << 20  # bytes of the largest configuration


def _formed(seed: int) -> World:
    world = World(seed)
    world.run(2.0)
    return world


def _large(base: int, version: int, size: int) -> Change:
    return Change(KEY, base, version, b"%d" % version, bytes([version % 256]) * size)


def _take(world: World, address: str, one: Change) -> None:
    request = world.request(address, one)
    until = world.now + 2.6
    while request not in world.responses and world.now < until:
        world.run(0.01)
    assert world.responses[request].outcome is Outcome.APPLIED


def _caught_up_after(world: World, address: str, most_s: float) -> float:
    """Let time pass until a member holds what the chain holds; tells how long that took."""
    begin = world.now
    while world.now - begin < most_s:
        world.run(0.05)
        chain = world.machine(address).chain
        newest = max(
            world.machine(one).chain.registers.sequence
            for one in world.members
            if world.members[one].machine is not None
        )
        if chain.is_serving and chain.registers.sequence == newest:
            return world.now - begin
    raise AssertionError(f"{address} has not caught up after {most_s} s")


@pytest.mark.parametrize("place", [A, B, C])
@pytest.mark.parametrize("missed", [10, 300, 3_000])
def test_a_member_that_missed_changes_catches_up_with_bytes_that_do_not_grow_with_their_number(
    missed: int, place: str
) -> None:
    world = _formed(81)
    _take(world, B, change(0, 1, "first"))
    world.kill(place)
    world.run(2.0)
    alive = next(one for one in (A, B, C) if one != place)
    for version in range(2, missed + 2):
        _take(world, alive, change(version - 1, version, "more"))
    before = sum(member.sent_bytes for member in world.members.values())
    world.start(place)
    took = _caught_up_after(world, place, CATCH_UP_S)
    sent = sum(member.sent_bytes for member in world.members.values()) - before
    snapshot = len(encode(world.machine(place).chain.registers.snapshot()))
    assert snapshot <= 2 * APPLIED_DIGEST_BYTES * (missed + 1) + 200
    assert took <= 2.0
    assert sent <= 3 * snapshot + 60_000, "a copy for each successor; the rest is signs of life"
    answer = world.read(place)
    assert answer is not None
    assert answer.version == missed + 1


@pytest.mark.parametrize("megabits", [100, 60])
def test_the_largest_document_is_transferred_once_over_a_slow_link(megabits: int) -> None:
    world = _formed(82)
    _take(world, B, _large(0, 1, DOCUMENT))
    world.kill(C)
    world.run(2.0)
    _take(world, B, _large(1, 2, DOCUMENT))
    world.link_bytes_s = megabits * MEGABIT
    before = {one: world.members[one].sent_bytes for one in (A, B)}
    world.start(C)
    took = _caught_up_after(world, C, CATCH_UP_S)
    world.run(2.0)
    copies = sum(world.members[one].sent_bytes - before[one] for one in (A, B)) / DOCUMENT
    assert took <= 3.0
    assert copies < 2.2, "one for each successor in the new view"


def _sender_to(world: World, address: str) -> Replica:
    """Let time pass until a member has joined the tail of a chain; tells who sends it the state."""
    while True:
        world.run(0.01)
        machine = world.machine(address)
        sender = machine.view.neighbour(machine.me.identity, -1) if machine.view is not None else None
        if sender is not None and machine.chain.synced_view < machine.view.number:  # type: ignore[union-attr]
            return sender


def test_a_member_catches_up_while_large_changes_go_on_and_its_sender_is_lost_halfway() -> None:
    world = _formed(83)
    world.add(D)
    world.run(3.0)
    _take(world, B, _large(0, 1, DOCUMENT))
    world.kill(D)
    world.run(2.0)
    world.link_bytes_s = 100 * MEGABIT
    world.start(D)
    sender = _sender_to(world, D)
    world.run(0.1)
    assert not world.machine(D).chain.is_serving, "the copy is on its way"
    world.kill(sender.address)
    alive = next(one for one in (A, B, C) if one != sender.address)
    world.run(1.6)
    for version in range(2, 6):
        world.request(alive, _large(version - 1, version, DOCUMENT // 8))
        world.run(0.3)
    _caught_up_after(world, D, CATCH_UP_S)
    answer = world.read(D)
    assert answer is not None
    assert answer.version >= 1


@pytest.mark.parametrize("sync_s", [0.015, 0.1])
def test_a_member_with_a_disk_thirty_times_slower_catches_up_while_changes_go_on(sync_s: float) -> None:
    world = _formed(84)
    _take(world, B, change(0, 1, "first"))
    world.kill(C)
    world.run(2.0)
    world.slow_disk(C, sync_s, 60.0)
    world.start(C)
    version = 1
    for _ in range(30):
        request = world.request(A, change(version, version + 1, "more"))
        world.run(0.15)
        version += request in world.responses and world.responses[request].outcome is Outcome.APPLIED
    _caught_up_after(world, C, CATCH_UP_S)
    assert version > 10


def _pair() -> tuple[ChainReplica, Replica]:
    """A head with one successor, in a view that it has just entered."""
    head, successor = Replica("a", A, "z"), Replica("b", B, "z")
    chain = ChainReplica(head, 2)
    chain.synced_view = 1
    chain.enter_view(0.0, View(1, (head, successor), (ChainLink("a", 1), ChainLink("b", 1))), Outputs())
    return chain, successor


def test_a_sync_is_retried_with_exponential_backoff() -> None:
    chain, successor = _pair()
    chain.registers.apply(_entry(DOCUMENT))
    wait = SYNC_RETRY_INTERVAL_S + (DOCUMENT + APPLIED_DIGEST_BYTES) / SYNC_BYTES_PER_S
    moments = [0.0]
    for step in range(4_000):
        outputs = Outputs()
        chain.handle_successor_heartbeat(step * 0.05, successor, _heard(0), outputs)
        if outputs.messages:
            moments.append(step * 0.05)
    pauses = [after - before for before, after in pairwise(moments)]
    assert len(pauses) > MAX_SYNC_BACKOFF_DOUBLINGS
    for number, pause in enumerate(pauses):
        assert pause == pytest.approx(wait * 2 ** min(number, MAX_SYNC_BACKOFF_DOUBLINGS), abs=0.11)


def test_the_backoff_of_syncs_ends_once_the_successor_has_caught_up() -> None:
    chain, successor = _pair()
    chain.registers.apply(_entry(10))
    for moment in (0.4, 1.2):
        chain.handle_successor_heartbeat(moment, successor, _heard(0), Outputs())
    assert chain.consecutive_syncs == 3
    chain.handle_successor_heartbeat(1.3, successor, _heard(1, chain.registers.history_digest), Outputs())
    chain.registers.apply(_entry(10, 2))
    again = Outputs()
    chain.handle_successor_heartbeat(1.7, successor, _heard(1), again)
    assert again.messages


def test_replicas_that_differ_are_found_and_repaired() -> None:
    """The same number of changes is held by both, but one has another history: no lag would tell of it."""
    world = _formed(85)
    _take(world, A, change(0, 1, "first"))
    world.run(1.0)
    bad = world.machine(C).chain.registers
    before = sum(member.sent_bytes for member in world.members.values())
    world.run(2.0)
    resting = sum(member.sent_bytes for member in world.members.values()) - before
    bad.apply(HistoryEntry(1, change(0, 1, "other")))
    assert bad.current(KEY).payload == b"1:other"
    world.run(2.0)
    assert bad.current(KEY).payload == b"1:first"
    assert bad.history_digest == world.machine(A).chain.registers.history_digest
    before = sum(member.sent_bytes for member in world.members.values())
    world.run(2.0)
    sent = sum(member.sent_bytes for member in world.members.values()) - before
    assert sent <= resting * 1.2, "once mended, nothing is sent for it any more"


def _heard(sequence: int, mark: bytes = b"") -> Heartbeat:
    return Heartbeat(1, 1, sequence, 0, True, True, False, mark)


def _entry(size: int, sequence: int = 1) -> HistoryEntry:
    return HistoryEntry(sequence, _large(sequence - 1, sequence, size))
