"""Membership by leases: a member lives for as long as it renews its lease at one of the core's replicas.

A holder counts its lease from before it asked, the granter from after it answered, so that a holder finds its lease
over first. Granters tell each other whom they granted leases to; none of this is durable.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from hophinge.coordination.codec import wire
from hophinge.coordination.view import Replica

LEASE_DURATION_S = 3.0  # a lease's length
RENEWAL_INTERVAL_S = 1.0  # between renewals
ACQUIRE_RETRY_INTERVAL_S = 0.25  # between attempts of a member without a lease
RENEWAL_TIMEOUT_S = 1.2  # a granter that has not answered for so long is left for another
ACQUIRE_TIMEOUT_S = 0.2  # the same for a member without a lease: it serves nobody until one is found
GRANTER_AVOIDANCE_S = 4.0  # how long it is not asked again
REMOTE_LEASE_MARGIN_S = 1.0  # longer than the lease that a granter counts a holder which another granter told of


@wire(60)
@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """A member that holds a lease; the identity is drawn anew at each start of its process."""

    identity: str
    name: str
    address: str
    zone: str


@wire(61)
@dataclass(frozen=True, slots=True)
class RenewLease:
    """Ask for a lease, or for more of it; marks tell what records the holder has."""

    holder: LeaseHolder
    fingerprints: tuple[int, ...]
    requested_at: float  # by the holder's clock; the grant repeats it


@wire(62)
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease, and what a member has to know of the others."""

    lease_s: float
    holder_count: int  # members that hold leases, as far as the granter knows
    neighbours: tuple[str, ...]  # addresses of some of them
    granters: tuple[Replica, ...]  # the core's replicas, the granter among them
    is_connected: bool  # the granter hears more than half of the core
    requested_at: float  # when the holder asked for it, by the holder's clock


@wire(63)
@dataclass(frozen=True, slots=True)
class GrantedLeases:
    """What one granter granted, for the others."""

    holders: tuple[LeaseHolder, ...]


@dataclass(slots=True)
class Lease:
    """One lease as a granter sees it."""

    holder: LeaseHolder
    expires_at: float
    is_local: bool  # granted here


class LeaseTable:
    """The leases that one granter knows of."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}

    def renew(self, now: float, holder: LeaseHolder) -> bool:
        """Grant a lease; tells whether the holder is new here."""
        current = self.leases.get(holder.identity)
        for other in [one for one in self.leases.values() if one.holder.address == holder.address]:
            if other.holder.identity != holder.identity:
                del self.leases[other.holder.identity]  # its process before this one has ended
        self.leases[holder.identity] = Lease(holder, now + LEASE_DURATION_S, True)
        return current is None or not current.is_local

    def merge(self, now: float, holders: Iterable[LeaseHolder]) -> None:
        """Take what another granter granted."""
        for holder in holders:
            current = self.leases.get(holder.identity)
            if current is None or not current.is_local or current.expires_at < now:
                self.leases[holder.identity] = Lease(holder, now + LEASE_DURATION_S + REMOTE_LEASE_MARGIN_S, False)

    def expire(self, now: float) -> list[LeaseHolder]:
        """Drop leases that are over; tells whose."""
        expired = [lease for lease in self.leases.values() if lease.expires_at <= now]
        for lease in expired:
            del self.leases[lease.holder.identity]
        return [lease.holder for lease in expired]

    def local_holders(self) -> list[LeaseHolder]:
        """Tell whom leases were granted to here."""
        return [lease.holder for lease in self.leases.values() if lease.is_local]

    def holders(self) -> list[LeaseHolder]:
        """Tell all holders known."""
        return [lease.holder for lease in self.leases.values()]


class LeaseRenewal:
    """A holder's side: whom to ask for the lease, and when."""

    def __init__(self, zone: str, seeds: tuple[str, ...], random: Random) -> None:
        self.zone, self.seeds, self.random = zone, seeds, random
        self.granters: tuple[Replica, ...] = ()
        self.granter: str | None = None
        self.requested_at: dict[str, float] = {}  # when each granter was last asked; the lease counts from its grant
        self.unanswered_since: float | None = None  # when it asked without an answer since
        self.expires_at = float("-inf")  # when the lease is over, as the holder counts
        self.avoided_until: dict[str, float] = {}  # granters that did not answer or are cut off, and until when
        self.holder_count = 1
        self.max_holder_count = 1

    def granter_to_contact(self, now: float) -> str | None:
        """Tell whom to ask now, or None."""
        interval_s, timeout_s = (
            (RENEWAL_INTERVAL_S, RENEWAL_TIMEOUT_S)
            if self.holds_lease(now)
            else (ACQUIRE_RETRY_INTERVAL_S, ACQUIRE_TIMEOUT_S)
        )
        if self.unanswered_since is not None and now - self.unanswered_since > timeout_s:
            self._avoid_granter(now)
        if self.granter is not None and now - self.requested_at[self.granter] < interval_s:
            return None
        if self.granter is None:
            self.granter = self._choose_granter(now)
        if self.granter is not None:
            self.requested_at[self.granter] = now
            self.unanswered_since = now if self.unanswered_since is None else self.unanswered_since
        return self.granter

    def _avoid_granter(self, now: float) -> None:
        if self.granter is not None:
            self.avoided_until[self.granter] = now + GRANTER_AVOIDANCE_S
        self.granter, self.unanswered_since = None, None

    def _choose_granter(self, now: float) -> str | None:
        """Choose a granter: one of the own zone first; where all are avoided, the one avoided longest."""
        same_zone = [granter.address for granter in self.granters if granter.zone == self.zone]
        other_zones = [granter.address for granter in self.granters if granter.zone != self.zone]
        unlisted_seeds = [seed for seed in self.seeds if seed not in same_zone and seed not in other_zones]
        for group in (same_zone, other_zones + unlisted_seeds):
            available = [address for address in group if self.avoided_until.get(address, now) <= now]
            if available:
                return self.random.choice(available)
        addresses = same_zone + other_zones + unlisted_seeds
        return min(addresses, key=lambda address: self.avoided_until[address]) if addresses else None

    def handle_grant(self, now: float, source: str, grant: LeaseGrant) -> None:
        """Take a lease; a granter cut off from the core is left for another.

        Without a lease, the answer of any granter that was asked is taken, however late it comes.
        """
        if source not in self.requested_at or (source != self.granter and self.holds_lease(now)):
            return
        self.granter, self.unanswered_since = source, None
        self.expires_at = max(self.expires_at, min(now, grant.requested_at) + grant.lease_s)
        self.requested_at = {source: self.requested_at[source]}
        self.granters = grant.granters
        self.holder_count = max(1, grant.holder_count)
        self.max_holder_count = max(self.max_holder_count, self.holder_count)
        if not grant.is_connected:
            self._avoid_granter(now)
        elif self._has_granter_in_own_zone(now):
            self.granter = None

    def _has_granter_in_own_zone(self, now: float) -> bool:
        """Tell whether a granter of the own zone could be asked in place of one elsewhere."""
        same_zone = [granter.address for granter in self.granters if granter.zone == self.zone]
        return self.granter not in same_zone and any(
            self.avoided_until.get(address, now) <= now for address in same_zone
        )

    def holds_lease(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return now < self.expires_at
