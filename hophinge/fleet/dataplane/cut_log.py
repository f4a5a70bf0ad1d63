"""Tells of cut answers: gathers what the parts of a data plane know at that moment."""

from __future__ import annotations

import asyncio
from collections import Counter

from loguru import logger

from hophinge.fleet.dataplane.exchange import Exchange
from hophinge.fleet.dataplane.knowledge import Knowledge
from hophinge.fleet.dataplane.upstream import Upstream
from hophinge.fleet.forwarding.cuts import Cut, InstanceSeen, Side
from hophinge.fleet.placement.placement import Placement


class CutLog:
    """Counts and logs the cut answers of one data plane."""

    def __init__(self, knowledge: Knowledge, placement: Placement, upstream: Upstream) -> None:
        self.knowledge, self.placement, self.upstream = knowledge, placement, upstream
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()

    def note(self, exchange: Exchange, side: Side, error: str = "") -> None:
        """Take one cut answer."""
        now, table = self.loop.time(), self.knowledge.table
        cut = Cut(
            exchange.inbound.request_id or "-",
            exchange.life.route.name,
            side,
            exchange.step,
            error,
            self._instance(now, exchange.instance),
            table.version if table is not None else 0,
            now - self.knowledge.table_since,
            exchange.life.deadline - now,
        )
        self.counts[cut.reason] += 1
        logger.info("{}", cut.log_line())

    def _instance(self, now: float, identity: str) -> InstanceSeen | None:
        if not identity:
            return None
        node = self.placement.nodes.get(identity)
        state = node.instance.state if node is not None else ""
        return InstanceSeen(
            identity, state, self.upstream.unregistered_s(now, identity), self.upstream.connections(identity)
        )
