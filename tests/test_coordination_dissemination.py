"""Epidemic dissemination: the newest stamp wins, and what was missed is found by digests."""

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


class Crowd:
    """Members that exchange messages at once; some of these are lost."""

    def __init__(self, count: int, loss: float = 0.0, seed: int = 1) -> None:
        self.random, self.loss = Random(seed), loss
        self.members = {f"m{number}": Dissemination(Random(seed + number)) for number in range(count)}
        for name, member in self.members.items():
            member.neighbours = tuple(other for other in self.members if other != name)
        self.sent = 0

    def settle(self, now: float, source: str, spread: DisseminationStep) -> None:
        waiting = [(source, address, message) for address, message in spread.messages]
        while waiting:
            sender, address, message = waiting.pop(0)
            self.sent += len(encode(message))
            if self.random.random() < self.loss:
                continue
            received = decode(encode(message))
            assert isinstance(received, GossipMessage)
            answer = self.members[address].handle(now, sender, received)
            waiting += [(address, other, more) for other, more in answer.messages]

    def compare(self, now: float) -> None:
        for name, member in self.members.items():
            other = self.random.choice([one for one in self.members if one != name])
            self.settle(now, name, DisseminationStep([AddressedMessage(other, member.digest(now))], []))

    def holders(self, key: str) -> int:
        return sum(member.store.get(key) is not None for member in self.members.values())


def test_news_reaches_all_members_by_pushes_and_comparisons() -> None:
    crowd = Crowd(40, loss=0.3)
    spread = crowd.members["m0"].publish(0.0, [GossipRecord("instance/a", (1, 0), b"x")])
    crowd.settle(0.0, "m0", spread)
    rounds = 0
    while crowd.holders("instance/a") < 40:
        rounds += 1
        crowd.compare(float(rounds))
        assert rounds < 12
    assert len({member.store.fingerprints(20.0) for member in crowd.members.values()}) == 1


def test_the_newest_stamp_wins_in_whatever_order_it_comes() -> None:
    member = Dissemination(Random(1))
    new, old = GossipRecord("k", (2, 0), b"new"), GossipRecord("k", (1, 5), b"old")
    assert member.handle(0.0, "a", Push((new,))).updates == [new]
    assert member.handle(0.0, "a", Push((old, new))).updates == []
    assert member.store.get("k") == new


def test_members_that_agree_pay_one_digest() -> None:
    crowd = Crowd(2)
    crowd.settle(0.0, "m0", crowd.members["m0"].publish(0.0, [GossipRecord("k", (1, 0), b"v")]))
    assert crowd.members["m1"].handle(1.0, "m0", crowd.members["m0"].digest(1.0)).messages == []


def test_a_large_value_is_announced_and_sent_once_to_who_lacks_it() -> None:
    crowd = Crowd(2)
    large = GossipRecord("configuration", (1, 0), b"x" * (LARGE_BYTES + 1))
    spread = crowd.members["m0"].publish(0.0, [large])
    assert [type(message) for _, message in spread.messages] == [DigestEntries]
    crowd.settle(0.0, "m0", spread)
    assert crowd.members["m1"].store.get("configuration") == large
    assert crowd.sent < 2 * len(large.value)


def test_a_tombstone_is_not_revived_and_leaves_the_digests_in_time() -> None:
    member = Dissemination(Random(1))
    live, gone = GossipRecord("k", (3, 0), b"v"), GossipRecord("k", (9, 0), b"", True)
    member.handle(0.0, "a", Push((live,)))
    member.handle(0.0, "a", Push((gone,)))
    assert member.handle(1.0, "a", Push((live,))).updates == []
    counted, later = member.store.fingerprints(1.0), member.store.fingerprints(TOMBSTONE_S + 1.0)
    assert counted != later
    assert set(later) == {0}


def test_a_member_that_was_cut_off_is_made_whole_by_one_comparison() -> None:
    crowd = Crowd(2)
    for number in range(50):
        crowd.members["m0"].store.store_if_newer(0.0, GossipRecord(f"instance/{number}", (number, 0), b"v"))
    crowd.members["m1"].store.store_if_newer(0.0, GossipRecord("instance/own", (1, 0), b"v"))
    crowd.settle(1.0, "m1", DisseminationStep([AddressedMessage("m0", crowd.members["m1"].digest(1.0))], []))
    assert all(len(member.store.records) == 51 for member in crowd.members.values())
