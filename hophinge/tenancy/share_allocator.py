"""The control service's decisions on shares: demand as heads report it, a plan for it, and what of that is leased."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from msgspec import Struct

from hophinge.tenancy.share_leases import ShareLease, ShareLeaseIssuer
from hophinge.tenancy.share_planner import DemandEstimate, plan_shares

PLAN_INTERVAL_US = 1_000_000  # between plans


class LeaseRequest(Struct, frozen=True):
    """A head's request for its shares."""

    head: str
    head_count: int  # heads of the installation, as it counts them
    process: int  # a number that no other process of the head has
    request_number: int
    current_serial: int  # of the lease that it has; 0: none
    demand: Mapping[str, float]  # units a second by tenant, since its last request


class ShareAllocator:
    """One installation's shares; `next_serial` returns a number above any that was used by a lease."""

    def __init__(self, next_serial: Callable[[], int], log: Callable[[str], None]) -> None:
        self.next_serial = next_serial
        self.log = log
        self.issuer: ShareLeaseIssuer | None = None
        self.demand = DemandEstimate()
        self.planned_shares: dict[str, dict[str, float]] = {}  # by tenant and head
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
            reserves: Units a second by tenant.
            capacity: Of one head, in units a second; 0: not known.
            connected_heads: Names of the heads that are connected.

        Returns:
            A lease; None where nothing may be granted yet, or the head is not connected.

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
        """Return the issuer for the count of heads of a request; a new one where that has changed."""
        if self.issuer is None or self.issuer.head_count != request.head_count:
            if self.issuer is not None:
                self.log(
                    f"{request.head} counts {request.head_count} heads, "
                    f"another {self.issuer.head_count}: shares begin anew"
                )
            # Also where the count has changed: what was granted under another one must have ended first.
            self.issuer = ShareLeaseIssuer(request.head_count, self.next_serial(), now_us)
        return self.issuer

    def _plan(
        self, reserves: Mapping[str, float], capacity: float, connected_heads: Collection[str], head_count: int
    ) -> dict[str, dict[str, float]]:
        """Plan over the connected heads; a plan that fails leaves each head its even share."""
        capacities = dict.fromkeys(connected_heads, capacity or sum(reserves.values()) or 1.0)
        try:
            planned = plan_shares(reserves, capacities, self.demand.rates)
        except ValueError as error:
            self.log(f"shares stay even: {error}")
            return {}
        # Heads that are away keep their even shares, which the issuer sees to; the rest is planned among the others.
        scale = len(connected_heads) / max(head_count, len(connected_heads))
        return {tenant: {head: share * scale for head, share in shares.items()} for tenant, shares in planned.items()}
