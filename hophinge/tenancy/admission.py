"""Admission at one head: requests within a reserve are admitted at once, others are queued fairly for a bounded time.

Events are reported by methods that take the time as an argument; `dispatch` returns the requests that leave the queue
as a result. Every request that `arrive` queued leaves the queue exactly once: by `dispatch` (admitted or rejected) or
by `finish`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from hophinge.tenancy.fair_queue import FairQueue, QueueEntry
from hophinge.tenancy.reserve import Reserve

MIN_RETRY_AFTER_US = 10_000
# Retry advice if the tenant is no longer served; the core's exchange caps it at the maximum of the settings.
EVICTED_RETRY_AFTER_US = 60_000_000
MAX_BURST_S = 0.25  # of a reserve that may accumulate; small, since all tenants may use theirs at the same time
# A tenant that is idle for longer is dropped: its reserve is full by then, as that of a new tenant is.
IDLE_TENANT_TIMEOUT_US = 60_000_000
OPERATIONS_BETWEEN_SWEEPS = 256  # arrivals between searches for idle tenants; a queued arrival counts twice
MIN_WEIGHT = 1e-3
ROUNDING_UNITS = 1e-9  # units in flight below this are rounding errors


class TenantShares(Struct, frozen=True):
    """The guaranteed rate and the weight of one tenant at this head."""

    reserve: float = 0.0  # units/s
    weight: float = 1.0  # in the sharing of spare capacity
    max_queued_requests: int = 0  # 0: as in `SpareCapacity`


class SpareCapacity(Struct, frozen=True):
    """How a head shares the capacity that no reserve uses."""

    # Units at the decision module, above which only reserved requests are admitted; with none in flight, any is.
    max_units_in_flight: float
    max_wait_us: int  # in the queue
    max_queued_requests: int = 256  # per tenant


class AdmissionDecision(Enum):
    """The decision on an arriving request."""

    RESERVED = "reserved"
    SPARE = "spare"
    QUEUED = "waits"
    REJECTED = "refused"


class AdmissionRequest(Struct, frozen=True):
    """A request as admission sees it."""

    tenant: str
    volume: str
    units: float
    priority: float  # value of its class times price of its plan
    reserve: float  # of its volume at this head, units/s
    weight: float  # of its volume
    max_wait_us: int  # in the queue; 0 or less: it is not queued


class AdmissionUsage(Struct):
    """What one tenant used at this head since its state was created; the state of an idle tenant is dropped."""

    reserved: float = 0.0  # units
    spare: float = 0.0  # units
    rejected: int = 0  # requests
    waited_us: int = 0


class TenantAdmission:
    """The admission state of one tenant at this head."""

    __slots__ = ("last_observed_us", "queued_requests", "reserve", "usage")

    def __init__(self, shares: TenantShares, min_depth: float, now_us: int) -> None:
        self.reserve = Reserve(shares.reserve, MAX_BURST_S, min_depth, now_us)
        self.usage = AdmissionUsage()
        self.queued_requests = 0
        self.last_observed_us = now_us


class Ticket:
    """The admission state of one request, from its arrival until it is answered."""

    __slots__ = ("arrived_us", "is_in_flight", "queue_entry", "request", "tenant", "wait_deadline_us")

    def __init__(self, request: AdmissionRequest, tenant: TenantAdmission, now_us: int) -> None:
        self.request = request
        self.tenant = tenant
        self.arrived_us = now_us
        self.queue_entry: QueueEntry[Ticket] | None = None  # None unless it is queued
        self.is_in_flight = False  # at the decision module
        self.wait_deadline_us = 0


class AdmissionResult(NamedTuple):
    """The decision on a request, and its ticket."""

    decision: AdmissionDecision
    ticket: Ticket
    retry_after_us: int  # 0 unless it was rejected


class DispatchedTicket(NamedTuple):
    """A request that leaves the queue."""

    ticket: Ticket
    retry_after_us: int  # 0: admitted; otherwise rejected


class Admission:
    """Admission control of one head: a reserve for each tenant, and a fair queue for spare capacity."""

    def __init__(
        self, shares_of: Callable[[str], TenantShares], spare_capacity: SpareCapacity, max_request_units: float
    ) -> None:
        self.shares_of = shares_of
        self.spare_capacity = spare_capacity
        self.max_request_units = max_request_units
        self.tenants: dict[str, TenantAdmission] = {}
        self.queue: FairQueue[Ticket] = FairQueue()
        self.units_in_flight = 0.0  # at the decision module, including reserved units
        self.wait_deadlines: list[tuple[int, int, Ticket]] = []  # a heap of deadline, sequence number and ticket
        self.operation_count = 0
        self.evicted: list[DispatchedTicket] = []  # rejected by `evict_tenant`, until the next `dispatch`
        self.requested_units: dict[str, float] = {}  # by tenant, since `take_demand` was last called

    # --- events

    def arrive(self, now_us: int, request: AdmissionRequest) -> AdmissionResult:
        """Decide on an arriving request."""
        tenant, shares = self._tenant(request.tenant, now_us)
        self.requested_units[request.tenant] = self.requested_units.get(request.tenant, 0.0) + request.units
        ticket = Ticket(request, tenant, now_us)
        if tenant.reserve.take(request.volume, request.reserve, self.max_request_units, request.units, now_us):
            tenant.usage.reserved += request.units
            self._start(ticket)
            return AdmissionResult(AdmissionDecision.RESERVED, ticket, 0)
        if not self.queue.queued_items and self._has_capacity(request.units):
            tenant.usage.spare += request.units
            # It still passes through the queue, so that its units are charged to its flow.
            self._enqueue(ticket, shares)
            self.queue.pop()
            ticket.queue_entry = None
            self._start(ticket)
            return AdmissionResult(AdmissionDecision.SPARE, ticket, 0)
        max_queued_requests = shares.max_queued_requests or self.spare_capacity.max_queued_requests
        if tenant.queued_requests >= max_queued_requests or request.max_wait_us <= 0:
            tenant.usage.rejected += 1
            return AdmissionResult(AdmissionDecision.REJECTED, ticket, self._retry_after_us(ticket, now_us))
        self._enqueue(ticket, shares)
        tenant.queued_requests += 1
        ticket.wait_deadline_us = now_us + min(request.max_wait_us, self.spare_capacity.max_wait_us)
        self.operation_count += 1
        heapq.heappush(self.wait_deadlines, (ticket.wait_deadline_us, self.operation_count, ticket))
        return AdmissionResult(AdmissionDecision.QUEUED, ticket, 0)

    def take_demand(self) -> dict[str, float]:
        """Return the units that each tenant requested since the last call, and reset the counts."""
        requested_units, self.requested_units = self.requested_units, {}
        return requested_units

    def finish(self, now_us: int, ticket: Ticket) -> None:
        """Record the end of a request: it was answered, or its client closed the connection."""
        if not ticket.is_in_flight:
            self._dequeue(ticket)
            return
        ticket.is_in_flight = False
        self.units_in_flight -= ticket.request.units
        if self.units_in_flight < ROUNDING_UNITS:
            self.units_in_flight = 0.0
            self.queue.reset_if_empty()

    def evict_tenant(self, tenant: str) -> bool:
        """Remove all queued requests of a tenant; the next dispatch returns them as rejected.

        Returns:
            Whether the next `dispatch` has any request to return as rejected.

        """
        queued = [ticket for _, _, ticket in self.wait_deadlines if ticket.queue_entry is not None]
        for ticket in queued:
            if ticket.request.tenant == tenant:
                self._dequeue(ticket)
                ticket.tenant.usage.rejected += 1
                self.evicted.append(DispatchedTicket(ticket, EVICTED_RETRY_AFTER_US))
        return bool(self.evicted)

    def dispatch(self, now_us: int) -> list[DispatchedTicket]:
        """Return the requests that leave the queue now: evicted, expired, or admitted."""
        dispatched, self.evicted = self.evicted, []
        self._reject_expired(now_us, dispatched)
        while (entry := self.queue.peek()) is not None:
            ticket = entry.item
            request, tenant = ticket.request, ticket.tenant
            # The tenant's reserve may have been refilled in the meantime; then the request needs no spare capacity.
            if tenant.reserve.take(request.volume, request.reserve, self.max_request_units, request.units, now_us):
                tenant.usage.reserved += request.units
                self.queue.remove(entry)
            elif self._has_capacity(request.units):
                tenant.usage.spare += request.units
                self.queue.pop()
            else:
                break
            ticket.queue_entry = None
            tenant.queued_requests -= 1
            tenant.usage.waited_us += now_us - ticket.arrived_us
            self._start(ticket)
            dispatched.append(DispatchedTicket(ticket, 0))
        return dispatched

    @property
    def next_deadline_us(self) -> int:
        """The latest time at which `dispatch` has to be called; 0: nothing is queued."""
        return self.wait_deadlines[0][0] if self.queue.queued_items and self.wait_deadlines else 0

    # --- internals

    def _reject_expired(self, now_us: int, dispatched: list[DispatchedTicket]) -> None:
        """Reject queued requests past their deadline, and drop the deadlines of requests that are no longer queued."""
        while self.wait_deadlines:
            deadline_us, _, ticket = self.wait_deadlines[0]
            if deadline_us > now_us and ticket.queue_entry is not None:
                break
            heapq.heappop(self.wait_deadlines)
            if ticket.queue_entry is not None:
                self._dequeue(ticket)
                ticket.tenant.usage.rejected += 1
                dispatched.append(DispatchedTicket(ticket, self._retry_after_us(ticket, now_us)))

    def _tenant(self, name: str, now_us: int) -> tuple[TenantAdmission, TenantShares]:
        """Return a tenant's state, which is created for a new tenant, and its current shares."""
        shares = self.shares_of(name)
        tenant = self.tenants.get(name)
        if tenant is None:
            tenant = self.tenants[name] = TenantAdmission(shares, self.max_request_units, now_us)
        else:
            tenant.reserve.set_rate(shares.reserve, self.max_request_units, now_us)
        tenant.last_observed_us = now_us
        self.operation_count += 1
        if self.operation_count % OPERATIONS_BETWEEN_SWEEPS == 0 and len(self.tenants) > OPERATIONS_BETWEEN_SWEEPS:
            self._drop_idle_tenants(now_us)
        return tenant, shares

    def _drop_idle_tenants(self, now_us: int) -> None:
        """Check a bounded number of tenants, and drop the idle ones."""
        for _ in range(2 * OPERATIONS_BETWEEN_SWEEPS):
            name, tenant = next(iter(self.tenants.items()))
            del self.tenants[name]
            if tenant.queued_requests or now_us - tenant.last_observed_us < IDLE_TENANT_TIMEOUT_US:
                self.tenants[name] = tenant  # moved to the end, so that each sweep continues where the last one stopped

    def _enqueue(self, ticket: Ticket, shares: TenantShares) -> None:
        request = ticket.request
        ticket.queue_entry = self.queue.enqueue(
            ticket,
            request.units,
            request.tenant,
            max(shares.weight, MIN_WEIGHT),
            request.volume,
            max(request.weight, MIN_WEIGHT),
            request.priority,
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
        """Return the us until the tenant's reserve covers the request; twice the longest wait if it never will."""
        ticket.tenant.reserve.fill(now_us)
        wait_us = ticket.tenant.reserve.total.wait_us(ticket.request.units)
        return max(MIN_RETRY_AFTER_US, wait_us if wait_us >= 0 else 2 * self.spare_capacity.max_wait_us)
