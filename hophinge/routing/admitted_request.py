"""The bounds that apply to one admitted request until its final response."""

from __future__ import annotations

from hophinge.routing.failover import BackendView
from hophinge.routing.limits import LimitState
from hophinge.routing.retry_budget import RetryBudget
from hophinge.routing.routing_table import RoutingTable
from hophinge.tenancy.admission import Ticket


class AdmittedRequest:
    """What one request may use, and the counters that it holds until it is answered; implements the core's `Bounds`."""

    __slots__ = (
        "admitted_us",
        "attempts",
        "budget",
        "hedge_delay_us",
        "name",
        "pool",
        "states",
        "table",
        "ticket",
        "view",
    )

    def __init__(
        self,
        name: str,
        table: RoutingTable,
        view: BackendView,
        pool: str,
        states: tuple[LimitState, ...],
        budget: RetryBudget | None,
        admitted_us: int,
    ) -> None:
        self.name = name
        self.table = table
        self.view = view
        self.pool = pool
        self.states = states
        self.budget = budget
        self.admitted_us = admitted_us
        self.ticket: Ticket | None = None  # admission ticket; None unless the head shares spare capacity
        self.attempts = budget.rule.max_attempts if budget is not None else 0
        self.hedge_delay_us = budget.rule.hedge_delay_us if budget is not None else 0

    @property
    def version(self) -> int:
        """Version of the set of usable backends; it changes whenever the set does."""
        return self.view.version

    def allows(self, node: str, shard: int) -> bool:
        """Return whether the request may be sent to a backend.

        If no backend of the request's pools holds its shard, backends outside the pools are allowed too, since only
        a backend that holds the shard has the data.
        """
        return node in self.view.nodes or (shard >= 0 and shard not in self.view.shards)

    def take_retry(self, now_us: int, attempts: int) -> bool:
        """Charge one retry to the budget, after `attempts` attempts; return False if no retry is allowed."""
        if self.budget is None:
            return True
        if 0 < self.attempts <= attempts or not self.budget.allows_retry(now_us):
            return False
        self.budget.record_retry(now_us)
        return True
