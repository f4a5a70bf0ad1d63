"""A slow scorer is excluded for its own usage, not for delays by the machine."""

from __future__ import annotations

import pytest

from hophinge.scoring.exclusion import (
    INITIAL_BACKOFF_US,
    MAX_BACKOFF_US,
    MAX_EXCUSED,
    MAX_SLOW_BACKOFFS,
    MEASURED_CALLS,
    PROBATION_CALLS,
    ScorerExclusion,
)
from hophinge.scoring.guard import HungError
from hophinge.scoring.interface import View
from tests.scoring_fixtures import ASK, Clock, ScriptedScorer, engine, observations

T0 = 50_000_000
# The own usage of a slow call: CPU nanoseconds, voluntary context switches, and garbage collections.
PREEMPTED, COLLECTED = (20_000, 0, 0), (5_000_000, 0, 1)
BUSY, SLEEPS, BUSY_AND_COLLECTED = (201_000, 0, 0), (20_000, 1, 0), (5_000_000, 1, 1)


def late(used: list[tuple[int, int, int]], clock: Clock) -> ScriptedScorer:
    """Return a scorer whose next calls are too slow, with the given usages; after these it is fast."""

    def say(view: View) -> object:
        if used:
            clock.ns += 79_000_000
            cpu_ns, waits, collections = used.pop(0)
            clock.cpu_ns, clock.waits = clock.cpu_ns + cpu_ns, clock.waits + waits
            clock.collections += collections
        return [5.0] * len(view)

    return ScriptedScorer(say)


@pytest.mark.parametrize(
    ("calls", "left_out"),
    [
        ([PREEMPTED] * 40, False),
        ([COLLECTED] * MAX_EXCUSED, False),
        ([BUSY], False),
        ([BUSY] * 2, True),
        ([SLEEPS] * 2, True),
        ([SLEEPS, PREEMPTED, BUSY], True),
        ([BUSY_AND_COLLECTED] * 2, True),
        ([COLLECTED] * (MAX_EXCUSED + 2), True),
    ],
)
def test_a_slow_call_costs_one_choice_unless_the_scorer_itself_was_slow_twice(
    calls: list[tuple[int, int, int]], left_out: bool
) -> None:
    clock = Clock()
    head = engine({"late": late(used := list(calls), clock)}, clock)
    guarded = head.guard.scorers[0]
    while used:
        assert head.added_us(T0, ASK, observations("a")) == {} and guarded.exclusion.is_callable(T0) is not (
            left_out and not used
        )
    assert guarded.counts["slow"] == len(calls)
    assert head.added_us(T0, ASK, observations("a")) == ({} if left_out else {"a": 5.0})


def test_distant_proofs_do_not_exclude_and_only_some_calls_are_measured() -> None:
    clock, used = Clock(), [BUSY]
    head = engine({"late": late(used, clock)}, clock)
    exclusion = head.guard.scorers[0].exclusion
    for wanted in ({}, *[{"a": 5.0}] * MEASURED_CALLS):
        assert head.added_us(T0, ASK, observations("a")) == wanted
    assert not exclusion.measured_calls_left
    for _ in range(2):  # the first is not measured, and proves nothing; the second is a first proof
        used.append(BUSY)
        assert head.added_us(T0, ASK, observations("a")) == {} and exclusion.is_callable(T0)
    used.append(BUSY)
    assert head.added_us(T0, ASK, observations("a")) == {} and not exclusion.is_callable(T0)


def test_a_slow_scorer_is_excluded_with_backoff_returns_and_is_finally_disabled() -> None:
    clock = Clock()
    head = engine({"slow": late(used := [BUSY] * 3, clock)}, clock)
    guarded, now = head.guard.scorers[0], T0
    head.added_us(now, ASK, observations("a"))
    assert head.added_us(now, ASK, observations("a")) == {} and not guarded.exclusion.is_callable(
        now + INITIAL_BACKOFF_US - 1
    )
    now += INITIAL_BACKOFF_US
    assert head.added_us(now, ASK, observations("a")) == {} and not guarded.exclusion.is_callable(
        now + 2 * INITIAL_BACKOFF_US - 1
    )
    now += 2 * INITIAL_BACKOFF_US
    for _ in range(PROBATION_CALLS):
        assert head.added_us(now, ASK, observations("a")) == {"a": 5.0}
    assert guarded.exclusion.failures == 0 and guarded.counts["slow"] == 3
    used += [BUSY] * (MAX_SLOW_BACKOFFS + 1)
    while used:
        head.added_us(now, ASK, observations("a"))
        now += MAX_BACKOFF_US
    assert guarded.exclusion.is_disabled and guarded.counts["slow"] == 4 + MAX_SLOW_BACKOFFS
    assert head.added_us(now + 100 * MAX_BACKOFF_US, ASK, observations("a")) == {}
    head.reinstate_all()
    assert head.added_us(now, ASK, observations("a")) == {"a": 5.0}


@pytest.mark.parametrize("swallows", [False, True])
def test_an_interrupted_call_is_the_scorer_s_last_even_if_it_swallows_the_exception(swallows: bool) -> None:
    clock, log = Clock(), list[str]()

    def say(view: View) -> object:
        clock.ns += 1_500_000_000
        try:
            head.guard.interrupt(head.guard.running_since_ns)
        except HungError:
            if not swallows:
                raise
        return [5.0] * len(view)

    head = engine({"hangs": ScriptedScorer(say), "good": ScriptedScorer(lambda view: [7.0] * len(view))}, clock, log)
    began = clock.ns
    for _ in range(3):
        assert head.added_us(T0, ASK, observations("a")) == {"a": 7.0}
        head.guard.interrupt(began)  # too late: another call, or none, is in progress
    guarded = head.guard.scorers[0]
    assert (
        guarded.exclusion.is_disabled
        and guarded.counts["hung"] == guarded.counts["asked"] == 1
        and guarded.counts["slow"] == 0
    )
    assert len(log) == 1 and "[scorer-hung]" in log[0]


def test_backoff_is_capped_and_a_scorer_that_raises_is_never_disabled() -> None:
    exclusion, now = ScorerExclusion(), 0
    for _ in range(40):
        exclusion.record_failure(now)
        assert 0 < exclusion.excluded_until_us - now <= MAX_BACKOFF_US
        now = exclusion.excluded_until_us
    assert exclusion.is_callable(now)
