"""A network in virtual time between state machines: seeded loss, delay, duplication, reordering, partitions."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hophinge.cluster.actions import Action, EntryChanged, MemberChanged, SendDatagram, SteppedDown
from hophinge.cluster.interface import MemberState, Topic
from hophinge.cluster.send_budget import HEADER_BYTES
from hophinge.cluster.state_machine import MemberStateMachine

SECOND = 1_000_000
KEY = b"a key for tests only"
LATENCY_US = (200, 2_000)


class Node:
    """A process, which may be killed, or stopped and resumed with the datagrams that were received meanwhile."""

    def __init__(self, machine: MemberStateMachine, address: str) -> None:
        self.machine, self.address = machine, address
        self.alive, self.stopped = True, False
        self.received: list[tuple[str, bytes]] = []
        self.sent: list[tuple[int, int]] = []  # when, bytes with headers
        self.notifications: list[tuple[int, Action]] = []
        self.step_down_reason = ""
        self.wake_us = -1


class Network:
    """Nodes by address; `is_cut` decides whether datagrams from one address to another are lost."""

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        doubled: float = 0.0,
        latency_us: tuple[int, int] = LATENCY_US,
        keep: bool = True,
        **given: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss, self.doubled, self.latency_us, self.keep, self.given = loss, doubled, latency_us, keep, given
        self.now_us = 1_000 * SECOND
        self.nodes: dict[str, Node] = {}
        self.queue: list[tuple[int, int, str, str, bytes | None]] = []
        self.number = 0
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self.seen: list[bytes] = []
        self.counts: Counter[str] = Counter()

    def start(self, name: str, seeds: list[str], address: str = "", start: int | None = None, **given: Any) -> Node:
        """Start a process; it takes over an address that was used before."""
        address = address or f"{name}:7000"
        start = self.now_us // 100 if start is None else start
        machine = MemberStateMachine(
            name,
            address,
            start,
            seeds,
            given.pop("keys", [KEY]),
            random.Random(self.rng.random()),
            self.now_us,
            **{**self.given, **given},
        )
        node = self.nodes[address] = Node(machine, address)
        self._schedule(node)
        return node

    def fleet(self, count: int, timeout_s: float = 30.0, **given: Any) -> list[Node]:
        """Start a number of nodes with two seeds, and wait until they have converged."""
        names = [f"n{number:04}" for number in range(count)]
        seeds = [f"{name}:7000" for name in names[:2]]
        nodes = [self.start(name, seeds, **given) for name in names]
        assert self.until(lambda: self.has_converged(nodes), timeout_s), "no agreement at the start"
        return nodes

    def kill(self, node: Node) -> None:
        node.alive = False

    def resume(self, node: Node, timers_first: bool = False) -> None:
        """Resume a stopped process: with the datagrams in its socket and its timers, in the order of its loop."""
        node.stopped = False
        if timers_first:
            self._handle(node)
        for source, data in node.received:
            self._handle(node, source, data)
        node.received.clear()
        self._handle(node)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        end_us = self.now_us + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end_us:
            self._step()
        self.now_us = end_us

    def until(self, condition: Callable[[], bool], timeout_s: float, interval_s: float = 0.1) -> bool:
        """Advance the time until a condition holds; returns False on timeout."""
        end_us = self.now_us + int(timeout_s * SECOND)
        while not condition():
            if self.now_us >= end_us:
                return False
            self.run(interval_s)
        return True

    def has_converged(self, nodes: list[Node], entries: bool = True) -> bool:
        """Whether all of these nodes consider exactly each other alive, and store the same entries."""
        names = {node.machine.own_name for node in nodes}
        views = {tuple((one.name, one.incarnation) for one in node.machine.members() if one.is_live) for node in nodes}
        if len(views) != 1 or {name for name, _ in next(iter(views))} != names:
            return False
        if any(one.state is MemberState.SUSPECT for node in nodes for one in node.machine.members()):
            return False
        return not entries or len({self.entries_of(node) for node in nodes}) == 1

    @staticmethod
    def entries_of(node: Node) -> tuple[Any, ...]:
        """Return all entries that a node stores."""
        return tuple(
            sorted(
                (one.owner, one.topic.value, one.key, one.value)
                for topic in Topic
                for one in node.machine.entries(topic)
            )
        )

    def max_bytes_s(self, node: Node) -> int:
        """Return the maximum of bytes that a node sent within a second."""
        most = total = first = 0
        for when, size in node.sent:
            total += size
            while node.sent[first][0] <= when - SECOND:
                total -= node.sent[first][1]
                first += 1
            most = max(most, total)
        return most

    def send(self, source: str, target: str, data: bytes) -> None:
        """Schedule the delivery of a datagram, or lose it."""
        if self.is_cut(source, target) or self.rng.random() < self.loss:
            self.counts["lost"] += 1
            return
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            self._push(self.now_us + self.rng.randint(*self.latency_us), source, target, data)

    def _push(self, when_us: int, source: str, target: str, data: bytes | None) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when_us, self.number, source, target, data))

    def _step(self) -> None:
        self.now_us, _, source, target, data = heapq.heappop(self.queue)
        node = self.nodes.get(target)
        if node is None or not node.alive:
            return
        if node.stopped:
            if data is not None and len(node.received) < 200:
                node.received.append((source, data))
        elif data is not None or node.wake_us == self.now_us:
            self._handle(node, source, data)

    def _handle(self, node: Node, source: str = "", data: bytes | None = None) -> None:
        self.act(node, node.machine.handle(self.now_us, source, data))

    def act(self, node: Node, actions: list[Action]) -> None:
        """Perform the actions of a state machine."""
        for action in actions:
            if isinstance(action, SendDatagram):
                assert len(action.data) <= 1200
                if self.keep:
                    node.sent.append((self.now_us, len(action.data) + HEADER_BYTES))
                self.send(node.address, action.address, action.data)
            elif isinstance(action, SteppedDown):
                node.step_down_reason = action.reason
                node.alive = False
            elif isinstance(action, MemberChanged | EntryChanged) and self.keep:
                node.notifications.append((self.now_us, action))
        self._schedule(node)

    def _schedule(self, node: Node) -> None:
        when = node.machine.next_us
        if when is not None and when != node.wake_us:
            node.wake_us = max(when, self.now_us)
            self._push(node.wake_us, "", node.address, None)
