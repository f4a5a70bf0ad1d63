"""The registry of open connections to backends: evicts idle ones above the limits in total and for each endpoint."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from hophinge.core.counters import Counters
from hophinge.net.cut_off_log import CutOffLog

if TYPE_CHECKING:
    from hophinge.net.backend_connection import BackendConnection


class ConnectionRegistry:
    """All open connections to backends, ordered by when each became idle.

    The pool alone would keep connections to removed backends, and all that a load peak opened, until they time out.
    """

    def __init__(self, limit: int, counters: Counters, log: Callable[[str], None]) -> None:
        self.limit = limit
        self.counters = counters
        self.cut_off_log = CutOffLog(log)
        self.open: dict[BackendConnection, None] = {}
        self.endpoints_in_use: set[str] | None = None  # endpoints to which idle connections are kept; None: all
        self.limit_per_endpoint = limit  # connections to one endpoint above which idle ones are evicted

    def add(self, connection: BackendConnection) -> None:
        """Add a new connection, or one that has just become idle, and evict idle ones beyond the limits."""
        self.open.pop(connection, None)
        self.open[connection] = None
        if (
            connection.is_idle
            and self.endpoints_in_use is not None
            and connection.endpoint not in self.endpoints_in_use
        ):
            self._evict(connection)  # its backend was removed while the connection was busy
            return
        if connection.is_idle:
            # All heads share the connections that a backend accepts, and long answers occupy some of them. Above its
            # share this head closes the connection that has been idle longest, but always keeps one idle.
            to_endpoint = [other for other in self.open if other.endpoint == connection.endpoint]
            idle_to_endpoint = [other for other in to_endpoint if other.is_idle]
            if len(to_endpoint) > self.limit_per_endpoint and len(idle_to_endpoint) > 1:
                self._evict(idle_to_endpoint[0])
        if len(self.open) > self.limit:
            longest_idle = next((other for other in self.open if other.is_idle), None)
            if longest_idle is not None:
                self._evict(longest_idle)

    def count_for(self, endpoint: str) -> int:
        """Return the number of open connections to an endpoint."""
        return sum(connection.endpoint == endpoint for connection in self.open)

    def retain(self, endpoints: Iterable[str]) -> None:
        """Close idle connections to all endpoints but these."""
        self.endpoints_in_use = kept = set(endpoints)
        self.cut_off_log.retain(kept)
        for connection in [other for other in self.open if other.is_idle and other.endpoint not in kept]:
            self._evict(connection)

    def _evict(self, connection: BackendConnection) -> None:
        self.counters.add("brick_connections_yielded")
        del self.open[connection]
        connection.force_close()
        if connection.transport is not None:
            connection.transport.close()
