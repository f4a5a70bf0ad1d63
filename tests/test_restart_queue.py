"""The listening socket's end under clients in processes of their own: nobody who came in is reset."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import cast

from hophinge.core.counters import Counters
from hophinge.net.acceptor import Acceptor
from tests.stand_in import run, until

CLOSES = 12
MAX_S = 10.0  # where the kernel lets clients in all the while the queue is never empty, and this is used up
# Connects, says one byte, waits for one, and again, until nobody listens: tells how many had an answer, how many none.
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


class Says(asyncio.Protocol):
    """Answers what comes with one byte, and its client ends the connection."""

    def __init__(self, open_: set[Says]) -> None:
        self.open = open_

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # the loop's own class, which is none of asyncio's
        self.open.add(self)

    def data_received(self, data: bytes) -> None:
        self.transport.write(b"y")

    def connection_lost(self, exc: Exception | None) -> None:
        self.open.discard(self)


class Taker:
    """Has room for everybody."""

    def __init__(self) -> None:
        self.counters, self.open = Counters(), set[Says]()

    def server(self) -> Says:
        """Make the protocol of a new connection."""
        return Says(self.open)

    def has_capacity(self) -> bool:
        return True


def test_the_queue_is_empty_soon_whoever_comes_and_all_who_came_in_have_an_answer() -> None:
    async def main() -> None:
        lost = answered = 0
        for _ in range(CLOSES):
            taker = Taker()
            acceptor = Acceptor("127.0.0.1", 0, taker)  # type: ignore[arg-type]
            port = str(acceptor.socket.getsockname()[1])
            clients = [
                await asyncio.create_subprocess_exec(sys.executable, "-S", "-c", CLIENT, port, stdout=subprocess.PIPE)
                for _ in range(3)
            ]
            await asyncio.sleep(0.1)
            acceptor.stop_deferring()
            begun = asyncio.get_running_loop().time()
            await acceptor.finish(MAX_S)
            assert asyncio.get_running_loop().time() - begun < MAX_S
            await until(lambda: not taker.open and not acceptor.tasks)  # noqa: B023
            for client in clients:
                told, _ = await client.communicate()
                lost, answered = lost + int(told.split()[0]), answered + int(told.split()[1])
        assert lost == 0 < answered

    run(main())
