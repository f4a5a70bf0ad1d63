"""A listening socket is closed under clients in other processes: no connection that was established is reset."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import cast

from hophinge.core.counters import Counters
from hophinge.net.acceptor import Acceptor
from tests.stand_in import run, until

ROUNDS = 12
MAX_S = 10.0  # reached only if the kernel goes on accepting connections, so that the queue is never empty
# Connects, sends one byte and waits for one, until a connect is refused; prints the unanswered and answered counts.
CLIENT = """
import socket, sys
lost = answered = 0
while True:
    with socket.socket() as one:
        one.settimeout(0.6)
        try:
            one.connect(("127.0.0.1", int(sys.argv[1])))
        except OSError:
            break
        try:
            one.sendall(b"x")
            answered, lost = (answered + 1, lost) if one.recv(1) else (answered, lost + 1)
        except OSError:
            lost += 1
print(lost, answered)
"""


class OneByteServer(asyncio.Protocol):
    """Answers with one byte; the client closes the connection."""

    def __init__(self, open_: set[OneByteServer]) -> None:
        self.open = open_

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # the loop's class, which does not derive from asyncio's
        self.open.add(self)

    def data_received(self, data: bytes) -> None:
        self.transport.write(b"y")

    def connection_lost(self, exc: Exception | None) -> None:
        self.open.discard(self)


class UnlimitedOwner:
    """An owner of connections that always has capacity."""

    def __init__(self) -> None:
        self.counters, self.open = Counters(), set[OneByteServer]()

    def server(self) -> OneByteServer:
        """Create the protocol of a new connection."""
        return OneByteServer(self.open)

    def has_capacity(self) -> bool:
        return True


def test_the_backlog_is_emptied_in_time_and_all_established_connections_are_answered() -> None:
    async def main() -> None:
        lost = answered = 0
        for _ in range(ROUNDS):
            owner = UnlimitedOwner()
            acceptor = Acceptor("127.0.0.1", 0, owner)  # type: ignore[arg-type]
            port = str(acceptor.socket.getsockname()[1])
            clients = [
                await asyncio.create_subprocess_exec(sys.executable, "-S", "-c", CLIENT, port, stdout=subprocess.PIPE)
                for _ in range(3)
            ]
            await asyncio.sleep(0.1)
            acceptor.stop_deferring()
            started_at = asyncio.get_running_loop().time()
            await acceptor.finish(MAX_S)
            assert asyncio.get_running_loop().time() - started_at < MAX_S
            await until(lambda: not owner.open and not acceptor.tasks)  # noqa: B023
            for client in clients:
                output, _ = await client.communicate()
                lost, answered = lost + int(output.split()[0]), answered + int(output.split()[1])
        assert lost == 0 < answered

    run(main())
