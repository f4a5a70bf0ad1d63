"""Start-time fair queueing over a tree: of the flows with queued items, the one least ahead of its weight is first.

Goyal, Vin and Cheng's start-time tags, with as many units outstanding as the depth allows (the SFQ(D) of Jin, Chase
and Kaur, made for shared storage): a flow's next item starts at the later of the flow's last finish and the virtual
time, and finishes units/weight after that. The virtual time is the start of what left last, so a flow gets no credit
for having been idle, and the cost depends on the flows with queued items, not on those that exist.
"""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

MAX_REMOVED_ENTRIES = 16  # removed items that a leaf's queue may keep until their turn comes
MIN_FLOWS_TO_SWEEP = 64  # flows of a level below which idle ones are not dropped
IDLE_FLOWS_RATIO = 4  # flows for each one with queued items, above which idle ones are dropped

Item = TypeVar("Item")


class Flow(Generic[Item]):
    """One child of a node: its weight and tags; `queue` holds a leaf's items by priority, then by age."""

    __slots__ = ("finish_tag", "node", "queue", "start_tag", "queued_items", "weight")

    def __init__(self, weight: float, node: Node[Item] | None) -> None:
        self.weight = weight
        self.node = node  # the level below; None at a leaf
        self.start_tag = 0.0  # of the first queued item, in virtual time
        self.finish_tag = 0.0  # of the last item that left
        self.queued_items = 0
        self.queue: list[tuple[float, int, QueueEntry[Item]]] = []


class QueueEntry(Generic[Item]):
    """A queued item; one that is removed is skipped when its turn comes."""

    __slots__ = ("is_removed", "item", "path", "units")

    def __init__(self, item: Item, units: float, path: tuple[Flow[Item], ...]) -> None:
        self.item = item
        self.units = units
        self.path = path  # its flows, from the root to the leaf
        self.is_removed = False


class Node(Generic[Item]):
    """A level of the tree: its flows by key, and a heap of those with queued items by their start tag."""

    __slots__ = ("_count", "active", "flows", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, Flow[Item]] = {}
        self.active: list[tuple[float, int, Flow[Item]]] = []
        self.virtual_time = 0.0
        self._count = itertools.count()

    def flow(self, key: str, weight: float, inner: bool) -> Flow[Item]:
        """Return a child, created where it is new; a changed weight counts from its next item on."""
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) > MIN_FLOWS_TO_SWEEP and len(self.flows) > IDLE_FLOWS_RATIO * len(self.active):
                self._drop_idle_flows()
            flow = self.flows[key] = Flow(weight, Node() if inner else None)
        flow.weight = weight
        return flow

    def _drop_idle_flows(self) -> None:
        """Drop flows that would start at the virtual time anyway, as new ones do."""
        self.flows = {
            key: flow for key, flow in self.flows.items() if flow.queued_items or flow.finish_tag > self.virtual_time
        }

    def activate(self, flow: Flow[Item]) -> None:
        """Add a flow that had no queued item to the heap."""
        flow.start_tag = max(self.virtual_time, flow.finish_tag)
        heapq.heappush(self.active, (flow.start_tag, next(self._count), flow))

    def next_flow(self) -> Flow[Item] | None:
        """Return the flow whose turn it is; flows without queued items leave the heap here."""
        while self.active:
            start, _, flow = self.active[0]
            if flow.queued_items and start == flow.start_tag:
                return flow
            heapq.heappop(self.active)
        return None

    def charge(self, flow: Flow[Item], units: float) -> None:
        """Charge the first flow for an item that leaves."""
        heapq.heappop(self.active)
        self.virtual_time = flow.start_tag
        flow.finish_tag = flow.start_tag + units / flow.weight
        if flow.queued_items:
            flow.start_tag = flow.finish_tag
            heapq.heappush(self.active, (flow.start_tag, next(self._count), flow))


class FairQueue(Generic[Item]):
    """Two levels, tenants and their volumes, and a queue by priority in each volume."""

    def __init__(self) -> None:
        self.root: Node[Item] = Node()
        self.sequence = itertools.count()
        self.queued_items = 0

    def enqueue(
        self,
        item: Item,
        units: float,
        tenant: str,
        tenant_weight: float,
        volume: str,
        volume_weight: float,
        priority: float,
    ) -> QueueEntry[Item]:
        """Add an item; weights and units are above 0."""
        outer = self.root.flow(tenant, tenant_weight, True)
        assert outer.node is not None
        inner = outer.node.flow(volume, volume_weight, False)
        entry = QueueEntry(item, units, (outer, inner))
        heapq.heappush(inner.queue, (-priority, next(self.sequence), entry))
        for node, flow in ((outer.node, inner), (self.root, outer)):
            flow.queued_items += 1
            if flow.queued_items == 1:
                node.activate(flow)
        self.queued_items += 1
        return entry

    def reset_if_empty(self) -> None:
        """Forget all tags where nothing is queued; its caller knows that nothing is in flight either."""
        if not self.queued_items:
            self.root = Node()

    def remove(self, entry: QueueEntry[Item]) -> None:
        """Remove an item that is queued no longer; one that has left already is ignored."""
        if entry.is_removed:
            return
        self._detach(entry)
        leaf = entry.path[-1]
        if len(leaf.queue) > 2 * leaf.queued_items + MAX_REMOVED_ENTRIES:
            # Where no item ever gets its turn, removed ones would pile up behind it.
            leaf.queue = [row for row in leaf.queue if not row[2].is_removed]
            heapq.heapify(leaf.queue)

    def _detach(self, entry: QueueEntry[Item]) -> None:
        entry.is_removed = True
        self.queued_items -= 1
        for flow in entry.path:
            flow.queued_items -= 1

    def peek(self) -> QueueEntry[Item] | None:
        """Return the entry whose turn it is, or None where nothing is queued."""
        outer = self.root.next_flow()
        if outer is None or outer.node is None:
            return None
        inner = outer.node.next_flow()
        assert inner is not None, "a tenant with queued items has a volume with queued items"
        while inner.queue[0][2].is_removed:
            heapq.heappop(inner.queue)
        return inner.queue[0][2]

    def pop(self) -> QueueEntry[Item] | None:
        """Remove the entry whose turn it is, charge its flows, and return it."""
        entry = self.peek()
        if entry is None:
            return None
        outer, inner = entry.path
        heapq.heappop(inner.queue)
        self._detach(entry)
        assert outer.node is not None
        outer.node.charge(inner, entry.units)
        self.root.charge(outer, entry.units)
        return entry
