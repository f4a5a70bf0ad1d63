"""Limits, retry budgets and outlier detection: what holds of each in any history."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hophinge.core.interface import Result
from hophinge.routing.outlier_detection import OutlierDetector
from hophinge.routing.scope_index import ScopeIndex
from hophinge.routing.limits import Limiter
from hophinge.routing.admitted_request import AdmittedRequest
from hophinge.routing.records import EjectionRule, Limit, RetryRule, Scope
from hophinge.routing.retry_budget import RetryBudget
from tests.routes import S, ask, router, within
from tests.test_choice import MS, T0


def test_request_is_admitted_under_all_matching_limits_or_none() -> None:
    made = router("(limit (tenant alba) (rate 10 units/s) (burst 1 s)) (limit (open 3 requests))")
    held = [made.admit(T0, ask(f"r{at}", "alba")) for at in range(3)]
    assert all(isinstance(one, AdmittedRequest) for one in held)
    assert isinstance(made.admit(T0, ask("full", "other")), int)
    alba = made.limiter.states["limit/alba/*/*"]
    level = alba.level
    assert isinstance(made.admit(T0, ask("both", "alba")), int)
    assert alba.level == level  # refused by the open ones: no unit of the rate is gone
    for one in held:
        assert isinstance(one, AdmittedRequest)
        made.answered(T0 + 50 * MS, one)
    wait = made.admit(T0 + 50 * MS, ask("big", "alba", units=8.0))
    assert isinstance(wait, int) and 300 * MS < wait < 400 * MS
    assert isinstance(made.admit(T0 + 50 * MS + wait, ask("big", "alba", units=8.0)), AdmittedRequest)


@given(
    st.lists(st.tuples(st.integers(0, 400 * MS), st.floats(0.5, 8.0), st.sampled_from([5.0, 20.0, 80.0])), max_size=60)
)
def test_admitted_units_stay_within_the_rates_of_all_versions(
    steps: list[tuple[int, float, float]],
) -> None:
    limiter, now, rate = Limiter(), T0, 20.0
    bound = rate + 8.0  # one second's burst, and one request more that a full bucket lets through
    taken = 0.0
    limiter.state(Limit(Scope(), rate, S), now)
    for span, units, new in steps:
        bound += rate * span / S
        now += span
        rate = new
        states, wait = limiter.admit([Limit(Scope(), rate, S)], units, now)
        assert bool(states) != bool(wait)
        taken += units if states else 0.0
        assert taken <= bound + 1e-6


def test_states_of_removed_limits_are_dropped_once_there_are_many() -> None:
    limiter = Limiter()
    for at in range(600):
        assert limiter.admit([Limit(Scope(f"t{at}"), max_open=1)], 1.0, T0)[0]
    left = ScopeIndex.of([(Scope("t7"), Limit(Scope("t7"), max_open=1))])
    limiter.drop_removed(left.get, left.size)
    assert list(limiter.states) == ["limit/t7/*/*"]
    assert limiter.admit([Limit(Scope("t7"), max_open=1)], 1.0, T0)[1] > 0  # and it is still full


@given(st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(1, 200_000)), max_size=60))
def test_paced_transfers_keep_to_their_byte_rate(steps: list[tuple[int, int]]) -> None:
    limiter, limit, now, moved = Limiter(), Limit(Scope(), bytes_in=100_000.0), T0, 0
    for span, size in steps:
        now += span
        moved += size
        now += limiter.pacing_delay_us([limit, Limit(Scope("t"), 5.0)], 0, size, now)
        # What has moved when the pause is over: a second's worth saved up, and the rate since.
        assert moved <= 100_000 + 100_000 * (now - T0) / S + 1
    assert limiter.pacing_delay_us([limit], 1, 10**9, now) == 0  # the other way has no bound


def test_clock_that_goes_back_neither_refills_nor_drains_a_bucket() -> None:
    limiter, limit = Limiter(), Limit(Scope(), 10.0, S)
    assert limiter.admit([limit], 10.0, T0)[0]
    assert limiter.admit([limit], 1.0, T0 - 3600 * S)[1] > 0
    assert limiter.admit([limit], 1.0, T0 - 3600 * S + S)[0]


@given(st.lists(st.tuples(st.integers(0, 900 * MS), st.booleans()), max_size=120))
def test_retries_never_exceed_their_share_of_any_window(steps: list[tuple[int, bool]]) -> None:
    budget, now = RetryBudget(RetryRule(budget_share=0.2, min_retries=1)), T0
    firsts: list[int] = []
    further: list[int] = []
    for span, first in steps:
        now += span
        if first:
            budget.record_first_attempt(now)
            firsts.append(now)
        elif budget.allows_retry(now):
            budget.record_retry(now)
            further.append(now)
            since = (now // S - 9) * S
            assert sum(at >= since for at in further) <= 1 + 0.2 * sum(at >= since for at in firsts)
    assert len(further) <= 1 + len(further) // 2 + 0.2 * len(firsts) + now // S


RULE = EjectionRule(0.5, 2 * S, S, 0.3)


@given(
    st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(0, 9), st.booleans(), st.integers(0, 30)), max_size=200)
)
def test_ejected_backends_never_exceed_the_stated_share(steps: list[tuple[int, int, bool, int]]) -> None:
    ejector, now = OutlierDetector(), T0
    ejector.set_rule(RULE, now)
    ejector.set_live_backends([f"n{at}" for at in range(10)], now)
    for span, at, error, change in steps:
        now += span
        ejector.restore_expired(now)
        if change < 10:
            ejector.set_live_backends([f"n{one}" for one in range(change)], now)
        ejector.on_attempt_ended(f"n{at}", error, now)
        assert len(ejector.ejected_until) <= int(0.3 * len(ejector.live) + 1e-9)
        assert ejector.ejected_until.keys() <= ejector.live


def test_ejection_time_doubles_and_backends_return() -> None:
    ejector, now = OutlierDetector(), T0
    ejector.set_rule(RULE, now)
    ejector.set_live_backends([f"n{at}" for at in range(10)], now)
    rests = []
    for _ in range(3):
        while not ejector.on_attempt_ended("n3", True, now):
            now += 10 * MS
        rests.append(ejector.ejected_until["n3"] - now)
        assert not ejector.restore_expired(now + rests[-1] - 1) and ejector.restore_expired(now + rests[-1])
        now += rests[-1]
    assert rests == [S, 2 * S, 4 * S]
    for _ in range(100):
        assert not ejector.on_attempt_ended("n4", False, now)
    assert ejector.set_rule(None, now) is False and not ejector.on_attempt_ended("n4", True, now)


def test_ejected_backend_is_used_only_if_it_alone_holds_the_data() -> None:
    made = router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(5):
        made.ended(T0, "n3", Result.ERROR)
    assert within(made.admit(T0, ask("r1"))) == {"n0", "n1", "n2", "n4", "n5"}
    assert "n3" in within(made.admit(T0, ask("r2", shard=3)), 3)
    assert "n3" in within(made.admit(T0 + S, ask("r3")))
    full = router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(20):
        full.ended(T0, "n3", Result.FULL)  # busy is not broken
    assert not full.outlier_detector.ejected_until
