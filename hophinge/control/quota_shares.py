"""Tenants' reserves: checks that the heads can guarantee them, and leases shares of them to heads."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from hophinge.control import wire
from hophinge.control.messages import (
    DEMAND_PREFIX,
    LEASE_NAME,
    NO_VERSION,
    DiscoveryResponse,
    Resource,
    ResourceType,
    VersionId,
)
from hophinge.control.snapshot import Snapshot
from hophinge.control.store import ControlStore, StoreError
from hophinge.routing import records
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.share_allocator import LeaseRequest, ShareAllocator
from hophinge.tenancy.lifecycle import TenantState
from hophinge.tenancy.share_planner import CapacityShortfall, find_shortfall

HEAD_COUNT_TIMEOUT_S = 3.0  # how long a push waits for a head to report the number of heads, if it needs that
MIN_SPAN_S = 0.1  # demand is reported per lease request; a shorter time between two requests would inflate its rate
RESERVE_RECORDS = (b'{"type":"tenant"', b'{"type":"spare"')


class DeclaredReserves(NamedTuple):
    """A version's declared reserve of each tenant, and the capacity of one head (0: unknown), in units per second."""

    by_tenant: dict[str, float]
    head_capacity: float


NO_RESERVES = DeclaredReserves({}, 0.0)


class QuotaShares:
    """Reserves of one installation."""

    def __init__(
        self,
        store: ControlStore,
        accounts: Accounts | None,
        get_target: Callable[[], Snapshot | None],
        connected_heads: Callable[[], Collection[str]],
        now_us: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        """Create the state of a service that has just started.

        Args:
            store: Stores the number of heads, and allocates lease serials.
            accounts: Tenants' accounts; None if this service does not own them.
            get_target: Returns the version that is being or was last rolled out.
            connected_heads: Returns the names of heads with an open stream.
            now_us: Monotonic clock, in microseconds.
            log: Called with log lines for operators.

        """
        self.store = store
        self.accounts = accounts
        self.get_target = get_target
        self.connected_heads = connected_heads
        self.now_us = now_us
        self.log = log
        self.allocator = ShareAllocator(store.allocate_serials, log)
        self.head_count = store.head_count()
        self.head_count_known = asyncio.Event()
        if self.head_count:
            self.head_count_known.set()
        self._target_id: VersionId = NO_VERSION  # the version that `_target_reserves` belongs to
        self._target_reserves = NO_RESERVES

    # --- reserves

    def tenant_reserves(self) -> dict[str, float]:
        """Return the reserves of active and suspended tenants' accounts, in units per second by tenant."""
        accounts = self.accounts.tenants.values() if self.accounts is not None else ()
        return {
            account.name: account.shares.reserve
            for account in accounts
            if account.shares.reserve and account.state in (TenantState.ACTIVE, TenantState.SUSPENDED)
        }

    def reserves_shortfall(self, reserves: Mapping[str, float]) -> str:
        """Return why reserves cannot be guaranteed along with those of the newest version; empty if they can."""
        declared = _snapshot_reserves(self.store.newest)
        if not declared.head_capacity or not self.head_count:
            return ""
        shortfall = _shortfall({**reserves, **declared.by_tenant}, self.head_count, declared.head_capacity)
        return f"with {self.head_count} heads {shortfall}" if shortfall is not None else ""

    async def check_reserves(self, reserves: Mapping[str, float], head_capacity: float) -> None:
        """Check that reserves can be guaranteed; the number of heads is needed only if one head is not enough.

        Raises:
            StoreError: They cannot be guaranteed, or the number of heads is needed and no head has reported it.

        """
        if not head_capacity or find_shortfall(reserves, {"one": head_capacity}) is None:
            return
        if not self.head_count:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEAD_COUNT_TIMEOUT_S):
                    await self.head_count_known.wait()
        if not self.head_count:
            raise StoreError(
                "no head has reported the number of heads yet, and a single head cannot guarantee these reserves: "
                "connect a head, then push again"
            )
        if (shortfall := _shortfall(reserves, self.head_count, head_capacity)) is not None:
            raise StoreError(f"with {self.head_count} heads {shortfall}")

    def on_head_count(self, head: str, count: int) -> None:
        """Record the number of heads in the installation, as reported by one of them.

        Reserves depend on the size of the installation, not on which heads are connected. While the installation is
        being changed, heads report different numbers; the latest one is used, as it is the closest to the result.
        """
        if count < 1 or count == self.head_count:
            return
        if self.head_count:
            self.log(f"head {head} reports {count} heads; previously there were {self.head_count}")
        self.store.set_head_count(count)
        self.head_count = count
        self.head_count_known.set()
        declared = _snapshot_reserves(self.get_target())
        if not declared.head_capacity:
            return
        if (shortfall := _shortfall(declared.by_tenant, count, declared.head_capacity)) is not None:
            self.log(f"the reserves of the target version cannot be guaranteed: with {count} heads {shortfall}")

    # --- leases

    def lease_responses(self, head: str, metrics: Mapping[str, float]) -> list[bytes]:
        """Return the encoded response to a head's lease request; empty if the head gets no lease."""
        target = self.get_target()
        if target is None:
            return []
        if self._target_id != target.id:
            self._target_id = target.id
            self._target_reserves = _snapshot_reserves(target)
        lease = self.allocator.answer(
            self.now_us(),
            _lease_request(head, metrics),
            {**self.tenant_reserves(), **self._target_reserves.by_tenant},
            self._target_reserves.head_capacity,
            self.connected_heads(),
        )
        if lease is None:
            return []
        name = f"lease/{lease.serial}"
        resource = Resource(LEASE_NAME, name, wire.encode_record(msgspec.json.encode(lease)))
        return [wire.encode_response(DiscoveryResponse(ResourceType.LEASE, name, (resource,)))]


def _lease_request(head: str, metrics: Mapping[str, float]) -> LeaseRequest:
    heads, process, asked, held = (int(metrics.get(name, 0)) for name in ("heads", "process", "asked", "held"))
    span_s = max(MIN_SPAN_S, metrics.get("span_s", 1.0))
    demand = {
        name.removeprefix(DEMAND_PREFIX): units / span_s
        for name, units in metrics.items()
        if name.startswith(DEMAND_PREFIX)
    }
    return LeaseRequest(head, heads, process, asked, held, demand)


def _shortfall(reserves: Mapping[str, float], head_count: int, head_capacity: float) -> CapacityShortfall | None:
    return find_shortfall(reserves, dict.fromkeys(map(str, range(head_count)), head_capacity))


def _snapshot_reserves(snapshot: Snapshot | None) -> DeclaredReserves:
    return declared_reserves(record.body for record in snapshot.records.values()) if snapshot else NO_RESERVES


def declared_reserves(bodies: Iterable[bytes]) -> DeclaredReserves:
    """Return the reserves that a version's records declare; `bodies` are the records as JSON."""
    by_tenant: dict[str, float] = {}
    head_capacity = 0.0
    for body in bodies:
        if body.startswith(RESERVE_RECORDS):
            record = records.decode(body)
            if isinstance(record, records.TenantRule) and record.reserve > 0:
                by_tenant[record.name] = record.reserve
            elif isinstance(record, records.SpareSharing):
                head_capacity = record.head_capacity
    return DeclaredReserves(by_tenant, head_capacity)
