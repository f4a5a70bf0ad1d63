"""Heads that share weights as entries: accusations, Byzantine members, silence, other versions, invalid entries."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.cluster.interface import MAX_VALUE_BYTES, Entry, EntryVersion, Topic
from hophinge.core.interface import Result
from hophinge.scoring import encoding
from hophinge.scoring.engine import ScoringEngine
from hophinge.scoring.merge import MAX_OWN_EVIDENCE, NEUTRAL_EVIDENCE, PEERS_EVIDENCE, max_influence
from hophinge.scoring.sharing import FORGOTTEN_US, FRESH_US, HALF_LIFE_US, HEARTBEAT_US
from hophinge.scoring.suspicion import Parameters, Suspicion
from tests.scoring_fixtures import ASK, MAX_US, SETTING, VERSION, ReplicatedEntries, engine, observations, sharer

T0 = 50_000_000
S = 1_000_000
BACKENDS = [f"brick-{number}" for number in range(12)]
BAD, GOOD = BACKENDS[0], BACKENDS[1]


def heads(number: int) -> dict[str, ScoringEngine]:
    return {f"h{at}": sharer(f"h{at}")[0] for at in range(number)}


def added(head: ScoringEngine, now: int, node: str) -> float:
    return head.added_us(now, ASK, observations(*BACKENDS)).get(node, 0.0)


def hear(head: ScoringEngine, now: int, node: str, result: Result, times: int) -> None:
    for _ in range(times):
        head.heard(now, node, result, 10_000)


def run(
    fleet: dict[str, ScoringEngine],
    replicated: ReplicatedEntries,
    now: int,
    seconds: int,
    liars: int = 0,
    accused: str = GOOD,
) -> int:
    """Advance second by second; Byzantine members accuse one backend as far as they can."""
    for _ in range(seconds):
        now += S
        for at in range(liars):
            replicated.publish(f"liar{at}", now // HEARTBEAT_US, {accused: 1.0})
        for name, head in fleet.items():
            replicated.tick(now, name, head, BACKENDS)
    return now


def test_a_head_learns_of_a_failing_backend_that_it_has_never_used() -> None:
    fleet, replicated = heads(10), ReplicatedEntries()
    accusers = list(fleet.values())[:7]
    for head in accusers:
        hear(head, T0, BAD, Result.ERROR, 4)
    now = run(fleet, replicated, T0, 2)
    rest = [added(head, now, BAD) for head in list(fleet.values())[7:]]
    assert min(rest) > 0.2 * MAX_US and max(added(head, now, GOOD) for head in fleet.values()) == 0.0
    assert min(added(head, now, BAD) for head in accusers) > 0.8 * MAX_US


def check_liars(liars: int, peers: int) -> None:
    """Assert end to end that Byzantine members raise a healthy backend by no more than the bound.

    One head has own answers of the backend, another one has none.
    """
    fleet, replicated = heads(peers + 1 - liars), ReplicatedEntries()
    with_answers, without_answers = list(fleet.values())[:2]
    now = T0
    for _ in range(30):
        for head in fleet.values():
            if head is not without_answers:
                hear(head, now, GOOD, Result.OK, 10)
        now = run(fleet, replicated, now, 1, liars)
    small = 1e-6
    assert added(without_answers, now, GOOD) <= max_influence(liars, peers, 0.0) * MAX_US + small
    assert added(with_answers, now, GOOD) <= max_influence(liars, peers, MAX_OWN_EVIDENCE) * MAX_US + small
    trust = with_answers.shared["suspicion"].peers
    assert all(trust[f"liar{at}"].agreement.trust <= 0.1 for at in range(liars))


def test_byzantine_peers_move_a_healthy_backend_by_no_more_than_the_bound() -> None:
    for liars in (1, 2, 3, 5, 8):
        check_liars(liars, 9)


def test_a_byzantine_peer_that_praises_a_dead_backend_moves_nothing() -> None:
    honest, replicated = heads(6), ReplicatedEntries()
    for head in honest.values():
        hear(head, T0, BAD, Result.CONNECT_FAILED, 5)
    alone = [added(head, T0, BAD) for head in honest.values()]
    now = run(honest, replicated, T0, 1, liars=2, accused=GOOD)
    faded = 2**-0.1
    for before, head in zip(alone, honest.values(), strict=True):
        assert added(head, now, BAD) >= before * faded - 1e-6


def head_with_merged_reports() -> tuple[ReplicatedEntries, ScoringEngine, int]:
    """Return a head that has merged the reports of nine others on a backend, and the time."""
    fleet, replicated = heads(10), ReplicatedEntries()
    for head in list(fleet.values())[:9]:
        hear(head, T0, BAD, Result.ERROR, 6)
    return replicated, fleet["h9"], run(fleet, replicated, T0, 1)


@pytest.mark.parametrize("gone", [False, True])
def test_weights_of_silent_or_departed_peers_age_to_neutral(gone: bool) -> None:
    replicated, quiet, now = head_with_merged_reports()
    first, seen = added(quiet, now, BAD), []
    if gone:
        replicated.current.clear()
    for _ in range(FORGOTTEN_US // S + 5):
        now = run({"h9": quiet}, replicated, now, 1)
        seen.append(added(quiet, now, BAD))
    assert first > 0.5 * MAX_US and seen[FRESH_US // S - 2] == first
    assert seen == sorted(seen, reverse=True) and seen[-1] == 0.0
    assert seen[(FRESH_US + 2 * HALF_LIFE_US) // S] < first / 2
    assert quiet.reader is not None and not quiet.reader.departed and not quiet.shared["suspicion"].peers


def test_members_that_return_start_without_weights() -> None:
    replicated, quiet, now = head_with_merged_reports()
    replicated.current.clear()
    now = run({"h9": quiet}, replicated, now, 5)
    for at in range(9):
        replicated.publish(f"h{at}", 1, {GOOD: 0.02} if encoding.chunk_of(GOOD) != encoding.chunk_of(BAD) else {})
    now = run({"h9": quiet}, replicated, now, 1)
    assert added(quiet, now, BAD) == 0.0 and len(quiet.shared["suspicion"].peers) == 9


def test_a_head_without_peers_uses_its_own_weights_unchanged() -> None:
    shared, alone = heads(1)["h0"], engine({"suspicion": Suspicion(Parameters(), SETTING)})
    for head in (shared, alone):
        hear(head, T0, BAD, Result.ERROR, 2)
    replicated = ReplicatedEntries()
    replicated.tick(T0 + S, "h0", shared, BACKENDS)
    alone.tick(T0 + S, set(BACKENDS))
    assert added(shared, T0 + S, BAD) == added(alone, T0 + S, BAD) > 0.0


def test_weights_of_another_version_are_ignored_and_counted() -> None:
    head, replicated = heads(1)["h0"], ReplicatedEntries()
    for at in range(9):
        replicated.publish(f"new{at}", 1, {GOOD: 1.0}, "suspicion-2")
    replicated.tick(T0, "h0", head, BACKENDS)
    assert added(head, T0, GOOD) == 0.0 and not head.shared["suspicion"].peers
    assert head.reader is not None and len(head.reader.other_versions) == 9 and not head.reader.invalid_entries
    # A member that is upgraded deletes its entries of the old version.
    for at in range(9):
        replicated.publish(f"new{at}", 2, {GOOD: 1.0})
    replicated.tick(T0 + S, "h0", head, BACKENDS)
    assert added(head, T0 + S, GOOD) > 0.5 * MAX_US
    for at in range(9):
        replicated.publish(f"new{at}", 3, {GOOD: 1.0}, "suspicion-2")
    replicated.tick(T0 + 2 * S, "h0", head, BACKENDS)
    assert added(head, T0 + 2 * S, GOOD) == 0.0


def test_invalid_entries_are_dropped_and_counted_by_owner() -> None:
    head, replicated = heads(1)["h0"], ReplicatedEntries()
    good = encoding.encode(VERSION, 1, {})[0][0]
    table = encoding.WeightTable
    wrong = [
        b"",
        b"\xc1",
        good[:-1],
        b"x" * (MAX_VALUE_BYTES + 1),
        encoding.ENCODER.encode(table(1, VERSION, 0, {GOOD: 51})),
        encoding.ENCODER.encode(table(1, VERSION, 0, {GOOD: -1})),
        encoding.ENCODER.encode(table(2, VERSION, 0, {})),
        encoding.ENCODER.encode([1, VERSION, 0, {GOOD: 1e300}]),
        encoding.ENCODER.encode([1, VERSION, 0, {}, "more"]),
    ]
    for at, value in enumerate(wrong):
        replicated.put(f"odd{at}", encoding.entry_key("suspicion", encoding.chunk_of(GOOD)), value)
    replicated.put("key", "suspicion/99", good)
    replicated.tick(T0, "h0", head, BACKENDS)
    assert head.reader is not None
    assert head.reader.invalid_entries == {**{f"odd{at}": 1 for at in range(len(wrong))}, "key": 1}
    replicated.tick(T0 + S, "h0", head, BACKENDS)  # an unchanged entry is not counted again
    assert sum(head.reader.invalid_entries.values()) == len(wrong) + 1


def test_reports_on_backends_that_this_head_does_not_list_are_ignored() -> None:
    head, replicated = heads(1)["h0"], ReplicatedEntries()
    for at in range(9):
        replicated.publish(f"p{at}", 1, {"elsewhere": 1.0, GOOD: 1.0})
    replicated.tick(T0, "h0", head, BACKENDS)
    levels = head.guard.find("suspicion").scorer.levels  # type: ignore[attr-defined]   # of Suspicion
    assert levels.keys() == {GOOD} and levels[GOOD] <= PEERS_EVIDENCE / (PEERS_EVIDENCE + NEUTRAL_EVIDENCE)


def test_an_entry_changes_only_with_its_backends_and_the_heartbeat_only_entry_0() -> None:
    head, replicated = heads(1)["h0"], ReplicatedEntries()
    replicated.tick(T0, "h0", head, BACKENDS)
    hear(head, T0, BAD, Result.ERROR, 1)
    replicated.tick(T0, "h0", head, BACKENDS)
    assert replicated.count == 2 and len(replicated.current) == 1 + (encoding.chunk_of(BAD) != 0)
    replicated.tick(T0, "h0", head, BACKENDS)
    assert replicated.count == 2


@given(st.dictionaries(st.text(min_size=1, max_size=128), st.floats(0, 1), max_size=120), st.integers(0, 2**40))
def test_entries_fit_round_trip_and_keep_the_worst_backends(weights: dict[str, float], heartbeat: int) -> None:
    try:
        values, omitted = encoding.encode(VERSION, heartbeat, weights)
    except UnicodeEncodeError:
        return  # not a backend's name: the list's decoder accepts no lone surrogates
    assert all(len(value) <= MAX_VALUE_BYTES for value in values.values()) and 0 in values
    found: dict[str, float] = {}
    for chunk, value in values.items():
        version, part = encoding.decode(chunk, value)
        assert version == VERSION and not found.keys() & part.keys()
        found |= part
    nonzero = {node: weight for node, weight in weights.items() if round(weight * encoding.WEIGHT_STEPS)}
    assert len(found) == len(nonzero) - omitted
    assert all(abs(nonzero[node] - weight) <= 0.5 / encoding.WEIGHT_STEPS + 1e-9 for node, weight in found.items())
    for node, weight in nonzero.items():
        if node not in found:
            kept = [at for other, at in found.items() if encoding.chunk_of(other) == encoding.chunk_of(node)]
            assert all(at >= weight - 0.5 / encoding.WEIGHT_STEPS - 1e-9 for at in kept)


@given(st.binary(max_size=MAX_VALUE_BYTES + 10), st.text(max_size=12))
def test_arbitrary_bytes_of_a_peer_never_raise(value: bytes, key: str) -> None:
    head = heads(1)["h0"]
    for at, name in enumerate((key, "suspicion/0")):
        head.tick(T0 + at, set(BACKENDS), [Entry("peer", Topic.WEIGHTS, name, EntryVersion(1, at), value)])
    assert (
        head.reader is not None
        and head.reader.invalid_entries.get("peer", 0) + len(head.shared["suspicion"].peers) >= 1
    )
