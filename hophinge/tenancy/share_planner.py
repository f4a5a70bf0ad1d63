"""Who should have which part of a reserve at which head: a linear programme over recent demand and capacity.

For each tenant and head the wanted part is the head's part of the tenant's demand. What is planned differs from that
by as little as the heads' capacities allow: parts of a tenant add up to its reserve, planned reserves of a head stay
within its capacity. The solver is HiGHS; without demand that differs nothing is solved.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import highspy
import numpy as np
from msgspec import Struct

EVENLY_SPREAD_FRACTION = (
    0.25  # part of a tenant's reserve that is spread evenly, for demand that moves before shares do
)
DEMAND_SMOOTHING = 0.7  # weight kept by demand seen before, at each new report


class CapacityShortfall(Struct, frozen=True):
    """A promise that cannot be kept, with its proof: all reserves together are more than all capacity."""

    reserved: float  # units/s
    capacity: float

    def __str__(self) -> str:
        return (
            f"the tenants' reserves add up to {self.reserved:g} units/s; the heads do {self.capacity:g}: "
            f"lower reserves by {self.reserved - self.capacity:g} units/s or add heads"
        )


def find_shortfall(reserves: Mapping[str, float], capacities: Mapping[str, float]) -> CapacityShortfall | None:
    """Tell whether reserves can be promised at all.

    Any tenant may be served at any head, so a plan exists if and only if the sum of reserves is within the sum of
    capacities: then giving each head its capacity's part of each reserve is one; else no plan can be.
    """
    reserved, capacity = sum(reserves.values()), sum(capacities.values())
    return CapacityShortfall(reserved, capacity) if reserved > capacity * (1 + 1e-9) else None


class DemandEstimate:
    """Recent demand by tenant and head, in units a second; a head that went silent fades with the reports of others."""

    def __init__(self) -> None:
        self.rates: dict[str, dict[str, float]] = {}

    def report(self, head: str, rates: Mapping[str, float]) -> None:
        """Take what one head saw since its last report; what it does not name was not asked for."""
        for tenant in rates.keys() | {name for name, heads in self.rates.items() if head in heads}:
            heads = self.rates.setdefault(tenant, {})
            heads[head] = heads.get(head, 0.0) * DEMAND_SMOOTHING + rates.get(tenant, 0.0) * (1 - DEMAND_SMOOTHING)
            if heads[head] < 1e-6:
                del heads[head]
                if not heads:
                    del self.rates[tenant]

    def forget(self, head: str) -> None:
        """Forget a head that is not there."""
        for heads in self.rates.values():
            heads.pop(head, None)


def plan_shares(
    reserves: Mapping[str, float],
    capacities: Mapping[str, float],
    demand: Mapping[str, Mapping[str, float]],
) -> dict[str, dict[str, float]]:
    """Plan parts of 1 by tenant and head; tenants without demand or reserve are left out and keep their even parts.

    Raises ValueError where the reserves do not fit; ask `fits` first, for the reason.
    """
    heads = sorted(capacities)
    if find_shortfall(reserves, capacities) is not None:
        raise ValueError("the reserves do not fit the capacities")
    planned_tenants = [
        name for name in sorted(reserves) if reserves[name] > 0 and sum(demand.get(name, {}).values()) > 0
    ]
    if not planned_tenants or not heads:
        return {}
    unplanned_rate = sum(rate for name, rate in reserves.items() if name not in set(planned_tenants)) / len(heads)
    desired = np.empty((len(planned_tenants), len(heads)))
    for row, name in enumerate(planned_tenants):
        rates = np.array([max(0.0, demand[name].get(head, 0.0)) for head in heads])
        total = rates.sum()
        fractions = rates / total if total > 0 else np.full(len(heads), 1.0 / len(heads))
        desired[row] = reserves[name] * ((1 - EVENLY_SPREAD_FRACTION) * fractions + EVENLY_SPREAD_FRACTION / len(heads))
    available = np.array([capacities[head] - unplanned_rate for head in heads])
    # Where nothing is short the wanted parts are the optimum, by their cost of 0.
    planned = desired if (desired.sum(axis=0) <= available + 1e-9).all() else _solve(desired, available)
    return {
        name: {head: float(planned[row, at] / reserves[name]) for at, head in enumerate(heads)}
        for row, name in enumerate(planned_tenants)
    }


def _solve(
    desired: np.ndarray[tuple[int, int], np.dtype[np.float64]],
    available: Sequence[float] | np.ndarray[tuple[int], np.dtype[np.float64]],
) -> np.ndarray[tuple[int, int], np.dtype[np.float64]]:
    """Solve for shares nearest to the wanted ones: within the wanted part free, beyond it at a cost."""
    tenants, heads = desired.shape
    count = tenants * heads
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = 2 * count, tenants + heads
    model.col_cost_ = np.concatenate([np.zeros(count), np.ones(count)])
    model.col_lower_ = np.zeros(2 * count)
    model.col_upper_ = np.concatenate([desired.reshape(-1), np.full(count, highspy.kHighsInf)])
    sums = desired.sum(axis=1)
    # Heads that lack room for what does not move (their rows would be infeasible) give it to the others by the sums.
    model.row_lower_ = np.concatenate([sums, np.full(heads, -highspy.kHighsInf)])
    model.row_upper_ = np.concatenate([sums, np.maximum(np.asarray(available), 0.0)])
    index, start = [], [0]
    for _ in range(2):
        for tenant in range(tenants):
            for head in range(heads):
                index += [tenant, tenants + head]
                start.append(len(index))
    model.a_matrix_.format_ = highspy.MatrixFormat.kColwise
    model.a_matrix_.start_ = np.array(start, dtype=np.int32)
    model.a_matrix_.index_ = np.array(index, dtype=np.int32)
    model.a_matrix_.value_ = np.ones(len(index))
    solver = highspy.Highs()  # type: ignore[no-untyped-call]
    solver.setOptionValue("output_flag", False)
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ValueError(f"no plan: {solver.modelStatusToString(solver.getModelStatus())}")
    values = np.asarray(solver.getSolution().col_value)
    planned: np.ndarray[tuple[int, int], np.dtype[np.float64]] = (values[:count] + values[count:]).reshape(
        tenants, heads
    )
    return planned
