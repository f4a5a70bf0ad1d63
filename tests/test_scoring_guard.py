"""Whatever a scorer does, added times are for candidates only and within the clamp, and other scorers count."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from hophinge.core.interface import Result
from hophinge.scoring import guard
from hophinge.scoring.exclusion import INITIAL_BACKOFF_US
from hophinge.scoring.interface import Scorer, View, Weight
from tests.scoring_fixtures import ASK, MAX_US, ScriptedScorer, engine, observations

T0 = 50_000_000
NAMES = ("a", "b", "c", "d")


class UnprintableError(Exception):
    def __str__(self) -> str:
        raise RuntimeError("not even this")


class EvilList(list[float]):
    def __len__(self) -> int:
        raise SystemExit

    def __iter__(self) -> Any:
        while True:
            yield 0.0


class EvilFloat(float):
    def __add__(self, other: Any) -> Any:
        raise KeyboardInterrupt

    __radd__ = __lt__ = __gt__ = __add__

    def __float__(self) -> float:
        raise KeyboardInterrupt


def raising(error: BaseException) -> Callable[[View], object]:
    def behave(view: View) -> object:
        raise error

    return behave


def modify_view(view: View) -> object:
    for name in ("_seen", "_kept", "now_us", "nodes"):
        with contextlib.suppress(AttributeError):
            setattr(view, name, ("intruder",))
    return [1.0] * len(view)


def recurse(view: View) -> object:
    return recurse(view)


NUMBER = st.one_of(
    st.floats(),
    st.integers(),
    st.booleans(),
    st.none(),
    st.text(max_size=3),
    st.just(10**400),
    st.just(EvilFloat(1.0)),
    st.floats(0, 1e6),
    st.complex_numbers(),
)
RETURNED = st.one_of(
    st.lists(NUMBER, min_size=4, max_size=4),
    st.lists(NUMBER, max_size=9),
    st.lists(st.floats(0), min_size=4, max_size=4),
    st.just(None),
    st.just("abcd"),
    st.just(EvilList([1.0] * 4)),
    st.just({"a": 1.0}),
    st.just(iter([1.0] * 4)),
    st.tuples(NUMBER, NUMBER, NUMBER, NUMBER),
).map(lambda value: lambda view: value)
RAISED = st.sampled_from(
    [
        ValueError("no"),
        UnprintableError(),
        SystemExit(1),
        KeyboardInterrupt(),
        GeneratorExit(),
        MemoryError(),
        StopIteration(),
    ]
).map(raising)
BEHAVIOUR = st.one_of(RETURNED, RAISED, st.just(modify_view), st.just(recurse))


def check(behaviours: list[Callable[[View], object]]) -> None:
    """Assert that nothing raises, only candidates are named, within the clamp, and the good scorer counts."""
    good = ScriptedScorer(lambda view: [{"a": 10.0, "c": 20.0}.get(node, 0.0) for node in view.nodes])
    scorers: dict[str, Scorer] = {f"s{at}": ScriptedScorer(behave) for at, behave in enumerate(behaviours)}
    head = engine(scorers | {"good": good})
    for step in range(3):
        added = head.added_us(T0 + step, ASK, observations(*NAMES))
        assert added.keys() <= set(NAMES)
        assert all(isinstance(time, float) and 0.0 < time <= MAX_US for time in added.values())
        assert added["a"] >= 10.0 and added["c"] >= 20.0
    failed = [guarded for guarded in head.guard.scorers if guarded.exclusion.failures]
    assert not any(guarded.name == "good" for guarded in failed)
    if len(failed) == len(behaviours):
        assert head.added_us(T0 + 4, ASK, observations(*NAMES)) == {"a": 10.0, "c": 20.0}


@given(st.lists(BEHAVIOUR, max_size=3))
@example([raising(KeyboardInterrupt())])
@example([lambda view: [10**400, 1.0, 1.0, 1.0]])
@example([lambda view: [1e308, 1e308, 1e308, 1e308]])
@example([lambda view: [MAX_US, MAX_US, MAX_US, MAX_US], lambda view: [MAX_US] * 4])
def test_no_misbehaviour_raises_adds_a_backend_or_exceeds_the_clamp(
    behaviours: list[Callable[[View], object]],
) -> None:
    check(behaviours)


def test_the_check_catches_a_guard_without_its_clamp(monkeypatch: pytest.MonkeyPatch) -> None:
    real = guard.Guard.__init__

    def unclamped(self: guard.Guard, scorers: Any, most_us: float, *rest: Any) -> None:
        real(self, scorers, most_us, *rest)
        self.max_added_us = math.inf

    monkeypatch.setattr(guard.Guard, "__init__", unclamped)
    with pytest.raises(AssertionError):
        check([lambda view: [MAX_US * 2] * 4])


def test_the_check_catches_a_guard_without_validation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(guard, "check_times", lambda returned, count: list(returned))
    with pytest.raises((AssertionError, ValueError, TypeError)):
        check([lambda view: [math.nan] * 4, lambda view: [-1.0] * 9])


@pytest.mark.parametrize(
    ("reason", "behave"),
    [
        ("raised", raising(ValueError())),
        ("form", lambda view: None),
        ("form", lambda view: EvilList([0.0] * 4)),
        ("length", lambda view: [0.0]),
        ("not_a_number", lambda view: [math.nan, 0.0, 0.0, 0.0]),
        ("not_a_number", lambda view: [True, 0.0, 0.0, 0.0]),
        ("infinite", lambda view: [math.inf, 0.0, 0.0, 0.0]),
        ("negative", lambda view: [0.0, 0.0, 5.0, -1.0]),
    ],
)
def test_failures_are_counted_by_reason_and_logged_once_an_exclusion(
    reason: str, behave: Callable[[View], object]
) -> None:
    log: list[str] = []
    head = engine({"odd": ScriptedScorer(behave)}, log=log)
    for step in range(5):
        assert head.added_us(T0 + step, ASK, observations(*NAMES)) == {}
    counts = head.guard.scorers[0].counts
    assert counts[reason] == 1 and counts["left_out"] == 4 and len(log) == 1 and "odd" in log[0]


class BadLearner(Scorer):
    """A scorer that fails in every call but `added_us`."""

    def added_us(self, view: View) -> list[float]:
        return [1.0] * len(view)

    def heard(self, now_us: int, node: str, result: Result, elapsed_us: int) -> None:
        raise OSError("learning")

    def weights(self, now_us: int) -> dict[str, Weight]:
        return {"a": Weight(math.nan, 1.0)}


def test_failures_outside_a_choice_are_guarded_and_an_excluded_scorer_shares_nothing() -> None:
    head = engine({"bad": BadLearner()}, versions={"bad": "1"})
    head.share_as("me")
    assert head.tick(T0, {"a"}) == [] and head.guard.scorers[0].counts["not_a_number"] == 1
    now = T0 + INITIAL_BACKOFF_US
    head.heard(now, "a", Result.OK, 5)
    assert head.guard.scorers[0].counts["raised"] == 1
    assert head.added_us(now, ASK, observations("a")) == {}
