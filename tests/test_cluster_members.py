from __future__ import annotations

import pytest

from hophinge.cluster.interface import Topic
from hophinge.cluster.messages import DEAD, LEFT, SUSPECT
from hophinge.cluster.tuning import Limits
from tests import cluster_scenarios as scenarios
from tests.cluster_network import Network


@pytest.mark.parametrize(("count", "most_s", "loss"), [(3, 12, 0), (12, 20, 0), (12, 60, 0.3), (60, 25, 0)])
def test_a_death_is_detected_by_all_and_no_other_member_is_declared_dead(
    count: int, most_s: float, loss: float
) -> None:
    scenarios.death_is_detected(count, most_s, loss)


@pytest.mark.parametrize(("standing", "ahead"), [(SUSPECT, 0), (DEAD, 0), (LEFT, 0), (SUSPECT, 3), (DEAD, 3)])
def test_a_byzantine_member_has_no_healthy_member_declared_dead(standing: int, ahead: int) -> None:
    scenarios.falsely_suspected_member_stays(standing, ahead)


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.forged_entries_are_superseded,
        scenarios.redirected_member_stays,
        scenarios.forgotten_member_is_not_revived,
        scenarios.byte_limit_holds,
        scenarios.stalled_member_suspects_nobody,
        scenarios.deleted_entry_stays_deleted,
        scenarios.younger_process_steps_down,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_it_holds(scenario: object) -> None:
    assert callable(scenario) and scenario() is None


def test_a_name_is_taken_over_by_a_process_whose_clock_was_set_back() -> None:
    scenarios.younger_process_steps_down(clock_back=True)


def test_a_process_whose_clock_was_never_set_joins_and_rejoins() -> None:
    net = Network(29)
    now = 18_000_000_000_000
    nodes = [net.start(f"n{number}", ["n0:7000"], start=now + number) for number in range(4)]
    last = net.start("last", ["n0:7000"], start=0)
    assert net.until(lambda: net.has_converged([*nodes, last]), 20)
    net.kill(last)
    assert net.until(lambda: net.has_converged(nodes), 30)
    again = net.start("last", ["n0:7000"], start=0)
    assert net.until(lambda: net.has_converged([*nodes, again]), 30)


def test_nobody_is_declared_dead_at_thirty_percent_loss_with_duplicates_and_reordering() -> None:
    net = Network(21)
    nodes = net.fleet(30)
    net.loss, net.doubled, net.latency_us = 0.3, 0.1, (200, 100_000)
    began = net.now_us
    net.run(90)
    assert not scenarios.declared_dead(nodes, began)
    net.loss = 0
    assert net.until(lambda: net.has_converged(nodes), 30)
    scenarios.assert_byte_limit(net)


@pytest.mark.parametrize("count", [3, 20])
def test_a_partition_is_detected_on_both_sides_and_heals_without_a_storm(count: int) -> None:
    net = Network(22)
    nodes = net.fleet(count)
    half = {node.address for node in nodes[: count // 3]}
    sides = [[node for node in nodes if (node.address in half) is side] for side in (True, False)]
    net.is_cut = lambda source, target: (source in half) != (target in half)
    assert net.until(lambda: all(net.has_converged(side) for side in sides), 60)
    for node in nodes:
        node.machine.put(Topic.WEIGHTS, "w", node.address.encode() * 20)
    assert net.until(lambda: all(net.has_converged(side) for side in sides), 30)
    net.is_cut = lambda source, target: False
    assert net.until(lambda: net.has_converged(nodes), 30) and len(net.entries_of(nodes[0])) == count
    scenarios.assert_byte_limit(net)


def test_a_one_way_partition_converges_to_one_view_of_reachable_members() -> None:
    net = Network(23)
    nodes = net.fleet(6)
    deaf = nodes[4].address
    net.is_cut = lambda source, target: target == deaf  # it sends, and receives nothing
    began = net.now_us
    assert net.until(lambda: net.has_converged([node for node in nodes if node.address != deaf]), 60)
    assert scenarios.declared_dead([node for node in nodes if node.address != deaf], began) == {"n0004"}
    net.is_cut = lambda source, target: False
    assert net.until(lambda: net.has_converged(nodes), 60)


def test_seven_in_ten_killed_at_once_seeds_among_them() -> None:
    net = Network(24)
    nodes = net.fleet(20)
    for node in nodes[:14]:
        net.kill(node)
    assert net.until(lambda: net.has_converged(nodes[14:]), 60)
    back = [net.start(node.machine.own_name, ["n0000:7000"], address=node.address) for node in nodes[:14]]
    assert net.until(lambda: net.has_converged([*back, *nodes[14:]]), 60)


def test_without_seeds_a_member_runs_alone_backs_off_and_joins_a_seed_that_starts() -> None:
    net = Network(25)
    alone = net.start("alone", ["seed:1", "other:1"])
    alone.machine.put(Topic.DRAINS, "k", b"v")
    net.run(120)
    first = [when for when, _ in alone.sent]
    assert len(net.entries_of(alone)) == 1 and len(first) < 40
    assert first[-1] - first[-3] > 4 * (first[4] - first[0])
    seed = net.start("seed", [], address="seed:1")
    assert net.until(lambda: net.has_converged([alone, seed]), 30)


def test_probes_have_priority_over_updates_and_drains_over_popularity() -> None:
    net = Network(26, limits=Limits(bytes_s=5_000))
    nodes = net.fleet(8)
    began = net.now_us
    for node in nodes:
        for number in range(20):
            node.machine.put(Topic.POPULARITY, f"p{number}", bytes([number]) * 400)
    net.run(3)
    nodes[0].machine.put(Topic.DRAINS, "brick", b"out")
    arrived = net.until(lambda: all(any(one[1] == "drains" for one in net.entries_of(node)) for node in nodes), 10)
    assert arrived and not net.has_converged(nodes)  # popularity is not replicated yet
    assert net.until(lambda: net.has_converged(nodes), 300)
    assert not scenarios.declared_dead(nodes, began)
    scenarios.assert_byte_limit(net)


def test_members_beyond_the_limit_are_not_tracked() -> None:
    net = Network(27, limits=Limits(members=5))
    for number in range(9):
        net.start(f"n{number}", ["n0:7000"])
    net.run(20)
    assert all(len(node.machine.members()) == 5 for node in net.nodes.values())
    assert any(node.machine.core.counters["members_over_bound"] for node in net.nodes.values())


def test_a_leave_is_announced_and_hides_the_entries_of_that_member() -> None:
    net = Network(28)
    nodes = net.fleet(5)
    nodes[1].machine.put(Topic.DRAINS, "k", b"v")
    assert net.until(lambda: all(len(net.entries_of(node)) == 1 for node in nodes), 10)
    net.act(nodes[1], nodes[1].machine.leave(net.now_us))
    rest = [node for node in nodes if node is not nodes[1]]
    assert net.until(lambda: net.has_converged(rest), 5) and not net.entries_of(nodes[0])
    assert {one.state.value for node in rest for one in node.machine.members() if one.name == "n0001"} == {"left"}
    assert nodes[1].machine.next_us is None
