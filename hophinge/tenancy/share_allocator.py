"""The control service's decisions on shares: demand as heads tell it, a plan of it, and what of that may be leased."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from msgspec import Struct

from hophinge.tenancy.share_leases import ShareLeaseIssuer, ShareLease
from hophinge.tenancy.share_planner import DemandEstimate, plan_shares

PLAN_INTERVAL_US = 1_000_000  # between plans


class LeaseRequest(Struct, frozen=True):
    """A head that asks for its shares."""

    head: str
    head_count: int  # that it counts in its installation
    process: int
    request_number: int
    held_serial: int
    demand: Mapping[str, float]  # units a second by tenant, since its last ask


class ShareAllocator:
    """One installation's shares; `serials` tells a number above any that was used by a lease."""

    def __init__(self, next_serial: Callable[[], int], log: Callable[[str], None]) -> None:
        self.next_serial, self.log = next_serial, log
        self.issuer: ShareLeaseIssuer | None = None
        self.demand = DemandEstimate()
        self.planned_shares: dict[str, dict[str, float]] = {}
        self.planned_at_us = 0

    def answer(
        self,
        now_us: int,
        request: LeaseRequest,
        reserves: Mapping[str, float],
        capacity: float,
        connected_heads: Collection[str],
    ) -> ShareLease | None:
        """Answer an ask; `capacity` is one head's in units a second, 0: not known; `here` are the heads connected."""
        if request.head_count < 1 or request.head not in connected_heads:
            return None
        if self.issuer is None or self.issuer.head_count != request.head_count:
            if self.issuer is not None:
                self.log(
                    f"{request.head} counts {request.head_count} heads, "
                    f"another {self.issuer.head_count}: shares begin anew"
                )
            # Also where the count has changed: what was granted under another one must have ended first.
            self.issuer = ShareLeaseIssuer(request.head_count, self.next_serial(), now_us)
        self.demand.report(request.head, request.demand)
        if now_us - self.planned_at_us >= PLAN_INTERVAL_US:
            self.planned_at_us, self.planned_shares = (
                now_us,
                self._plan(reserves, capacity, connected_heads, request.head_count),
            )
        desired = {
            tenant: parts[request.head] for tenant, parts in self.planned_shares.items() if request.head in parts
        }
        return self.issuer.grant(
            now_us, request.head, request.process, request.request_number, request.held_serial, desired
        )

    def _plan(
        self, reserves: Mapping[str, float], capacity: float, connected_heads: Collection[str], head_count: int
    ) -> dict[str, dict[str, float]]:
        """Plan over the heads that are here; a plan that fails leaves each its even part."""
        try:
            planned = plan_shares(
                reserves, dict.fromkeys(connected_heads, capacity or sum(reserves.values()) or 1.0), self.demand.rates
            )
        except ValueError as error:
            self.log(f"shares stay even: {error}")
            return {}
        # Heads that are away keep their even parts, which the issuer sees to; the rest is planned among those here.
        scale = len(connected_heads) / max(head_count, len(connected_heads))
        return {tenant: {head: part * scale for head, part in shares.items()} for tenant, shares in planned.items()}
