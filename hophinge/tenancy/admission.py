"""Admission at one head: reserved units pass at once, the rest waits its turn by weight, for a bounded time.

Events in by methods with the time as argument; what they lead to is fetched by `turn`. Every request that `arrive` let
wait ends by `turn` (admitted or refused) or by `left`, once.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from hophinge.tenancy.fair_queue import QueueEntry, FairQueue
from hophinge.tenancy.reserve import Reserve

MIN_RETRY_AFTER_US = 10_000
EVICTED_RETRY_AFTER_US = (
    60_000_000  # advice to a tenant that is served no more; the front cuts it to what the settings allow
)
MAX_BURST_S = 0.25  # of a reserve that may be saved up: all tenants may spend theirs at one moment
IDLE_TENANT_TIMEOUT_US = (
    60_000_000  # a tenant unheard of for a minute starts anew, with a full reserve, which it then has anyway
)
OPERATIONS_BETWEEN_SWEEPS = 256  # arrivals between looks for such tenants


class TenantShares(Struct, frozen=True):
    """What one tenant may count on at this head."""

    reserve: float = 0.0  # units/s
    weight: float = 1.0  # in what is spare
    max_queued_requests: int = 0  # requests that may wait; 0: as many as the head's own bound


class SpareCapacity(Struct, frozen=True):
    """How a head shares what no reserve takes."""

    max_units_in_flight: float  # units at the module at once beyond which no spare one leaves
    max_wait_us: int  # at most, for a turn
    max_queued_requests: int = 256  # requests of one tenant that may wait


class AdmissionDecision(Enum):
    """What becomes of a request that arrives."""

    RESERVED = "reserved"
    SPARE = "spare"
    QUEUED = "waits"
    REJECTED = "refused"


class AdmissionRequest(Struct, frozen=True):
    """A request as admission sees it."""

    tenant: str
    volume: str
    units: float
    priority: float  # its class's, and its plan's price
    reserve: float  # of its volume here, units/s
    weight: float  # of its volume
    max_wait_us: int  # that it may wait


class AdmissionUsage(Struct):
    """What one tenant got at this head, since it was last heard of after a minute's silence."""

    reserved: float = 0.0  # units
    spare: float = 0.0
    rejected: int = 0  # requests
    waited_us: int = 0


class TenantAdmission:
    """One tenant at this head."""

    __slots__ = ("reserve", "last_seen_us", "usage", "queued_requests")

    def __init__(self, shares: TenantShares, least: float, now_us: int) -> None:
        self.reserve = Reserve(shares.reserve, MAX_BURST_S, least, now_us)
        self.usage = AdmissionUsage()
        self.queued_requests, self.last_seen_us = 0, now_us


class Ticket:
    """One request from its arrival until it is answered."""

    __slots__ = ("tenant", "request", "queue_entry", "is_in_flight", "arrived_us", "wait_deadline_us")

    def __init__(self, ask: AdmissionRequest, account: TenantAdmission, now_us: int) -> None:
        self.request, self.tenant, self.arrived_us = ask, account, now_us
        self.queue_entry: QueueEntry[Ticket] | None = None  # while it waits
        self.is_in_flight = False  # at the module
        self.wait_deadline_us = 0


class Admission:
    """The tree of one head."""

    def __init__(
        self, shares_of: Callable[[str], TenantShares], spare_capacity: SpareCapacity, max_request_units: float
    ) -> None:
        self.shares_of, self.spare_capacity, self.max_request_units = shares_of, spare_capacity, max_request_units
        self.tenants: dict[str, TenantAdmission] = {}
        self.queue: FairQueue[Ticket] = FairQueue()
        self.units_in_flight = 0.0  # units at the module, reserved ones too
        self.wait_deadlines: list[tuple[int, int, Ticket]] = []
        self.operation_count = 0
        self.evicted: list[tuple[Ticket, int]] = []  # of tenants that have ended, until the next turn
        self.requested_units: dict[str, float] = {}  # units by tenant, since `demand` was last told

    # --- what comes

    def arrive(self, now_us: int, request: AdmissionRequest) -> tuple[AdmissionDecision, Ticket, int]:
        """Take a request; the last is when to come back, in microseconds, where it is refused."""
        tenant, shares = self._tenant(request.tenant, now_us)
        self.requested_units[request.tenant] = self.requested_units.get(request.tenant, 0.0) + request.units
        ticket = Ticket(request, tenant, now_us)
        if tenant.reserve.take(request.volume, request.reserve, self.max_request_units, request.units, now_us):
            tenant.usage.reserved += request.units
            self._start(ticket)
            return AdmissionDecision.RESERVED, ticket, 0
        if not self.queue.queued_items and self._has_capacity(request.units):
            tenant.usage.spare += request.units
            # Through the tree all the same: what it takes now counts against its flow's next turn.
            self._enqueue(ticket, shares)
            self.queue.pop()
            ticket.queue_entry = None
            self._start(ticket)
            return AdmissionDecision.SPARE, ticket, 0
        if (
            tenant.queued_requests >= (shares.max_queued_requests or self.spare_capacity.max_queued_requests)
            or request.max_wait_us <= 0
        ):
            tenant.usage.rejected += 1
            return AdmissionDecision.REJECTED, ticket, self._retry_after_us(ticket, now_us)
        self._enqueue(ticket, shares)
        tenant.queued_requests += 1
        ticket.wait_deadline_us = now_us + min(request.max_wait_us, self.spare_capacity.max_wait_us)
        self.operation_count += 1
        heapq.heappush(self.wait_deadlines, (ticket.wait_deadline_us, self.operation_count, ticket))
        return AdmissionDecision.QUEUED, ticket, 0

    def take_demand(self) -> dict[str, float]:
        """Tell the units that each tenant has asked for since this was last called."""
        requested_units, self.requested_units = self.requested_units, {}
        return requested_units

    def finish(self, now_us: int, ticket: Ticket) -> None:
        """Take the end of a request: answered, or its client has gone."""
        if ticket.is_in_flight:
            ticket.is_in_flight = False
            self.units_in_flight -= ticket.request.units
            if self.units_in_flight < 1e-9:
                self.units_in_flight = 0.0  # what rounding left
                self.queue.reset_if_empty()
        else:
            self._dequeue(ticket)

    def evict_tenant(self, tenant: str) -> bool:
        """Take out all that wait of a tenant; the next turn tells them as refused. Tells whether there were any."""
        for ticket in [
            one for _, _, one in self.wait_deadlines if one.queue_entry is not None and one.request.tenant == tenant
        ]:
            self._dequeue(ticket)
            ticket.tenant.usage.rejected += 1
            self.evicted.append((ticket, EVICTED_RETRY_AFTER_US))
        return bool(self.evicted)

    def dispatch(self, now_us: int) -> list[tuple[Ticket, int]]:
        """Tell which requests that waited wait no longer: 0 for admitted, else when to come back."""
        done, self.evicted = self.evicted, []
        while self.wait_deadlines and (
            self.wait_deadlines[0][0] <= now_us or self.wait_deadlines[0][2].queue_entry is None
        ):
            ticket = heapq.heappop(self.wait_deadlines)[2]
            if ticket.queue_entry is not None:
                self._dequeue(ticket)
                ticket.tenant.usage.rejected += 1
                done.append((ticket, self._retry_after_us(ticket, now_us)))
        while (entry := self.queue.peek()) is not None:
            ticket = entry.item
            # Its tenant's reserve may have come meanwhile; then it is no matter of what is spare.
            reserved = ticket.tenant.reserve.take(
                ticket.request.volume, ticket.request.reserve, self.max_request_units, ticket.request.units, now_us
            )
            if not reserved and not self._has_capacity(ticket.request.units):
                break
            if reserved:
                ticket.tenant.usage.reserved += ticket.request.units
                self.queue.remove(entry)
            else:
                ticket.tenant.usage.spare += ticket.request.units
                self.queue.pop()
            ticket.queue_entry = None
            ticket.tenant.queued_requests -= 1
            ticket.tenant.usage.waited_us += now_us - ticket.arrived_us
            self._start(ticket)
            done.append((ticket, 0))
        return done

    @property
    def next_deadline_us(self) -> int:
        """Tell when `turn` is to be called at the latest; 0: nothing waits."""
        return self.wait_deadlines[0][0] if self.queue.queued_items and self.wait_deadlines else 0

    # --- inside

    def _tenant(self, tenant: str, now_us: int) -> tuple[TenantAdmission, TenantShares]:
        shares = self.shares_of(tenant)
        account = self.tenants.get(tenant)
        if account is None:
            account = self.tenants[tenant] = TenantAdmission(shares, self.max_request_units, now_us)
        else:
            account.reserve.set_rate(shares.reserve, self.max_request_units, now_us)
        account.last_seen_us = now_us
        self.operation_count += 1
        if self.operation_count % OPERATIONS_BETWEEN_SWEEPS == 0 and len(self.tenants) > OPERATIONS_BETWEEN_SWEEPS:
            self._drop_idle_tenants(now_us)
        return account, shares

    def _drop_idle_tenants(self, now_us: int) -> None:
        """Look at a few tenants, and drop those that nothing is known of that counts."""
        for _ in range(2 * OPERATIONS_BETWEEN_SWEEPS):
            name, account = next(iter(self.tenants.items()))
            del self.tenants[name]
            if account.queued_requests or now_us - account.last_seen_us < IDLE_TENANT_TIMEOUT_US:
                self.tenants[name] = account  # to the end: each look goes on where the last one ended

    def _enqueue(self, ticket: Ticket, shares: TenantShares) -> None:
        ask = ticket.request
        ticket.queue_entry = self.queue.enqueue(
            ticket, ask.units, ask.tenant, max(shares.weight, 1e-3), ask.volume, max(ask.weight, 1e-3), ask.priority
        )

    def _dequeue(self, ticket: Ticket) -> None:
        if ticket.queue_entry is not None:
            self.queue.remove(ticket.queue_entry)
            ticket.queue_entry = None
            ticket.tenant.queued_requests -= 1

    def _has_capacity(self, units: float) -> bool:
        return self.units_in_flight + units <= self.spare_capacity.max_units_in_flight or self.units_in_flight <= 0

    def _start(self, ticket: Ticket) -> None:
        ticket.is_in_flight = True
        self.units_in_flight += ticket.request.units

    def _retry_after_us(self, ticket: Ticket, now_us: int) -> int:
        """Tell when the tenant's own reserve will hold the units; without one, when a turn may have come."""
        ticket.tenant.reserve.fill(now_us)
        wait = ticket.tenant.reserve.total.wait_us(ticket.request.units)
        return max(MIN_RETRY_AFTER_US, wait if wait >= 0 else 2 * self.spare_capacity.max_wait_us)
