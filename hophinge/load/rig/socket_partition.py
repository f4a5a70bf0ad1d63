"""Blocks some hosts for a process: what it sends to them is lost without an error, and it cannot connect to them.

A file has the blocked hosts, one per line. It is read at each call, so that a test can change them while the process
runs. A connection that lost bytes is reset at its first use after the host is unblocked, as TCP would have
ended it. Only what this process sends is lost: a partition in both directions needs the files of both processes.
"""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from typing import Any
from weakref import WeakSet


class SocketPartition:
    """Intercepts the socket calls of one process; `blocked_hosts_file` has the hosts that are blocked."""

    def __init__(self, blocked_hosts_file: Path) -> None:
        self.blocked_hosts_file = blocked_hosts_file
        self.damaged_sockets: WeakSet[socket.socket] = WeakSet()
        self.real_connect = socket.socket.connect
        self.real_send = socket.socket.send

    def install(self) -> None:
        """Replace `connect` and `send` for all sockets of this process."""
        partition = self

        def connect(sock: socket.socket, address: Any) -> None:
            partition.connect(sock, address)

        def send(sock: socket.socket, data: Any, *flags: int) -> int:
            return partition.send(sock, data, *flags)

        setattr(socket.socket, "connect", connect)  # noqa: B010 - type checkers reject a plain assignment
        setattr(socket.socket, "send", send)  # noqa: B010

    def _is_blocked(self, host: str) -> bool:
        try:
            return host in self.blocked_hosts_file.read_text().split()
        except OSError:
            return False

    def connect(self, sock: socket.socket, address: Any) -> None:
        """Connect; raises OSError (EHOSTUNREACH) if the host is blocked."""
        if isinstance(address, tuple) and self._is_blocked(address[0]):
            raise OSError(errno.EHOSTUNREACH, os.strerror(errno.EHOSTUNREACH))
        self.real_connect(sock, address)

    def send(self, sock: socket.socket, data: Any, *flags: int) -> int:
        """Send data, or drop it if the host is blocked; raises ConnectionResetError on a connection that lost bytes."""
        if sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM and self._is_blocked(_peer(sock)):
            self.damaged_sockets.add(sock)
            return len(data)
        if sock in self.damaged_sockets:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        return self.real_send(sock, data, *flags)


def _peer(sock: socket.socket) -> str:
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""
