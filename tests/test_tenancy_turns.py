"""Turns by weight and reserves by random steps, against what is plainly right."""

from __future__ import annotations

import itertools
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.tenancy.fair_queue import QueueEntry, FairQueue
from hophinge.tenancy.reserve import Reserve
from tests.tenancy_model import MS, S, jain


@settings(max_examples=60)
@given(st.lists(st.floats(0.5, 8.0), min_size=2, max_size=6), st.integers(0, 2**32))
def test_what_waits_leaves_in_proportion_to_weights(weights: list[float], seed: int) -> None:
    rng, tree, got = random.Random(seed), FairQueue[str](), dict.fromkeys(map(str, range(len(weights))), 0.0)

    def fill(name: str) -> None:
        tree.enqueue(name, rng.uniform(0.5, 8.0), name, weights[int(name)], "v", 1.0, 1.0)

    for name in got:
        fill(name)
        fill(name)
    for _ in range(400 * len(weights)):
        entry = tree.pop()
        assert entry is not None
        got[entry.item] += entry.units
        fill(entry.item)
    assert jain([got[name] / weights[int(name)] for name in got]) > 0.98


class Plain:
    """The same discipline by scanning everything at each step: slow, and plainly right."""

    def __init__(self) -> None:
        self.virtual: dict[str, float] = {"": 0.0}
        self.finish: dict[str, float] = {}
        self.start: dict[str, float] = {}
        self.woke: dict[str, int] = {}
        self.queues: dict[str, list[tuple[float, int, str, float]]] = {}
        self.weights: dict[str, float] = {}
        self.count = itertools.count()

    def waiting(self, key: str) -> bool:
        return any(queue and (name == key or name.startswith(key + "/")) for name, queue in self.queues.items())

    def put(
        self, item: str, units: float, tenant: str, volume: str, worth: float, weights: tuple[float, float]
    ) -> None:
        path = tenant, f"{tenant}/{volume}"
        awake = [self.waiting(key) for key in path]
        self.queues.setdefault(path[1], []).append((-worth, next(self.count), item, units))
        for key, parent, was, weight in zip(path[::-1], (tenant, ""), awake[::-1], weights[::-1], strict=True):
            self.weights[key] = weight
            if not was:
                self.start[key] = max(self.virtual.setdefault(parent, 0.0), self.finish.get(key, 0.0))
                self.woke[key] = next(self.count)

    def remove(self, item: str) -> None:
        for queue in self.queues.values():
            queue[:] = [row for row in queue if row[2] != item]

    def pop(self) -> str | None:
        tenants = [key for key in self.start if "/" not in key and self.waiting(key)]
        if not tenants:
            return None
        tenant = min(tenants, key=lambda key: (self.start[key], self.woke[key]))
        volumes = [key for key in self.start if key.startswith(tenant + "/") and self.queues[key]]
        volume = min(volumes, key=lambda key: (self.start[key], self.woke[key]))
        row = min(self.queues[volume])
        self.queues[volume].remove(row)
        for key, parent in ((volume, tenant), (tenant, "")):
            self.virtual[parent] = self.start[key]
            self.finish[key] = self.start[key] + row[3] / self.weights[key]
            if self.waiting(key):
                self.start[key], self.woke[key] = self.finish[key], next(self.count)
        return row[2]


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
def test_the_tree_chooses_what_a_plain_scan_chooses(steps: list[tuple[str, int, int, float, float]]) -> None:
    tree, plain, entries = FairQueue[str](), Plain(), dict[str, QueueEntry[str]]()
    for at, (word, one, two, worth, units) in enumerate(steps):
        if word == "put":
            name, weights = f"i{at}", (1.0 + one, 1.0 + two)
            entries[name] = tree.enqueue(name, units, f"t{one}", weights[0], f"v{two}", weights[1], worth)
            plain.put(name, units, f"t{one}", f"v{two}", worth, weights)
        elif word == "remove" and entries:
            name = sorted(entries)[one % len(entries)]
            tree.remove(entries.pop(name))
            plain.remove(name)
        elif word == "pop":
            entry = tree.pop()
            assert (entry.item if entry else None) == plain.pop()
            if entry:
                del entries[entry.item]
        assert tree.queued_items == len(entries)


def test_who_was_idle_gets_no_credit_for_it() -> None:
    tree = FairQueue[str]()
    for _ in range(100):
        tree.enqueue("busy", 1.0, "busy", 1.0, "v", 1.0, 1.0)
    for _ in range(50):
        tree.pop()
    for _ in range(20):
        tree.enqueue("late", 1.0, "late", 1.0, "v", 1.0, 1.0)
    first = Counter(entry.item for _ in range(20) if (entry := tree.pop()))
    assert abs(first["late"] - first["busy"]) <= 1


def test_flows_that_are_done_and_items_that_gave_up_are_forgotten() -> None:
    tree = FairQueue[int]()
    for at in range(5000):
        tree.enqueue(at, 1.0, f"t{at}", 1.0, "v", 1.0, 1.0)
        tree.pop()
        if at % 100 == 99:
            tree.reset_if_empty()
        assert len(tree.root.flows) <= 100
    for at in range(5000):
        tree.remove(tree.enqueue(at, 1.0, "t", 1.0, "v", 1.0, 1.0))
    outer = tree.root.flows["t"]
    assert outer.node is not None and len(outer.node.flows["v"].queue) < 50


# --- reserves


@given(st.lists(st.tuples(st.integers(0, 200 * MS), st.integers(0, 3), st.floats(0.5, 8.0)), max_size=150))
def test_a_volume_s_right_is_always_there_and_loans_stay_within_the_tenant_s(
    steps: list[tuple[int, int, float]],
) -> None:
    reserve, now, since = Reserve(40.0, 1.0, 8.0, 0), 0, 0
    rights = {"v0": 10.0, "v1": 10.0, "v2": 20.0, "v3": 0.0}
    taken = dict.fromkeys(rights, 0.0)
    right_level = {name: max(rate, 8.0) if rate else 0.0 for name, rate in rights.items()}
    for span, at, units in steps:
        now += span
        name = f"v{at}"
        for one, rate in rights.items():
            right_level[one] = min(max(rate, 8.0) if rate else 0.0, right_level[one] + rate * span / S)
        got = reserve.take(name, rights[name], 8.0, units, now)
        if right_level[name] >= units - 1e-6 and name in reserve.volumes and got is False:
            # Only rounding may lie between them.
            assert right_level[name] < units + 1e-6
        if got:
            taken[name] += units
            if right_level[name] >= units + 1e-6:
                right_level[name] -= units
            elif right_level[name] >= units - 1e-6:
                right_level[name] = max(0.0, right_level[name] - units)
        assert abs(sum(reserve.outstanding_loans.values()) + reserve.returned_units - reserve.lent_units) < 1e-6
        # All together: the tenant's rate and what was saved up, and the rights that were driven below 0 by loans.
        assert sum(taken.values()) <= 40.0 * (now - since) / S + 40.0 + sum(max(rate, 8.0) for rate in rights.values())


def test_what_was_lent_comes_back_before_anybody_borrows_again() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    assert all(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(0))
    borrowed = sum(reserve.take("busy", 0.0, 4.0, 1.0, 0) for _ in range(40))
    assert reserve.loans(0) == {"busy": 20.0}
    assert borrowed == 20 and reserve.borrowed_units == {"busy": 20.0} and reserve.lent_units == 20.0
    rights = sum(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(40))
    assert rights == 20 and reserve.total.level == -20.0  # its right, though all was lent
    assert reserve.loans(S // 2) == {"busy": 10.0}
    assert not reserve.take("busy", 0.0, 4.0, 1.0, S)  # a second later it is only just even
    assert reserve.returned_units == 20 and not reserve.loans(S)
    assert reserve.take("busy", 0.0, 4.0, 1.0, S + 100 * MS) and reserve.loans(S + 100 * MS) == {"busy": 1.0}
    assert not reserve.loans(9 * S)  # a full bucket owes nothing


def test_a_changed_rate_keeps_what_is_owed() -> None:
    reserve = Reserve(10.0, 1.0, 1.0, 0)
    assert all(reserve.take("v", 10.0, 1.0, 1.0, 0) for _ in range(10))
    reserve.set_rate(100.0, 1.0, 0)
    assert not reserve.take("v", 100.0, 1.0, 1.0, 0)  # a raise gives nothing at once
    assert reserve.take("v", 100.0, 1.0, 1.0, 20 * MS)
    reserve.set_rate(1.0, 1.0, 100 * MS)
    taken = sum(reserve.take("v", 1.0, 1.0, 1.0, 100 * MS + at * 10 * MS) for at in range(100))
    assert taken <= 2


def test_rights_that_add_up_to_more_than_their_tenant_s_get_no_more_than_it() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    taken = sum(reserve.take(f"v{at % 5}", 400.0, 4.0, 1.0, at * MS) for at in range(10_000))
    assert taken <= 20 * 10 + 2 * 20
