"""Failover between pools: the backends that each route may use now, given the node list and the current ejections."""

from __future__ import annotations

from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase, Settings
from hophinge.routing.outlier_detection import OutlierDetector
from hophinge.routing.records import Pool
from hophinge.routing.routing_table import RoutingTable


class BackendView:
    """The backends that may be used now and their shards; updated in place, so that waiting requests see changes."""

    __slots__ = ("nodes", "shards", "version")

    def __init__(self) -> None:
        self.nodes: frozenset[str] = frozenset()
        self.shards: frozenset[int] = frozenset()
        self.version = 0


class FailoverLevel:
    """One level of a route: a pool, with backends of later pools added while it has too few of its own."""

    __slots__ = ("pool", "view")

    def __init__(self, pool: Pool | None) -> None:
        self.pool = pool
        self.view = BackendView()


class FailoverLevels:
    """Failover levels of all pool lists in use, kept up to date with the node list and ejections."""

    def __init__(self, settings: Settings, outlier_detector: OutlierDetector) -> None:
        self.settings = settings
        self.outlier_detector = outlier_detector
        self.entries: dict[str, NodeEntry] = {}
        self.tables: dict[tuple[int, int], RoutingTable] = {}  # versions in use: the active one and draining ones
        self.levels_by_version: dict[tuple[int, int], dict[tuple[str, ...], list[FailoverLevel]]] = {}
        self.generation = 0

    def on_node_list(self, now_us: int, event: NodeList) -> None:
        """Apply a full node list, or changes to it."""
        if event.kind is ListKind.ERROR:
            return
        if event.kind is ListKind.FULL:
            self.entries = {}
        for entry in event.entries:
            if entry.phase is Phase.GONE:
                self.entries.pop(entry.node, None)
            else:
                self.entries[entry.node] = entry
        self.outlier_detector.set_live_backends(
            (node for node, entry in self.entries.items() if entry.phase is Phase.ON), now_us
        )
        self.refresh()

    def refresh(self) -> None:
        """Recompute all views from the backends that are live and not ejected now."""
        self.generation += 1
        for version, levels_by_pools in self.levels_by_version.items():
            for levels in levels_by_pools.values():
                self._refresh_levels(self.tables[version], levels)

    def _members(self, pool: Pool) -> set[str]:
        zones = {index for index, name in enumerate(self.settings.zones) if name in pool.zones}
        kinds = {index for index, name in enumerate(self.settings.kinds) if name in pool.kinds}
        return {
            node
            for node, entry in self.entries.items()
            if entry.phase is Phase.ON
            and (not pool.zones or entry.zone in zones)
            and (not pool.kinds or entry.kind in kinds)
            and (not pool.backends or node in pool.backends)
        }

    def _refresh_levels(self, table: RoutingTable, levels: list[FailoverLevel]) -> None:
        ejected = self.outlier_detector.ejected_until
        live = [
            self._members(level.pool)
            if level.pool is not None
            else {node for node, entry in self.entries.items() if entry.phase is Phase.ON}
            for level in levels
        ]
        for index, level in enumerate(levels):
            nodes: set[str] = set()
            min_backends = level.pool.min_backends if level.pool is not None else 1
            for members in live[index:]:
                nodes |= {node for node in members if node not in ejected}
                if len(nodes) >= min_backends:
                    break
            # Ejections are ignored if they would leave no backend at all: an ejected backend is better than none.
            nodes = nodes or set().union(*live[index:])
            shards = {self.entries[node].shard for node in nodes}
            if nodes != level.view.nodes or shards != level.view.shards:
                level.view.nodes = frozenset(nodes)
                level.view.shards = frozenset(shards)
                level.view.version = self.generation

    def levels_of(self, table: RoutingTable, pools: tuple[str, ...]) -> list[FailoverLevel]:
        """Return the failover levels of an ordered list of pools; without pools, a single level with all backends."""
        levels_by_pools = self.levels_by_version.setdefault(table.version, {})
        levels = levels_by_pools.get(pools)
        if levels is None:
            levels = levels_by_pools[pools] = [FailoverLevel(table.pools[name]) for name in pools] or [
                FailoverLevel(None)
            ]
            self.tables.setdefault(table.version, table)
            self._refresh_levels(table, levels)
        return levels

    def drop_version(self, version: tuple[int, int]) -> None:
        """Drop a version that has no open requests."""
        self.tables.pop(version, None)
        self.levels_by_version.pop(version, None)
