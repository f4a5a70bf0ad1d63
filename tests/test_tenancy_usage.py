"""Tests of the slewed clock, rate limits and quotas of callers, and the counting and reporting of usage."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.core.counters import Counters
from hophinge.state.ledger import Ledger
from hophinge.telemetry.remote_write import collect_metrics
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.caller_rate_limits import CallerRateLimits
from hophinge.tenancy.concurrency_quota import ConcurrencyQuota
from hophinge.tenancy.records import Account, Key, Role, digest_of, row_of
from hophinge.tenancy.slewed_clock import SlewedClock
from hophinge.tenancy.usage import (
    FIELDS,
    MAX_COUNTED_VOLUMES,
    OTHER_TENANTS,
    TENANT_TOTAL,
    LabelledTotals,
    UsageCounter,
    UsageReports,
)

HOUR_MS = 3_600_000


@pytest.mark.parametrize("leap_ms", [HOUR_MS, -HOUR_MS])
def test_a_clock_that_steps_by_an_hour_expires_no_key_and_revives_none(leap_ms: int) -> None:
    wall, steady = 1_000_000_000, 5_000_000
    clock, accounts = SlewedClock(wall, steady), Accounts()
    for name, expires_ms in (("hk01", wall + 600_000), ("hk02", wall + 60_000)):
        accounts.apply(
            [row_of(Account("alba")), row_of(Key("alba", name, digest_of("s"), Role.DATA, wall, expires_ms))]
        )
    last = clock.now_ms(wall, steady)
    for second in range(1, 301):
        steady += 1_000_000
        wall += 1000 + (leap_ms if second == 120 else 0)
        now = clock.now_ms(wall, steady)
        assert last <= now <= last + 1101
        last = now
        assert accounts.authenticate("hk01.s", now) is not None
        if second > 61:
            assert accounts.authenticate("hk02.s", now) is None
    assert abs(clock.wall_clock_ahead_ms(wall)) > HOUR_MS * 0.9
    # After a restart time continues from the stored time: an expired key stays expired, whatever the clock shows.
    assert SlewedClock(wall - 10 * HOUR_MS, 0, last_stored_ms=last).now_ms(wall - 10 * HOUR_MS, 0) >= last


def test_calls_are_limited_by_caller_and_the_number_of_callers_is_bounded() -> None:
    callers = CallerRateLimits(10.0, 20.0, 100)
    assert sum(not callers.admit("loud", 0) for _ in range(1000)) == 20
    assert callers.admit("quiet", 0) == 0 and callers.wait_us("loud", 0) == 100_001
    assert callers.admit("loud", 100_001) == 0
    for index in range(1_000):
        callers.admit(f"made-up-{index}", 0)
    assert len(callers.buckets) == 100
    quota = ConcurrencyQuota()
    assert (
        quota.acquire("a", 1, 1)
        and quota.acquire("a", 1, 1)
        and not quota.acquire("a", 2, 1)
        and quota.acquire("b", 1, 1)
    )
    assert quota.acquire("a", 2, 1) and quota.open_counts == {"a": 1, "b": 1}
    quota.release(1)
    quota.release(1)
    assert quota.open_counts == {"a": 1}


@given(st.lists(st.tuples(st.sampled_from(["add", "add", "flush", "stored", "failed"]), st.integers(1, 9))))
def test_usage_is_stored_exactly_once_if_flushes_fail(steps: list[tuple[str, int]]) -> None:
    usage, store, counted = UsageCounter(), 0.0, 0
    for step, amount in steps:
        if step == "add":
            usage.add("t", "v", "served", amount)
            counted += amount
        elif step == "flush":
            usage.begin_flush()
        elif step == "stored" and usage.flushing is not None:
            store += sum(usage.flushing.values())
            usage.commit_flush()
        elif step == "failed":
            usage.abort_flush()
    store += (
        sum(usage.begin_flush().values())
        if usage.flushing is None
        else sum(usage.flushing.values()) + sum(usage.amounts.values())
    )
    assert store == counted


def test_usage_of_volumes_beyond_the_bound_counts_for_their_tenant() -> None:
    usage = UsageCounter()
    for index in range(MAX_COUNTED_VOLUMES * len(FIELDS) + 10):
        usage.add("t", f"v{index}", "served", 1)
    assert usage.amounts["t", TENANT_TOTAL, "served"] == 10


def test_labels_of_exported_metrics_are_bounded_and_kept() -> None:
    totals = LabelledTotals(3)
    for first in range(3):
        for index in range(first, 10):
            totals.add(f"t{index}", "served", 1)
    assert totals.counts == {
        ("t0", "served"): 1,
        ("t1", "served"): 2,
        ("t2", "served"): 3,
        (OTHER_TENANTS, "served"): 21,
    }
    name, found = (
        "hophinge_tenant_served_total",
        collect_metrics(Counters(), {}, None, {("tenant_served_total", (("tenant", "t0"),)): 1.0}),
    )
    assert found[name, (("tenant", "t0"),)] == 1.0


def test_reports_are_retried_until_they_are_acknowledged(tmp_path: Path) -> None:
    reports, ledger = UsageReports(), Ledger(tmp_path / "a.db")
    keys: dict[Any, float] = {("t", f"v{index}", "served"): 1.0 for index in range(5)}
    reports.add(keys)
    _, first = reports.next_report(3)
    second_number, second = reports.next_report(3)
    assert (len(first), len(second)) == (3, 2)
    reports.acknowledge(second_number)
    reports.retry_unacknowledged()
    assert set(reports.unreported) == set(first)
    third_number, retried = reports.next_report(9)
    reports.acknowledge(third_number)
    assert set(retried) == set(first) and not reports.unreported and not reports.unacknowledged
    for total in (5.0, 3.0, 5.0, 7.0):  # late and duplicate reports change nothing
        ledger.merge_usage_totals("n0", {("t", "v", "served"): total})
    ledger.merge_usage_totals("n1", {("t", "v", "served"): 2.0})
    assert ledger.usage_by_volume("t") == {"v": {"served": 9.0}}
    ledger.close()
