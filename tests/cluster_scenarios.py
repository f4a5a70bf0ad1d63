"""Scenarios of the cluster protocol in virtual time, each with its assertions; with a mutant they must fail."""

from __future__ import annotations

from collections.abc import Sequence

from hophinge.cluster.actions import EntryChanged, MemberChanged
from hophinge.cluster.datagram import seal_datagram
from hophinge.cluster.interface import MemberState, Topic
from hophinge.cluster.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    IdentityConflict,
    MemberRecord,
    Message,
    StreamDelta,
    StreamItem,
    encode_message,
)
from hophinge.cluster.tuning import Limits, Tuning
from tests.cluster_network import KEY, SECOND, Network, Node

START = 10_000_000  # the order of the generations of nodes in the network


def declared_dead(nodes: Sequence[Node], since_us: int = 0) -> set[str]:
    """Return the names that any of these nodes has declared dead or left since a time."""
    return {
        what.member.name
        for node in nodes
        for when, what in node.notifications
        if when > since_us and isinstance(what, MemberChanged) and not what.member.is_live
    }


def assert_byte_limit(net: Network) -> None:
    """Assert that no node ever exceeded its limit of bytes per second."""
    for node in net.nodes.values():
        assert net.max_bytes_s(node) <= node.machine.core.limits.bytes_s, node.address


class ByzantineMember:
    """A faulty member with the key, which sends any message under any name."""

    def __init__(self, net: Network) -> None:
        self.net, self.count = net, 0

    def send(self, nodes: Sequence[Node], *parts: Message, name: str = "liar", source: str = "liar:1") -> None:
        for node in nodes:
            self.count += 1
            self.net.send(
                source, node.address, seal_datagram(KEY, name, 9 * START, self.count, list(map(encode_message, parts)))
            )


def death_is_detected(count: int, most_s: float, loss: float = 0.0) -> None:
    net = Network(3, loss=loss)
    nodes = net.fleet(count, 120)
    rest = nodes[:-1]
    began = net.now_us
    net.kill(nodes[-1])
    assert net.until(lambda: net.has_converged(rest), most_s)
    assert declared_dead(rest, began) == {nodes[-1].machine.own_name}
    assert_byte_limit(net)


def falsely_suspected_member_stays(standing: int, ahead: int = 0) -> None:
    """A Byzantine member suspects a healthy one repeatedly: it refutes and is never declared dead."""
    net = Network(4)
    nodes = net.fleet(8)
    victim, liar, began = nodes[3], ByzantineMember(net), net.now_us
    others = [node for node in nodes if node is not victim]
    for turn in range(12):
        own = victim.machine.core.members.own_record
        for accuser in ("liar", "x", "y", "z"):
            liar.send(others, MemberRecord(own.name, own.address, own.incarnation + ahead, standing, accuser=accuser))
        net.run(1 if turn < 8 else 6)
    assert not declared_dead(nodes, began)
    assert net.until(lambda: net.has_converged(nodes), 30) and victim.machine.core.counters["refuted"]


def forged_entries_are_superseded() -> None:
    net = Network(5)
    nodes = net.fleet(6)
    nodes[2].machine.put(Topic.DRAINS, "brick", b"in")
    assert net.until(lambda: net.has_converged(nodes) and len(net.entries_of(nodes[0])) == 1, 10)
    mine = nodes[2].machine.core
    liar = ByzantineMember(net)
    for ahead in (0, 7):  # the same sequence with another value, and a higher one with one more entry
        upto = mine.store.digests("n0002")[0][0] + ahead
        items = [StreamItem(upto, "brick", b"out"), *([StreamItem(upto - 1, "forged", b"x")] if ahead else [])]
        for node in nodes[:2]:
            if not ahead:  # a node that has not received the entry yet
                node.machine.core.store.forget("n0002")
            liar.send([node], StreamDelta("n0002", 0, mine.generation, 0, upto, items))
        net.run(0.01)
        assert net.entries_of(nodes[0]) != net.entries_of(nodes[2])
        assert net.until(lambda: net.has_converged(nodes), 40)
        assert net.entries_of(nodes[0]) == (("n0002", "drains", "brick", b"in"),)
        net.run(10)
    assert mine.counters["own_entries_overruled"] >= 2


def redirected_member_stays() -> None:
    """A Byzantine member announces another address for a member that still acknowledges: no member accepts that."""
    net = Network(6)
    nodes = net.fleet(6)
    liar = ByzantineMember(net)
    own = nodes[1].machine.core.members.own_record
    for ahead in (1, 1 << 30):
        liar.send(nodes, MemberRecord(own.name, "liar:1", own.incarnation + ahead, ALIVE))
        net.run(10)
        assert all(
            what.member.address == own.address
            for node in nodes
            for _, what in node.notifications
            if isinstance(what, MemberChanged) and what.member.name == own.name
        )
    assert net.until(lambda: net.has_converged(nodes), 30)
    liar.send(nodes, MemberRecord("n0001", own.address, 2**62, DEAD), MemberRecord("n0001", own.address, 2**62, LEFT))
    net.run(10)
    assert net.has_converged(nodes) and nodes[0].machine.core.counters["starts_too_far_ahead"]


def forgotten_member_is_not_revived() -> None:
    """A member that was stopped while another died and was forgotten does not bring that one back."""
    net = Network(7, tuning=Tuning(dead_retention_us=20 * SECOND))
    nodes = net.fleet(6)
    dead, stale, rest = nodes[5], nodes[4], nodes[:4]
    dead.machine.put(Topic.DRAINS, "k", b"v")
    assert net.until(lambda: len(net.entries_of(stale)) == 1, 10)
    stale.stopped = True
    net.kill(dead)
    assert net.until(lambda: net.has_converged(rest), 60)
    assert net.until(lambda: not any(one.name == "n0005" for node in rest for one in node.machine.members()), 60)
    assert all((node.notifications[-1][1] or True) and not net.entries_of(node) for node in rest)
    began = net.now_us
    net.resume(stale)
    assert net.until(lambda: net.has_converged(nodes[:5]), 90)
    net.run(40)
    risen = [
        what
        for node in rest
        for when, what in node.notifications
        if when > began and isinstance(what, MemberChanged) and what.member.name == "n0005" and what.member.is_live
    ]
    assert not risen and net.has_converged(nodes[:5])
    again = net.start("n0005", ["n0000:7000"], start=3)  # its clock was set back: it raises its generation
    assert net.until(lambda: net.has_converged([*nodes[:5], again]), 60)


def stalled_member_suspects_nobody() -> None:
    net = Network(8)
    nodes = net.fleet(8)
    sleeper = nodes[2]
    probes = sleeper.machine.prober.probes
    for turn, length in enumerate((3.0, 20.0, 60.0, 3.0, 20.0)):
        assert net.until(lambda: any(not one.is_acknowledged for one in probes.values()), 5, 0.0002)
        sleeper.stopped = True
        net.run(length)
        began = net.now_us - 1
        net.resume(sleeper, turn > 1)
        net.run(30)
        accused = {
            what.member.name
            for when, what in sleeper.notifications
            if when > began and isinstance(what, MemberChanged) and what.member.state is MemberState.SUSPECT
        } - {"n0002"}
        assert not accused and not declared_dead([sleeper]) and declared_dead(nodes) <= {"n0002"}
        assert net.until(lambda: net.has_converged(nodes), 30)
    # It suspected a member when it was stopped: its stall does not count as time to refute.
    victim = nodes[5]
    net.is_cut = lambda source, target: victim.address in (source, target)
    assert net.until(lambda: sleeper.machine.core.is_suspected("n0005"), 30)
    sleeper.stopped = True
    net.run(1)
    net.is_cut = lambda source, target: False
    net.run(30)
    began = net.now_us - 1
    net.resume(sleeper, True)
    net.run(30)
    assert "n0005" not in declared_dead([sleeper], began) and net.has_converged(nodes)


def younger_process_steps_down(clock_back: bool = False) -> None:
    net = Network(9)
    nodes = net.fleet(4)
    net.run(5)
    twin = net.start("n0001", ["n0000:7000"], address="elsewhere:1", start=5 if clock_back else None)
    assert net.until(lambda: bool(twin.step_down_reason), 20)
    assert (
        not any(node.step_down_reason for node in nodes)
        and "n0001" in twin.step_down_reason
        and "younger" in twin.step_down_reason
    )
    assert net.until(lambda: net.has_converged(nodes), 30)
    # Its replicas of others' entries are dropped; publishing its own still raises no error.
    assert [one.name for one in twin.machine.members()] == ["n0001"] and twin.machine.next_us is None
    twin.machine.put(Topic.DRAINS, "k", b"v")
    assert net.entries_of(twin) == (("n0001", "drains", "k", b"v"),) and not twin.machine.core.actions
    # A conflict that is addressed to another generation is ignored.
    own = nodes[1].machine.core.members.own_record
    ByzantineMember(net).send([nodes[1]], IdentityConflict(MemberRecord("n0001", "x:1", 5), 2**50, 12345))
    net.run(1)
    assert not nodes[1].step_down_reason and own.name == "n0001"


def byte_limit_holds() -> None:
    """Concurrent joins, updates on all topics, an authentic flood, a partition that heals: never above the limit."""
    for bytes_s in (2_000, 12_000):
        net = Network(10, loss=0.1, doubled=0.1, latency_us=(200, 80_000), limits=Limits(bytes_s=bytes_s))
        nodes = [net.start(f"n{number:04}", ["n0000:7000"]) for number in range(12)]
        liar = ByzantineMember(net)
        net.is_cut = lambda source, target: (source < "n0006") != (target < "n0006")
        for turn in range(40):
            for node in nodes:
                node.machine.put(Topic.POPULARITY, f"k{turn % 7}", bytes([turn]) * 500)
            liar.send(nodes, *[MemberRecord(f"m{number}", "m:1", 5) for number in range(8)])
            net.run(0.5)
            if turn == 20:
                net.is_cut = lambda source, target: False
        net.run(20)
        assert_byte_limit(net)
        assert any(node.machine.core.counters["unsent_popularity"] for node in nodes), "the bound was never met"


def deleted_entry_stays_deleted() -> None:
    """A deleted entry whose tombstone has expired is not restored by a member that was stopped meanwhile."""
    net = Network(11, tuning=Tuning(tombstone_retention_us=15 * SECOND))
    nodes = net.fleet(5)
    for key in ("a", "b"):
        nodes[0].machine.put(Topic.DRAINS, key, b"v")
    assert net.until(lambda: all(len(net.entries_of(node)) == 2 for node in nodes), 20)
    nodes[4].stopped = True
    nodes[0].machine.delete(Topic.DRAINS, "a")
    net.run(60)
    began = net.now_us - 1
    nodes[4].received.clear()  # its socket buffer would have been full long before
    net.resume(nodes[4])
    assert net.until(lambda: net.has_converged(nodes), 60) and len(net.entries_of(nodes[4])) == 1
    back = [
        what
        for node in nodes
        for when, what in node.notifications
        if when > began and isinstance(what, EntryChanged) and not what.is_deleted and what.entry.key == "a"
    ]
    assert not back and not nodes[0].machine.core.counters["own_entries_overruled"]


def suspicion(standing: int = SUSPECT) -> None:
    falsely_suspected_member_stays(standing)
