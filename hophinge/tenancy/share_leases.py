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

from msgspec import Struct

LOW_US = 30_000_000  # what gives holds longer than what takes, or nothing could be renewed
HIGH_US = 10_000_000
DRIFT = 0.01  # part by which two steady clocks may differ in speed
HIGH_MAX_US = int(HIGH_US * (1 + DRIFT)) + 1  # of the other side's clock, by one's own
LOW_MIN_US = int(LOW_US * (1 - DRIFT))
MAX_ASKS = 16  # remembered by a head; an answer to an older one comes too late to be worth taking


class Lease(Struct, frozen=True):
    """What the issuer tells one head: its share by tenant, in parts of the reserve; left out is the even one."""

    serial: int  # rises with each lease
    process: int  # of the head, that asked
    asked: int  # the ask that it answers
    shares: Mapping[str, float]


class Holder:
    """One head's side; `process` is a number that no other process of this head has."""

    def __init__(self, heads: int, process: int, now_us: int) -> None:
        self.even, self.process = 1.0 / heads, process
        self.free_at = now_us + LOW_US + 1  # by then a promise of a process before this one has ended
        self.asks: dict[int, int] = {}  # when each was sent
        self.ask_number = 0
        self.serial = 0
        self.shares: Mapping[str, float] = {}
        self.low_until = self.high_until = 0
        self.late = 0  # leases that came too late, twice or for another process

    def ask(self, now_us: int) -> tuple[int, int]:
        """Tell what to send: the number of this ask, and the serial of the lease that is held."""
        self.ask_number += 1
        self.asks[self.ask_number] = now_us
        while len(self.asks) > MAX_ASKS:
            del self.asks[next(iter(self.asks))]
        return self.ask_number, self.serial

    def take(self, now_us: int, lease: Lease) -> bool:
        """Take a lease; False: it is older than what is held, or answers an ask that is forgotten."""
        sent = self.asks.get(lease.asked)
        if lease.process != self.process or lease.serial <= self.serial or sent is None:
            self.late += 1
            return False
        self.serial, self.shares = lease.serial, lease.shares
        self.low_until, self.high_until = now_us + LOW_US, sent + HIGH_US
        return True

    def share(self, tenant: str, now_us: int) -> float:
        """Tell this head's part of a tenant's reserve now."""
        share = self.shares.get(tenant)
        if share is not None and now_us < (self.low_until if share < self.even else self.high_until):
            return share
        # Whoever holds a lease that leaves a tenant out was told the even part; whoever never held one waits.
        return self.even if self.serial or now_us >= self.free_at else 0.0


class Grant(Struct):
    """A lease that may be in force at a head, as the issuer knows it."""

    serial: int
    shares: Mapping[str, float]
    sent_us: int


class Issuer:
    """The control service's side, for all heads of an installation; `serial` is above any that was ever used."""

    def __init__(self, heads: int, serial: int, now_us: int) -> None:
        self.heads, self.even, self.serial = heads, 1.0 / heads, serial
        self.grants: dict[str, list[Grant]] = {}  # by head, the oldest first
        self.acked: dict[str, int] = {}
        self.process: dict[str, int] = {}
        self.ended: set[tuple[str, int]] = set()  # processes that were followed by another
        self.quiet_until = now_us + HIGH_MAX_US

    def grant(
        self,
        now_us: int,
        head: str,
        process: int,
        asked: int,
        held: int,
        wanted: Mapping[str, float],
    ) -> Lease | None:
        """Answer an ask of a head that holds the lease `held` (0: none) with what is safe of the wanted shares.

        None: nothing can be told yet, or it is the ask of a process that has been followed by another.
        """
        if (head, process) in self.ended:
            return None
        if self.process.setdefault(head, process) != process:
            # What the process before was bound by has ended with it; what it had may not have.
            self.ended.add((head, self.process[head]))
            self.process[head], self.acked[head] = process, 0
        self.acked[head] = max(self.acked.get(head, 0), held)
        if now_us < self.quiet_until:
            return None
        self._forget(now_us, head)
        others = [one for one in self.process if one != head]
        unheard = max(0, self.heads - len(others) - 1) * self.even  # who never asked has its even part
        known = {name for grants in self.grants.values() for grant in grants for name in grant.shares}
        shares: dict[str, float] = {}
        for tenant in known | wanted.keys():
            room = 1.0 - unheard - sum(self._worst(one, tenant, now_us) for one in others)
            share = max(0.0, min(wanted.get(tenant, self.even), room))
            if share != self.even:
                shares[tenant] = share
        self.serial += 1
        self.grants.setdefault(head, []).append(Grant(self.serial, shares, now_us))
        return Lease(self.serial, process, asked, shares)

    def _forget(self, now_us: int, head: str) -> None:
        """Drop grants that the head has replaced, and those that hold nothing above the even part any more."""
        acked = self.acked.get(head, 0)
        self.grants[head] = [
            grant
            for grant in self.grants.get(head, ())
            if grant.serial == acked or (grant.serial > acked and now_us <= grant.sent_us + HIGH_MAX_US)
        ]

    def _worst(self, head: str, tenant: str, now_us: int) -> float:
        """Tell the largest share that a head may have at any moment while a grant made now can last."""
        worst, bound = 0.0, False
        for grant in self.grants.get(head, ()):
            share = grant.shares.get(tenant, self.even)
            if share < self.even:
                # Once it is acknowledged the head has this or a later one until it ends.
                bound |= grant.serial == self.acked.get(head) and grant.sent_us + LOW_MIN_US >= now_us + HIGH_MAX_US
                worst = max(worst, share)
            elif share == self.even or now_us <= grant.sent_us + HIGH_MAX_US:
                worst = max(worst, share)
        return worst if bound else max(worst, self.even)

    def known_heads(self) -> Iterable[str]:
        """Tell the heads that ever asked."""
        return self.process.keys()
