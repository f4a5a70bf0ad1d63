"""What a server's connections share, and what requests and answers see of theirs."""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hophinge.fleet.transport.asgi import Scope
from hophinge.fleet.transport.connection_state import ConnectionBounds, ConnectionState

CONNECTIONS_PART = 0.6  # of the descriptors that a process may have
CONNECTION = "connection"  # where a request's scope tells the state of its connection


def places() -> int:
    """Tell how many connections may be open: instances, members and files need descriptors, too."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(CONNECTIONS_PART * soft)


@dataclass(slots=True)
class ConnectionContext:
    """What the connections of a server share."""

    bounds: ConnectionBounds = field(default_factory=ConnectionBounds)
    most_connections: int = field(default_factory=places)
    ends: Counter[str] = field(default_factory=Counter)  # of connections, where something had been left open


def connection_of(scope: Scope) -> ConnectionState:
    """Tell the state of the connection that a request came on."""
    state: ConnectionState = scope["state"][CONNECTION]
    return state


class AnswerTransport:
    """What an answer is written to; where it asks to close the connection, this happens behind the last claim."""

    def __init__(self, transport: asyncio.Transport, close: Callable[[], None]) -> None:
        self.write = transport.write
        self.is_closing = transport.is_closing
        self.close = close
