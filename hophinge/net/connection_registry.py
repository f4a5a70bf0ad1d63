"""The open connections to backends, bounded in all and for each endpoint; idle ones are evicted first."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from hophinge.core.counters import Counters

if TYPE_CHECKING:
    from hophinge.net.backend_connection import BackendConnection


class ConnectionRegistry:
    """All open connections to backends, ordered by when each became idle.

    The pool keeps a connection to a backend that is gone, and all that a busy moment opened, until their time is over.
    """

    def __init__(self, limit: int, counters: Counters) -> None:
        self.limit = limit
        self.counters = counters
        self.open: dict[BackendConnection, None] = {}
        self.endpoints_in_use: set[str] | None = None  # endpoints whose connections may be idle; None: any
        self.limit_per_endpoint = limit  # connections to one of them, beyond which idle ones go

    def add(self, connection: BackendConnection) -> None:
        """Add a new connection, or one that has just become idle, and evict idle ones beyond the limits."""
        self.open.pop(connection, None)
        self.open[connection] = None
        if (
            connection.is_idle
            and self.endpoints_in_use is not None
            and connection.endpoint not in self.endpoints_in_use
        ):
            self._evict(connection)  # its backend went out of use while it was busy
            return
        if connection.is_idle:
            # What a backend holds is shared by all heads, and long answers take part of that: while this head has its
            # part, idle ones go, the one that is idle longest first, but for one.
            there = [one for one in self.open if one.endpoint == connection.endpoint]
            resting = [one for one in there if one.is_idle]
            if len(there) > self.limit_per_endpoint and len(resting) > 1:
                self._evict(resting[0])
        if len(self.open) > self.limit:
            idle = next((one for one in self.open if one.is_idle), None)
            if idle is not None:
                self._evict(idle)

    def count_for(self, endpoint: str) -> int:
        """Return the number of open connections to an endpoint."""
        return sum(one.endpoint == endpoint for one in self.open)

    def retain(self, endpoints: Iterable[str]) -> None:
        """Close idle connections to all endpoints but these."""
        self.endpoints_in_use = kept = set(endpoints)
        for one in [one for one in self.open if one.is_idle and one.endpoint not in kept]:
            self._evict(one)

    def _evict(self, connection: BackendConnection) -> None:
        self.counters.add("brick_connections_yielded")
        del self.open[connection]
        connection.force_close()
        if connection.transport is not None:
            connection.transport.close()
