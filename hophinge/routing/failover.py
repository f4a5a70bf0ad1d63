"""Which bricks each pool may give now: the list, what is ejected, and the order of pools of each version in use."""

from __future__ import annotations

from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase, Settings
from hophinge.routing.outlier_detection import OutlierDetector
from hophinge.routing.records import Pool
from hophinge.routing.routing_table import RoutingTable


class BackendView:
    """Bricks that may be used now; changed in place, so that requests which wait see what has become of them."""

    __slots__ = ("nodes", "shards", "version")

    def __init__(self) -> None:
        self.nodes: frozenset[str] = frozenset()
        self.shards: frozenset[int] = frozenset()
        self.version = 0


class FailoverLevel:
    """One step of a route's order: the pool that it begins with, and those that fill it up."""

    __slots__ = ("pool", "view")

    def __init__(self, pool: Pool | None) -> None:
        self.pool, self.view = pool, BackendView()


class FailoverLevels:
    """The bricks that are listed, and what each level of each order of pools has of them."""

    def __init__(self, settings: Settings, ejector: OutlierDetector) -> None:
        self.settings, self.ejector = settings, ejector
        self.entries: dict[str, NodeEntry] = {}
        self.tables: dict[tuple[int, int], RoutingTable] = {}  # versions in use: this one and those that drain
        self.levels_by_version: dict[tuple[int, int], dict[tuple[str, ...], list[FailoverLevel]]] = {}
        self.generation = 0

    def on_node_list(self, now_us: int, event: NodeList) -> None:
        """Take a node list, or what changed in it."""
        if event.kind is ListKind.ERROR:
            return
        if event.kind is ListKind.FULL:
            self.entries = {}
        for entry in event.entries:
            if entry.phase is Phase.GONE:
                self.entries.pop(entry.node, None)
            else:
                self.entries[entry.node] = entry
        self.ejector.set_live_backends(
            (node for node, entry in self.entries.items() if entry.phase is Phase.ON), now_us
        )
        self.refresh()

    def refresh(self) -> None:
        """Bring every view in use up to what is live and sound now."""
        self.generation += 1
        for version, chains in self.levels_by_version.items():
            for levels in chains.values():
                self._refresh_levels(self.tables[version], levels)

    def _members(self, pool: Pool) -> set[str]:
        zones = {at for at, name in enumerate(self.settings.zones) if name in pool.zones}
        kinds = {at for at, name in enumerate(self.settings.kinds) if name in pool.kinds}
        return {
            node
            for node, entry in self.entries.items()
            if entry.phase is Phase.ON
            and (not pool.zones or entry.zone in zones)
            and (not pool.kinds or entry.kind in kinds)
            and (not pool.backends or node in pool.backends)
        }

    def _refresh_levels(self, table: RoutingTable, levels: list[FailoverLevel]) -> None:
        out = self.ejector.ejected_until
        live = [
            self._members(level.pool)
            if level.pool is not None
            else {node for node, entry in self.entries.items() if entry.phase is Phase.ON}
            for level in levels
        ]
        for at, level in enumerate(levels):
            nodes: set[str] = set()
            least = level.pool.min_backends if level.pool is not None else 1
            for members in live[at:]:
                nodes |= {node for node in members if node not in out}
                if len(nodes) >= least:
                    break
            # An ejected brick is better than none: ejecting takes a choice away only where there is another.
            nodes = nodes or set().union(*live[at:])
            shards = {self.entries[node].shard for node in nodes}
            if nodes != level.view.nodes or shards != level.view.shards:
                level.view.nodes, level.view.shards = frozenset(nodes), frozenset(shards)
                level.view.version = self.generation

    def levels_of(self, table: RoutingTable, pools: tuple[str, ...]) -> list[FailoverLevel]:
        """Tell the levels of an order of pools, the first first; without pools, one with every brick."""
        chains = self.levels_by_version.setdefault(table.version, {})
        levels = chains.get(pools)
        if levels is None:
            levels = chains[pools] = [FailoverLevel(table.pools[name]) for name in pools] or [FailoverLevel(None)]
            self.tables.setdefault(table.version, table)
            self._refresh_levels(table, levels)
        return levels

    def drop_version(self, version: tuple[int, int]) -> None:
        """Drop a version of which no request is open."""
        self.tables.pop(version, None)
        self.levels_by_version.pop(version, None)
