"""The influence of Byzantine peers and of old reports, compared with the documented bounds."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.scoring import merge
from hophinge.scoring.interface import Weight
from hophinge.scoring.merge import (
    MAX_OWN_EVIDENCE,
    MIN_TRUST,
    NEUTRAL_EVIDENCE,
    PEERS_EVIDENCE,
    Agreement,
    combine,
    max_influence,
    trim_count,
    trimmed_mean,
)
from hophinge.scoring.sharing import SharedWeights

REPORT = st.tuples(st.floats(0, 1), st.floats(MIN_TRUST, 1))
LITTLE = 1e-9


def check_liars(honest: list[tuple[float, float]], lies: list[tuple[float, float]]) -> None:
    """Assert that with f <= g the result lies between honest reports (and the neutral ones added to few reports)."""
    reports = honest + lies
    fill = [0.0] * (merge.MIN_REPORTS - len(reports))
    values = [value for value, _ in honest] + fill
    if values and len(lies) <= trim_count(max(len(reports), merge.MIN_REPORTS)):
        assert min(values) - LITTLE <= trimmed_mean(reports) <= max(values) + LITTLE


@given(st.lists(REPORT, max_size=20), st.lists(REPORT, max_size=6))
def test_up_to_a_third_of_byzantine_peers_move_nothing_beyond_honest_reports(
    honest: list[tuple[float, float]], lies: list[tuple[float, float]]
) -> None:
    check_liars(honest, lies)


def plain(reports: Sequence[tuple[float, float]]) -> float:
    return sum(value for value, _ in reports) / len(reports) if reports else 0.0


def test_the_check_catches_a_merge_without_its_trim(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "trimmed_mean", plain)
    with pytest.raises(AssertionError):
        check_liars([(0.0, 0.5)] * 9, [(1.0, 1.0)])
    with pytest.raises(AssertionError):
        test_the_documented_bound_holds_for_each_number_of_byzantine_peers(9, 0.0)


def raised_weight(liars: int, peers: int, evidence: float, honest_trust: float) -> float:
    """Return how far Byzantine peers raise a backend that is neutral to all others."""
    own = Weight(0.0, evidence) if evidence else None
    return combine(own, trimmed_mean([(1.0, 1.0)] * liars + [(0.0, honest_trust)] * (peers - liars)), 1.0)


@pytest.mark.parametrize("peers", [1, 2, 3, 5, 9, 19, 39])
@pytest.mark.parametrize("evidence", [0.0, 1.0, 8.0, 1000.0])
def test_the_documented_bound_holds_for_each_number_of_byzantine_peers(peers: int, evidence: float) -> None:
    for liars in range(peers + 1):
        bound = max_influence(liars, peers, evidence)
        for trust in (MIN_TRUST, 0.3, 1.0):
            assert raised_weight(liars, peers, evidence, trust) <= bound + LITTLE
        assert raised_weight(liars, peers, evidence, MIN_TRUST) == pytest.approx(bound)  # and the bound is tight
        caught = max_influence(liars, peers, evidence, MIN_TRUST, 0.5)  # Byzantine peers that have lost trust
        assert caught <= bound + LITTLE and (caught == 0.0 or liars > trim_count(max(peers, merge.MIN_REPORTS)))
        if liars <= trim_count(max(peers, merge.MIN_REPORTS)):
            assert bound == 0.0
        assert bound <= PEERS_EVIDENCE / (PEERS_EVIDENCE + NEUTRAL_EVIDENCE + min(evidence, MAX_OWN_EVIDENCE)) + LITTLE


@given(st.floats(0, 1), st.floats(0, 1e6), st.floats(0, 1), st.floats(0, 1))
def test_own_evidence_outweighs_reports(value: float, evidence: float, reported: float, part: float) -> None:
    check_own(value, evidence, reported, part)


def check_own(value: float, evidence: float, reported: float, part: float) -> None:
    """Assert that peers never lower a weight, and raise it by no more than their share against own answers."""
    weight = combine(Weight(value, evidence), reported, part)
    assert value <= weight <= max(value, reported) + LITTLE
    assert (
        weight - value
        <= PEERS_EVIDENCE / (PEERS_EVIDENCE + NEUTRAL_EVIDENCE + min(evidence, MAX_OWN_EVIDENCE)) + LITTLE
    )
    if evidence >= MAX_OWN_EVIDENCE:
        assert weight - value <= (1.0 - value) / 2 + LITTLE  # the larger share is own evidence


def test_the_check_catches_an_outweighed_own_weight(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(globals(), "combine", lambda own, reported, part: reported)
    with pytest.raises(AssertionError):
        check_own(0.0, 100.0, 1.0, 1.0)
    with pytest.raises(AssertionError):
        check_own(1.0, 100.0, 0.0, 1.0)


def test_reports_weigh_less_with_age_until_they_expire() -> None:
    weights = [combine(Weight(0.0, 2.0), 1.0 * part, part) for part in (1.0, 0.5, 0.1, 0.0)]
    assert weights == sorted(weights, reverse=True) and weights[0] == 0.5 and weights[-1] == 0.0
    assert combine(Weight(0.7, 2.0), 0.0, 0.0) == 0.7  # alone, own weights are used unchanged


def test_trust_follows_agreement_on_backends_that_either_side_accuses() -> None:
    rng = random.Random(5)
    friend, liar, idle = Agreement(), Agreement(), Agreement()
    own = {f"n{at}": 0.9 if at == 3 else 0.0 for at in range(50)}
    for _ in range(100):
        friend.compare(own, ["n3"], {"n3": 0.8 + 0.1 * rng.random()})
        liar.compare(own, ["n3"], {"n7": 1.0})
        idle.compare(dict.fromkeys(own, 0.0), [], {"n5": merge.MAX_AGREED_DIFFERENCE / 2})
    assert friend.trust > 0.9 and liar.trust == MIN_TRUST and idle.trust == 0.5


def test_a_backend_with_little_own_evidence_does_not_affect_trust() -> None:
    shared = SharedWeights("1")
    for owner in ("a", "b"):
        shared.apply_entry(0, owner, 0, "1", {"n": 1.0})
    list(shared.judge_peers(1, {"n": Weight(0.0, merge.MIN_JUDGING_EVIDENCE - 1)}))
    assert shared.peers["a"].agreement.trust == 0.5
    list(shared.judge_peers(1, {"n": Weight(0.0, merge.MIN_JUDGING_EVIDENCE)}))
    assert shared.peers["a"].agreement.trust < 0.5


def test_trust_weights_the_reports_that_remain_after_trimming() -> None:
    reports = [(0.0, 1.0)] * 4 + [(1.0, MIN_TRUST)] * 4
    believed = [(0.0, MIN_TRUST)] * 4 + [(1.0, 1.0)] * 4
    assert trimmed_mean(reports) < 0.15 and trimmed_mean(believed) > 0.85
