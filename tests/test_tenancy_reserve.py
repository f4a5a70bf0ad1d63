"""Reserves by random steps: rights, loans and changed rates."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hophinge.tenancy.reserve import Reserve
from tests.tenancy_model import MS, S


@given(st.lists(st.tuples(st.integers(0, 200 * MS), st.integers(0, 3), st.floats(0.5, 8.0)), max_size=150))
def test_a_volumes_right_is_always_there_and_loans_stay_within_the_tenants(
    steps: list[tuple[int, int, float]],
) -> None:
    reserve, now, since = Reserve(40.0, 1.0, 8.0, 0), 0, 0
    rights = {"v0": 10.0, "v1": 10.0, "v2": 20.0, "v3": 0.0}
    taken = dict.fromkeys(rights, 0.0)
    right_level = {name: max(rate, 8.0) if rate else 0.0 for name, rate in rights.items()}
    for span, at, units in steps:
        now += span
        name = f"v{at}"
        for one, rate in rights.items():
            right_level[one] = min(max(rate, 8.0) if rate else 0.0, right_level[one] + rate * span / S)
        is_taken = reserve.take(name, rights[name], 8.0, units, now)
        if right_level[name] >= units - 1e-6 and name in reserve.volumes and is_taken is False:
            # Only rounding may lie between them.
            assert right_level[name] < units + 1e-6
        if is_taken:
            taken[name] += units
            if right_level[name] >= units + 1e-6:
                right_level[name] -= units
            elif right_level[name] >= units - 1e-6:
                right_level[name] = max(0.0, right_level[name] - units)
        assert abs(sum(reserve.outstanding_loans.values()) + reserve.returned_units - reserve.lent_units) < 1e-6
        # All together: the tenant's rate and what was saved up, and the rights that were driven below 0 by loans.
        assert sum(taken.values()) <= 40.0 * (now - since) / S + 40.0 + sum(max(rate, 8.0) for rate in rights.values())


def test_loans_are_repaid_before_a_volume_borrows_again() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    assert all(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(0))
    borrowed = sum(reserve.take("busy", 0.0, 4.0, 1.0, 0) for _ in range(40))
    assert reserve.loans(0) == {"busy": 20.0}
    assert borrowed == 20 and reserve.borrowed_units == {"busy": 20.0} and reserve.lent_units == 20.0
    rights = sum(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(40))
    assert rights == 20 and reserve.total.level == -20.0  # its right, though all was lent
    assert reserve.loans(S // 2) == {"busy": 10.0}
    assert not reserve.take("busy", 0.0, 4.0, 1.0, S)  # a second later it is only just even
    assert reserve.returned_units == 20 and not reserve.loans(S)
    assert reserve.take("busy", 0.0, 4.0, 1.0, S + 100 * MS) and reserve.loans(S + 100 * MS) == {"busy": 1.0}
    assert not reserve.loans(9 * S)  # a full bucket has no loans


def test_a_changed_rate_keeps_a_negative_level() -> None:
    reserve = Reserve(10.0, 1.0, 1.0, 0)
    assert all(reserve.take("v", 10.0, 1.0, 1.0, 0) for _ in range(10))
    reserve.set_rate(100.0, 1.0, 0)
    assert not reserve.take("v", 100.0, 1.0, 1.0, 0)  # a raise gives nothing at once
    assert reserve.take("v", 100.0, 1.0, 1.0, 20 * MS)
    reserve.set_rate(1.0, 1.0, 100 * MS)
    taken = sum(reserve.take("v", 1.0, 1.0, 1.0, 100 * MS + at * 10 * MS) for at in range(100))
    assert taken <= 2


def test_rights_beyond_their_tenants_rate_get_no_more_than_it() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    taken = sum(reserve.take(f"v{at % 5}", 400.0, 4.0, 1.0, at * MS) for at in range(10_000))
    assert taken <= 20 * 10 + 2 * 20
