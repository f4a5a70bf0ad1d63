"""The state shared by a server's connections, and the views of a connection for requests and responses."""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hophinge.fleet.transport.asgi import Scope
from hophinge.fleet.transport.connection_state import ConnectionBounds, ConnectionState

CONNECTIONS_FRACTION = 0.6  # of the file descriptors that the process may open
CONNECTION = "connection"  # key of the connection's state in a request's scope


def max_connections() -> int:
    """Return how many clients' connections may be open; those to instances and members need descriptors, too."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(CONNECTIONS_FRACTION * soft)


@dataclass(slots=True)
class ConnectionContext:
    """The state shared by the connections of a server."""

    bounds: ConnectionBounds = field(default_factory=ConnectionBounds)
    max_connections: int = field(default_factory=max_connections)
    close_reasons: Counter[str] = field(default_factory=Counter)  # of unclean closes, see `connection_lost`


def connection_of(scope: Scope) -> ConnectionState:
    """Return the state of the connection on which a request arrived."""
    state: ConnectionState = scope["state"][CONNECTION]
    return state


class ResponseTransport:
    """The transport as responses use it; their `close` takes effect after the last outstanding response.

    A write to a connection that the client has reset closes it, which the event loop reports only in a later iteration.
    Data written until then would be lost silently, so the loss is reported at once.
    """

    def __init__(self, transport: asyncio.Transport, close: Callable[[], None], on_lost: Callable[[], None]) -> None:
        self.transport = transport
        self.is_closing = transport.is_closing
        self.close = close
        self.on_lost = on_lost

    def write(self, data: bytes) -> None:
        """Write part of a response, or drop it and report the loss if the connection is lost."""
        if not self.transport.is_closing():
            self.transport.write(data)
        if self.transport.is_closing():
            self.on_lost()
