"""Which connections to bricks are open; they are bounded here, and idle ones go first."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from hophinge.core.counters import Counters

if TYPE_CHECKING:
    from hophinge.net.backend_connection import BackendConnection


class Roll:
    """All connections to bricks, the one that is idle longest first among the idle; they are bounded here.

    The pool keeps a connection to a brick that is gone, and all that a busy moment opened, until their time is over.
    """

    def __init__(self, most: int, counters: Counters) -> None:
        self.most, self.counters = most, counters
        self.open: dict[BackendConnection, None] = {}
        self.kept: set[str] | None = None  # endpoints whose connections may be idle; None: any
        self.each = most  # connections to one of them, beyond which idle ones go

    def add(self, connection: BackendConnection) -> None:
        """Note a new connection, or one that has just become idle."""
        self.open.pop(connection, None)
        self.open[connection] = None
        if connection.idle and self.kept is not None and connection.endpoint not in self.kept:
            self._end(connection)  # its brick went out of use while it was busy
            return
        if connection.idle:
            # What a brick holds is shared by all heads, and long answers take part of that: while this head has its
            # part, idle ones go, the one that is idle longest first, but for one.
            there = [one for one in self.open if one.endpoint == connection.endpoint]
            resting = [one for one in there if one.idle]
            if len(there) > self.each and len(resting) > 1:
                self._end(resting[0])
        if len(self.open) > self.most:
            idle = next((one for one in self.open if one.idle), None)
            if idle is not None:
                self._end(idle)

    def at(self, endpoint: str) -> int:
        """Tell how many connections to a brick are up."""
        return sum(one.endpoint == endpoint for one in self.open)

    def keep(self, endpoints: Iterable[str]) -> None:
        """Close idle connections to all bricks but these."""
        self.kept = kept = set(endpoints)
        for one in [one for one in self.open if one.idle and one.endpoint not in kept]:
            self._end(one)

    def _end(self, connection: BackendConnection) -> None:
        self.counters.add("brick_connections_yielded")
        del self.open[connection]
        connection.force_close()
        if connection.transport is not None:
            connection.transport.close()
