"""How an answer's connection ends: in the same turn as its last bytes, with half a line, while nobody reads on."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from hophinge.head.service import Service
from tests.servers import Backend
from tests.stand_in import Wire, headers, run, until, world
from tests.test_net import READ
from tests.test_streams import LONG, body_of

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
Test = Callable[[Service, Wire, "Bare"], Awaitable[None]]


class Bare(Backend):
    """A brick of plain sockets: what it writes and how it ends is in the kernel before the head's next turn."""

    def __init__(self) -> None:
        super().__init__(0)
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]

    async def open(self) -> None:
        pass

    async def close(self) -> None:
        self.socket.close()

    async def asked(self) -> socket.socket:
        """Take a request on a new connection."""
        loop = asyncio.get_running_loop()
        taken, _ = await loop.sock_accept(self.socket)
        taken.setblocking(False)
        text = b""
        while not text.endswith(b"\r\n\r\n"):
            text += await loop.sock_recv(taken, 4096)
        return taken


def end(taken: socket.socket, clean: bool) -> None:
    """Close a connection, or have the kernel reset it."""
    if not clean:
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    taken.close()


def with_bare(test: Test) -> None:
    async def main() -> None:
        async with world(backend := Bare()) as made:
            service = await made.head()
            await test(service, await made.wire(service), backend)
            await until(lambda: not service.exchange.open and not service.budget.used)

    run(main())


@pytest.mark.parametrize("clean", [True, False])
@pytest.mark.parametrize("size", [4, 50_000])
def test_an_end_that_is_read_in_one_turn_with_the_last_bytes_is_told_from_a_reset(clean: bool, size: int) -> None:
    async def test(service: Service, wire: Wire, backend: Bare) -> None:
        wire.send(READ, headers())
        taken = await backend.asked()
        taken.send(HEAD + LONG[:size])
        end(taken, clean)
        if not clean:
            taken = await backend.asked()
            taken.send(HEAD + b"true")
            end(taken, True)
        assert (await wire.receive())[::2] == (200, LONG[:size] if clean else b"true")
        assert service.counters.counts["attempts_reset"] == (not clean)

    with_bare(test)


SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"
WHOLE = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-A: b\r\n\r\nhalf",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nha\r\n2\r\nlf\r\n0\r\n\r\n",
]


@pytest.mark.parametrize("clean", [True, False])
@pytest.mark.parametrize("whole", WHOLE)
def test_an_answer_cut_anywhere_by_its_connection_s_end_is_no_answer(whole: bytes, clean: bool) -> None:
    async def test(service: Service, wire: Wire, backend: Bare) -> None:
        for number, cut in enumerate(itertools.chain(range(0, len(whole), 3), [len(whole) - 1]), 1):
            wire.send(READ, headers(number, X_Remaining_Ms="20000"))
            taken = await backend.asked()
            if cut:
                taken.send(whole[:cut])
            end(taken, clean)
            taken = await backend.asked()
            taken.send(SOUND)
            end(taken, True)
            assert (await wire.receive())[::2] == (200, b"true")
            assert service.counters.counts["attempts_reset"] == number

    with_bare(test)


@pytest.mark.parametrize("clean", [True, False])
def test_a_reset_while_nobody_reads_on_is_seen_once_somebody_does(clean: bool) -> None:
    async def test(service: Service, wire: Wire, backend: Bare) -> None:
        loop, body = asyncio.get_running_loop(), LONG * 100
        wire.reader._limit = 1 << 10  # type: ignore[attr-defined]    # its client takes next to nothing
        wire.send(READ, headers())
        taken = await backend.asked()
        sent = 0

        async def write() -> None:
            nonlocal sent
            await loop.sock_sendall(taken, HEAD)
            while sent < len(body):
                try:
                    sent += taken.send(body[sent : sent + 65_536])
                except BlockingIOError:
                    if any(one.is_paused for one in service.backends.registry.open):
                        return
                await asyncio.sleep(0)

        await write()
        assert any(one.is_paused for one in service.backends.registry.open)
        end(taken, clean)
        await wire.reader.readuntil(b"\r\n\r\n")
        if clean:
            assert await body_of(wire) == body[:sent]
            return
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await body_of(wire)
        assert service.counters.counts["answers_broken_off"] == 1

    with_bare(test)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "more"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
        (CHUNKED + b"4;", b"x" * 100),
        (CHUNKED, b"0" * 100),
        (CHUNKED + b"4\r\nkept\r\n0\r\n", b"X-A: b\r\n"),
        (CHUNKED, b"1\r\nx\r\n"),
    ],
)
def test_an_answer_of_endless_framing_is_broken_off_soon(first: bytes, more: bytes) -> None:
    """Whether it is passed on by then or not: what it sends beside a body is bounded."""

    async def test(service: Service, wire: Wire, backend: Bare) -> None:
        loop, sent, data = asyncio.get_running_loop(), 0, more * (16_384 // len(more))
        wire.send(READ, headers(X_Remaining_Ms="20000"))
        taken = await backend.asked()
        with pytest.raises(ConnectionError):
            await loop.sock_sendall(taken, first)
            while sent < 64 << 20:
                await loop.sock_sendall(taken, data)
                sent += len(data)
        taken.close()
        await until(lambda: service.counters.counts["attempts_reset"] == 1)
        assert service.counters.counts["client_faults"] == 0
        wire.close()

    with_bare(test)


def test_a_body_that_comes_byte_by_byte_in_chunks_is_served() -> None:
    async def test(_: Service, wire: Wire, backend: Bare) -> None:
        body = LONG[:65_536]
        wire.send(READ, headers(X_Remaining_Ms="20000"))
        taken = await backend.asked()
        data = CHUNKED + b"".join(b"1\r\n%c\r\n" % one for one in body) + b"0\r\n\r\n"
        await asyncio.get_running_loop().sock_sendall(taken, data)
        head = await wire.reader.readuntil(b"\r\n\r\n")
        got = await body_of(wire) if b"chunked" in head else await wire.reader.readexactly(len(body))
        assert got == body
        taken.close()

    with_bare(test)
