"""What one request was given when it came: the bounds that it keeps until its final answer."""

from __future__ import annotations

from hophinge.routing.limits import LimitState
from hophinge.routing.retry_budget import RetryBudget
from hophinge.routing.routing_table import RoutingTable
from hophinge.routing.failover import BackendView
from hophinge.tenancy.admission import Ticket


class AdmittedRequest:
    """What one request was given when it came."""

    __slots__ = (
        "attempts",
        "budget",
        "name",
        "pool",
        "hedge_delay_us",
        "admitted_us",
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
        self.name, self.table, self.view, self.pool, self.states, self.budget = name, table, view, pool, states, budget
        self.admitted_us = admitted_us
        self.ticket: Ticket | None = None  # of admission, where heads share what is spare
        self.attempts = budget.rule.max_attempts if budget is not None else 0
        self.hedge_delay_us = budget.rule.hedge_delay_us if budget is not None else 0

    @property
    def version(self) -> int:
        """Tell a number that changes with the nodes that may be taken."""
        return self.view.version

    def allows(self, node: str, shard: int) -> bool:
        """Tell whether a node may be used.

        Data lies where it lies: a request bound to a shard that none of its pools' bricks holds may follow it.
        """
        return node in self.view.nodes or (shard >= 0 and shard not in self.view.shards)

    def take_retry(self, now_us: int, attempts: int) -> bool:
        """Take one attempt beyond the so many that it had from the budget."""
        if self.budget is None:
            return True
        if 0 < self.attempts <= attempts or not self.budget.allows_retry(now_us):
            return False
        self.budget.record_retry(now_us)
        return True
