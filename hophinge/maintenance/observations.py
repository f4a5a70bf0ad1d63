"""The issuer's observations of heads and backends, and how many of them the reserves of tenants require."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hophinge.maintenance.messages import BackendListing, HeadReport
from hophinge.maintenance.permits import Availability, CapacityFloor
from hophinge.maintenance.snapshots import SnapshotReceiver
from hophinge.routing.records import Pool, Record, Route, SpareSharing, TenantRule
from hophinge.tenancy.share_planner import find_shortfall

BACKEND_RETENTION_US = 3_600_000_000  # a backend that is no longer listed counts as down, after this as removed


class ObservedHead(Struct):
    """One head as the issuer observes it."""

    zone: str = ""
    is_connected: bool = False
    was_connected: bool = False  # since the issuer started
    supports_permits: bool = False  # it sends reports, and counts as down until its first one
    report: HeadReport | None = None
    receiver: SnapshotReceiver = msgspec.field(default_factory=SnapshotReceiver)

    @property
    def is_up(self) -> bool:
        """Whether it certainly serves; a head of a build without reports counts as up while it is connected."""
        return self.is_connected and (self.report.is_ready if self.report is not None else not self.supports_permits)


class ListedBackend(NamedTuple):
    """The last listing of a backend by a head."""

    listing: BackendListing
    listed_us: int


class Observations:
    """All heads and backends; each counts as down unless it is certainly up."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.heads = {name: ObservedHead(zone) for name, zone in zones.items()}
        self.head_count = 0  # in the installation; 0: unknown
        self.listed_backends: dict[str, ListedBackend] = {}

    def head_availability(self, retired: Collection[str]) -> Availability:
        """Return the availability of heads; the total includes heads of the installation that were never observed."""
        known = {name: head for name, head in self.heads.items() if head.is_connected or name not in retired}
        up = {name: head.zone for name, head in known.items() if head.is_up}
        down = {name: head.zone for name, head in known.items() if not head.is_up}
        return Availability(max(self.head_count, len(known)), up, down)

    def backend_availability(self, now_us: int) -> Availability:
        """Return the availability of backends.

        A backend is up if a connected head lists it, none lists it as down, and no head's list is uncertain.
        """
        up: dict[str, str] = {}
        down: dict[str, str] = {}
        reports = [head.report for head in self.heads.values() if head.is_connected and head.report is not None]
        is_certain = not any(report.is_uncertain for report in reports)
        for report in reports:
            for name, listing in report.backends.items():
                self.listed_backends[name] = ListedBackend(listing, now_us)
                (up if listing.is_up and is_certain else down)[name] = listing.zone
        for name, (listing, listed_us) in list(self.listed_backends.items()):
            if now_us - listed_us > BACKEND_RETENTION_US:
                del self.listed_backends[name]
            elif name not in up:
                down[name] = listing.zone
        up = {name: zone for name, zone in up.items() if name not in down}
        return Availability(len(up) + len(down), up, down)

    def connected(self) -> set[str]:
        """Return the heads with a stream to this service."""
        return {name for name, head in self.heads.items() if head.is_connected}

    def reported_live(self) -> dict[str, tuple[str, ...]]:
        """Return the live heads in the view of each connected head that is a member of the cluster."""
        return {name: report.live_heads for name, report in self._clustered_reports()}

    def reported_departed(self) -> dict[str, tuple[str, ...]]:
        """Return the heads that have left in the view of each connected head that is a member of the cluster."""
        return {name: report.departed_heads for name, report in self._clustered_reports()}

    def _clustered_reports(self) -> Iterator[tuple[str, HeadReport]]:
        for name, head in self.heads.items():
            if head.is_connected and head.report is not None and head.report.is_clustered:
                yield name, head.report


def required_count(reserves: Mapping[str, float], capacity: float, min_count: int) -> int:
    """Return how many processes of the given capacity carry the reserves of tenants, at least `min_count`."""
    total = sum(reserves.values())
    count = max(min_count, math.ceil(total / capacity - 1e-9) if capacity > 0 else 0)
    while capacity > 0 and find_shortfall(reserves, dict.fromkeys(map(str, range(count)), capacity)) is not None:
        count += 1
    return count


def backend_floors(
    records: Iterable[Record], backends: Mapping[str, BackendListing], capacity: float, accounts: Mapping[str, float]
) -> list[CapacityFloor]:
    """Return how many backends each pool needs: for its `at-least`, and for the tenants whose routes name it first.

    Args:
        records: The records of pools, routes and tenants.
        backends: The backends that heads list, by name.
        capacity: The capacity of one backend, in the units of the reserves; 0: unknown.
        accounts: The reserves of tenants that have an account.

    """
    rows = list(records)
    pools = {record.name: record for record in rows if isinstance(record, Pool)}
    routes = [record for record in rows if isinstance(record, Route)]
    reserves = _all_reserves(rows, accounts)
    by_pool: dict[str, dict[str, float]] = {name: {} for name in pools}
    for tenant, reserve in reserves.items():
        own_routes = [route for route in routes if route.scope.tenant == tenant]
        own_routes = own_routes or [route for route in routes if not route.scope.tenant]
        for pool_name in {route.pools[0] for route in own_routes}:
            by_pool[pool_name][tenant] = reserve  # in full in each pool: no route states how a tenant's requests divide
    floors = [
        CapacityFloor(
            f"the pool {name}",
            frozenset(backend for backend, listing in backends.items() if _belongs(pool, backend, listing)),
            required_count(by_pool[name], capacity, pool.min_backends),
        )
        for name, pool in pools.items()
    ]
    floors = [floor for floor in floors if floor.members]  # a pool without listed backends has none that could go out
    return [*floors, CapacityFloor("the installation", (), required_count(reserves, capacity, 0))]


def head_floor(records: Iterable[Record], accounts: Mapping[str, float]) -> CapacityFloor:
    """Return how many heads carry all reserves, by the capacity of a head that the document states."""
    rows = list(records)
    capacity = next((record.head_capacity for record in rows if isinstance(record, SpareSharing)), 0.0)
    reserves = _all_reserves(rows, accounts)
    return CapacityFloor("the installation", (), required_count(reserves, capacity, 0))


def _all_reserves(records: Iterable[Record], accounts: Mapping[str, float]) -> dict[str, float]:
    stated = {
        record.name: record.reserve for record in records if isinstance(record, TenantRule) and record.reserve > 0
    }
    return {**accounts, **stated}


def _belongs(pool: Pool, backend: str, listing: BackendListing) -> bool:
    return (
        (not pool.zones or listing.zone in pool.zones)
        and (not pool.kinds or listing.kind in pool.kinds)
        and (not pool.backends or backend in pool.backends)
    )
