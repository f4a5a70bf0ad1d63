"""Shares of a reserve between heads that cannot talk to each other: leases, and why their sum never passes the reserve.

A share is a fraction of a tenant's reserve. Without a lease a head has its even share, so the shares add up to one. A
head may have more only while others are bound to have less, and that is arranged by clocks that err on the safe side:

- A share below the even one holds for `LOW_SHARE_TERM_US` from when the head **received** it: the issuer, who sent it
  before, counts on it for that long from the **sending**, once the head has acknowledged it.
- A share above it holds for `HIGH_SHARE_TERM_US` from when the head **requested** it, which was before the issuer sent
  it: the issuer counts on its end that long after the sending.

So what is lost, late or doubled can only shorten a high share and lengthen a low one. Terms are measured by each side's
own monotonic clock; `MAX_CLOCK_DRIFT` covers that they run at different speeds. The issuer grants a head no more than
one less what all others may have, at the worst, while the grant can last. A head that has just started does not know
whether it was bound: it has nothing until a lease says so, or until any such lease has ended. An issuer that has just
started does not know what was granted: it grants nothing until any high share has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct, field

LOW_SHARE_TERM_US = 30_000_000  # what gives holds longer than what takes, or nothing could be renewed
HIGH_SHARE_TERM_US = 10_000_000
MAX_CLOCK_DRIFT = 0.01  # fraction by which two monotonic clocks may differ in speed
MAX_HIGH_SHARE_TERM_US = int(HIGH_SHARE_TERM_US * (1 + MAX_CLOCK_DRIFT)) + 1  # by one's own clock
MIN_LOW_SHARE_TERM_US = int(LOW_SHARE_TERM_US * (1 - MAX_CLOCK_DRIFT))
MAX_OPEN_REQUESTS = 16  # remembered by a head; an answer to an older one comes too late to be worth accepting


class ShareLease(Struct, frozen=True):
    """A lease of shares to one head, as the issuer sends it (JSON)."""

    serial: int  # rises with each lease
    process: int  # of the head, that requested it
    request_number: int = field(name="asked")  # of the request that it answers
    shares: Mapping[str, float]  # fraction of the reserve by tenant; without an entry: the even share


class LeaseRequestHeader(NamedTuple):
    """What a head sends with a request for a lease."""

    request_number: int
    current_serial: int  # of the lease that the head has; 0: none


class ShareLeaseHolder:
    """One head's side; `process` is a number that no other process of this head has."""

    def __init__(self, head_count: int, process: int, now_us: int) -> None:
        self.even_share = 1.0 / head_count
        self.process = process
        self.unbound_after_us = now_us + LOW_SHARE_TERM_US + 1  # by then a lease to an earlier process has ended
        self.sent_requests: dict[int, int] = {}  # by number: when each was sent
        self.request_number = 0
        self.serial = 0
        self.shares: Mapping[str, float] = {}
        self.low_shares_end_us = 0
        self.high_shares_end_us = 0
        self.stale_leases = 0  # leases that came too late, twice or for another process

    def next_request(self, now_us: int) -> LeaseRequestHeader:
        """Return what to send with a request now."""
        self.request_number += 1
        self.sent_requests[self.request_number] = now_us
        while len(self.sent_requests) > MAX_OPEN_REQUESTS:
            del self.sent_requests[next(iter(self.sent_requests))]
        return LeaseRequestHeader(self.request_number, self.serial)

    def accept(self, now_us: int, lease: ShareLease) -> bool:
        """Put a lease in force; False: it is older than the one in force, or answers a request that was dropped."""
        sent_us = self.sent_requests.get(lease.request_number)
        if lease.process != self.process or lease.serial <= self.serial or sent_us is None:
            self.stale_leases += 1
            return False
        self.serial = lease.serial
        self.shares = lease.shares
        self.low_shares_end_us = now_us + LOW_SHARE_TERM_US
        self.high_shares_end_us = sent_us + HIGH_SHARE_TERM_US
        return True

    def share(self, tenant: str, now_us: int) -> float:
        """Return this head's fraction of a tenant's reserve now."""
        share = self.shares.get(tenant)
        if share is not None:
            end_us = self.low_shares_end_us if share < self.even_share else self.high_shares_end_us
            if now_us < end_us:
                return share
        # A lease that leaves a tenant out means the even share; a head that never had a lease waits.
        return self.even_share if self.serial or now_us >= self.unbound_after_us else 0.0


class GrantedShares(Struct):
    """A lease that may be in force at a head, as the issuer knows it."""

    serial: int
    shares: Mapping[str, float]
    sent_us: int


class ShareLeaseIssuer:
    """The control service's side, for all heads of an installation; `serial` is above any that was ever used."""

    def __init__(self, head_count: int, serial: int, now_us: int) -> None:
        self.head_count = head_count
        self.even_share = 1.0 / head_count
        self.serial = serial
        self.grants: dict[str, list[GrantedShares]] = {}  # by head, the oldest first
        self.acknowledged_serials: dict[str, int] = {}  # by head
        self.processes: dict[str, int] = {}  # by head
        self.replaced_processes: set[tuple[str, int]] = set()  # head and process
        self.no_grant_until_us = now_us + MAX_HIGH_SHARE_TERM_US

    def grant(
        self,
        now_us: int,
        head: str,
        process: int,
        request_number: int,
        current_serial: int,
        desired: Mapping[str, float],
    ) -> ShareLease | None:
        """Answer a head's request with what is safe of the desired shares.

        Args:
            now_us: The issuer's monotonic clock.
            head: The head's name.
            process: The number of the head's process.
            request_number: Of the request, returned in the lease.
            current_serial: The serial of the lease that the head has, which this acknowledges; 0: none.
            desired: Fractions of reserves by tenant.

        Returns:
            The lease; None where nothing can be granted yet, or the process was replaced by another one.

        """
        if (head, process) in self.replaced_processes:
            return None
        if self.processes.setdefault(head, process) != process:
            # What bound the earlier process has ended with it; what it was granted may not have.
            self.replaced_processes.add((head, self.processes[head]))
            self.processes[head] = process
            self.acknowledged_serials[head] = 0
        self.acknowledged_serials[head] = max(self.acknowledged_serials.get(head, 0), current_serial)
        if now_us < self.no_grant_until_us:
            return None
        self._drop_ended_grants(now_us, head)
        shares = self._safe_shares(now_us, head, desired)
        self.serial += 1
        self.grants.setdefault(head, []).append(GrantedShares(self.serial, shares, now_us))
        return ShareLease(self.serial, process, request_number, shares)

    def _safe_shares(self, now_us: int, head: str, desired: Mapping[str, float]) -> dict[str, float]:
        """Return the desired shares as far as no other head may have them; even shares are left out."""
        others = [other for other in self.processes if other != head]
        # A head that never sent a request has its even share.
        silent_heads_share = max(0, self.head_count - len(others) - 1) * self.even_share
        tenants = {tenant for grants in self.grants.values() for grant in grants for tenant in grant.shares}
        shares: dict[str, float] = {}
        for tenant in tenants | desired.keys():
            available = 1.0 - silent_heads_share - sum(self._max_share(other, tenant, now_us) for other in others)
            share = max(0.0, min(desired.get(tenant, self.even_share), available))
            if share != self.even_share:
                shares[tenant] = share
        return shares

    def _drop_ended_grants(self, now_us: int, head: str) -> None:
        """Drop grants that the head has replaced, and those whose high shares have ended."""
        acknowledged = self.acknowledged_serials.get(head, 0)
        self.grants[head] = [
            grant
            for grant in self.grants.get(head, ())
            if grant.serial == acknowledged
            or (grant.serial > acknowledged and now_us <= grant.sent_us + MAX_HIGH_SHARE_TERM_US)
        ]

    def _max_share(self, head: str, tenant: str, now_us: int) -> float:
        """Return the largest share that a head may have at any moment while a grant made now can last."""
        max_share = 0.0
        is_bound = False
        for grant in self.grants.get(head, ()):
            share = grant.shares.get(tenant, self.even_share)
            if share < self.even_share:
                # Once it is acknowledged the head has this or a later one until it ends.
                is_acknowledged = grant.serial == self.acknowledged_serials.get(head)
                outlasts = grant.sent_us + MIN_LOW_SHARE_TERM_US >= now_us + MAX_HIGH_SHARE_TERM_US
                is_bound |= is_acknowledged and outlasts
                max_share = max(max_share, share)
            elif share == self.even_share or now_us <= grant.sent_us + MAX_HIGH_SHARE_TERM_US:
                max_share = max(max_share, share)
        return max_share if is_bound else max(max_share, self.even_share)

    def known_heads(self) -> Iterable[str]:
        """Return the heads that ever sent a request."""
        return self.processes.keys()
