"""Admission at one head: reserved units pass at once, the rest waits its turn by weight, for a bounded time.

Events in by methods with the time as argument; what they lead to is fetched by `turn`. Every request that `arrive` let
wait ends by `turn` (admitted or refused) or by `left`, once.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from hophinge.tenancy.fair_queue import Entry, Tree
from hophinge.tenancy.reserve import Reserve

MIN_ADVICE_US = 10_000
ENDED_US = 60_000_000  # advice to a tenant that is served no more; the front cuts it to what the settings allow
BURST_S = 0.25  # of a reserve that may be saved up: all tenants may spend theirs at one moment
FORGET_US = 60_000_000  # a tenant unheard of for a minute starts anew, with a full reserve, which it then has anyway
LOOK_EVERY = 256  # arrivals between looks for such tenants


class Shares(Struct, frozen=True):
    """What one tenant may count on at this head."""

    reserve: float = 0.0  # units/s
    weight: float = 1.0  # in what is spare
    queue: int = 0  # requests that may wait; 0: as many as the head's own bound


class Spare(Struct, frozen=True):
    """How a head shares what no reserve takes."""

    depth: float  # units at the module at once beyond which no spare one leaves
    wait_us: int  # at most, for a turn
    queue: int = 256  # requests of one tenant that may wait


class Verdict(Enum):
    """What becomes of a request that arrives."""

    RESERVED = "reserved"
    SPARE = "spare"
    WAITS = "waits"
    REFUSED = "refused"


class Ask(Struct, frozen=True):
    """A request as admission sees it."""

    tenant: str
    volume: str
    units: float
    worth: float  # its class's, and its plan's price
    reserve: float  # of its volume here, units/s
    weight: float  # of its volume
    patience_us: int  # that it may wait


class Usage(Struct):
    """What one tenant got at this head, since it was last heard of after a minute's silence."""

    reserved: float = 0.0  # units
    spare: float = 0.0
    refused: int = 0  # requests
    waited_us: int = 0


class Account:
    """One tenant at this head."""

    __slots__ = ("reserve", "seen", "usage", "waiting")

    def __init__(self, shares: Shares, least: float, now_us: int) -> None:
        self.reserve = Reserve(shares.reserve, BURST_S, least, now_us)
        self.usage = Usage()
        self.waiting, self.seen = 0, now_us


class Ticket:
    """One request from its arrival until it is answered."""

    __slots__ = ("account", "ask", "entry", "inside", "since", "until")

    def __init__(self, ask: Ask, account: Account, now_us: int) -> None:
        self.ask, self.account, self.since = ask, account, now_us
        self.entry: Entry[Ticket] | None = None  # while it waits
        self.inside = False  # at the module
        self.until = 0


class Admission:
    """The tree of one head."""

    def __init__(self, shares: Callable[[str], Shares], spare: Spare, most_units: float) -> None:
        self.shares, self.spare, self.most_units = shares, spare, most_units
        self.accounts: dict[str, Account] = {}
        self.tree: Tree[Ticket] = Tree()
        self.inside = 0.0  # units at the module, reserved ones too
        self.expiries: list[tuple[int, int, Ticket]] = []
        self.count = 0
        self.put_out: list[tuple[Ticket, int]] = []  # of tenants that have ended, until the next turn
        self.asked: dict[str, float] = {}  # units by tenant, since `demand` was last told

    # --- what comes

    def arrive(self, now_us: int, ask: Ask) -> tuple[Verdict, Ticket, int]:
        """Take a request; the last is when to come back, in microseconds, where it is refused."""
        account, shares = self._account(ask.tenant, now_us)
        self.asked[ask.tenant] = self.asked.get(ask.tenant, 0.0) + ask.units
        ticket = Ticket(ask, account, now_us)
        if account.reserve.take(ask.volume, ask.reserve, self.most_units, ask.units, now_us):
            account.usage.reserved += ask.units
            self._enter(ticket)
            return Verdict.RESERVED, ticket, 0
        if not self.tree.waiting and self._room(ask.units):
            account.usage.spare += ask.units
            # Through the tree all the same: what it takes now counts against its flow's next turn.
            self._queue(ticket, shares)
            self.tree.pop()
            ticket.entry = None
            self._enter(ticket)
            return Verdict.SPARE, ticket, 0
        if account.waiting >= (shares.queue or self.spare.queue) or ask.patience_us <= 0:
            account.usage.refused += 1
            return Verdict.REFUSED, ticket, self._advice(ticket, now_us)
        self._queue(ticket, shares)
        account.waiting += 1
        ticket.until = now_us + min(ask.patience_us, self.spare.wait_us)
        self.count += 1
        heapq.heappush(self.expiries, (ticket.until, self.count, ticket))
        return Verdict.WAITS, ticket, 0

    def demand(self) -> dict[str, float]:
        """Tell the units that each tenant has asked for since this was last called."""
        asked, self.asked = self.asked, {}
        return asked

    def left(self, now_us: int, ticket: Ticket) -> None:
        """Take the end of a request: answered, or its client has gone."""
        if ticket.inside:
            ticket.inside = False
            self.inside -= ticket.ask.units
            if self.inside < 1e-9:
                self.inside = 0.0  # what rounding left
                self.tree.idle()
        else:
            self._unqueue(ticket)

    def end(self, tenant: str) -> bool:
        """Take out all that wait of a tenant; the next turn tells them as refused. Tells whether there were any."""
        for ticket in [one for _, _, one in self.expiries if one.entry is not None and one.ask.tenant == tenant]:
            self._unqueue(ticket)
            ticket.account.usage.refused += 1
            self.put_out.append((ticket, ENDED_US))
        return bool(self.put_out)

    def turn(self, now_us: int) -> list[tuple[Ticket, int]]:
        """Tell which requests that waited wait no longer: 0 for admitted, else when to come back."""
        done, self.put_out = self.put_out, []
        while self.expiries and (self.expiries[0][0] <= now_us or self.expiries[0][2].entry is None):
            ticket = heapq.heappop(self.expiries)[2]
            if ticket.entry is not None:
                self._unqueue(ticket)
                ticket.account.usage.refused += 1
                done.append((ticket, self._advice(ticket, now_us)))
        while (entry := self.tree.peek()) is not None:
            ticket = entry.item
            # Its tenant's reserve may have come meanwhile; then it is no matter of what is spare.
            reserved = ticket.account.reserve.take(
                ticket.ask.volume, ticket.ask.reserve, self.most_units, ticket.ask.units, now_us
            )
            if not reserved and not self._room(ticket.ask.units):
                break
            if reserved:
                ticket.account.usage.reserved += ticket.ask.units
                self.tree.remove(entry)
            else:
                ticket.account.usage.spare += ticket.ask.units
                self.tree.pop()
            ticket.entry = None
            ticket.account.waiting -= 1
            ticket.account.usage.waited_us += now_us - ticket.since
            self._enter(ticket)
            done.append((ticket, 0))
        return done

    @property
    def due_us(self) -> int:
        """Tell when `turn` is to be called at the latest; 0: nothing waits."""
        return self.expiries[0][0] if self.tree.waiting and self.expiries else 0

    # --- inside

    def _account(self, tenant: str, now_us: int) -> tuple[Account, Shares]:
        shares = self.shares(tenant)
        account = self.accounts.get(tenant)
        if account is None:
            account = self.accounts[tenant] = Account(shares, self.most_units, now_us)
        else:
            account.reserve.change(shares.reserve, self.most_units, now_us)
        account.seen = now_us
        self.count += 1
        if self.count % LOOK_EVERY == 0 and len(self.accounts) > LOOK_EVERY:
            self._forget(now_us)
        return account, shares

    def _forget(self, now_us: int) -> None:
        """Look at a few tenants, and drop those that nothing is known of that counts."""
        for _ in range(2 * LOOK_EVERY):
            name, account = next(iter(self.accounts.items()))
            del self.accounts[name]
            if account.waiting or now_us - account.seen < FORGET_US:
                self.accounts[name] = account  # to the end: each look goes on where the last one ended

    def _queue(self, ticket: Ticket, shares: Shares) -> None:
        ask = ticket.ask
        ticket.entry = self.tree.put(
            ticket, ask.units, ask.tenant, max(shares.weight, 1e-3), ask.volume, max(ask.weight, 1e-3), ask.worth
        )

    def _unqueue(self, ticket: Ticket) -> None:
        if ticket.entry is not None:
            self.tree.remove(ticket.entry)
            ticket.entry = None
            ticket.account.waiting -= 1

    def _room(self, units: float) -> bool:
        return self.inside + units <= self.spare.depth or self.inside <= 0

    def _enter(self, ticket: Ticket) -> None:
        ticket.inside = True
        self.inside += ticket.ask.units

    def _advice(self, ticket: Ticket, now_us: int) -> int:
        """Tell when the tenant's own reserve will hold the units; without one, when a turn may have come."""
        ticket.account.reserve.fill(now_us)
        wait = ticket.account.reserve.total.wait_us(ticket.ask.units)
        return max(MIN_ADVICE_US, wait if wait >= 0 else 2 * self.spare.wait_us)
