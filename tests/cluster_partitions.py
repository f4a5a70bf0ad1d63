"""Scenarios of isolated members and of partitions that last longer than the memory of dead members."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hophinge.cluster.actions import MemberChanged
from hophinge.cluster.interface import MemberState
from hophinge.cluster.messages import ALIVE, MemberRecord
from hophinge.cluster.tuning import Limits, Tuning
from tests.cluster_network import SECOND, Network, Node
from tests.cluster_scenarios import ByzantineMember, assert_byte_limit, declared_dead

ISOLATION_S, MARGIN_S = (
    10.0,
    6.0,
)  # docs/design/cluster.md: the isolation timeout, and the rounds in progress at its end
HEAL_S = 60.0  # after such a partition, by the same page


def suspects_all(node: Node) -> bool:
    return all(
        one.state is not MemberState.ALIVE for one in node.machine.members() if one.name != node.machine.own_name
    )


def considers_all_dead(node: Node) -> bool:
    return all(not one.is_live for one in node.machine.members() if one.name != node.machine.own_name)


def suspected_by(node: Node, since_us: int) -> set[str]:
    """Return the names that a node has considered suspect or worse since a time."""
    return {
        what.member.name
        for when, what in node.notifications
        if when > since_us and isinstance(what, MemberChanged) and what.member.state is not MemberState.ALIVE
    }


def sole_survivor_detects_all_deaths(count: int, bytes_s: int = 20_000) -> None:
    """All members but one are killed: it suspects all, then declares them dead, within the documented time."""
    net = Network(41, limits=Limits(bytes_s=bytes_s))
    nodes = net.fleet(count, 60)
    for node in nodes[1:]:
        net.kill(node)
    turns = math.ceil(count / nodes[0].machine.core.tuning.isolated_probes)
    assert net.until(lambda: suspects_all(nodes[0]), ISOLATION_S + MARGIN_S + 2 * turns)
    assert net.until(lambda: considers_all_dead(nodes[0]), 16 * math.log10(max(count, 10)) + 5)
    assert_byte_limit(net)


def isolated_member_spreads_no_suspicion(cut_s: float = 24.0, one_way: bool = False) -> None:
    """A member is isolated beyond the isolation timeout and comes back: its own suspicions are withdrawn at once.

    With `one_way` the others still receive its datagrams, which carry no suspicion.
    """
    net = Network(42)
    nodes = net.fleet(12, 60)
    lonely, rest = nodes[5], nodes[:5] + nodes[6:]
    cut_us = net.now_us
    net.is_cut = lambda source, target: target == lonely.address or (not one_way and source == lonely.address)
    net.run(cut_s)
    suspected = suspected_by(lonely, cut_us)
    assert len(suspected) == len(rest), "it has swept all"
    # Suspicions from before the timeout, one a second at most, are all that the others received.
    told = {node.address: suspected_by(node, cut_us) - {lonely.machine.own_name} for node in rest}
    assert max(map(len, told.values())) <= (4 if one_way else 0), told
    net.is_cut = lambda source, target: False
    healed_us = net.now_us
    assert net.until(lambda: net.has_converged(nodes), 30)
    net.run(40)
    assert declared_dead(rest, healed_us) <= {lonely.machine.own_name} and net.has_converged(nodes)
    assert not declared_dead([lonely], healed_us + SECOND), "it had heard somebody by then"
    assert_byte_limit(net)


def stale_member_revives_nobody() -> None:
    """A member that was stopped during a death resumes while the dead one is still listed: it revives nobody."""
    net = Network(46)
    nodes = net.fleet(6, 60)
    dead, stale, rest = nodes[5], nodes[4], nodes[:4]
    stale.stopped = True
    net.kill(dead)
    assert net.until(lambda: net.has_converged(rest), 60)
    began = net.now_us
    net.resume(stale)
    assert net.until(lambda: net.has_converged(nodes[:5]), 30)
    net.run(30)
    assert not {
        what.member.name
        for node in rest
        for when, what in node.notifications
        if when > began and isinstance(what, MemberChanged) and what.member.is_live
    } - {stale.machine.own_name}


def long_partition_heals(sides: Sequence[int], loss: float = 0.0, seed: int = 43) -> float:
    """A partition outlasts the list of dead members, without seeds; returns the seconds until convergence."""
    net = Network(seed, loss=loss, tuning=Tuning(dead_retention_us=60 * SECOND))
    nodes = net.fleet(sum(sides), 120)
    for node in nodes:
        node.machine.joiner.seeds = []
    inside = {node.address for node in nodes[: sides[0]]}
    net.is_cut = lambda source, target: (source in inside) != (target in inside)
    known = {node.address: sides[0] if node.address in inside else sides[1] for node in nodes}
    assert net.until(lambda: all(len(node.machine.members()) == known[node.address] for node in nodes), 400, 1.0)
    net.run(120)
    net.is_cut = lambda source, target: False
    healed_us = net.now_us
    assert net.until(lambda: net.has_converged(nodes), HEAL_S, 0.25)
    assert_byte_limit(net)
    return (net.now_us - healed_us) / SECOND


def forgotten_members_are_contacted_rarely() -> None:
    """However many members are remembered, one is contacted each round; members that left are not contacted."""
    net = Network(44, tuning=Tuning(dead_retention_us=10 * SECOND))
    nodes = net.fleet(20, 60)
    for node in nodes[4:12]:
        net.kill(node)
    for node in nodes[12:]:
        net.act(node, node.machine.leave(net.now_us))
        net.kill(node)
    assert net.until(lambda: all(len(node.machine.members()) == 4 for node in nodes[:4]), 200, 1.0)
    knocks: list[str] = []
    gone = {node.address for node in nodes[4:]}

    def cut(source: str, target: str) -> bool:
        if target in gone:
            knocks.append(target)
        return target in gone

    net.is_cut = cut
    net.run(100)
    # Four members contact one each, every 4 to 6 s.
    assert 60 <= len(knocks) <= 4 * 100 / 4 and set(knocks) == {node.address for node in nodes[4:12]}


def incarnation_never_decreases() -> None:
    """A Byzantine member gossips lower incarnations of all members: no incarnation ever decreases."""
    net = Network(45)
    nodes = net.fleet(6, 60)
    liar = ByzantineMember(net)
    highest: dict[tuple[str, str], int] = {}
    for turn in range(20):
        own = nodes[turn % 6].machine.core.members.own_record
        for lower in (1, 1 << 18):
            liar.send(nodes, MemberRecord(own.name, own.address, own.incarnation - lower, ALIVE), name=own.name)
        net.run(0.5)
        for node in nodes:
            for one in node.machine.members():
                at = node.address, one.name
                assert one.incarnation >= highest.get(at, 0), (at, one)
                highest[at] = one.incarnation
    assert net.until(lambda: net.has_converged(nodes), 20)
