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

BACKLOG = 1024  # connections that the kernel queues until they are accepted
# TCP_DEFER_ACCEPT: the kernel holds back a connection that has sent no data for this long; a client that sends its
# request at once is not delayed.
DEFER_ACCEPT_S = 1
ACCEPT_BATCH = 16  # accepts in one event-loop iteration, so that the closing of idle connections is not starved
RETRY_INTERVAL_S = 0.01  # between checks for capacity while there is none
# While new connections are dropped, a backlog that has been empty for this long stays empty: all handshakes have ended.
EMPTY_BACKLOG_S = 0.02
SO_ATTACH_FILTER = 26
# A socket filter that tests the flags byte of the TCP header: it drops SYN without ACK and passes everything else.
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

    asyncio's own server accepts the whole backlog at once, and pauses for a second when file descriptors run out.
    """

    def __init__(
        self, host: str, port: int, owner: ConnectionOwner, shared: bool = False, fd: int | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.owner = owner
        if fd is None:
            self.socket = socket.create_server((host, port), backlog=BACKLOG, reuse_port=shared)
        else:
            # The platform and other processes hold this socket, too: it is closed here but never shut down, and
            # the connections that are still queued are left to the other holders.
            self.socket = socket.socket(fileno=fd)
            if not self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(f"file descriptor {fd} is not a listening socket")
        self.socket.setblocking(False)
        self.owns_backlog = fd is None and not shared  # no other process accepts from its backlog
        # A socket that shares its port with others has a backlog of its own, which ends with the socket. It is drained
        # before the close, and must by then contain all established connections, so none is deferred.
        if not shared:
            self._set_defer_accept(DEFER_ACCEPT_S)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.resume_timer: asyncio.TimerHandle | None = None
        self.loop.add_reader(self.socket, self._accept)

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening socket, in a list as asyncio's server has it."""
        return [self.socket]

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if len(self.tasks) >= ACCEPT_BATCH or not self.owner.has_capacity():
                return self._suspend()
            try:
                if not self._accept_one():
                    return None
            except OSError:  # no file descriptor is left
                self.owner.counters.add("accepts_failed")
                return self._suspend()
        return None

    def _accept_one(self) -> bool:
        try:
            connection, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        connection.setblocking(False)
        protocol_factory: Callable[[], asyncio.BaseProtocol] = self.owner.server
        task = self.loop.create_task(self._connect(protocol_factory, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return True

    def _set_defer_accept(self, seconds: int) -> None:
        if hasattr(socket, "TCP_DEFER_ACCEPT"):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, seconds)

    def stop_deferring(self) -> None:
        """Disable deferred accept: connections that the kernel holds back would be lost when the socket closes."""
        if self.owns_backlog:
            with contextlib.suppress(OSError):
                self._set_defer_accept(0)

    async def finish(self, timeout_s: float) -> None:
        """Refuse new connections, accept those in the backlog as capacity allows, then close.

        Connections attempted after the close are refused at once. New handshakes are dropped first, as a connection
        established between the last accept and the close would be reset; the client's kernel retransmits a dropped
        SYN. After `timeout_s` seconds the remaining backlog is accepted even without capacity.
        """
        if self.owns_backlog:
            program = ctypes.create_string_buffer(DROP_SYN_FILTER, len(DROP_SYN_FILTER))
            with contextlib.suppress(OSError):  # no filter: the race between the last accept and the close remains
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
            except OSError:  # no file descriptor is left: connections may still be queued
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
        """Accept the connections in the backlog, then close; closing alone would reset them."""
        with contextlib.suppress(OSError):
            while self._accept_one():
                pass
        self.close()

    async def _connect(self, protocol_factory: Callable[[], asyncio.BaseProtocol], connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(protocol_factory, connection)
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
