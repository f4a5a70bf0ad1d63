"""The state shared by a server's connections, and the views of a connection for requests and responses."""

from __future__ import annotations

import asyncio
import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hophinge.fleet.transport.asgi import Scope
from hophinge.fleet.transport.client_memory import DEFAULT_MEMORY_BYTES, ClientMemory, MemoryLimits, RequestMemory
from hophinge.fleet.transport.connection_state import ConnectionBounds, ConnectionState
from hophinge.fleet.transport.parse_scheduler import ParseScheduler

CONNECTIONS_FRACTION = 0.6  # of the file descriptors that the process may open
CONNECTION = "connection"  # key of the connection's state in a request's scope
MEMORY = "memory"  # key of the connection's memory in a request's scope
MAX_JOINED_BYTES = 64 << 10  # of a body that is copied to leave together with its header


def max_connections(max_descriptors: int = 0) -> int:
    """Return how many clients' connections may be open; those to instances and members need descriptors, too.

    Args:
        max_descriptors: The limit in the settings; 0 where only the operating system's applies.

    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(CONNECTIONS_FRACTION * min(soft, max_descriptors or soft))


@dataclass(slots=True)
class ConnectionContext:
    """The state shared by the connections of a server."""

    bounds: ConnectionBounds = field(default_factory=ConnectionBounds)
    max_connections: int = field(default_factory=max_connections)
    memory: ClientMemory = field(default_factory=lambda: ClientMemory(MemoryLimits.of_machine(DEFAULT_MEMORY_BYTES)))
    parse_scheduler: ParseScheduler = field(default_factory=ParseScheduler)
    reserved_connections: dict[int, int] = field(default_factory=dict)  # by port: its own limit, apart from the others
    open_connections: Counter[int] = field(default_factory=Counter)  # by port
    close_reasons: Counter[str] = field(default_factory=Counter)  # of unclean closes, see `connection_lost`

    @classmethod
    def of_machine(cls, memory_bytes: int, max_descriptors: int) -> ConnectionContext:
        """Return the state of a server on a machine with this memory and this limit on descriptors."""
        return cls(
            max_connections=max_connections(max_descriptors),
            memory=ClientMemory(MemoryLimits.of_machine(memory_bytes)),
        )

    def connection_limit(self, port: int) -> int:
        """Return how many connections to a port may be open."""
        return self.reserved_connections.get(port, self.max_connections)


def connection_of(scope: Scope) -> ConnectionState:
    """Return the state of the connection on which a request arrived."""
    state: ConnectionState = scope["state"][CONNECTION]
    return state


def memory_of(scope: Scope) -> RequestMemory:
    """Return the memory of the connection on which a request arrived."""
    memory: RequestMemory = scope["state"][MEMORY]
    return memory


class ResponseTransport:
    """The transport as responses use it; their `close` takes effect after the last outstanding response.

    A write to a connection that the client has reset closes it, which the event loop reports only in a later iteration.
    Data written until then would be lost silently, so the loss is reported at once.

    A header that is held leaves in one write with the body behind it: a process that is killed between two writes would
    leave its client a header without a body.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        close: Callable[[], None],
        on_lost: Callable[[], None],
        on_unsent: Callable[[], None],
    ) -> None:
        self.transport = transport
        self.is_closing = transport.is_closing
        self.close = close
        self.on_lost = on_lost
        self.on_unsent = on_unsent
        self.is_header_next = False  # the next write is a header to hold
        self.header = b""  # held

    def hold_header(self) -> None:
        """Hold the next write, and send it with the one after it."""
        self.is_header_next = True

    def write(self, data: bytes) -> None:
        """Write part of a response, or drop it and report the loss if the connection is lost."""
        if self.is_header_next:
            self.is_header_next, self.header = False, data
            return
        header, self.header = self.header, b""
        if len(data) <= MAX_JOINED_BYTES:
            self._send(header + data)
            return
        self._send(header)
        self._send(data)

    def _send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size():
                self.on_unsent()
        if self.transport.is_closing():
            self.on_lost()
