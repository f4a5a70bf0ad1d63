"""Tests of reserves: the reserves of volumes, loans between them, and changed rates."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hophinge.tenancy.reserve import Reserve
from tests.tenancy_model import MS, S


@given(st.lists(st.tuples(st.integers(0, 200 * MS), st.integers(0, 3), st.floats(0.5, 8.0)), max_size=150))
def test_a_volumes_reserve_is_always_available_and_loans_stay_within_the_tenants(
    steps: list[tuple[int, int, float]],
) -> None:
    reserve, now, since = Reserve(40.0, 1.0, 8.0, 0), 0, 0
    volume_rates = {"v0": 10.0, "v1": 10.0, "v2": 20.0, "v3": 0.0}
    taken = dict.fromkeys(volume_rates, 0.0)
    volume_levels = {name: max(rate, 8.0) if rate else 0.0 for name, rate in volume_rates.items()}
    for span, number, units in steps:
        now += span
        name = f"v{number}"
        for volume, rate in volume_rates.items():
            volume_levels[volume] = min(max(rate, 8.0) if rate else 0.0, volume_levels[volume] + rate * span / S)
        is_taken = reserve.take(name, volume_rates[name], 8.0, units, now)
        if volume_levels[name] >= units - 1e-6 and name in reserve.volumes and is_taken is False:
            # The model and the reserve may differ only by rounding.
            assert volume_levels[name] < units + 1e-6
        if is_taken:
            taken[name] += units
            if volume_levels[name] >= units + 1e-6:
                volume_levels[name] -= units
            elif volume_levels[name] >= units - 1e-6:
                volume_levels[name] = max(0.0, volume_levels[name] - units)
        assert abs(sum(reserve.outstanding_loans.values()) + reserve.returned_units - reserve.lent_units) < 1e-6
        # The sum is within the tenant's rate and burst, plus the volumes' reserves that made its level negative.
        assert sum(taken.values()) <= 40.0 * (now - since) / S + 40.0 + sum(
            max(rate, 8.0) for rate in volume_rates.values()
        )


def test_loans_are_repaid_before_a_volume_borrows_again() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    assert all(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(0))
    borrowed = sum(reserve.take("busy", 0.0, 4.0, 1.0, 0) for _ in range(40))
    assert reserve.loans(0) == {"busy": 20.0}
    assert borrowed == 20 and reserve.borrowed_units == {"busy": 20.0} and reserve.lent_units == 20.0
    reserved = sum(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(40))
    assert reserved == 20 and reserve.total.level == -20.0  # its own reserve, although all units were lent
    assert reserve.loans(S // 2) == {"busy": 10.0}
    assert not reserve.take("busy", 0.0, 4.0, 1.0, S)  # after one second the level is only back at 0
    assert reserve.returned_units == 20 and not reserve.loans(S)
    assert reserve.take("busy", 0.0, 4.0, 1.0, S + 100 * MS) and reserve.loans(S + 100 * MS) == {"busy": 1.0}
    assert not reserve.loans(9 * S)  # a full bucket has no loans


def test_a_changed_rate_keeps_a_negative_level() -> None:
    reserve = Reserve(10.0, 1.0, 1.0, 0)
    assert all(reserve.take("v", 10.0, 1.0, 1.0, 0) for _ in range(10))
    reserve.set_rate(100.0, 1.0, 0)
    assert not reserve.take("v", 100.0, 1.0, 1.0, 0)  # raising the rate makes no units available at once
    assert reserve.take("v", 100.0, 1.0, 1.0, 20 * MS)
    reserve.set_rate(1.0, 1.0, 100 * MS)
    taken = sum(reserve.take("v", 1.0, 1.0, 1.0, 100 * MS + index * 10 * MS) for index in range(100))
    assert taken <= 2


def test_volume_reserves_above_the_tenants_rate_get_no_more_than_that_rate() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    taken = sum(reserve.take(f"v{index % 5}", 400.0, 4.0, 1.0, index * MS) for index in range(10_000))
    assert taken <= 20 * 10 + 2 * 20
