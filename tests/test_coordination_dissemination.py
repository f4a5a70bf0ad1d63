"""Epidemic dissemination: the newest stamp wins, and anti-entropy finds what was missed."""

from __future__ import annotations

from random import Random

from hophinge.coordination.addressed import AddressedMessage
from hophinge.coordination.codec import decode, encode
from hophinge.coordination.dissemination import (
    LARGE_BYTES,
    TOMBSTONE_S,
    Dissemination,
    GossipMessage,
    Push,
    GossipRecord,
    DigestEntries,
    DisseminationStep,
)


class GossipGroup:
    """Members that exchange messages without delay; some of these are lost."""

    def __init__(self, count: int, loss: float = 0.0, seed: int = 1) -> None:
        self.random, self.loss = Random(seed), loss
        self.members = {f"m{number}": Dissemination(Random(seed + number)) for number in range(count)}
        for name, member in self.members.items():
            member.neighbours = tuple(other for other in self.members if other != name)
        self.sent_bytes = 0

    def deliver_all(self, now: float, source: str, step: DisseminationStep) -> None:
        in_flight = [(source, address, message) for address, message in step.messages]
        while in_flight:
            sender, address, message = in_flight.pop(0)
            self.sent_bytes += len(encode(message))
            if self.random.random() < self.loss:
                continue
            received = decode(encode(message))
            assert isinstance(received, GossipMessage)
            answer = self.members[address].handle(now, sender, received)
            in_flight += [(address, other, more) for other, more in answer.messages]

    def compare(self, now: float) -> None:
        for name, member in self.members.items():
            other = self.random.choice([member for member in self.members if member != name])
            self.deliver_all(now, name, DisseminationStep([AddressedMessage(other, member.digest(now))], []))

    def replica_count(self, key: str) -> int:
        return sum(member.store.get(key) is not None for member in self.members.values())


def test_updates_reach_all_members_by_pushes_and_anti_entropy() -> None:
    group = GossipGroup(40, loss=0.3)
    step = group.members["m0"].publish(0.0, [GossipRecord("instance/a", (1, 0), b"x")])
    group.deliver_all(0.0, "m0", step)
    rounds = 0
    while group.replica_count("instance/a") < 40:
        rounds += 1
        group.compare(float(rounds))
        assert rounds < 12
    assert len({member.store.fingerprints(20.0) for member in group.members.values()}) == 1


def test_the_newest_stamp_wins_in_any_order_of_delivery() -> None:
    member = Dissemination(Random(1))
    new, old = GossipRecord("k", (2, 0), b"new"), GossipRecord("k", (1, 5), b"old")
    assert member.handle(0.0, "a", Push((new,))).updates == [new]
    assert member.handle(0.0, "a", Push((old, new))).updates == []
    assert member.store.get("k") == new


def test_members_with_equal_records_exchange_one_digest() -> None:
    group = GossipGroup(2)
    group.deliver_all(0.0, "m0", group.members["m0"].publish(0.0, [GossipRecord("k", (1, 0), b"v")]))
    assert group.members["m1"].handle(1.0, "m0", group.members["m0"].digest(1.0)).messages == []


def test_a_large_value_is_announced_and_pulled_once_where_it_is_missing() -> None:
    group = GossipGroup(2)
    large = GossipRecord("configuration", (1, 0), b"x" * (LARGE_BYTES + 1))
    step = group.members["m0"].publish(0.0, [large])
    assert [type(message) for _, message in step.messages] == [DigestEntries]
    group.deliver_all(0.0, "m0", step)
    assert group.members["m1"].store.get("configuration") == large
    assert group.sent_bytes < 2 * len(large.value)


def test_a_tombstone_is_not_revived_and_expires_from_digests() -> None:
    member = Dissemination(Random(1))
    live, gone = GossipRecord("k", (3, 0), b"v"), GossipRecord("k", (9, 0), b"", True)
    member.handle(0.0, "a", Push((live,)))
    member.handle(0.0, "a", Push((gone,)))
    assert member.handle(1.0, "a", Push((live,))).updates == []
    counted, later = member.store.fingerprints(1.0), member.store.fingerprints(TOMBSTONE_S + 1.0)
    assert counted != later
    assert set(later) == {0}


def test_one_comparison_completes_a_member_that_was_partitioned() -> None:
    group = GossipGroup(2)
    for number in range(50):
        group.members["m0"].store.store_if_newer(0.0, GossipRecord(f"instance/{number}", (number, 0), b"v"))
    group.members["m1"].store.store_if_newer(0.0, GossipRecord("instance/own", (1, 0), b"v"))
    group.deliver_all(1.0, "m1", DisseminationStep([AddressedMessage("m0", group.members["m1"].digest(1.0))], []))
    assert all(len(member.store.records) == 51 for member in group.members.values())
