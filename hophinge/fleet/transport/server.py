"""HTTP by uvicorn: one server a process over several listening sockets, started and ended by its program."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

BACKLOG = 1_024
IDLE_S = 60.0               # until the configuration tells how long connections may rest


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
        config = uvicorn.Config(
            app, http="httptools", ws="none", loop="asyncio", lifespan="off", interface="asgi3", log_config=None,
            access_log=False, server_header=False, date_header=False, proxy_headers=False, backlog=BACKLOG,
            timeout_keep_alive=int(IDLE_S))
        super().__init__(config)
        self.ended = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the program."""
        yield

    async def main_loop(self) -> None:
        """Wait for the end without a timer."""
        await self.ended.wait()

    def rest(self, seconds: float) -> None:
        """Let connections rest for so long; holds for connections that come from now on."""
        self.config.timeout_keep_alive = int(seconds) + 1

    def stop_listening(self) -> None:
        """Take no new connections."""
        for server in self.servers:
            server.close()

    def close_resting(self) -> None:
        """Close connections on which no request is under way; the others close after their answer."""
        for connection in list(self.server_state.connections):
            connection.shutdown()

    def owed(self) -> list[str]:
        """Tell each connection on which an answer is owed, or has not gone out whole yet."""
        found: list[str] = []
        for connection in self.server_state.connections:
            assert isinstance(connection, HttpToolsProtocol)
            cycle, waiting = connection.cycle, connection.transport.get_write_buffer_size()
            unanswered = cycle is not None and not cycle.response_complete
            if unanswered or waiting:
                path = cycle.scope["path"] if cycle is not None else "?"
                found.append(f"{path} of {connection.client}: {'no whole answer' if unanswered else 'answered'}, "
                             f"{waiting} bytes not sent")
        return found

    @property
    def busy(self) -> bool:
        """Tell whether a request is under way."""
        return bool(self.server_state.tasks)
