"""Planning of reserve shares: a linear programme over recent demand and the capacity of heads.

A head's desired share follows its share of the tenant's demand, apart from a fraction that is spread evenly. The plan
deviates from the desired shares as little as the capacities of the heads allow. The shares of a tenant add up to its
reserve, and the planned reserves of a head stay within its capacity. The solver is HiGHS; it is not run if the desired
shares fit the capacities.
"""

from __future__ import annotations

from collections.abc import Mapping

import highspy
import numpy as np
from msgspec import Struct

# Fraction of a reserve that is spread evenly, because demand can move to another head faster than shares do.
EVENLY_SPREAD_FRACTION = 0.25
DEMAND_SMOOTHING = 0.7  # weight of earlier demand in the moving average
MIN_RATE = 1e-6  # units/s; demand below this counts as none
TOLERANCE = 1e-9  # for rounding errors of sums

Matrix = np.ndarray[tuple[int, int], np.dtype[np.float64]]  # tenants by heads
Vector = np.ndarray[tuple[int], np.dtype[np.float64]]


class CapacityShortfall(Struct, frozen=True):
    """Reserves that cannot be guaranteed, because their sum exceeds the capacity of all heads."""

    reserved: float  # units/s
    capacity: float

    def __str__(self) -> str:
        return (
            f"the tenants' reserves add up to {self.reserved:g} units/s; the heads serve only {self.capacity:g}: "
            f"lower reserves by {self.reserved - self.capacity:g} units/s or add heads"
        )


def find_shortfall(reserves: Mapping[str, float], capacities: Mapping[str, float]) -> CapacityShortfall | None:
    """Return the reserves and the capacity if the reserves exceed it; None if they fit.

    Any tenant may be served at any head, so a plan exists if and only if the sum of reserves is within the sum of
    capacities. If it is, dividing each reserve in proportion to the heads' capacities is such a plan.
    """
    reserved, capacity = sum(reserves.values()), sum(capacities.values())
    return CapacityShortfall(reserved, capacity) if reserved > capacity * (1 + TOLERANCE) else None


class DemandEstimate:
    """Recent demand in units/s by tenant and head, as an exponential moving average of the heads' reports."""

    def __init__(self) -> None:
        self.rates: dict[str, dict[str, float]] = {}

    def report(self, head: str, rates: Mapping[str, float]) -> None:
        """Apply the rates that one head observed since its last report; tenants without an entry had no demand."""
        for tenant in rates.keys() | {name for name, heads in self.rates.items() if head in heads}:
            heads = self.rates.setdefault(tenant, {})
            heads[head] = heads.get(head, 0.0) * DEMAND_SMOOTHING + rates.get(tenant, 0.0) * (1 - DEMAND_SMOOTHING)
            if heads[head] < MIN_RATE:
                del heads[head]
                if not heads:
                    del self.rates[tenant]

    def forget(self, head: str) -> None:
        """Drop the demand of a removed head."""
        for heads in self.rates.values():
            heads.pop(head, None)


def plan_shares(
    reserves: Mapping[str, float],
    capacities: Mapping[str, float],
    demand: Mapping[str, Mapping[str, float]],
) -> dict[str, dict[str, float]]:
    """Return shares by tenant and head, as fractions of 1.

    Tenants without demand or without a reserve are left out; they have even shares.

    Raises:
        ValueError: The reserves exceed the capacities (`find_shortfall` returns by how much), or the solver failed.

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
    # If the desired shares fit all capacities they are the optimum, because their cost is 0.
    planned = desired if (desired.sum(axis=0) <= available + TOLERANCE).all() else _solve(desired, available)
    return {
        name: {head: float(planned[row, column] / reserves[name]) for column, head in enumerate(heads)}
        for row, name in enumerate(planned_tenants)
    }


def _programme(desired: Matrix, available: Vector) -> highspy.HighsLp:
    """Return the linear programme that minimizes the rates beyond the desired ones.

    The rate of a tenant at a head has two columns: the part up to the desired rate has no cost, the part beyond it has
    a cost of 1. One row per tenant fixes the sum of its rates; one row per head bounds the sum of its rates by what is
    available.
    """
    tenants, heads = desired.shape
    count = tenants * heads
    model = highspy.HighsLp()
    model.num_col_ = 2 * count
    model.num_row_ = tenants + heads
    model.col_cost_ = np.concatenate([np.zeros(count), np.ones(count)])
    model.col_lower_ = np.zeros(2 * count)
    model.col_upper_ = np.concatenate([desired.reshape(-1), np.full(count, highspy.kHighsInf)])
    sums = desired.sum(axis=1)
    # A head that lacks capacity even for its unplanned rates would make its row infeasible, so its bound is at least 0.
    model.row_lower_ = np.concatenate([sums, np.full(heads, -highspy.kHighsInf)])
    model.row_upper_ = np.concatenate([sums, np.maximum(available, 0.0)])
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
    return model


def _solve(desired: Matrix, available: Vector) -> Matrix:
    """Return the feasible rates that are nearest to the desired ones; raises ValueError if there are none."""
    solver = highspy.Highs()  # type: ignore[no-untyped-call]  # the library's stubs leave the constructor untyped
    solver.setOptionValue("output_flag", False)
    solver.passModel(_programme(desired, available))
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ValueError(f"the solver found no plan: {solver.modelStatusToString(solver.getModelStatus())}")
    values = np.asarray(solver.getSolution().col_value)
    count = desired.size
    planned: Matrix = (values[:count] + values[count:]).reshape(desired.shape)
    return planned
