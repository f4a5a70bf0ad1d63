"""Logs and counts aborted responses, with what the data plane knows about each at that moment."""

from __future__ import annotations

import asyncio
from collections import Counter

from loguru import logger

from hophinge.fleet.dataplane.exchange import Exchange
from hophinge.fleet.dataplane.cluster_state import ClusterState
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.aborted_responses import AbortedResponse, ObservedInstance, AbortSide
from hophinge.fleet.placement.placement import Placement


class AbortLog:
    """Counts and logs the aborted responses of one data plane."""

    def __init__(self, cluster_state: ClusterState, placement: Placement, upstream: Upstream) -> None:
        self.cluster_state = cluster_state
        self.placement = placement
        self.upstream = upstream
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()

    def record(self, exchange: Exchange, side: AbortSide, error: str = "") -> None:
        """Record one aborted response."""
        now = self.loop.time()
        table = self.cluster_state.route_table
        aborted = AbortedResponse(
            exchange.inbound.request_id or "-",
            exchange.lifecycle.route.name,
            side,
            exchange.phase,
            error,
            self._observe(now, exchange.instance),
            table.version if table is not None else 0,
            now - self.cluster_state.route_table_since,
            exchange.lifecycle.deadline - now,
        )
        self.counts[aborted.reason] += 1
        logger.info("{}", aborted.event())

    def _observe(self, now: float, identity: str) -> ObservedInstance | None:
        if not identity:
            return None
        node = self.placement.nodes.get(identity)
        state = node.instance.state if node is not None else ""
        return ObservedInstance(
            identity, state, self.upstream.unregistered_s(now, identity), self.upstream.connection_count(identity)
        )
