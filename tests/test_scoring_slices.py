"""A tick in slices: each does a bounded amount of work, and together they have the result of one pass."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.cluster.interface import Entry
from hophinge.core.interface import Result
from hophinge.scoring import sharing
from hophinge.scoring.engine import DeleteEntry, PutEntry
from tests.scoring_fixtures import ASK, ReplicatedEntries, observations, sharer

T0, S = 50_000_000, 1_000_000
BACKENDS = [f"brick-{number}" for number in range(5)]
WEIGHTS = st.dictionaries(st.sampled_from([*BACKENDS, "elsewhere"]), st.sampled_from([0.1, 0.6, 1.0]))
PEERS = st.dictionaries(st.sampled_from([f"p{at}" for at in range(9)]), st.one_of(WEIGHTS, st.binary(max_size=9)))
OWN = st.lists(st.tuples(st.sampled_from(BACKENDS), st.sampled_from([Result.OK, Result.ERROR])), max_size=12)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(PEERS, OWN, st.sampled_from([1, 5, 40])), min_size=1, max_size=4), st.integers(1, 30))
def test_slices_give_the_same_result_as_one_pass_and_are_bounded(
    ticks: list[tuple[dict[str, dict[str, float] | bytes], list[tuple[str, Result]], int]], size: int
) -> None:
    (one_go, _), (sliced, _), replicated = sharer(), sharer(), ReplicatedEntries()
    now, looked = T0, 0

    def counted(entries: Iterable[Entry]) -> Iterator[Entry]:
        nonlocal looked
        for entry in entries:
            looked += 1
            yield entry

    for heartbeat, (peers, ends, seconds) in enumerate(ticks):
        now += seconds * S
        for head in (one_go, sliced):
            for node, result in ends:
                head.heard(now, node, result, 5_000)
        for owner, weights in peers.items():
            if isinstance(weights, bytes):
                replicated.put(owner, "suspicion/0", weights)
            else:
                replicated.publish(owner, heartbeat, weights)
        entries = replicated.entries()
        with mock.patch.object(sharing, "SLICE_STEPS", 10**9):
            wanted = one_go.tick(now, set(BACKENDS), entries)
        actions: list[PutEntry | DeleteEntry] = []
        with mock.patch.object(sharing, "SLICE_STEPS", size):
            for _ in sliced.slices(now, set(BACKENDS), counted(entries), actions):
                assert looked <= size
                looked = 0
                sliced.added_us(now, ASK, observations(*BACKENDS))  # requests come in between
        assert sorted(map(repr, actions)) == sorted(map(repr, wanted))
        for action in wanted:
            one_go.confirm(action)
            sliced.confirm(action)
        assert one_go.added_us(now, ASK, observations(*BACKENDS)) == sliced.added_us(now, ASK, observations(*BACKENDS))
        assert [(owner, peer.weights, peer.agreement) for owner, peer in one_go.shared["suspicion"].peers.items()] == [
            (owner, peer.weights, peer.agreement) for owner, peer in sliced.shared["suspicion"].peers.items()
        ]
