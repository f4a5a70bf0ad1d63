"""Hierarchical start-time fair queueing: the flow whose next item has the lowest start tag is served first.

It uses the start-time tags of Goyal, Vin and Cheng, with as many units outstanding as a depth allows: the SFQ(D) that
Jin, Chase and Kaur made for shared storage. The start tag of a flow's next item is the later of the flow's last finish
tag and the virtual time; its finish tag is units/weight after that. The virtual time is the start tag of the last item
that left. A flow therefore gets no credit for idle time, and the cost depends on the number of flows with queued items,
not on the number of all flows.
"""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

MAX_REMOVED_ENTRIES = 16  # removed items that a leaf's queue may keep, in addition to one per queued item
MIN_FLOWS_TO_SWEEP = 64  # number of flows of a node up to which idle flows are not dropped
IDLE_FLOWS_RATIO = 4  # flows per flow with queued items, above which idle flows are dropped

Item = TypeVar("Item")


class Flow(Generic[Item]):
    """A child of a node: its weight and tags; at a leaf, `queue` holds the items by priority, then by age."""

    __slots__ = ("finish_tag", "node", "queue", "start_tag", "queued_items", "weight")

    def __init__(self, weight: float, node: Node[Item] | None) -> None:
        self.weight = weight
        self.node = node  # the next lower level; None at a leaf
        self.start_tag = 0.0  # of the first queued item, in virtual time
        self.finish_tag = 0.0  # of the last item that left
        self.queued_items = 0
        self.queue: list[tuple[float, int, QueueEntry[Item]]] = []


class QueueEntry(Generic[Item]):
    """A queued item; a removed one is skipped when it reaches the front."""

    __slots__ = ("is_removed", "item", "path", "units")

    def __init__(self, item: Item, units: float, path: tuple[Flow[Item], ...]) -> None:
        self.item = item
        self.units = units
        self.path = path  # the flows from the root to the leaf
        self.is_removed = False


class Node(Generic[Item]):
    """An inner node of the tree: its flows by key, and a heap by start tag of the flows with queued items."""

    __slots__ = ("_count", "active", "flows", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, Flow[Item]] = {}
        self.active: list[tuple[float, int, Flow[Item]]] = []
        self.virtual_time = 0.0
        self._count = itertools.count()

    def flow(self, key: str, weight: float, inner: bool) -> Flow[Item]:
        """Return a child, creating it if needed; a changed weight applies from its next charged item on."""
        flow = self.flows.get(key)
        if flow is None:
            if len(self.flows) > MIN_FLOWS_TO_SWEEP and len(self.flows) > IDLE_FLOWS_RATIO * len(self.active):
                self._drop_idle_flows()
            flow = self.flows[key] = Flow(weight, Node() if inner else None)
        flow.weight = weight
        return flow

    def _drop_idle_flows(self) -> None:
        """Drop idle flows whose next item would start at the virtual time, as that of a new flow does."""
        self.flows = {
            key: flow for key, flow in self.flows.items() if flow.queued_items or flow.finish_tag > self.virtual_time
        }

    def activate(self, flow: Flow[Item]) -> None:
        """Add a flow, which had no queued items until now, to the heap."""
        flow.start_tag = max(self.virtual_time, flow.finish_tag)
        heapq.heappush(self.active, (flow.start_tag, next(self._count), flow))

    def next_flow(self) -> Flow[Item] | None:
        """Return the flow to serve next, None if there is none; drops flows without queued items from the heap."""
        while self.active:
            start, _, flow = self.active[0]
            if flow.queued_items and start == flow.start_tag:
                return flow
            heapq.heappop(self.active)
        return None

    def charge(self, flow: Flow[Item], units: float) -> None:
        """Charge the first flow of the heap for an item that leaves."""
        heapq.heappop(self.active)
        self.virtual_time = flow.start_tag
        flow.finish_tag = flow.start_tag + units / flow.weight
        if flow.queued_items:
            flow.start_tag = flow.finish_tag
            heapq.heappush(self.active, (flow.start_tag, next(self._count), flow))


class FairQueue(Generic[Item]):
    """A fair queue with two levels, tenants and their volumes, and a priority queue for each volume."""

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
        """Add an item; weights and units must be greater than 0."""
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
        """Discard all flows and tags if nothing is queued; to be called only when nothing is in flight either."""
        if not self.queued_items:
            self.root = Node()

    def remove(self, entry: QueueEntry[Item]) -> None:
        """Remove a queued item; ignored if it has already left."""
        if entry.is_removed:
            return
        self._detach(entry)
        leaf = entry.path[-1]
        if len(leaf.queue) > 2 * leaf.queued_items + MAX_REMOVED_ENTRIES:
            # Removed items would accumulate without bound if the first item never left.
            leaf.queue = [row for row in leaf.queue if not row[2].is_removed]
            heapq.heapify(leaf.queue)

    def _detach(self, entry: QueueEntry[Item]) -> None:
        entry.is_removed = True
        self.queued_items -= 1
        for flow in entry.path:
            flow.queued_items -= 1

    def peek(self) -> QueueEntry[Item] | None:
        """Return the entry to serve next, or None if nothing is queued."""
        outer = self.root.next_flow()
        if outer is None or outer.node is None:
            return None
        inner = outer.node.next_flow()
        assert inner is not None, "a tenant with queued items has a volume with queued items"
        while inner.queue[0][2].is_removed:
            heapq.heappop(inner.queue)
        return inner.queue[0][2]

    def pop(self) -> QueueEntry[Item] | None:
        """Remove the entry to serve next, charge its flows, and return it; None if nothing is queued."""
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
