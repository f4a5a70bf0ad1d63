"""The HTTP server of a process, on uvicorn: several listening sockets, started and drained by the program."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any, cast

from loguru import logger
from uvicorn.config import Config
from uvicorn.server import Server

from hophinge.fleet.transport.connection_context import ConnectionContext
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.server_connection import ServerConnection

BACKLOG = 1_024  # connections that the kernel holds for a socket until they are accepted
ACCEPT_BATCH = 16  # connections accepted from a socket in one iteration of the event loop
POLL_INTERVAL_S = 0.05  # between checks for work in flight while draining
FINAL_FLUSH_S = 0.2  # for sending responses after `on_deadline`


def bind_listener(address: str) -> socket.socket:
    """Bind a listening socket."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((host, int(port)))
    sock.setblocking(False)
    return sock


class HttpServer(Server):
    """A uvicorn server without uvicorn's signal handlers, timer and log."""

    def __init__(self, app: Any, context: ConnectionContext | None = None) -> None:
        self.context = context or ConnectionContext()
        config = Config(
            app,
            http=cast(Any, self._connection),
            ws="none",
            loop="asyncio",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=ACCEPT_BATCH,
        )
        super().__init__(config)
        self.shutdown_requested = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen.

        asyncio accepts as many connections at once as the kernel may hold, which could take all descriptors before the
        limit on connections applies; so the kernel's number is set apart.
        """
        await super().startup(sockets)
        for sock in sockets or []:
            sock.listen(BACKLOG)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the program."""
        yield

    async def main_loop(self) -> None:
        """Wait for the shutdown without a timer."""
        await self.shutdown_requested.wait()

    def _connection(self, **params: Any) -> ServerConnection:
        return ServerConnection(self.context, **params)

    def update_bounds(self, bounds: ConnectionBounds) -> None:
        """Apply new bounds to all connections, also to open ones."""
        self.context.bounds = bounds
        for connection in self.connections():
            connection.update_bounds(bounds)

    def connections(self) -> list[ServerConnection]:
        """Return the open connections."""
        return [connection for connection in self.server_state.connections if isinstance(connection, ServerConnection)]

    def stop_listening(self) -> None:
        """Accept no new connections."""
        for server in self.servers:
            server.close()

    def close_idle(self) -> None:
        """Close connections without a request in flight; the others close after their response."""
        for connection in list(self.server_state.connections):
            connection.shutdown()

    async def drain(self, deadline: float, on_deadline: Callable[[], None] = lambda: None) -> None:
        """Accept nothing new, and close each connection after its requests in flight.

        A response that the program completed may still be in a write buffer, so a connection counts until it closes.

        Args:
            deadline: Until when to wait, on the loop's clock.
            on_deadline: Called at the deadline if work is left, to have pending requests answered at once; their
                responses are sent within FINAL_FLUSH_S.

        """
        self.stop_listening()
        await self._wait_until_idle(deadline)
        if self.has_work:
            for connection in self.connections():
                connection.reject_waiting()
            on_deadline()
            await self._wait_until_idle(asyncio.get_running_loop().time() + FINAL_FLUSH_S)
        for response in self.outstanding_responses():
            logger.info("connection aborted side=process {}", response)
        for connection in self.connections():
            connection.stop()

    async def _wait_until_idle(self, deadline: float) -> None:
        while self.has_work and asyncio.get_running_loop().time() < deadline:
            self.close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def has_work(self) -> bool:
        """Whether a connection is open or a request is being processed, including the cleanup after its response."""
        return bool(self.server_state.connections or self.server_state.tasks)

    def outstanding_responses(self) -> list[str]:
        """Return a description of each response that is outstanding or not sent completely."""
        return [response for connection in self.connections() for response in connection.outstanding_responses()]
