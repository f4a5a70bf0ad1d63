"""Tests of the fair queue: proportions by weight, and random steps against a linear scan."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.tenancy.fair_queue import FairQueue, QueueEntry
from tests.tenancy_model import jain_index


@settings(max_examples=60)
@given(st.lists(st.floats(0.5, 8.0), min_size=2, max_size=6), st.integers(0, 2**32))
def test_items_leave_in_proportion_to_weights(weights: list[float], seed: int) -> None:
    rng, fair_queue, served = random.Random(seed), FairQueue[str](), dict.fromkeys(map(str, range(len(weights))), 0.0)

    def fill(name: str) -> None:
        fair_queue.enqueue(name, rng.uniform(0.5, 8.0), name, weights[int(name)], "v", 1.0, 1.0)

    for name in served:
        fill(name)
        fill(name)
    for _ in range(400 * len(weights)):
        entry = fair_queue.pop()
        assert entry is not None
        served[entry.item] += entry.units
        fill(entry.item)
    assert jain_index([served[name] / weights[int(name)] for name in served]) > 0.98


class LinearScan:
    """A reference model of the fair queue that scans all flows at each step: slow, but simple."""

    def __init__(self) -> None:
        self.virtual_time: dict[str, float] = {"": 0.0}
        self.finish_tags: dict[str, float] = {}
        self.start_tags: dict[str, float] = {}
        self.queues: dict[str, list[tuple[float, int, str, float]]] = {}
        self.weights: dict[str, float] = {}
        self.count = itertools.count()

    def has_queued_items(self, key: str) -> bool:
        return any(queue and (name == key or name.startswith(key + "/")) for name, queue in self.queues.items())

    def put(
        self, item: str, units: float, tenant: str, volume: str, priority: float, weights: tuple[float, float]
    ) -> None:
        path = tenant, f"{tenant}/{volume}"
        was_active = [self.has_queued_items(key) for key in path]
        self.queues.setdefault(path[1], []).append((-priority, next(self.count), item, units))
        for key, parent, was_queued, weight in zip(
            path[::-1], (tenant, ""), was_active[::-1], weights[::-1], strict=True
        ):
            self.weights[key] = weight
            if not was_queued:
                self.start_tags[key] = max(self.virtual_time.setdefault(parent, 0.0), self.finish_tags.get(key, 0.0))

    def remove(self, item: str) -> None:
        for queue in self.queues.values():
            queue[:] = [row for row in queue if row[2] != item]

    def is_empty(self) -> bool:
        return not any(self.queues.values())

    def pop(self, item: str) -> None:
        """Check that an item may leave now, and remove it; flows with equal start tags may leave in any order."""
        volume = next(name for name, queue in self.queues.items() if any(row[2] == item for row in queue))
        tenant = volume.partition("/")[0]
        tenants = [key for key in self.start_tags if "/" not in key and self.has_queued_items(key)]
        volumes = [key for key in self.start_tags if key.startswith(tenant + "/") and self.queues[key]]
        row = min(self.queues[volume])
        assert self.start_tags[tenant] == min(self.start_tags[key] for key in tenants)
        assert self.start_tags[volume] == min(self.start_tags[key] for key in volumes)
        assert row[2] == item
        self.queues[volume].remove(row)
        for key, parent in ((volume, tenant), (tenant, "")):
            self.virtual_time[parent] = self.start_tags[key]
            self.finish_tags[key] = self.start_tags[key] + row[3] / self.weights[key]
            if self.has_queued_items(key):
                self.start_tags[key] = self.finish_tags[key]


@settings(max_examples=200)
@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.just("put"),
                st.integers(0, 2),
                st.integers(0, 2),
                st.sampled_from([1.0, 2.0, 3.0]),
                st.sampled_from([1.0, 2.0, 5.0]),
            ),
            st.tuples(st.sampled_from(["pop", "remove"]), st.integers(0, 9), st.just(0), st.just(1.0), st.just(1.0)),
        ),
        max_size=60,
    )
)
def test_the_fair_queue_agrees_with_a_linear_scan(steps: list[tuple[str, int, int, float, float]]) -> None:
    fair_queue, scan, entries = FairQueue[str](), LinearScan(), dict[str, QueueEntry[str]]()
    for step, (kind, tenant, volume, priority, units) in enumerate(steps):
        if kind == "put":
            name, weights = f"i{step}", (1.0 + tenant, 1.0 + volume)
            entries[name] = fair_queue.enqueue(
                name, units, f"t{tenant}", weights[0], f"v{volume}", weights[1], priority
            )
            scan.put(name, units, f"t{tenant}", f"v{volume}", priority, weights)
        elif kind == "remove" and entries:
            name = sorted(entries)[tenant % len(entries)]
            fair_queue.remove(entries.pop(name))
            scan.remove(name)
        elif kind == "pop":
            entry = fair_queue.pop()
            assert (entry is None) == scan.is_empty()
            if entry:
                scan.pop(entry.item)
                del entries[entry.item]
        assert fair_queue.queued_items == len(entries)


def test_an_idle_flow_gets_no_credit_for_idle_time() -> None:
    fair_queue = FairQueue[str]()
    for _ in range(100):
        fair_queue.enqueue("busy", 1.0, "busy", 1.0, "v", 1.0, 1.0)
    for _ in range(50):
        fair_queue.pop()
    for _ in range(20):
        fair_queue.enqueue("late", 1.0, "late", 1.0, "v", 1.0, 1.0)
    first = Counter(entry.item for _ in range(20) if (entry := fair_queue.pop()))
    assert abs(first["late"] - first["busy"]) <= 1


def test_finished_flows_and_removed_items_are_dropped() -> None:
    fair_queue = FairQueue[int]()
    for index in range(5000):
        fair_queue.enqueue(index, 1.0, f"t{index}", 1.0, "v", 1.0, 1.0)
        fair_queue.pop()
        if index % 100 == 99:
            fair_queue.reset_if_empty()
        assert len(fair_queue.root.flows) <= 100
    for index in range(5000):
        fair_queue.remove(fair_queue.enqueue(index, 1.0, "t", 1.0, "v", 1.0, 1.0))
    outer = fair_queue.root.flows["t"]
    assert outer.node is not None and len(outer.node.flows["v"].queue) < 50
