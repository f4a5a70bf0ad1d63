"""HTTP by uvicorn: one server a process over several listening sockets, started and ended by its program."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hophinge.fleet import log

BACKLOG = 1_024
LOOK_S = 0.05               # between looks at what is still under way at the end
LAST_S = 0.2                # for answers of those who have given up to go out
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


class ServerConnection(HttpToolsProtocol):
    """A connection that somebody opened. It rests for as long as the configuration in force says."""

    def on_response_complete(self) -> None:
        """Rest behind an answer, or take the next request."""
        self.timeout_keep_alive = self.config.timeout_keep_alive
        super().on_response_complete()

    def rest_longer(self) -> None:
        """Begin the time of rest anew, where it rests."""
        timer = self.timeout_keep_alive_task
        if timer is None or self.transport.is_closing():
            return
        timer.cancel()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.config.timeout_keep_alive, self.timeout_keep_alive_handler)


class HttpServer(uvicorn.Server):
    """A uvicorn server without its own signals, timer and log."""

    def __init__(self, app: Any) -> None:
        config = uvicorn.Config(
            app, http=ServerConnection, ws="none", loop="asyncio", lifespan="off", interface="asgi3", log_config=None,
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
        """Let connections rest for so long.

        A longer time holds for those that rest already, as a client may count on it from now on. With a shorter one
        these keep the time that they began with.
        """
        longer = int(seconds) + 1 > self.config.timeout_keep_alive
        self.config.timeout_keep_alive = int(seconds) + 1
        if longer:
            for connection in self.connections():
                connection.rest_longer()

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
            log.note(f"cut: by the end of this process; {owed}")

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
        found: list[str] = []
        for connection in self.connections():
            cycle, waiting = connection.cycle, connection.transport.get_write_buffer_size()
            unanswered = cycle is not None and not cycle.response_complete
            if unanswered or waiting:
                path = cycle.scope["path"] if cycle is not None else "?"
                found.append(f"{path} of {connection.client}: {'no whole answer' if unanswered else 'answered'}, "
                             f"{waiting} bytes not sent")
        return found
