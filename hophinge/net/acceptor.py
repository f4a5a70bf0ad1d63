"""Accepts connections from a listening socket while its owner has capacity for them."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol

from aiohttp import web

from hophinge.core.counters import Counters

BACKLOG = 1024  # connections that the kernel holds until they are taken
DEFER_ACCEPT_S = 1  # it holds one that says nothing for so long; who connects in order to ask does not notice
ACCEPT_BATCH = 16  # taken in one turn of the loop: closing what must yield gets its turn too
RETRY_INTERVAL_S = 0.01  # before another look when there is no room
EMPTY_BACKLOG_S = 0.02  # a queue that lets nobody in and has been empty for so long stays so: handshakes are over
SO_ATTACH_FILTER = 26
# Of a TCP header the byte of flags; SYN without ACK is dropped, all else is let through.
DROP_SYN_FILTER = struct.pack(
    "HBBI" * 5, 0x30, 0, 0, 13, 0x54, 0, 0, 0x12, 0x15, 0, 1, 0x02, 0x06, 0, 0, 0, 0x06, 0, 0, 0xFFFF
)


class ConnectionOwner(Protocol):
    """The server that owns accepted connections and bounds their number."""

    counters: Counters
    server: web.Server

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted."""


class Acceptor:
    """Accepts connections while there is capacity; the rest wait in the kernel's backlog.

    asyncio's own server takes a whole backlog at once, and stops for a second when descriptors run out.
    """

    def __init__(
        self, host: str, port: int, owner: ConnectionOwner, shared: bool = False, fd: int | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.owner = owner
        if fd is None:
            self.socket = socket.create_server((host, port), backlog=BACKLOG, reuse_port=shared)
        else:
            # Held by the platform and by other processes too: it is closed here, never shut down, and whatever
            # waits in its queue is then another's.
            self.socket = socket.socket(fileno=fd)
            if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"descriptor {fd} does not listen")
        self.socket.setblocking(False)
        self.owns_backlog = fd is None and not shared  # nobody else takes from its queue
        # The queue of a socket of one's own ends with it: it is emptied first, and must then hold all that connected.
        if not shared:
            self._set_defer_accept(DEFER_ACCEPT_S)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None
        self.loop.add_reader(self.socket, self._accept)

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening socket, under the name that asyncio's server has for it."""
        return [self.socket]

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if len(self.tasks) >= ACCEPT_BATCH or not self.owner.has_capacity():
                return self._suspend()
            try:
                if not self._accept_one():
                    return None
            except OSError:  # no descriptor is left
                self.owner.counters.add("accepts_failed")
                return self._suspend()
        return None

    def _accept_one(self) -> bool:
        try:
            connection, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        connection.setblocking(False)
        make: Callable[[], asyncio.BaseProtocol] = self.owner.server
        task = self.loop.create_task(self._connect(make, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    def _set_defer_accept(self, seconds: int) -> None:
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, seconds)

    def stop_deferring(self) -> None:
        """Disable deferred accept: a connection that the kernel still defers would end with the socket."""
        if self.owns_backlog:
            with contextlib.suppress(OSError):
                self._set_defer_accept(0)

    async def finish(self, timeout_s: float) -> None:
        """Refuse new connections, accept those in the backlog as capacity allows, then close.

        Whoever connects after that is refused at once. Without the first step somebody could come in between the
        last accept and the close, and be reset: the kernel drops what begins a connection meanwhile, and its client
        begins again. After `most_s` seconds those who still wait are taken whether there is room or not.
        """
        if self.owns_backlog:
            program = ctypes.create_string_buffer(DROP_SYN_FILTER, len(DROP_SYN_FILTER))
            with contextlib.suppress(OSError):  # the close is then as good as it can be without
                self.socket.setsockopt(
                    socket.SOL_SOCKET,
                    SO_ATTACH_FILTER,
                    struct.pack("HL", len(DROP_SYN_FILTER) // 8, ctypes.addressof(program)),
                )
        self._stop_accepting()
        deadline, empty_since = self.loop.time() + timeout_s, None
        while (now := self.loop.time()) < deadline:
            try:
                accepted = len(self.tasks) >= ACCEPT_BATCH or not self.owner.has_capacity() or self._accept_one()
                pause_s = 0.0 if accepted and self.owner.has_capacity() else RETRY_INTERVAL_S / 2
            except OSError:  # no descriptor is left: as if somebody still waited
                self.owner.counters.add("accepts_failed")
                accepted, pause_s = True, RETRY_INTERVAL_S
            if accepted:
                empty_since = None
            elif empty_since is None:
                empty_since = now
            elif now - empty_since >= EMPTY_BACKLOG_S:
                break
            await asyncio.sleep(pause_s)
        self.drain()

    def drain(self) -> None:
        """Accept what waits in the backlog, then close; a close alone would reset those connections."""
        with contextlib.suppress(OSError):
            while self._accept_one():
                pass
        self.close()

    async def _connect(self, make: Callable[[], asyncio.BaseProtocol], connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(make, connection)
        except OSError:
            connection.close()

    def _suspend(self) -> None:
        self.loop.remove_reader(self.socket)
        self.resume_timer = self.loop.call_later(RETRY_INTERVAL_S, self._resume)

    def _resume(self) -> None:
        self.loop.add_reader(self.socket, self._accept)

    def _stop_accepting(self) -> None:
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket)

    def close(self) -> None:
        """Stop accepting and close the socket."""
        self._stop_accepting()
        if self.socket.fileno() >= 0:
            self.socket.close()
