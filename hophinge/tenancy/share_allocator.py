"""Allocation of reserve shares to heads by the control service: collects demand, plans shares and leases them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from msgspec import Struct

from hophinge.tenancy.share_leases import ShareLease, ShareLeaseIssuer
from hophinge.tenancy.share_planner import DemandEstimate, plan_shares

PLAN_INTERVAL_US = 1_000_000  # minimum time between plans


class LeaseRequest(Struct, frozen=True):
    """A head's request for a lease of its shares."""

    head: str
    head_count: int  # number of heads of the installation, as this head knows it
    process: int  # a number that is unique among the processes of this head
    request_number: int
    current_serial: int  # of the lease that the head has; 0: none
    demand: Mapping[str, float]  # units/s by tenant, since the head's last request


class ShareAllocator:
    """The shares of one installation; `next_serial` returns a number above the serial of any earlier lease."""

    def __init__(self, next_serial: Callable[[], int], log: Callable[[str], None]) -> None:
        self.next_serial = next_serial
        self.log = log
        self.issuer: ShareLeaseIssuer | None = None
        self.demand = DemandEstimate()
        self.planned_shares: dict[str, dict[str, float]] = {}  # fractions of a reserve, by tenant and head
        self.planned_at_us = 0

    def answer(
        self,
        now_us: int,
        request: LeaseRequest,
        reserves: Mapping[str, float],
        capacity: float,
        connected_heads: Collection[str],
    ) -> ShareLease | None:
        """Answer a request for a lease.

        Args:
            now_us: The service's monotonic clock.
            request: The head's request.
            reserves: Reserves in units/s by tenant.
            capacity: Capacity of one head in units/s; 0: unknown.
            connected_heads: Names of the heads that are connected.

        Returns:
            A lease; None if nothing may be granted yet or the head is not connected.

        """
        if request.head_count < 1 or request.head not in connected_heads:
            return None
        issuer = self._issuer_for(now_us, request)
        self.demand.report(request.head, request.demand)
        if now_us - self.planned_at_us >= PLAN_INTERVAL_US:
            self.planned_at_us = now_us
            self.planned_shares = self._plan(reserves, capacity, connected_heads, request.head_count)
        desired = {
            tenant: shares[request.head] for tenant, shares in self.planned_shares.items() if request.head in shares
        }
        return issuer.grant(
            now_us, request.head, request.process, request.request_number, request.current_serial, desired
        )

    def _issuer_for(self, now_us: int, request: LeaseRequest) -> ShareLeaseIssuer:
        """Return the issuer for the head count of a request; a new issuer if the head count has changed."""
        if self.issuer is None or self.issuer.head_count != request.head_count:
            if self.issuer is not None:
                self.log(
                    f"{request.head} reports {request.head_count} heads, "
                    f"but {self.issuer.head_count} were reported before: leases of shares start over"
                )
            # A new issuer grants nothing until all high shares that were granted for another head count have ended.
            self.issuer = ShareLeaseIssuer(request.head_count, self.next_serial(), now_us)
        return self.issuer

    def _plan(
        self, reserves: Mapping[str, float], capacity: float, connected_heads: Collection[str], head_count: int
    ) -> dict[str, dict[str, float]]:
        """Plan shares for the connected heads; if planning fails, each head keeps its even share."""
        capacities = dict.fromkeys(connected_heads, capacity or sum(reserves.values()) or 1.0)
        try:
            planned = plan_shares(reserves, capacities, self.demand.rates)
        except ValueError as error:
            self.log(f"no plan for shares, so that heads keep even shares: {error}")
            return {}
        # The issuer leaves disconnected heads their even shares; the plan divides the rest among the others.
        scale = len(connected_heads) / max(head_count, len(connected_heads))
        return {tenant: {head: share * scale for head, share in shares.items()} for tenant, shares in planned.items()}
