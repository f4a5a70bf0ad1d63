"""What the issuer knows of heads and bricks, each held for out where nobody can tell that it is not."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

import msgspec
from msgspec import Struct

from hophinge.maintenance.listing import Listener
from hophinge.maintenance.messages import Listed, Report
from hophinge.maintenance.permits import Floor, Sighting
from hophinge.routing.records import Pool, Record, Route, Spare, Tenant
from hophinge.tenancy.share_planner import find_shortfall

REMEMBER_US = 3_600_000_000  # a brick that all lists have lost is out for an hour, then it was taken away for good


class Head(Struct):
    """One head as the issuer knows it; `speaks`: it tells reports, and is held for out until it has told one."""

    zone: str = ""
    connected: bool = False
    heard: bool = False  # has had a stream here since the issuer started
    speaks: bool = False
    report: Report | None = None
    listener: Listener = msgspec.field(default_factory=Listener)

    @property
    def up(self) -> bool:
        """Tell whether it surely serves; of an older head its stream is all there is to go by."""
        return self.connected and (self.report.ready if self.report is not None else not self.speaks)


class Observations:
    """All heads and bricks."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.heads = {name: Head(zone) for name, zone in zones.items()}
        self.size = 0  # heads that the installation counts
        self.seen: dict[str, tuple[Listed, int]] = {}  # bricks: as listed last, and when

    def of_heads(self, retired: Collection[str]) -> Sighting:
        """Tell the heads; those that are counted and never heard of are among the total."""
        known = {name: one for name, one in self.heads.items() if one.connected or name not in retired}
        up = {name: one.zone for name, one in known.items() if one.up}
        down = {name: one.zone for name, one in known.items() if not one.up}
        return Sighting(max(self.size, len(known)), up, down)

    def of_backends(self, now_us: int) -> Sighting:
        """Tell the bricks: up is what no connected head holds for anything else, all heads' lists being sure."""
        up: dict[str, str] = {}
        down: dict[str, str] = {}
        sure = not any(one.report.unsure for one in self.heads.values() if one.connected and one.report is not None)
        for one in self.heads.values():
            for name, listed in one.report.backends.items() if one.connected and one.report is not None else ():
                self.seen[name] = listed, now_us
                (up if listed.up and sure else down)[name] = listed.zone
        for name, (listed, at_us) in list(self.seen.items()):
            if now_us - at_us > REMEMBER_US:
                del self.seen[name]
            elif name not in up:
                down[name] = listed.zone
        up = {name: zone for name, zone in up.items() if name not in down}
        return Sighting(len(up) + len(down), up, down)

    def connected(self) -> set[str]:
        """Tell the heads that have a line to here."""
        return {name for name, one in self.heads.items() if one.connected}

    def told(self, what: str) -> dict[str, tuple[str, ...]]:
        """Tell what each connected head that sees the cluster holds for `live` or `gone`."""
        return {
            name: tuple(getattr(one.report, what))
            for name, one in self.heads.items()
            if one.connected and one.report is not None and one.report.clustered
        }


def need(reserves: Mapping[str, float], capacity: float, least: int) -> int:
    """Tell how many members of one capacity carry reserves, at least `least`."""
    total = sum(reserves.values())
    count = max(least, math.ceil(total / capacity - 1e-9) if capacity > 0 else 0)
    while capacity > 0 and find_shortfall(reserves, dict.fromkeys(map(str, range(count)), capacity)) is not None:
        count += 1
    return count


def backend_floors(
    records: Iterable[Record], backends: Mapping[str, Listed], capacity: float, accounts: Mapping[str, float]
) -> list[Floor]:
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
        Floor(
            f"the pool {name}",
            frozenset(backend for backend, listed in backends.items() if _belongs(pool, backend, listed)),
            need(by_pool[name], capacity, pool.at_least),
        )
        for name, pool in pools.items()
    ]
    floors = [floor for floor in floors if floor.members]  # of no brick that anybody lists: nothing to keep
    return [*floors, Floor("the installation", (), need(reserves, capacity, 0))]


def head_floor(records: Iterable[Record], accounts: Mapping[str, float]) -> Floor:
    """Tell how many heads carry all reserves, by the capacity that the document states for one."""
    rows = list(records)
    capacity = next((one.capacity for one in rows if isinstance(one, Spare)), 0.0)
    reserves = {**accounts, **{one.name: one.reserve for one in rows if isinstance(one, Tenant) and one.reserve > 0}}
    return Floor("the installation", (), need(reserves, capacity, 0))


def _belongs(pool: Pool, backend: str, listed: Listed) -> bool:
    return (
        (not pool.zones or listed.zone in pool.zones)
        and (not pool.kinds or listed.kind in pool.kinds)
        and (not pool.backends or backend in pool.backends)
    )
