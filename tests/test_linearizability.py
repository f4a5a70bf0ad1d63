"""The linearizability check finds violations, and random histories pass it."""

from __future__ import annotations

import pytest

from hophinge.coordination.registers import Change, Outcome
from tests.coordination_histories import calls_of, history_of_seed, sent_changes
from tests.coordination_world import change
from tests.linearizability import Call, check

ONE, TWO, RIVAL = change(0, 1, "a"), change(1, 2, "b"), change(1, 3, "c")
SENT = ((0.0, ONE), (2.0, TWO), (0.0, RIVAL))


def _call(started_at: float, completed_at: float, change: Change | None, outcome: Outcome, version: int) -> Call:
    return Call(started_at, completed_at, change, outcome, version)


APPLIED_ONE = _call(0.0, 1.0, ONE, Outcome.APPLIED, 1)
APPLIED_TWO = _call(2.0, 3.0, TWO, Outcome.APPLIED, 2)


@pytest.mark.parametrize(
    "call",
    [
        _call(4.0, 5.0, None, Outcome.VALUE, 2),
        _call(2.5, 5.0, None, Outcome.VALUE, 1),
        _call(1.5, 2.5, None, Outcome.VALUE, 2),
        _call(0.5, 1.5, None, Outcome.VALUE, 0),
        _call(4.0, 5.0, ONE, Outcome.APPLIED, 2),
        _call(4.0, 5.0, RIVAL, Outcome.CONFLICT, 2),
    ],
)
def test_linearizable_calls_pass(call: Call) -> None:
    assert check([APPLIED_ONE, APPLIED_TWO, call], SENT) == 3


@pytest.mark.parametrize(
    "call",
    [
        _call(4.0, 5.0, None, Outcome.VALUE, 1),
        _call(4.0, 5.0, RIVAL, Outcome.CONFLICT, 1),
        _call(4.0, 5.0, None, Outcome.VALUE, 0),
        _call(0.0, 0.5, None, Outcome.VALUE, 3),
        _call(0.0, 1.0, RIVAL, Outcome.APPLIED, 3),
        _call(0.0, 1.5, None, Outcome.VALUE, 2),
    ],
)
def test_calls_that_are_not_linearizable_are_found(call: Call) -> None:
    with pytest.raises(AssertionError):
        check([APPLIED_ONE, APPLIED_TWO, call], SENT)


@pytest.mark.parametrize("seed", range(1_000, 1_012))
def test_random_histories_are_linearizable(seed: int) -> None:
    history = history_of_seed(seed)
    assert check(calls_of(history), sent_changes(history)) > 10
