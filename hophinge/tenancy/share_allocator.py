"""The control service's decisions on shares: demand as heads tell it, a plan of it, and what of that may be leased."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from msgspec import Struct

from hophinge.tenancy.share_leases import Issuer, Lease
from hophinge.tenancy.share_planner import Demand, plan

PLAN_US = 1_000_000  # between plans


class LeaseAsk(Struct, frozen=True):
    """A head that asks for its shares."""

    head: str
    heads: int  # that it counts in its installation
    process: int
    asked: int
    held: int
    demand: Mapping[str, float]  # units a second by tenant, since its last ask


class Allotment:
    """One installation's shares; `serials` tells a number above any that was used by a lease."""

    def __init__(self, serials: Callable[[], int], log: Callable[[str], None]) -> None:
        self.serials, self.log = serials, log
        self.issuer: Issuer | None = None
        self.demand = Demand()
        self.planned: dict[str, dict[str, float]] = {}
        self.planned_at = 0

    def answer(
        self, now_us: int, ask: LeaseAsk, reserves: Mapping[str, float], capacity: float, here: Collection[str]
    ) -> Lease | None:
        """Answer an ask; `capacity` is one head's in units a second, 0: not known; `here` are the heads connected."""
        if ask.heads < 1 or ask.head not in here:
            return None
        if self.issuer is None or self.issuer.heads != ask.heads:
            if self.issuer is not None:
                self.log(f"{ask.head} counts {ask.heads} heads, another {self.issuer.heads}: shares begin anew")
            # Also where the count has changed: what was granted under another one must have ended first.
            self.issuer = Issuer(ask.heads, self.serials(), now_us)
        self.demand.report(ask.head, ask.demand)
        if now_us - self.planned_at >= PLAN_US:
            self.planned_at, self.planned = now_us, self._plan(reserves, capacity, here, ask.heads)
        wanted = {tenant: parts[ask.head] for tenant, parts in self.planned.items() if ask.head in parts}
        return self.issuer.grant(now_us, ask.head, ask.process, ask.asked, ask.held, wanted)

    def _plan(
        self, reserves: Mapping[str, float], capacity: float, here: Collection[str], heads: int
    ) -> dict[str, dict[str, float]]:
        """Plan over the heads that are here; a plan that fails leaves each its even part."""
        try:
            parts = plan(reserves, dict.fromkeys(here, capacity or sum(reserves.values()) or 1.0), self.demand.rates)
        except ValueError as error:
            self.log(f"shares stay even: {error}")
            return {}
        # Heads that are away keep their even parts, which the issuer sees to; the rest is planned among those here.
        scale = len(here) / max(heads, len(here))
        return {tenant: {head: part * scale for head, part in shares.items()} for tenant, shares in parts.items()}
