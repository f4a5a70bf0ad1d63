from __future__ import annotations

import pytest

from hophinge.cluster.interface import Topic
from hophinge.cluster.messages import DEAD, LEFT, SUSPECT
from hophinge.cluster.tuning import Limits
from tests import cluster_scenarios as scenarios
from tests.cluster_network import Network


@pytest.mark.parametrize(("count", "most_s", "loss"), [(3, 12, 0), (12, 20, 0), (12, 60, 0.3), (60, 25, 0)])
def test_a_death_is_found_by_all_and_nobody_else_is_held_dead(count: int, most_s: float, loss: float) -> None:
    scenarios.death_is_found(count, most_s, loss)


@pytest.mark.parametrize(("standing", "ahead"), [(SUSPECT, 0), (DEAD, 0), (LEFT, 0), (SUSPECT, 3), (DEAD, 3)])
def test_a_liar_has_no_healthy_member_held_dead(standing: int, ahead: int) -> None:
    scenarios.accused_stays(standing, ahead)


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.forged_are_overruled,
        scenarios.redirected_stays,
        scenarios.nobody_rises,
        scenarios.bound_holds,
        scenarios.sleeper_accuses_nobody,
        scenarios.taken_back_stays,
        scenarios.younger_steps_back,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_it_holds(scenario: object) -> None:
    assert callable(scenario) and scenario() is None


def test_a_name_taken_by_a_process_whose_clock_was_set_back() -> None:
    scenarios.younger_steps_back(clock_back=True)


def test_a_process_whose_clock_was_never_set_joins_and_comes_back() -> None:
    net = Network(29)
    now = 18_000_000_000_000
    nodes = [net.start(f"n{number}", ["n0:7000"], start=now + number) for number in range(4)]
    last = net.start("last", ["n0:7000"], start=0)
    assert net.until(lambda: net.agreed([*nodes, last]), 20)
    net.kill(last)
    assert net.until(lambda: net.agreed(nodes), 30)
    again = net.start("last", ["n0:7000"], start=0)
    assert net.until(lambda: net.agreed([*nodes, again]), 30)


def test_thirty_in_a_hundred_lost_doubled_and_reordered_hold_nobody_dead() -> None:
    net = Network(21)
    nodes = net.fleet(30)
    net.loss, net.doubled, net.latency_us = 0.3, 0.1, (200, 100_000)
    began = net.now_us
    net.run(90)
    assert not scenarios.held_dead(nodes, began)
    net.loss = 0
    assert net.until(lambda: net.agreed(nodes), 30)
    scenarios.within_bounds(net)


@pytest.mark.parametrize("count", [3, 20])
def test_a_split_is_seen_on_both_sides_and_heals_without_a_storm(count: int) -> None:
    net = Network(22)
    nodes = net.fleet(count)
    half = {node.address for node in nodes[: count // 3]}
    sides = [[node for node in nodes if (node.address in half) is side] for side in (True, False)]
    net.cut = lambda source, target: (source in half) != (target in half)
    assert net.until(lambda: all(net.agreed(side) for side in sides), 60)
    for node in nodes:
        node.machine.put(Topic.WEIGHTS, "w", node.address.encode() * 20)
    assert net.until(lambda: all(net.agreed(side) for side in sides), 30)
    net.cut = lambda source, target: False
    assert net.until(lambda: net.agreed(nodes), 30) and len(net.board(nodes[0])) == count
    scenarios.within_bounds(net)


def test_a_cut_one_way_ends_with_one_view_of_who_can_be_reached() -> None:
    net = Network(23)
    nodes = net.fleet(6)
    deaf = nodes[4].address
    net.cut = lambda source, target: target == deaf  # it is heard, and hears nothing
    began = net.now_us
    assert net.until(lambda: net.agreed([node for node in nodes if node.address != deaf]), 60)
    assert scenarios.held_dead([node for node in nodes if node.address != deaf], began) == {"n0004"}
    net.cut = lambda source, target: False
    assert net.until(lambda: net.agreed(nodes), 60)


def test_seven_in_ten_killed_at_once_seeds_among_them() -> None:
    net = Network(24)
    nodes = net.fleet(20)
    for node in nodes[:14]:
        net.kill(node)
    assert net.until(lambda: net.agreed(nodes[14:]), 60)
    back = [net.start(node.machine.own_name, ["n0000:7000"], address=node.address) for node in nodes[:14]]
    assert net.until(lambda: net.agreed([*back, *nodes[14:]]), 60)


def test_with_all_seeds_dead_it_serves_alone_asks_ever_less_often_and_joins_when_one_comes() -> None:
    net = Network(25)
    alone = net.start("alone", ["seed:1", "other:1"])
    alone.machine.put(Topic.DRAINS, "k", b"v")
    net.run(120)
    first = [when for when, _ in alone.sent]
    assert len(net.board(alone)) == 1 and len(first) < 40
    assert first[-1] - first[-3] > 4 * (first[4] - first[0])
    seed = net.start("seed", [], address="seed:1")
    assert net.until(lambda: net.agreed([alone, seed]), 30)


def test_probes_go_before_news_and_drains_before_popularity() -> None:
    net = Network(26, limits=Limits(bytes_s=5_000))
    nodes = net.fleet(8)
    began = net.now_us
    for node in nodes:
        for number in range(20):
            node.machine.put(Topic.POPULARITY, f"p{number}", bytes([number]) * 400)
    net.run(3)
    nodes[0].machine.put(Topic.DRAINS, "brick", b"out")
    arrived = net.until(lambda: all(any(one[1] == "drains" for one in net.board(node)) for node in nodes), 10)
    assert arrived and not net.agreed(nodes)  # popularity is still on its way
    assert net.until(lambda: net.agreed(nodes), 300)
    assert not scenarios.held_dead(nodes, began)
    scenarios.within_bounds(net)


def test_members_over_the_bound_are_not_taken() -> None:
    net = Network(27, limits=Limits(members=5))
    for number in range(9):
        net.start(f"n{number}", ["n0:7000"])
    net.run(20)
    assert all(len(node.machine.members()) == 5 for node in net.nodes.values())
    assert any(node.machine.core.counters["members_over_bound"] for node in net.nodes.values())


def test_a_leave_is_told_and_entries_of_who_left_are_not_shown() -> None:
    net = Network(28)
    nodes = net.fleet(5)
    nodes[1].machine.put(Topic.DRAINS, "k", b"v")
    assert net.until(lambda: all(len(net.board(node)) == 1 for node in nodes), 10)
    net.act(nodes[1], nodes[1].machine.leave(net.now_us))
    rest = [node for node in nodes if node is not nodes[1]]
    assert net.until(lambda: net.agreed(rest), 5) and not net.board(nodes[0])
    assert {one.state.value for node in rest for one in node.machine.members() if one.name == "n0001"} == {"left"}
    assert nodes[1].machine.next_us is None
