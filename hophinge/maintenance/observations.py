"""What the issuer knows of heads and bricks, each held for out where nobody can tell that it is not."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Iterator, Mapping

import msgspec
from msgspec import Struct

from hophinge.maintenance.messages import BackendListing, HeadReport
from hophinge.maintenance.permits import Availability, CapacityFloor
from hophinge.maintenance.snapshots import SnapshotReceiver
from hophinge.routing.records import Pool, Record, Route, Spare, Tenant
from hophinge.tenancy.share_planner import find_shortfall

BACKEND_RETENTION_US = (
    3_600_000_000  # a brick that all lists have lost is out for an hour, then it was taken away for good
)


class ObservedHead(Struct):
    """One head as the issuer knows it; `speaks`: it tells reports, and is held for out until it has told one."""

    zone: str = ""
    is_connected: bool = False
    was_connected: bool = False  # has had a stream here since the issuer started
    supports_permits: bool = False
    report: HeadReport | None = None
    receiver: SnapshotReceiver = msgspec.field(default_factory=SnapshotReceiver)

    @property
    def is_up(self) -> bool:
        """Tell whether it surely serves; of an older head its stream is all there is to go by."""
        return self.is_connected and (self.report.is_ready if self.report is not None else not self.supports_permits)


class Observations:
    """All heads and bricks."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.heads = {name: ObservedHead(zone) for name, zone in zones.items()}
        self.head_count = 0  # heads that the installation counts
        self.listed_backends: dict[str, tuple[BackendListing, int]] = {}  # bricks: as listed last, and when

    def head_availability(self, retired: Collection[str]) -> Availability:
        """Tell the heads; those that are counted and never heard of are among the total."""
        known = {name: one for name, one in self.heads.items() if one.is_connected or name not in retired}
        up = {name: one.zone for name, one in known.items() if one.is_up}
        down = {name: one.zone for name, one in known.items() if not one.is_up}
        return Availability(max(self.head_count, len(known)), up, down)

    def backend_availability(self, now_us: int) -> Availability:
        """Tell the bricks: up is what no connected head holds for anything else, all heads' lists being sure."""
        up: dict[str, str] = {}
        down: dict[str, str] = {}
        sure = not any(
            one.report.is_uncertain for one in self.heads.values() if one.is_connected and one.report is not None
        )
        for one in self.heads.values():
            for name, listed in one.report.backends.items() if one.is_connected and one.report is not None else ():
                self.listed_backends[name] = listed, now_us
                (up if listed.is_up and sure else down)[name] = listed.zone
        for name, (listed, at_us) in list(self.listed_backends.items()):
            if now_us - at_us > BACKEND_RETENTION_US:
                del self.listed_backends[name]
            elif name not in up:
                down[name] = listed.zone
        up = {name: zone for name, zone in up.items() if name not in down}
        return Availability(len(up) + len(down), up, down)

    def connected(self) -> set[str]:
        """Tell the heads that have a line to here."""
        return {name for name, one in self.heads.items() if one.is_connected}

    def reported_live(self) -> dict[str, tuple[str, ...]]:
        """Return the live heads by each connected head that is a member of the cluster."""
        return {name: report.live_heads for name, report in self._clustered_reports()}

    def reported_departed(self) -> dict[str, tuple[str, ...]]:
        """Return the heads that have left by each connected head that is a member of the cluster."""
        return {name: report.departed_heads for name, report in self._clustered_reports()}

    def _clustered_reports(self) -> Iterator[tuple[str, HeadReport]]:
        for name, head in self.heads.items():
            if head.is_connected and head.report is not None and head.report.is_clustered:
                yield name, head.report


def required_count(reserves: Mapping[str, float], capacity: float, min_count: int) -> int:
    """Tell how many members of one capacity carry reserves, at least `least`."""
    total = sum(reserves.values())
    count = max(min_count, math.ceil(total / capacity - 1e-9) if capacity > 0 else 0)
    while capacity > 0 and find_shortfall(reserves, dict.fromkeys(map(str, range(count)), capacity)) is not None:
        count += 1
    return count


def backend_floors(
    records: Iterable[Record], backends: Mapping[str, BackendListing], capacity: float, accounts: Mapping[str, float]
) -> list[CapacityFloor]:
    """Tell how many bricks each pool needs: its `at-least`, and the reserves of tenants whose first choice it is."""
    rows = list(records)
    pools = {one.name: one for one in rows if isinstance(one, Pool)}
    routes = [one for one in rows if isinstance(one, Route)]
    reserves = {**accounts, **{one.name: one.reserve for one in rows if isinstance(one, Tenant) and one.reserve > 0}}
    by_pool: dict[str, dict[str, float]] = {name: {} for name in pools}
    for tenant, reserve in reserves.items():
        own = [one for one in routes if one.scope.tenant == tenant] or [one for one in routes if not one.scope.tenant]
        for pool in {one.pools[0] for one in own}:
            by_pool[pool][tenant] = reserve  # whole in each: no route tells how a tenant's requests divide
    floors = [
        CapacityFloor(
            f"the pool {name}",
            frozenset(backend for backend, listed in backends.items() if _belongs(pool, backend, listed)),
            required_count(by_pool[name], capacity, pool.at_least),
        )
        for name, pool in pools.items()
    ]
    floors = [floor for floor in floors if floor.members]  # of no brick that anybody lists: nothing to keep
    return [*floors, CapacityFloor("the installation", (), required_count(reserves, capacity, 0))]


def head_floor(records: Iterable[Record], accounts: Mapping[str, float]) -> CapacityFloor:
    """Tell how many heads carry all reserves, by the capacity that the document states for one."""
    rows = list(records)
    capacity = next((one.capacity for one in rows if isinstance(one, Spare)), 0.0)
    reserves = {**accounts, **{one.name: one.reserve for one in rows if isinstance(one, Tenant) and one.reserve > 0}}
    return CapacityFloor("the installation", (), required_count(reserves, capacity, 0))


def _belongs(pool: Pool, backend: str, listed: BackendListing) -> bool:
    return (
        (not pool.zones or listed.zone in pool.zones)
        and (not pool.kinds or listed.kind in pool.kinds)
        and (not pool.backends or backend in pool.backends)
    )
