"""Crowds of clients that don't behave, against one process, and what the process may hold for them.

A crowd is bounded in connections, bytes and time. None of its connections reads what it is sent, unless `reads` says
so; its receive buffers are small, so that unread responses stay with the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

RECEIVE_BUFFER_BYTES = 4_096
SEND_PIECE_BYTES = 64 << 10
STALL_S = 2.0  # without room for another piece, after which a client sends nothing more
SEND_LIMIT_S = 20.0  # for all of a client's bytes
KIB = 1_024
# Of one client, by the number of its connection: the pieces that it sends, one behind the other.
Script = Callable[[int], Iterator[bytes]]


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that send the same kind of bytes."""

    name: str
    script: Script
    connections: int = 24
    reads: bool = False


@dataclass(slots=True)
class CrowdResult:
    """What a crowd did: for messages of failed checks, and to show that it did anything at all."""

    sent_bytes: int = 0
    received_bytes: int = 0
    opened: int = 0
    closed_by_process: int = 0


def repeated(request: bytes, total_bytes: int) -> Script:
    """Return a script that sends a request again and again, in large pieces."""
    piece = request * max(1, SEND_PIECE_BYTES // len(request))

    def script(_number: int) -> Iterator[bytes]:
        return itertools.repeat(piece, max(1, total_bytes // len(piece)))

    return script


def numbered(template: bytes, count: int) -> Script:
    """Return a script that sends `count` requests; `%d` in the template is another number in each of them."""

    def script(number: int) -> Iterator[bytes]:
        for index in range(count):
            yield template.replace(b"%d", b"%d" % (number * count + index))

    return script


@dataclass(slots=True)
class RunningCrowd:
    """Connections that stay open until `close`."""

    crowd: Crowd
    address: str
    result: CrowdResult = field(default_factory=CrowdResult)
    sockets: list[socket.socket] = field(default_factory=list)
    senders: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self) -> None:
        """Open all connections, and begin to send."""
        for number in range(self.crowd.connections):
            self.senders.append(asyncio.create_task(self._client(number)))
        await asyncio.sleep(0)

    async def finish_sending(self) -> None:
        """Wait until each client has sent all, was closed or finds no more room."""
        await asyncio.gather(*self.senders)

    def close(self) -> None:
        """Close all connections."""
        for sender in self.senders:
            sender.cancel()
        for client in self.sockets:
            client.close()

    async def _client(self, number: int) -> None:
        host, port = self.address.rsplit(":", 1)
        client = socket.socket()
        self.sockets.append(client)
        client.setblocking(False)
        if not self.crowd.reads:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        reader: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                await loop.sock_connect(client, (host, int(port)))
                self.result.opened += 1
                if self.crowd.reads:
                    reader = asyncio.create_task(self._read(client))
                for piece in self.crowd.script(number):
                    async with asyncio.timeout(STALL_S):
                        await loop.sock_sendall(client, piece)
                    self.result.sent_bytes += len(piece)
                if reader is not None:
                    await reader
        except TimeoutError:
            pass
        except OSError:
            self.result.closed_by_process += 1
        finally:
            if reader is not None:
                reader.cancel()

    async def _read(self, client: socket.socket) -> None:
        """Read until the process closes the connection or sends nothing for a while."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            while True:
                async with asyncio.timeout(STALL_S):
                    data = await loop.sock_recv(client, 64 * KIB)
                if not data:
                    return
                self.result.received_bytes += len(data)


# --- what a process holds ------------------------------------------------------------------------------------------


def peak_memory_mb(pid: int) -> float:
    """Return the highest resident memory that a process has had."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) / KIB for row in rows if row.startswith("VmHWM"))


def open_descriptors(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))
