"""What a server's connections share, and what requests and answers see of theirs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hophinge.fleet.transport.asgi import Scope
from hophinge.fleet.transport.connection_state import ConnectionBounds, ConnectionState

CONNECTION = "connection"   # where a request's scope tells the state of its connection


@dataclass(slots=True)
class ConnectionContext:
    """What the connections of a server share."""

    bounds: ConnectionBounds = field(default_factory=ConnectionBounds)
    ends: Counter[str] = field(default_factory=Counter)     # of connections, where something had been left open


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
