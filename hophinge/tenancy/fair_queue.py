"""Start-time fair queueing over a tree: of what waits, the flow that is least ahead of its weight leaves first.

Goyal, Vin and Cheng's start-time tags, with as many units outstanding as the depth allows (the SFQ(D) of Jin, Chase
and Kaur, made for shared storage): a flow's next item starts at the later of the flow's last finish and the virtual
time, and finishes units/weight after that. The virtual time is the start of what left last, so who has been idle gets
no credit for it, and cost depends on the flows that wait, not on those that exist.
"""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

SPARE = 16  # items that have gone, kept in a queue until their turn comes

Item = TypeVar("Item")


class Flow(Generic[Item]):
    """One child of a node: its weight and tags; `queue` holds a leaf's items, the worthiest first, then the oldest."""

    __slots__ = ("finish", "node", "queue", "start", "waiting", "weight")

    def __init__(self, weight: float, node: Node[Item] | None) -> None:
        self.weight, self.node = weight, node
        self.start = self.finish = 0.0
        self.waiting = 0
        self.queue: list[tuple[float, int, Entry[Item]]] = []


class Entry(Generic[Item]):
    """An item that waits; one that is taken out is skipped when its turn comes."""

    __slots__ = ("gone", "item", "path", "units")

    def __init__(self, item: Item, units: float, path: tuple[Flow[Item], ...]) -> None:
        self.item, self.units, self.path, self.gone = item, units, path, False


class Node(Generic[Item]):
    """A level of the tree: its flows by key, and those that wait by their start."""

    __slots__ = ("_count", "flows", "ready", "virtual")

    def __init__(self) -> None:
        self.flows: dict[str, Flow[Item]] = {}
        self.ready: list[tuple[float, int, Flow[Item]]] = []
        self.virtual = 0.0
        self._count = itertools.count()

    def flow(self, key: str, weight: float, inner: bool) -> Flow[Item]:
        """Tell a child, made if need be; a changed weight counts from its next item on."""
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) > 64 and len(self.flows) > 4 * len(self.ready):
                self._forget()
            flow = self.flows[key] = Flow(weight, Node() if inner else None)
        flow.weight = weight
        return flow

    def _forget(self) -> None:
        """Drop flows that would start at the virtual time anyway: nothing of them is remembered that counts."""
        self.flows = {key: flow for key, flow in self.flows.items() if flow.waiting or flow.finish > self.virtual}

    def wake(self, flow: Flow[Item]) -> None:
        """Let a flow wait that did not."""
        flow.start = max(self.virtual, flow.finish)
        heapq.heappush(self.ready, (flow.start, next(self._count), flow))

    def first(self) -> Flow[Item] | None:
        """Tell the flow whose turn it is; flows of which nothing waits any more leave the heap here."""
        while self.ready:
            start, _, flow = self.ready[0]
            if flow.waiting and start == flow.start:
                return flow
            heapq.heappop(self.ready)
        return None

    def served(self, flow: Flow[Item], units: float) -> None:
        """Charge the first flow for what leaves."""
        heapq.heappop(self.ready)
        self.virtual = flow.start
        flow.finish = flow.start + units / flow.weight
        if flow.waiting:
            flow.start = flow.finish
            heapq.heappush(self.ready, (flow.start, next(self._count), flow))


class Tree(Generic[Item]):
    """Two levels, tenants and their volumes, and a queue by worth in each volume."""

    def __init__(self) -> None:
        self.root: Node[Item] = Node()
        self.order = itertools.count()
        self.waiting = 0

    def put(
        self,
        item: Item,
        units: float,
        tenant: str,
        tenant_weight: float,
        volume: str,
        volume_weight: float,
        worth: float,
    ) -> Entry[Item]:
        """Let an item wait; weights and units are above 0."""
        outer = self.root.flow(tenant, tenant_weight, True)
        assert outer.node is not None
        inner = outer.node.flow(volume, volume_weight, False)
        entry = Entry(item, units, (outer, inner))
        heapq.heappush(inner.queue, (-worth, next(self.order), entry))
        for node, flow in ((outer.node, inner), (self.root, outer)):
            flow.waiting += 1
            if flow.waiting == 1:
                node.wake(flow)
        self.waiting += 1
        return entry

    def idle(self) -> None:
        """Begin anew: nothing waits and nothing that left is under way, so nobody is ahead of anybody."""
        if not self.waiting:
            self.root = Node()

    def remove(self, entry: Entry[Item]) -> None:
        """Take an item out that waits no longer."""
        if entry.gone:
            return
        self._count_out(entry)
        leaf = entry.path[-1]
        if len(leaf.queue) > 2 * leaf.waiting + SPARE:
            # Where nothing ever gets its turn, what gave up would pile up behind what never leaves.
            leaf.queue = [row for row in leaf.queue if not row[2].gone]
            heapq.heapify(leaf.queue)

    def _count_out(self, entry: Entry[Item]) -> None:
        entry.gone = True
        self.waiting -= 1
        for flow in entry.path:
            flow.waiting -= 1

    def peek(self) -> Entry[Item] | None:
        """Tell whose turn it is."""
        outer = self.root.first()
        if outer is None or outer.node is None:
            return None
        inner = outer.node.first()
        assert inner is not None, "a tenant that waits has a volume that waits"
        while inner.queue[0][2].gone:
            heapq.heappop(inner.queue)
        return inner.queue[0][2]

    def pop(self) -> Entry[Item] | None:
        """Take out whose turn it is, and charge its flows."""
        entry = self.peek()
        if entry is None:
            return None
        outer, inner = entry.path
        heapq.heappop(inner.queue)
        self._count_out(entry)
        assert outer.node is not None
        outer.node.served(inner, entry.units)
        self.root.served(outer, entry.units)
        return entry
