"""Tests of limits, retry budgets and outlier detection: properties that hold for any sequence of events."""

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
from tests.routes import S, make_arrival, make_router, allowed_backends
from tests.test_choice import MS, T0


def test_request_is_admitted_under_all_matching_limits_or_none() -> None:
    router = make_router("(limit (tenant alba) (rate 10 units/s) (burst 1 s)) (limit (open 3 requests))")
    admitted = [router.admit(T0, make_arrival(f"r{index}", "alba")) for index in range(3)]
    assert all(isinstance(bounds, AdmittedRequest) for bounds in admitted)
    assert isinstance(router.admit(T0, make_arrival("full", "other")), int)
    limit_state = router.limiter.states["limit/alba/*/*"]
    level = limit_state.level
    assert isinstance(router.admit(T0, make_arrival("both", "alba")), int)
    assert limit_state.level == level  # rejected by the limit of open requests: no units are taken from the rate
    for bounds in admitted:
        assert isinstance(bounds, AdmittedRequest)
        router.answered(T0 + 50 * MS, bounds)
    wait = router.admit(T0 + 50 * MS, make_arrival("big", "alba", units=8.0))
    assert isinstance(wait, int) and 300 * MS < wait < 400 * MS
    assert isinstance(router.admit(T0 + 50 * MS + wait, make_arrival("big", "alba", units=8.0)), AdmittedRequest)


@given(
    st.lists(st.tuples(st.integers(0, 400 * MS), st.floats(0.5, 8.0), st.sampled_from([5.0, 20.0, 80.0])), max_size=60)
)
def test_admitted_units_stay_within_the_rates_of_all_versions(
    steps: list[tuple[int, float, float]],
) -> None:
    limiter, now, rate = Limiter(), T0, 20.0
    bound = rate + 8.0  # a burst of one second, and one more request that a full bucket admits
    admitted_units = 0.0
    limiter.state(Limit(Scope(), rate, S), now)
    for span, units, new_rate in steps:
        bound += rate * span / S
        now += span
        rate = new_rate
        states, wait = limiter.admit([Limit(Scope(), rate, S)], units, now)
        assert bool(states) != bool(wait)
        admitted_units += units if states else 0.0
        assert admitted_units <= bound + 1e-6


def test_states_of_removed_limits_are_dropped_once_there_are_many() -> None:
    limiter = Limiter()
    for index in range(600):
        assert limiter.admit([Limit(Scope(f"t{index}"), max_open=1)], 1.0, T0)[0]
    remaining = ScopeIndex.of([(Scope("t7"), Limit(Scope("t7"), max_open=1))])
    limiter.drop_removed(remaining.get, remaining.size)
    assert list(limiter.states) == ["limit/t7/*/*"]
    assert limiter.admit([Limit(Scope("t7"), max_open=1)], 1.0, T0)[1] > 0  # the limit is still reached


@given(st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(1, 200_000)), max_size=60))
def test_paced_transfers_keep_to_their_byte_rate(steps: list[tuple[int, int]]) -> None:
    limiter, limit, now, transferred = Limiter(), Limit(Scope(), bytes_in=100_000.0), T0, 0
    for span, size in steps:
        now += span
        transferred += size
        now += limiter.pacing_delay_us([limit, Limit(Scope("t"), 5.0)], 0, size, now)
        # After the delay, transferred bytes are within a burst of one second and the rate since the start.
        assert transferred <= 100_000 + 100_000 * (now - T0) / S + 1
    assert limiter.pacing_delay_us([limit], 1, 10**9, now) == 0  # the other direction has no limit


def test_clock_that_goes_back_neither_refills_nor_drains_a_bucket() -> None:
    limiter, limit = Limiter(), Limit(Scope(), 10.0, S)
    assert limiter.admit([limit], 10.0, T0)[0]
    assert limiter.admit([limit], 1.0, T0 - 3600 * S)[1] > 0
    assert limiter.admit([limit], 1.0, T0 - 3600 * S + S)[0]


@given(st.lists(st.tuples(st.integers(0, 900 * MS), st.booleans()), max_size=120))
def test_retries_never_exceed_their_share_of_any_window(steps: list[tuple[int, bool]]) -> None:
    budget, now = RetryBudget(RetryRule(budget_share=0.2, min_retries=1)), T0
    first_attempts: list[int] = []
    retries: list[int] = []
    for span, is_first in steps:
        now += span
        if is_first:
            budget.record_first_attempt(now)
            first_attempts.append(now)
        elif budget.allows_retry(now):
            budget.record_retry(now)
            retries.append(now)
            since = (now // S - 9) * S
            assert sum(time >= since for time in retries) <= 1 + 0.2 * sum(time >= since for time in first_attempts)
    assert len(retries) <= 1 + len(retries) // 2 + 0.2 * len(first_attempts) + now // S


RULE = EjectionRule(0.5, 2 * S, S, 0.3)


@given(
    st.lists(st.tuples(st.integers(0, 300 * MS), st.integers(0, 9), st.booleans(), st.integers(0, 30)), max_size=200)
)
def test_ejected_backends_never_exceed_the_stated_share(steps: list[tuple[int, int, bool, int]]) -> None:
    detector, now = OutlierDetector(), T0
    detector.set_rule(RULE, now)
    detector.set_live_backends([f"n{index}" for index in range(10)], now)
    for span, node, error, change in steps:
        now += span
        detector.restore_expired(now)
        if change < 10:
            detector.set_live_backends([f"n{index}" for index in range(change)], now)
        detector.on_attempt_ended(f"n{node}", error, now)
        assert len(detector.ejected_until) <= int(0.3 * len(detector.live) + 1e-9)
        assert detector.ejected_until.keys() <= detector.live


def test_ejection_time_doubles_and_backends_return() -> None:
    detector, now = OutlierDetector(), T0
    detector.set_rule(RULE, now)
    detector.set_live_backends([f"n{index}" for index in range(10)], now)
    ejection_times = []
    for _ in range(3):
        while not detector.on_attempt_ended("n3", True, now):
            now += 10 * MS
        ejection_times.append(detector.ejected_until["n3"] - now)
        assert not detector.restore_expired(now + ejection_times[-1] - 1) and detector.restore_expired(
            now + ejection_times[-1]
        )
        now += ejection_times[-1]
    assert ejection_times == [S, 2 * S, 4 * S]
    for _ in range(100):
        assert not detector.on_attempt_ended("n4", False, now)
    assert detector.set_rule(None, now) is False and not detector.on_attempt_ended("n4", True, now)


def test_ejected_backend_is_used_only_if_it_alone_holds_the_data() -> None:
    router = make_router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(5):
        router.ended(T0, "n3", Result.ERROR)
    assert allowed_backends(router.admit(T0, make_arrival("r1"))) == {"n0", "n1", "n2", "n4", "n5"}
    assert "n3" in allowed_backends(router.admit(T0, make_arrival("r2", shard=3)), 3)
    assert "n3" in allowed_backends(router.admit(T0 + S, make_arrival("r3")))
    full_router = make_router("(eject (errors 50 %) (over 2 s) (rest 1 s) (at-most 30 %))")
    for _ in range(20):
        full_router.ended(T0, "n3", Result.FULL)  # a full backend is not a failing one
    assert not full_router.outlier_detector.ejected_until
