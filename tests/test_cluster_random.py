"""Random faults and messages between members: afterwards live members converge within the documented time."""

from __future__ import annotations

import contextlib

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from hophinge.cluster.errors import EntryRefusedError
from hophinge.cluster.interface import Topic
from hophinge.cluster.tuning import Limits
from tests.cluster_network import SECOND, Network, Node
from tests.cluster_scenarios import ByzantineMember, assert_byte_limit

AGREE_S = 60  # after the last fault, as docs/design/cluster.md states
NAMES = [f"n{number}" for number in range(6)]
SEEDS = ("n0:7000", "n1:7000")


class Faults(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32), bytes_s=st.sampled_from([4_000, 20_000]))
    def begin(self, seed: int, bytes_s: int) -> None:
        self.net = Network(seed, limits=Limits(bytes_s=bytes_s, entries=20))
        self.homes = dict.fromkeys(NAMES, 0)
        self.cuts: set[tuple[str, str]] = set()
        self.liar = ByzantineMember(self.net)
        self.net.is_cut = lambda source, target: (source, target) in self.cuts
        for name in NAMES:
            self.start(name, False, 0)

    def node(self, name: str) -> Node:
        return self.net.nodes[f"{name}:{7000 + self.homes[name]}"]

    @rule(name=st.sampled_from(NAMES), moves=st.booleans(), clock=st.sampled_from([0, -3600, 3600]))
    def start(self, name: str, moves: bool, clock: int) -> None:
        """Restart a dead member, perhaps at another address, perhaps with its clock an hour off."""
        if f"{name}:{7000 + self.homes[name]}" in self.net.nodes:
            if self.node(name).alive:
                return
            self.homes[name] += moves
        address = f"{name}:{7000 + self.homes[name]}"
        self.net.start(
            name,
            list(SEEDS),
            address=address,
            start=(self.net.now_us + clock * SECOND) // 100 if self.net.now_us + clock * SECOND > 0 else 7,
        )

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.net.kill(self.node(name))

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name: str) -> None:
        self.node(name).stopped = True

    @rule(name=st.sampled_from(NAMES))
    def go_on(self, name: str) -> None:
        if self.node(name).stopped and self.node(name).alive:
            self.net.resume(self.node(name))

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES), both=st.booleans())
    def cut(self, one: str, other: str, both: bool) -> None:
        pairs = {(self.node(one).address, self.node(other).address)}
        self.cuts |= pairs | {(there, here) for here, there in pairs if both}

    @rule(alone=st.sets(st.sampled_from(NAMES), max_size=3))
    def split(self, alone: set[str]) -> None:
        inside = {self.node(name).address for name in alone}
        self.cuts = {
            (one, other) for one in self.net.nodes for other in self.net.nodes if (one in inside) != (other in inside)
        }

    @rule(loss=st.sampled_from([0.0, 0.3]), doubled=st.sampled_from([0.0, 0.2]), latest_us=st.sampled_from([2, 150]))
    def weather(self, loss: float, doubled: float, latest_us: int) -> None:
        self.net.loss, self.net.doubled, self.net.latency_us = loss, doubled, (200, latest_us * 1_000)

    @rule(name=st.sampled_from(NAMES), topic=st.sampled_from(Topic), key=st.sampled_from("abc"), drop=st.booleans())
    def publish(self, name: str, topic: Topic, key: str, drop: bool) -> None:
        machine = self.node(name).machine
        with contextlib.suppress(EntryRefusedError):
            if drop:
                machine.delete(topic, key)
            else:
                machine.put(topic, key, self.net.rng.randbytes(200))

    @rule(name=st.sampled_from(NAMES), standing=st.integers(0, 3), ahead=st.integers(0, 2))
    def lie(self, name: str, standing: int, ahead: int) -> None:
        own = self.node(name).machine.core.members.own_record
        self.liar.send(
            list(self.net.nodes.values()),
            own.__class__(name, own.address, own.incarnation + ahead, standing, accuser="liar"),
        )

    @rule(length=st.sampled_from([0.3, 2.0, 10.0, 30.0]))
    def wait(self, length: float) -> None:
        self.net.run(length)

    def serve_a_seed(self) -> None:
        """Have a member at an address of the seeds: where none is there, its page has operators mend `seeds`."""
        seeds = [node for address, node in self.net.nodes.items() if address in SEEDS]
        if any(node.alive for node in seeds):
            return
        if self.node("n0").alive:
            self.net.kill(self.node("n0"))
        self.homes["n0"] = 0
        self.start("n0", False, 0)

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        self.cuts.clear()
        self.weather(0.0, 0.0, 2)
        for name in NAMES:
            self.go_on(name)
        self.serve_a_seed()
        live = [self.node(name) for name in NAMES if self.node(name).alive]
        assert not any(node.step_down_reason for node in live)
        assert self.net.until(lambda: self.net.has_converged(live), AGREE_S, 0.5), {
            node.machine.own_name: [(one.name, one.state.value, one.incarnation) for one in node.machine.members()]
            for node in live
        }
        for node in live:  # its own entries are those that it published, whatever others have sent
            mine = {
                (one.topic, one.key, one.value)
                for topic in Topic
                for one in node.machine.entries(topic)
                if one.owner == node.machine.own_name
            }
            assert mine == {
                (Topic(topic), key, value)
                for owner, topic, key, value in self.net.entries_of(live[0])
                if owner == node.machine.own_name
            }
        assert_byte_limit(self.net)


Faults.TestCase.settings = settings(max_examples=40, stateful_step_count=30, deadline=None, derandomize=True)
TestFaults = Faults.TestCase
