"""Random steps of a fleet with Byzantine members: weights stay within their bounds in every history."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from hophinge.core.interface import Result
from hophinge.scoring import sharing
from hophinge.scoring.engine import ScoringEngine
from hophinge.scoring.merge import max_influence
from hophinge.scoring.suspicion import Suspicion
from tests.scoring_fixtures import ASK, MAX_US, VERSION, ReplicatedEntries, observations, sharer

T0, S = 50_000_000, 1_000_000
BACKENDS = [f"brick-{number}" for number in range(6)]
SOUND, FAILING = BACKENDS[:4], BACKENDS[4:]
HEADS, LIARS = 6, 4
LITTLE = 1e-9
SOME_HEADS = st.frozensets(st.integers(0, HEADS - 1), min_size=1)


class Fleet(RuleBasedStateMachine):
    """Honest heads never fail at a healthy backend; at most four of ten are Byzantine and publish anything."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.replicated, self.heartbeat = T0, ReplicatedEntries(), 0
        self.heads: dict[str, tuple[ScoringEngine, Suspicion]] = {}
        for at in range(HEADS):
            self.start(f"h{at}")

    def start(self, name: str) -> None:
        self.heads[name] = sharer(name)

    @rule(who=SOME_HEADS, backend=st.sampled_from(BACKENDS), times=st.integers(1, 12))
    def end(self, who: frozenset[int], backend: str, times: int) -> None:
        result = Result.ERROR if backend in FAILING else Result.OK
        for at in who:
            for _ in range(times):
                self.heads[f"h{at}"][0].heard(self.now, backend, result, 5_000)

    @rule(seconds=st.sampled_from([0, 1, 1, 1, 5, 20, 70]), who=SOME_HEADS)
    def tick(self, seconds: int, who: frozenset[int]) -> None:
        """Advance the time; some heads tick, others are stopped or cut off."""
        self.now += seconds * S
        for at in sorted(who):
            name = f"h{at}"
            head, scorer = self.heads[name]
            self.replicated.tick(self.now, name, head, BACKENDS)
            self.check(head, scorer)

    @rule(head=st.integers(0, HEADS - 1))
    def restart(self, head: int) -> None:
        self.start(f"h{head}")

    @rule(
        who=st.frozensets(st.integers(0, LIARS - 1), min_size=1),
        version=st.sampled_from([VERSION, "suspicion-2"]),
        weights=st.dictionaries(st.sampled_from(BACKENDS), st.sampled_from([0.0, 0.1, 1.0]), max_size=6),
    )
    def publish_lies(self, who: frozenset[int], version: str, weights: dict[str, float]) -> None:
        self.heartbeat += 1
        for liar in who:
            self.replicated.publish(f"l{liar}", self.heartbeat, weights, version)

    @rule(liar=st.integers(0, LIARS - 1), chunk=st.integers(0, 9), value=st.binary(max_size=40))
    def publish_garbage(self, liar: int, chunk: int, value: bytes) -> None:
        self.replicated.put(f"l{liar}", f"suspicion/{chunk}", value)

    @rule(liar=st.integers(0, LIARS - 1))
    def vanish(self, liar: int) -> None:
        for at in [at for at in self.replicated.current if at[0] == f"l{liar}"]:
            del self.replicated.current[at]

    def check(self, head: ScoringEngine, scorer: Suspicion) -> None:
        """Assert the bounds on the weights of a healthy and of a failing backend, right after a merge."""
        reporting = [
            owner
            for owner, peer in head.shared["suspicion"].peers.items()
            if peer.weights_by_chunk and peer.freshness(self.now) > 0.0
        ]
        liars = sum(owner.startswith("l") for owner in reporting)
        bound = max_influence(liars, len(reporting), 0.0)
        if liars <= max(1, len(reporting) // 3):
            assert bound == 0.0
        for backend in SOUND:
            assert scorer.levels.get(backend, 0.0) <= bound + LITTLE
        own = head.guard.weights(self.now, "suspicion") or {}
        for backend in FAILING:
            if backend in own:
                assert scorer.levels.get(backend, 0.0) >= own[backend].value - LITTLE

    @invariant()
    def clamped(self) -> None:
        for head, _ in self.heads.values():
            added = head.added_us(self.now, ASK, observations(*BACKENDS))
            assert all(0.0 < time <= MAX_US for time in added.values())
            assert not any(one.exclusion.failures for one in head.guard.scorers)


def run(phases: Sequence[Phase] = tuple(Phase)) -> None:
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            max_examples=100, stateful_step_count=30, derandomize=True, deadline=None, database=None, phases=phases
        ),
    )


def test_weights_stay_within_their_bounds_in_every_history() -> None:
    run()


def untrimmed(reports: Sequence[tuple[float, float]]) -> float:
    return sum(value * trust for value, trust in reports) / sum(trust for _, trust in reports)


def only_reports(own: Any, reported: float, part: float) -> float:
    return reported


@pytest.mark.parametrize(("name", "mutant"), [("trim", untrimmed), ("own", only_reports)])
def test_the_model_catches_a_merge_without_trim_and_an_outweighed_own_weight(
    name: str, mutant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    if name == "trim":
        real = sharing.SharedWeights.__init__
        monkeypatch.setattr(sharing.SharedWeights, "__init__", lambda self, version, merge: real(self, version, mutant))
    else:
        monkeypatch.setattr(sharing, "combine", mutant)
    with pytest.raises(AssertionError):
        run([Phase.generate])  # the history of a mutant need not be shrunk


def test_the_model_reaches_histories_with_too_many_byzantine_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "max_influence", lambda byzantine, peers, evidence: 0.0)
    with pytest.raises(AssertionError):
        run([Phase.generate])  # the history of a mutant need not be shrunk
