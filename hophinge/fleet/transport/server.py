"""HTTP by uvicorn: one server a process over several listening sockets, started and ended by its program."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any, cast

import uvicorn
from loguru import logger

from hophinge.fleet.transport.connection_context import ConnectionContext
from hophinge.fleet.transport.connection_state import ConnectionBounds
from hophinge.fleet.transport.server_connection import ServerConnection

BACKLOG = 1_024
LOOK_S = 0.05  # between looks at what is still under way at the end
LAST_S = 0.2  # for answers of those who have given up to go out


def listening(address: str) -> socket.socket:
    """Bind a listening socket."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((host, int(port)))
    sock.setblocking(False)
    return sock


class HttpServer(uvicorn.Server):
    """A uvicorn server without its own signals, timer and log."""

    def __init__(self, app: Any) -> None:
        self.context = ConnectionContext()
        config = uvicorn.Config(
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
            backlog=BACKLOG,
        )
        super().__init__(config)
        self.ended = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the program."""
        yield

    async def main_loop(self) -> None:
        """Wait for the end without a timer."""
        await self.ended.wait()

    def _connection(self, **params: Any) -> ServerConnection:
        return ServerConnection(self.context, **params)

    def bound(self, bounds: ConnectionBounds) -> None:
        """Bound what clients may leave open on their connections, also on those that are open."""
        self.context.bounds = bounds
        for connection in self.connections():
            connection.bounded_by(bounds)

    def connections(self) -> list[ServerConnection]:
        """Tell the connections that are open."""
        return [one for one in self.server_state.connections if isinstance(one, ServerConnection)]

    def stop_listening(self) -> None:
        """Take no new connections."""
        for server in self.servers:
            server.close()

    def close_resting(self) -> None:
        """Close connections on which no request is under way; the others close after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()

    async def finish(self, until: float, give_up: Callable[[], None] = lambda: None) -> None:
        """Take nothing new, and close each connection behind what is under way on it, until a time of the loop's clock.

        An answer that is out of the program's hands may still wait to be sent: a connection counts until it is closed.
        `give_up` has whoever waits for something then answer at once; there is a moment left for that.
        """
        self.stop_listening()
        await self._come_to_rest(until)
        if self.under_way:
            give_up()
            await self._come_to_rest(asyncio.get_running_loop().time() + LAST_S)
        for owed in self.owed():
            logger.info("connection aborted side=process {}", owed)

    async def _come_to_rest(self, until: float) -> None:
        while self.under_way and asyncio.get_running_loop().time() < until:
            self.close_resting()
            await asyncio.sleep(LOOK_S)

    @property
    def under_way(self) -> bool:
        """Tell whether a connection is open, or work on a request goes on, be it the tidying behind its answer."""
        return bool(self.server_state.connections or self.server_state.tasks)

    def owed(self) -> list[str]:
        """Tell each connection on which an answer is owed, or has not gone out whole yet."""
        return [told for connection in self.connections() for told in connection.owed()]
