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

LEASE_S = 3.0  # a lease's length
RENEW_S = 1.0  # between renewals
FIRST_S = 0.25  # between attempts of a member without a lease
ANSWER_S = 1.2  # a granter that has not answered for so long is left for another
FIRST_ANSWER_S = 0.2  # the same for a member without a lease: it serves nobody until one is found
AVOID_S = 4.0  # how long it is not asked again
MARGIN_S = 1.0  # longer than the lease that a granter counts a holder which another granter told of


@wire(60)
@dataclass(frozen=True, slots=True)
class Holder:
    """A member that holds a lease; the identity is drawn anew at each start of its process."""

    identity: str
    name: str
    address: str
    zone: str


@wire(61)
@dataclass(frozen=True, slots=True)
class Renew:
    """Ask for a lease, or for more of it; marks tell what records the holder has."""

    holder: Holder
    marks: tuple[int, ...]
    asked: float  # by the holder's clock; the grant repeats it


@wire(62)
@dataclass(frozen=True, slots=True)
class Grant:
    """A lease, and what a member has to know of the others."""

    lease_s: float
    holders: int  # members that hold leases, as far as the granter knows
    neighbours: tuple[str, ...]  # addresses of some of them
    granters: tuple[Replica, ...]  # the core's replicas, the granter among them
    connected: bool  # the granter hears more than half of the core
    asked: float  # when the holder asked for it, by the holder's clock


@wire(63)
@dataclass(frozen=True, slots=True)
class Leases:
    """What one granter granted, for the others."""

    holders: tuple[Holder, ...]


@dataclass(slots=True)
class Lease:
    """One lease as a granter sees it."""

    holder: Holder
    until: float
    own: bool  # granted here


class LeaseTable:
    """The leases that one granter knows of."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}

    def renew(self, now: float, holder: Holder) -> bool:
        """Grant a lease; tells whether the holder is new here."""
        known = self.leases.get(holder.identity)
        for other in [one for one in self.leases.values() if one.holder.address == holder.address]:
            if other.holder.identity != holder.identity:
                del self.leases[other.holder.identity]  # its process before this one has ended
        self.leases[holder.identity] = Lease(holder, now + LEASE_S, True)
        return known is None or not known.own

    def merge(self, now: float, holders: Iterable[Holder]) -> None:
        """Take what another granter granted."""
        for holder in holders:
            known = self.leases.get(holder.identity)
            if known is None or not known.own or known.until < now:
                self.leases[holder.identity] = Lease(holder, now + LEASE_S + MARGIN_S, False)

    def expire(self, now: float) -> list[Holder]:
        """Drop leases that are over; tells whose."""
        over = [lease for lease in self.leases.values() if lease.until <= now]
        for lease in over:
            del self.leases[lease.holder.identity]
        return [lease.holder for lease in over]

    def own(self) -> list[Holder]:
        """Tell whom leases were granted to here."""
        return [lease.holder for lease in self.leases.values() if lease.own]

    def all(self) -> list[Holder]:
        """Tell all holders known."""
        return [lease.holder for lease in self.leases.values()]


class Renewal:
    """A holder's side: whom to ask for the lease, and when."""

    def __init__(self, zone: str, seeds: tuple[str, ...], random: Random) -> None:
        self.zone, self.seeds, self.random = zone, seeds, random
        self.granters: tuple[Replica, ...] = ()
        self.home: str | None = None
        self.asked: dict[str, float] = {}  # when each granter was last asked; the lease counts from its grant
        self.waiting_since: float | None = None  # when it asked without an answer since
        self.until = float("-inf")  # when the lease is over, as the holder counts
        self.avoided: dict[str, float] = {}  # granters that did not answer or are cut off, and until when
        self.holders = 1
        self.most_holders = 1

    def due(self, now: float) -> str | None:
        """Tell whom to ask now, or None."""
        again, patience = (RENEW_S, ANSWER_S) if self.holds(now) else (FIRST_S, FIRST_ANSWER_S)
        if self.waiting_since is not None and now - self.waiting_since > patience:
            self._avoid(now)
        if self.home is not None and now - self.asked[self.home] < again:
            return None
        if self.home is None:
            self.home = self._choose(now)
        if self.home is not None:
            self.asked[self.home] = now
            self.waiting_since = now if self.waiting_since is None else self.waiting_since
        return self.home

    def _avoid(self, now: float) -> None:
        if self.home is not None:
            self.avoided[self.home] = now + AVOID_S
        self.home, self.waiting_since = None, None

    def _choose(self, now: float) -> str | None:
        """Choose a granter: one of the own zone first; where all are avoided, the one avoided longest."""
        near = [granter.address for granter in self.granters if granter.zone == self.zone]
        others = [granter.address for granter in self.granters if granter.zone != self.zone]
        unknown = [seed for seed in self.seeds if seed not in near and seed not in others]
        for group in (near, others + unknown):
            free = [address for address in group if self.avoided.get(address, now) <= now]
            if free:
                return self.random.choice(free)
        known = near + others + unknown
        return min(known, key=lambda address: self.avoided[address]) if known else None

    def granted(self, now: float, source: str, grant: Grant) -> None:
        """Take a lease; a granter cut off from the core is left for another.

        Without a lease, the answer of any granter that was asked is taken, however late it comes.
        """
        if source not in self.asked or (source != self.home and self.holds(now)):
            return
        self.home, self.waiting_since = source, None
        self.until = max(self.until, min(now, grant.asked) + grant.lease_s)
        self.asked = {source: self.asked[source]}
        self.granters = grant.granters
        self.holders = max(1, grant.holders)
        self.most_holders = max(self.most_holders, self.holders)
        if not grant.connected:
            self._avoid(now)
        elif self._better(now):
            self.home = None

    def _better(self, now: float) -> bool:
        """Tell whether a granter of the own zone could be asked in place of one elsewhere."""
        near = [granter.address for granter in self.granters if granter.zone == self.zone]
        return self.home not in near and any(self.avoided.get(address, now) <= now for address in near)

    def holds(self, now: float) -> bool:
        """Tell whether the lease holds."""
        return now < self.until
