"""What must hold of one who hears nobody and of cuts that outlast memory, each caused once in virtual time."""

from __future__ import annotations

import math
from collections.abc import Sequence

from hophinge.cluster.actions import MemberChanged
from hophinge.cluster.interface import MemberState
from hophinge.cluster.messages import ALIVE, MemberRecord
from hophinge.cluster.tuning import Limits, Tuning
from tests.cluster_network import SECOND, Network, Node
from tests.cluster_scenarios import Liar, held_dead, within_bounds

ALONE_S, SPARE_S = 10.0, 6.0  # docs/design/cluster.md: silence that counts, and turns under way at its end
HEAL_S = 60.0  # after a cut that outlasted the list of the dead, by the same


def suspects_all(node: Node) -> bool:
    return all(
        one.state is not MemberState.ALIVE for one in node.machine.members() if one.name != node.machine.own_name
    )


def holds_all_dead(node: Node) -> bool:
    return all(not one.is_live for one in node.machine.members() if one.name != node.machine.own_name)


def accused_by(node: Node, since_us: int) -> set[str]:
    """Tell whom a member held suspect or worse since a time."""
    return {
        what.member.name
        for when, what in node.told
        if when > since_us and isinstance(what, MemberChanged) and what.member.state is not MemberState.ALIVE
    }


def survivor_finds_out(count: int, bytes_s: int = 20_000) -> None:
    """All but one are killed: it suspects all, and then holds all dead, in the time that the note states."""
    net = Network(41, limits=Limits(bytes_s=bytes_s))
    nodes = net.fleet(count, 60)
    for node in nodes[1:]:
        net.kill(node)
    turns = math.ceil(count / nodes[0].machine.core.tuning.isolated_probes)
    assert net.until(lambda: suspects_all(nodes[0]), ALONE_S + SPARE_S + 2 * turns)
    assert net.until(lambda: holds_all_dead(nodes[0]), 16 * math.log10(max(count, 10)) + 5)
    within_bounds(net)


def cut_off_accuses_nobody(cut_s: float = 24.0, one_way: bool = False) -> None:
    """One is cut off for longer than its doubt lasts, and comes back: whoever it suspected alone is clear at once.

    `one_way`: others still hear it, and hear no accusation.
    """
    net = Network(42)
    nodes = net.fleet(12, 60)
    lonely, rest = nodes[5], nodes[:5] + nodes[6:]
    cut_us = net.now_us
    net.cut = lambda source, target: target == lonely.address or (not one_way and source == lonely.address)
    net.run(cut_s)
    suspected = accused_by(lonely, cut_us)
    assert len(suspected) == len(rest), "it has swept all"
    # Of what it accused before it counted as alone, one a second at most, nothing more is added.
    told = {node.address: accused_by(node, cut_us) - {lonely.machine.own_name} for node in rest}
    assert max(map(len, told.values())) <= (4 if one_way else 0), told
    net.cut = lambda source, target: False
    healed_us = net.now_us
    assert net.until(lambda: net.agreed(nodes), 30)
    net.run(40)
    assert held_dead(rest, healed_us) <= {lonely.machine.own_name} and net.agreed(nodes)
    assert not held_dead([lonely], healed_us + SECOND), "it had heard somebody by then"
    within_bounds(net)


def stale_revives_nobody() -> None:
    """One that slept through a death wakes while the dead is still listed, and holds it alive: nobody else does."""
    net = Network(46)
    nodes = net.fleet(6, 60)
    dead, stale, rest = nodes[5], nodes[4], nodes[:4]
    stale.stopped = True
    net.kill(dead)
    assert net.until(lambda: net.agreed(rest), 60)
    began = net.now_us
    net.go_on(stale)
    assert net.until(lambda: net.agreed(nodes[:5]), 30)
    net.run(30)
    assert not {
        what.member.name
        for node in rest
        for when, what in node.told
        if when > began and isinstance(what, MemberChanged) and what.member.is_live
    } - {stale.machine.own_name}


def long_cut_heals(sides: Sequence[int], loss: float = 0.0, seed: int = 43) -> float:
    """A cut outlasts the list of the dead, and nobody knows a seed of the other side; tells the seconds to agree."""
    net = Network(seed, loss=loss, tuning=Tuning(dead_retention_us=60 * SECOND))
    nodes = net.fleet(sum(sides), 120)
    for node in nodes:
        node.machine.joiner.seeds = []
    inside = {node.address for node in nodes[: sides[0]]}
    net.cut = lambda source, target: (source in inside) != (target in inside)
    known = {node.address: sides[0] if node.address in inside else sides[1] for node in nodes}
    assert net.until(lambda: all(len(node.machine.members()) == known[node.address] for node in nodes), 400, 1.0)
    net.run(120)
    net.cut = lambda source, target: False
    healed_us = net.now_us
    assert net.until(lambda: net.agreed(nodes), HEAL_S, 0.25)
    within_bounds(net)
    return (net.now_us - healed_us) / SECOND


def knocks_are_few() -> None:
    """However many are remembered, one is hailed a turn; who left of its own will is let be."""
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

    net.cut = cut
    net.run(100)
    # Four knock, each 4 to 6 s apart.
    assert 60 <= len(knocks) <= 4 * 100 / 4 and set(knocks) == {node.address for node in nodes[4:12]}


def incarnation_never_goes_back() -> None:
    """A liar tells of lower incarnations, of others and of oneself: whom it speaks of never counts down."""
    net = Network(45)
    nodes = net.fleet(6, 60)
    liar = Liar(net)
    highest: dict[tuple[str, str], int] = {}
    for turn in range(20):
        own = nodes[turn % 6].machine.core.members.own_record
        for lower in (1, 1 << 18):
            liar.say(nodes, MemberRecord(own.name, own.address, own.incarnation - lower, ALIVE), name=own.name)
        net.run(0.5)
        for node in nodes:
            for one in node.machine.members():
                at = node.address, one.name
                assert one.incarnation >= highest.get(at, 0), (at, one)
                highest[at] = one.incarnation
    assert net.until(lambda: net.agreed(nodes), 20)
