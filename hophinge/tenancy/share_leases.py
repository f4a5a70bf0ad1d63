"""Shares of a reserve between heads that cannot talk to each other: leases, and why their sum never passes it.

A share is a part of a tenant's reserve. Without a lease a head has its even part, so the parts add up to one. A head
may have more only while others are bound to have less, and that is arranged by clocks that err on the safe side:

- A share below the even part holds for `LOW_US` from when the head **received** it: the issuer, who sent it before,
  counts on it for that long from the **sending**, once the head has acknowledged it.
- A share above it holds for `HIGH_US` from when the head **asked**, which was before the issuer sent it: the issuer
  counts on its end that long after the sending.

So what is lost, late or doubled can only shorten a high share and lengthen a low one. Spans are measured by each side's
own steady clock; `DRIFT` covers that they run at different speeds. The issuer grants a head no more than one less what
all others may have, at the worst, while the grant can last. A head that has just started does not know whether it was
bound: it has nothing until a lease says so, or until any such promise has ended. An issuer that has just started does
not know what was granted: it grants nothing until any high share has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

LOW_SHARE_TERM_US = 30_000_000  # what gives holds longer than what takes, or nothing could be renewed
HIGH_SHARE_TERM_US = 10_000_000
MAX_CLOCK_DRIFT = 0.01  # part by which two steady clocks may differ in speed
MAX_HIGH_SHARE_TERM_US = int(HIGH_SHARE_TERM_US * (1 + MAX_CLOCK_DRIFT)) + 1  # of the other side's clock, by one's own
MIN_LOW_SHARE_TERM_US = int(LOW_SHARE_TERM_US * (1 - MAX_CLOCK_DRIFT))
MAX_OPEN_REQUESTS = 16  # remembered by a head; an answer to an older one comes too late to be worth taking


class ShareLease(Struct, frozen=True):
    """What the issuer tells one head: its share by tenant, in parts of the reserve; left out is the even one."""

    serial: int  # rises with each lease
    process: int  # of the head, that asked
    request_number: int = field(name="asked")  # the request that it answers
    shares: Mapping[str, float]


class ShareLeaseHolder:
    """One head's side; `process` is a number that no other process of this head has."""

    def __init__(self, head_count: int, process: int, now_us: int) -> None:
        self.even_share, self.process = 1.0 / head_count, process
        self.unbound_after_us = (
            now_us + LOW_SHARE_TERM_US + 1
        )  # by then a promise of a process before this one has ended
        self.sent_requests: dict[int, int] = {}  # when each was sent
        self.request_number = 0
        self.serial = 0
        self.shares: Mapping[str, float] = {}
        self.low_shares_end_us = self.high_shares_end_us = 0
        self.stale_leases = 0  # leases that came too late, twice or for another process

    def next_request(self, now_us: int) -> tuple[int, int]:
        """Tell what to send: the number of this ask, and the serial of the lease that is held."""
        self.request_number += 1
        self.sent_requests[self.request_number] = now_us
        while len(self.sent_requests) > MAX_OPEN_REQUESTS:
            del self.sent_requests[next(iter(self.sent_requests))]
        return self.request_number, self.serial

    def accept(self, now_us: int, lease: ShareLease) -> bool:
        """Take a lease; False: it is older than what is held, or answers an ask that is forgotten."""
        sent = self.sent_requests.get(lease.request_number)
        if lease.process != self.process or lease.serial <= self.serial or sent is None:
            self.stale_leases += 1
            return False
        self.serial, self.shares = lease.serial, lease.shares
        self.low_shares_end_us, self.high_shares_end_us = now_us + LOW_SHARE_TERM_US, sent + HIGH_SHARE_TERM_US
        return True

    def share(self, tenant: str, now_us: int) -> float:
        """Tell this head's part of a tenant's reserve now."""
        share = self.shares.get(tenant)
        if share is not None and now_us < (
            self.low_shares_end_us if share < self.even_share else self.high_shares_end_us
        ):
            return share
        # Whoever holds a lease that leaves a tenant out was told the even part; whoever never held one waits.
        return self.even_share if self.serial or now_us >= self.unbound_after_us else 0.0


class GrantedShares(Struct):
    """A lease that may be in force at a head, as the issuer knows it."""

    serial: int
    shares: Mapping[str, float]
    sent_us: int


class ShareLeaseIssuer:
    """The control service's side, for all heads of an installation; `serial` is above any that was ever used."""

    def __init__(self, head_count: int, serial: int, now_us: int) -> None:
        self.head_count, self.even_share, self.serial = head_count, 1.0 / head_count, serial
        self.grants: dict[str, list[GrantedShares]] = {}  # by head, the oldest first
        self.acknowledged_serials: dict[str, int] = {}
        self.processes: dict[str, int] = {}
        self.replaced_processes: set[tuple[str, int]] = set()  # processes that were followed by another
        self.no_grant_until_us = now_us + MAX_HIGH_SHARE_TERM_US

    def grant(
        self,
        now_us: int,
        head: str,
        process: int,
        request_number: int,
        held_serial: int,
        desired: Mapping[str, float],
    ) -> ShareLease | None:
        """Answer an ask of a head that holds the lease `held` (0: none) with what is safe of the wanted shares.

        None: nothing can be told yet, or it is the ask of a process that has been followed by another.
        """
        if (head, process) in self.replaced_processes:
            return None
        if self.processes.setdefault(head, process) != process:
            # What the process before was bound by has ended with it; what it had may not have.
            self.replaced_processes.add((head, self.processes[head]))
            self.processes[head], self.acknowledged_serials[head] = process, 0
        self.acknowledged_serials[head] = max(self.acknowledged_serials.get(head, 0), held_serial)
        if now_us < self.no_grant_until_us:
            return None
        self._drop_ended_grants(now_us, head)
        others = [one for one in self.processes if one != head]
        silent_heads_share = (
            max(0, self.head_count - len(others) - 1) * self.even_share
        )  # who never asked has its even part
        tenants = {name for grants in self.grants.values() for grant in grants for name in grant.shares}
        shares: dict[str, float] = {}
        for tenant in tenants | desired.keys():
            available = 1.0 - silent_heads_share - sum(self._max_share(one, tenant, now_us) for one in others)
            share = max(0.0, min(desired.get(tenant, self.even_share), available))
            if share != self.even_share:
                shares[tenant] = share
        self.serial += 1
        self.grants.setdefault(head, []).append(GrantedShares(self.serial, shares, now_us))
        return ShareLease(self.serial, process, request_number, shares)

    def _drop_ended_grants(self, now_us: int, head: str) -> None:
        """Drop grants that the head has replaced, and those that hold nothing above the even part any more."""
        acked = self.acknowledged_serials.get(head, 0)
        self.grants[head] = [
            grant
            for grant in self.grants.get(head, ())
            if grant.serial == acked or (grant.serial > acked and now_us <= grant.sent_us + MAX_HIGH_SHARE_TERM_US)
        ]

    def _max_share(self, head: str, tenant: str, now_us: int) -> float:
        """Tell the largest share that a head may have at any moment while a grant made now can last."""
        max_share, is_bound = 0.0, False
        for grant in self.grants.get(head, ()):
            share = grant.shares.get(tenant, self.even_share)
            if share < self.even_share:
                # Once it is acknowledged the head has this or a later one until it ends.
                is_bound |= (
                    grant.serial == self.acknowledged_serials.get(head)
                    and grant.sent_us + MIN_LOW_SHARE_TERM_US >= now_us + MAX_HIGH_SHARE_TERM_US
                )
                max_share = max(max_share, share)
            elif share == self.even_share or now_us <= grant.sent_us + MAX_HIGH_SHARE_TERM_US:
                max_share = max(max_share, share)
        return max_share if is_bound else max(max_share, self.even_share)

    def known_heads(self) -> Iterable[str]:
        """Tell the heads that ever asked."""
        return self.processes.keys()
