"""A network in virtual time between machines: seeded loss, delay, doubling, reordering, cuts one way and both."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from hophinge.cluster.actions import Action, MemberChanged, SendDatagram, SteppedDown, EntryChanged
from hophinge.cluster.send_budget import HEADER_BYTES
from hophinge.cluster.interface import MemberState, Topic
from hophinge.cluster.state_machine import MemberStateMachine

SECOND = 1_000_000
KEY = b"a key for tests only"
LATENCY_US = (200, 2_000)


class Node:
    """A process: it may be killed, or stopped and go on with what has come meanwhile."""

    def __init__(self, machine: MemberStateMachine, address: str) -> None:
        self.machine, self.address = machine, address
        self.alive, self.stopped = True, False
        self.waiting: list[tuple[str, bytes]] = []
        self.sent: list[tuple[int, int]] = []  # when, bytes with headers
        self.told: list[tuple[int, Action]] = []
        self.why = ""
        self.wake_us = -1


class Network:
    """Nodes by address; `cut` tells whether a datagram from one address to another is lost for sure."""

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
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.seen: list[bytes] = []
        self.counts: Counter[str] = Counter()

    def start(self, name: str, seeds: list[str], address: str = "", start: int | None = None, **given: Any) -> Node:
        """Start a process; one under an address that was used takes it over."""
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

    def fleet(self, count: int, settle_s: float = 30.0, **given: Any) -> list[Node]:
        """Start so many with two seeds, and wait until they agree."""
        names = [f"n{number:04}" for number in range(count)]
        seeds = [f"{name}:7000" for name in names[:2]]
        nodes = [self.start(name, seeds, **given) for name in names]
        assert self.until(lambda: self.agreed(nodes), settle_s), "no agreement at the start"
        return nodes

    def kill(self, node: Node) -> None:
        node.alive = False

    def go_on(self, node: Node, timers_first: bool = False) -> None:
        """Let a stopped process go on: with what its socket holds and with its timers, in the order of its loop."""
        node.stopped = False
        if timers_first:
            self._handle(node)
        for source, data in node.waiting:
            self._handle(node, source, data)
        node.waiting.clear()
        self._handle(node)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_us = self.now_us + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end_us:
            self._step()
        self.now_us = end_us

    def until(self, state: Callable[[], bool], most_s: float, look_s: float = 0.1) -> bool:
        """Let time pass until a state is reached."""
        end_us = self.now_us + int(most_s * SECOND)
        while not state():
            if self.now_us >= end_us:
                return False
            self.run(look_s)
        return True

    def agreed(self, nodes: list[Node], entries: bool = True) -> bool:
        """Tell whether all of these hold exactly each other alive, and the same entries."""
        names = {node.machine.own_name for node in nodes}
        views = {tuple((one.name, one.incarnation) for one in node.machine.members() if one.is_live) for node in nodes}
        if len(views) != 1 or {name for name, _ in next(iter(views))} != names:
            return False
        if any(one.state is MemberState.SUSPECT for node in nodes for one in node.machine.members()):
            return False
        return not entries or len({self.board(node) for node in nodes}) == 1

    @staticmethod
    def board(node: Node) -> tuple[Any, ...]:
        """Tell all entries that a node shows."""
        return tuple(
            sorted(
                (one.owner, one.topic.value, one.key, one.value)
                for topic in Topic
                for one in node.machine.entries(topic)
            )
        )

    def most_bytes(self, node: Node) -> int:
        """Tell the most bytes that a node sent in any second."""
        most = total = first = 0
        for when, size in node.sent:
            total += size
            while node.sent[first][0] <= when - SECOND:
                total -= node.sent[first][1]
                first += 1
            most = max(most, total)
        return most

    def send(self, source: str, target: str, data: bytes) -> None:
        """Put a datagram on its way."""
        if self.cut(source, target) or self.rng.random() < self.loss:
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
            if data is not None and len(node.waiting) < 200:
                node.waiting.append((source, data))
        elif data is not None or node.wake_us == self.now_us:
            self._handle(node, source, data)

    def _handle(self, node: Node, source: str = "", data: bytes | None = None) -> None:
        self.act(node, node.machine.handle(self.now_us, source, data))

    def act(self, node: Node, actions: list[Action]) -> None:
        """Carry out what a machine asks for."""
        for action in actions:
            if isinstance(action, SendDatagram):
                assert len(action.data) <= 1200
                if self.keep:
                    node.sent.append((self.now_us, len(action.data) + HEADER_BYTES))
                self.send(node.address, action.address, action.data)
            elif isinstance(action, SteppedDown):
                node.why = action.reason
                node.alive = False
            elif isinstance(action, MemberChanged | EntryChanged) and self.keep:
                node.told.append((self.now_us, action))
        self._schedule(node)

    def _schedule(self, node: Node) -> None:
        when = node.machine.next_us
        if when is not None and when != node.wake_us:
            node.wake_us = max(when, self.now_us)
            self._push(node.wake_us, "", node.address, None)
