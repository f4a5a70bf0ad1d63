"""Leases that divide a reserve between heads which do not communicate; their shares never add up to more than one.

A share is a fraction of a tenant's reserve. Without a lease, each head has an even share, and these add up to one. A
head may have a higher share only while leases bind other heads to lower ones. The terms of leases are measured so that
any delay is on the safe side:

- A share below the even share (a low share) is in force for `LOW_SHARE_TERM_US` from when the head **received** it. The
  issuer relies on it for that long from when it **sent** it, which was earlier, and only once the head has acknowledged
  it.
- A share above the even share (a high share) is in force for `HIGH_SHARE_TERM_US` from when the head **requested** it.
  The issuer assumes that it ends that long after it **sent** it, which was later.

Lost, delayed or duplicated messages can therefore only shorten a high share and lengthen a low one. Each side measures
terms by its own monotonic clock; `MAX_CLOCK_DRIFT` allows for clocks that run at different speeds. The issuer grants a
head at most one minus the largest shares that all other heads may have while the grant can last.

A head that has just started does not know whether an earlier process was bound to low shares. It uses a share of 0
until it receives a lease, or until any earlier lease has ended. An issuer that has just started does not know which
shares were granted. It grants nothing until all high shares have ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct, field

LOW_SHARE_TERM_US = 30_000_000  # must exceed the term of high shares, or those could not be renewed
HIGH_SHARE_TERM_US = 10_000_000
MAX_CLOCK_DRIFT = 0.01  # fraction by which the speeds of two monotonic clocks may differ
MAX_HIGH_SHARE_TERM_US = int(HIGH_SHARE_TERM_US * (1 + MAX_CLOCK_DRIFT)) + 1  # by the issuer's clock
MIN_LOW_SHARE_TERM_US = int(LOW_SHARE_TERM_US * (1 - MAX_CLOCK_DRIFT))
MAX_OPEN_REQUESTS = 16  # requests that a head keeps; a lease that answers an older request is rejected


class ShareLease(Struct, frozen=True):
    """A lease of shares to one head, which the issuer sends as JSON."""

    serial: int  # increases with each lease
    process: int  # number of the head's process that requested it
    request_number: int = field(name="asked")  # of the request that this lease answers
    shares: Mapping[str, float]  # fraction of the reserve by tenant; the even share for tenants without an entry


class LeaseRequestHeader(NamedTuple):
    """The part of a lease request that identifies the request and acknowledges the current lease."""

    request_number: int
    current_serial: int  # of the lease that the head has; 0: none


class ShareLeaseHolder:
    """The side of one head; `process` is a number that is unique among the processes of this head."""

    def __init__(self, head_count: int, process: int, now_us: int) -> None:
        self.even_share = 1.0 / head_count
        self.process = process
        self.unbound_after_us = now_us + LOW_SHARE_TERM_US + 1  # by then any lease to an earlier process has ended
        self.sent_requests: dict[int, int] = {}  # time of sending by request number
        self.request_number = 0
        self.serial = 0
        self.shares: Mapping[str, float] = {}
        self.low_shares_end_us = 0
        self.high_shares_end_us = 0
        self.stale_leases = 0  # leases that were late, duplicated or for another process

    def next_request(self, now_us: int) -> LeaseRequestHeader:
        """Return the header of a request that is sent now."""
        self.request_number += 1
        self.sent_requests[self.request_number] = now_us
        while len(self.sent_requests) > MAX_OPEN_REQUESTS:
            del self.sent_requests[next(iter(self.sent_requests))]
        return LeaseRequestHeader(self.request_number, self.serial)

    def accept(self, now_us: int, lease: ShareLease) -> bool:
        """Put a lease in force; False: it is stale, for another process, or answers a request that was dropped."""
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
        """Return this head's current fraction of a tenant's reserve."""
        share = self.shares.get(tenant)
        if share is not None:
            end_us = self.low_shares_end_us if share < self.even_share else self.high_shares_end_us
            if now_us < end_us:
                return share
        # Tenants without an entry have the even share. A head without any lease must wait for earlier leases to end.
        return self.even_share if self.serial or now_us >= self.unbound_after_us else 0.0


class GrantedShares(Struct):
    """The issuer's record of a lease that may be in force at a head."""

    serial: int
    shares: Mapping[str, float]
    sent_us: int


class ShareLeaseIssuer:
    """The side of the control service, for all heads of an installation.

    `serial` must be at least the serial of every earlier lease.
    """

    def __init__(self, head_count: int, serial: int, now_us: int) -> None:
        self.head_count = head_count
        self.even_share = 1.0 / head_count
        self.serial = serial
        self.grants: dict[str, list[GrantedShares]] = {}  # by head, oldest first
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
        """Answer a head's request with the desired shares, as far as they are safe to grant.

        Args:
            now_us: The issuer's monotonic clock.
            head: The head's name.
            process: The number of the head's process.
            request_number: Number of the request; returned in the lease.
            current_serial: The serial of the lease that the head has, which this acknowledges; 0: none.
            desired: Desired fractions of the reserves, by tenant.

        Returns:
            The lease; None if nothing can be granted yet or the process was replaced by another one.

        """
        if (head, process) in self.replaced_processes:
            return None
        if self.processes.setdefault(head, process) != process:
            # Low shares no longer bind the head after a restart, but the high shares of its grants may still be in use.
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
        """Return the desired shares, limited to what no other head may have; even shares are left out."""
        others = [other for other in self.processes if other != head]
        # A head that never sent a request counts with its even share.
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
        """Drop grants older than the acknowledged one, and unacknowledged ones whose high shares have ended."""
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
                # The head is bound by an acknowledged lease, or a later one, until the term of the low share ends.
                is_acknowledged = grant.serial == self.acknowledged_serials.get(head)
                outlasts = grant.sent_us + MIN_LOW_SHARE_TERM_US >= now_us + MAX_HIGH_SHARE_TERM_US
                is_bound |= is_acknowledged and outlasts
                max_share = max(max_share, share)
            elif share == self.even_share or now_us <= grant.sent_us + MAX_HIGH_SHARE_TERM_US:
                max_share = max(max_share, share)
        return max_share if is_bound else max(max_share, self.even_share)

    def known_heads(self) -> Iterable[str]:
        """Return the heads that have sent a request to this issuer."""
        return self.processes.keys()
