"""A client of a head, byte by byte."""

from __future__ import annotations

import asyncio

from hophinge.fleet.emulation.loopback_fleet import FRONT_PORT, HOST, LoopbackFleet
from tests.fleet_requests import BOUND_S, PROMPT
from tests.soak_client import Answer, read_answer

EVENTS = 8  # of a stream
DEADLINE_MS = 20_000
LATE_S = 8.0  # by when each of the times has run out that a client is given, on a busy machine too


def request(path: str, name: str, body: bytes = b"x", *fields: tuple[bytes, bytes]) -> bytes:
    """A request with a measured body."""
    every = [
        (b"Host", HOST.encode()),
        (b"Hophinge-Request-Id", name.encode()),
        (b"Hophinge-Deadline-Ms", b"%d" % DEADLINE_MS),
        (b"Content-Length", str(len(body)).encode()),
        *PROMPT,
        *fields,
    ]
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in every)
    return b"POST %s HTTP/1.1\r\n%s\r\n%s" % (path.encode(), lines, body)


class Client:
    """One connection, byte by byte."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, fleet: LoopbackFleet) -> Client:
        """Connect to the head."""
        host, port = fleet.address(0, FRONT_PORT).rsplit(":", 1)
        client = cls(*await asyncio.open_connection(host, int(port)))
        CLIENTS.append(client)
        return client

    def send(self, data: bytes) -> None:
        """Send some bytes."""
        self.writer.write(data)

    async def first_event(self) -> bytes:
        """Read up to the first event of a stream; the rest is still to come."""
        return await self.reader.readuntil(b"\n\n")

    async def answer(self) -> Answer | None:
        """Read one answer."""
        async with asyncio.timeout(BOUND_S):
            return await read_answer(self.reader)

    async def ends(self) -> bool:
        """Tell whether nothing more comes but the connection's end."""
        async with asyncio.timeout(LATE_S):
            try:
                return await self.reader.read() == b""
            except ConnectionError:
                return True


CLIENTS: list[Client] = []  # that are open


def is_stream(answer: Answer | None) -> bool:
    """Tell whether an answer is a whole stream."""
    if answer is None or not answer.whole or answer.status != 200:
        return False
    ids = [line for line in answer.body.decode().splitlines() if line.startswith("id:")]
    return ids == [f"id: {number}" for number in range(1, EVENTS + 1)]
