"""Bounds of one admitted request, which it keeps until its final answer."""

from __future__ import annotations

from hophinge.routing.failover import BackendView
from hophinge.routing.limits import LimitState
from hophinge.routing.retry_budget import RetryBudget
from hophinge.routing.routing_table import RoutingTable
from hophinge.tenancy.admission import Ticket


class AdmittedRequest:
    """What one request may use, and what it occupies until it is answered; implements `Bounds` of the core."""

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
        self.ticket: Ticket | None = None  # of admission, where heads share spare capacity
        self.attempts = budget.rule.max_attempts if budget is not None else 0
        self.hedge_delay_us = budget.rule.hedge_delay_us if budget is not None else 0

    @property
    def version(self) -> int:
        """A number that changes with the backends that may be used."""
        return self.view.version

    def allows(self, node: str, shard: int) -> bool:
        """Return whether a backend may be used.

        A request for a shard that no backend of its pools holds may leave them: its data is where it is.
        """
        return node in self.view.nodes or (shard >= 0 and shard not in self.view.shards)

    def take_retry(self, now_us: int, attempts: int) -> bool:
        """Take a further attempt from the budget, after `attempts`; returns False if none is left."""
        if self.budget is None:
            return True
        if 0 < self.attempts <= attempts or not self.budget.allows_retry(now_us):
            return False
        self.budget.record_retry(now_us)
        return True
