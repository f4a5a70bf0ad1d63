"""Cuts a process off from some addresses: what it sends there is lost without an error, and it cannot connect there.

The addresses stand in a file, one a line, which is read at each call, so that a test cuts and heals while the process
runs. A connection that lost bytes is reset at its next use after the cut, as the kernel would have ended it. Only what
this process sends is lost: a cut of both directions needs the file of both processes.
"""

from __future__ import annotations

import errno
import os
import socket
from pathlib import Path
from typing import Any
from weakref import WeakSet


class Cuts:
    """The sockets of one process, as the file of cut addresses has them."""

    def __init__(self, word: Path) -> None:
        self.word = word
        self.damaged: WeakSet[socket.socket] = WeakSet()
        self.real_connect = socket.socket.connect
        self.real_send = socket.socket.send

    def install(self) -> None:
        """Have all sockets of this process ask here first."""
        cuts = self

        def connect(sock: socket.socket, address: Any) -> None:
            cuts.connect(sock, address)

        def send(sock: socket.socket, data: Any, *flags: int) -> int:
            return cuts.send(sock, data, *flags)

        setattr(socket.socket, "connect", connect)  # noqa: B010 - the type has no place for it
        setattr(socket.socket, "send", send)  # noqa: B010

    def _cut(self, host: str) -> bool:
        try:
            return host in self.word.read_text().split()
        except OSError:
            return False

    def connect(self, sock: socket.socket, address: Any) -> None:
        """Connect, where the address is not cut off."""
        if isinstance(address, tuple) and self._cut(address[0]):
            raise OSError(errno.EHOSTUNREACH, os.strerror(errno.EHOSTUNREACH))
        self.real_connect(sock, address)

    def send(self, sock: socket.socket, data: Any, *flags: int) -> int:
        """Send, lose what is sent to an address that is cut off, or reset a connection that lost something."""
        if sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM and self._cut(_peer(sock)):
            self.damaged.add(sock)
            return len(data)
        if sock in self.damaged:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        return self.real_send(sock, data, *flags)


def _peer(sock: socket.socket) -> str:
    try:
        return str(sock.getpeername()[0])
    except OSError:
        return ""
