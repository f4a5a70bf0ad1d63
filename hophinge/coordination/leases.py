"""Membership by leases: a member counts as live while it renews its lease at one of the control replicas.

A holder counts its lease from before it sent the request, the granter from after it answered, so that the holder finds
its lease expired first. Granters exchange the leases that they granted; none of this is durable.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from hophinge.coordination.codec import wire
from hophinge.coordination.view import Replica

LEASE_DURATION_S = 3.0
RENEWAL_INTERVAL_S = 1.0
ACQUIRE_RETRY_INTERVAL_S = 0.25  # between the attempts of a member without a lease
RENEWAL_TIMEOUT_S = 1.2  # a granter that has not answered for so long is replaced by another
ACQUIRE_TIMEOUT_S = 0.2  # the same for a member without a lease: it serves nobody until one is found
GRANTER_AVOIDANCE_S = 4.0  # how long such a granter is not chosen again
REMOTE_LEASE_MARGIN_S = 1.0  # that a granter counts a lease of another granter longer than its own


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
    """Ask for a lease or its renewal, with the fingerprints of the records that the holder has."""

    holder: LeaseHolder
    fingerprints: tuple[int, ...]
    requested_at: float  # by the holder's clock; the grant repeats it


@wire(62)
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grant a lease, with what its holder has to know of the other members."""

    lease_s: float
    holder_count: int  # members that hold leases, as far as the granter knows
    neighbours: tuple[str, ...]  # addresses of some of them
    granters: tuple[Replica, ...]  # the control replicas, the granter among them
    is_connected: bool  # the granter hears a majority of the control replicas
    requested_at: float  # as in the request


@wire(63)
@dataclass(frozen=True, slots=True)
class GrantedLeases:
    """The holders of the leases that one granter granted, for the other granters."""

    holders: tuple[LeaseHolder, ...]


@dataclass(slots=True)
class Lease:
    """One lease as a granter observes it."""

    holder: LeaseHolder
    expires_at: float
    is_local: bool  # granted by this granter


class LeaseTable:
    """The leases that one granter knows."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}

    def renew(self, now: float, holder: LeaseHolder) -> bool:
        """Grant or renew a lease; return whether this granter had not granted it before."""
        current = self.leases.get(holder.identity)
        # One address has one process: the one that held a lease before has ended.
        same_address = [lease.holder for lease in self.leases.values() if lease.holder.address == holder.address]
        for other in same_address:
            if other.identity != holder.identity:
                del self.leases[other.identity]
        self.leases[holder.identity] = Lease(holder, now + LEASE_DURATION_S, True)
        return current is None or not current.is_local

    def merge(self, now: float, holders: Iterable[LeaseHolder]) -> None:
        """Merge the leases that another granter granted."""
        for holder in holders:
            current = self.leases.get(holder.identity)
            if current is None or not current.is_local or current.expires_at < now:
                self.leases[holder.identity] = Lease(holder, now + LEASE_DURATION_S + REMOTE_LEASE_MARGIN_S, False)

    def expire(self, now: float) -> list[LeaseHolder]:
        """Remove the leases that have expired, and return their holders."""
        expired = [lease for lease in self.leases.values() if lease.expires_at <= now]
        for lease in expired:
            del self.leases[lease.holder.identity]
        return [lease.holder for lease in expired]

    def local_holders(self) -> list[LeaseHolder]:
        """Return the holders of the leases that were granted here."""
        return [lease.holder for lease in self.leases.values() if lease.is_local]

    def holders(self) -> list[LeaseHolder]:
        """Return the holders of all leases."""
        return [lease.holder for lease in self.leases.values()]


class LeaseRenewal:
    """The holder's side: which granter to contact for the lease, and when."""

    def __init__(self, zone: str, seeds: tuple[str, ...], random: Random) -> None:
        self.zone = zone
        self.seeds = seeds
        self.random = random
        self.granters: tuple[Replica, ...] = ()
        self.granter: str | None = None
        self.last_granter: str | None = None  # that granted the lease last, until it does not answer
        self.requested_at: dict[str, float] = {}  # by granter: when it was last contacted
        self.unanswered_since: float | None = None  # the first request without an answer
        self.expires_at = float("-inf")
        self.avoided_until: dict[str, float] = {}  # by granter that did not answer or is cut off
        self.holder_count = 1
        self.max_holder_count = 1

    def granter_to_contact(self, now: float) -> str | None:
        """Return the address of the granter to contact now, or None."""
        interval_s, timeout_s = (
            (RENEWAL_INTERVAL_S, RENEWAL_TIMEOUT_S)
            if self.holds_lease(now)
            else (ACQUIRE_RETRY_INTERVAL_S, ACQUIRE_TIMEOUT_S)
        )
        if self.unanswered_since is not None and now - self.unanswered_since > timeout_s:
            self.last_granter = None if self.granter == self.last_granter else self.last_granter
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
        self.granter = None
        self.unanswered_since = None

    def _choose_granter(self, now: float) -> str | None:
        """Choose a granter: one of the own zone first; where all are avoided, the latest that granted."""
        same_zone = [granter.address for granter in self.granters if granter.zone == self.zone]
        other_zones = [granter.address for granter in self.granters if granter.zone != self.zone]
        unlisted_seeds = [seed for seed in self.seeds if seed not in same_zone and seed not in other_zones]
        for group in (same_zone, other_zones + unlisted_seeds):
            available = [address for address in group if self.avoided_until.get(address, now) <= now]
            if available:
                return self.random.choice(available)
        addresses = same_zone + other_zones + unlisted_seeds
        if self.last_granter in addresses:
            return self.last_granter
        return min(addresses, key=lambda address: self.avoided_until[address]) if addresses else None

    def handle_grant(self, now: float, source: str, grant: LeaseGrant) -> None:
        """Record a grant; a granter that is cut off from the other control replicas is replaced by another.

        Without a lease, the answer of any granter that was contacted counts, however late it comes.
        """
        if source not in self.requested_at or (source != self.granter and self.holds_lease(now)):
            return
        self.granter = source
        self.last_granter = source
        self.unanswered_since = None
        self.expires_at = max(self.expires_at, min(now, grant.requested_at) + grant.lease_s)
        self.requested_at = {source: self.requested_at[source]}
        self.granters = grant.granters
        self.holder_count = max(1, grant.holder_count)
        self.max_holder_count = max(self.max_holder_count, self.holder_count)
        if not grant.is_connected:
            self._avoid_granter(now)
        elif self._has_granter_in_own_zone(now):
            self.granter = None

    @property
    def relay(self) -> str | None:
        """The granter that passes on what this member tells the others: also one cut off from the other granters.

        On a side without a majority no granter is connected; these members still hear each other through it.
        """
        return self.last_granter or self.granter

    def _has_granter_in_own_zone(self, now: float) -> bool:
        """Return whether a granter of the own zone could replace one of another zone."""
        same_zone = [granter.address for granter in self.granters if granter.zone == self.zone]
        return self.granter not in same_zone and any(
            self.avoided_until.get(address, now) <= now for address in same_zone
        )

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.expires_at
