"""Clients of a head in service that send without end, in pieces that take long to parse: nobody else waits for them."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from hophinge.net import frontend
from hophinge.net.bounded_reads import FRAMED_READ_BYTES, MIN_FRAMED_READ_BYTES, BoundedReads
from hophinge.net.client_connection import MAX_HEAD_BYTES
from tests.reading_transport import ReadingTransport, iteration_s
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, headers, held_by, run_in_real_time as run, until, world

CONNECTIONS = 8
MAX_STALL_S = 0.1  # as long as other work may wait
SENT_BYTES = 1 << 20  # by each connection
SHORTER_BYTES = 256 << 10  # by each connection that sends no more framing than a body may have
WAITING_BYTES = 200 << 10  # behind a request that is not answered yet
WRITE = f"/transfer-write/{VOLUME}/{OBJECT}"
TINY_CHUNK = b"1\r\nx\r\n"
TOO_MUCH_FRAMING = {
    "chunks of one byte": TINY_CHUNK,
    "long chunk extensions": b"1;" + b"a" * 60 + b"\r\nx\r\n",
}
ENDLESS = TOO_MUCH_FRAMING | {
    "chunks of empty lines": b"5\r\na\r\n\r\n\r\n",
    "large and tiny chunks": b"4000\r\n" + bytes(0x4000) + b"\r\n" + TINY_CHUNK * 4_000,
}
BEFORE_A_REQUEST = {"empty lines": b"\r\n", "line feeds": b"\n", "header fields": b"a:\r\n"}


def _write_head(number: int) -> bytes:
    fields = {**headers(number), "Transfer-Encoding": "chunked"}
    lines = [f"PUT {WRITE} HTTP/1.1", "Host: origin.svc", *map(": ".join, fields.items())]
    return "\r\n".join([*lines, "", ""]).encode()


async def _longest_stall(transports: list[ReadingTransport]) -> float:
    """Return how long the event loop was not free at most, until all connections are closed or have read everything."""
    longest_s = 0.0
    while not all(transport.is_closed or not transport.received for transport in transports):
        longest_s = max(longest_s, await iteration_s())
    return longest_s


@pytest.mark.parametrize("kind", ENDLESS)
def test_bodies_in_tiny_pieces_do_not_stop_the_event_loop(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    for timeout in ("BODY_TIMEOUT_S", "CHUNK_TIMEOUT_S"):  # only the bound on framing is to end a body
        monkeypatch.setattr(frontend, timeout, 600.0)
    piece = ENDLESS[kind]
    sent_bytes = SENT_BYTES if kind in TOO_MUCH_FRAMING else SHORTER_BYTES

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            transports = []
            for number in range(CONNECTIONS):
                body = piece * (sent_bytes // len(piece))
                transports.append(ReadingTransport(_write_head(number + 1) + body))
                service.front.server().connection_made(transports[-1])
            assert await _longest_stall(transports) < MAX_STALL_S
            if kind in TOO_MUCH_FRAMING:
                assert all(transport.written[:12].endswith(b" 400") for transport in transports)
            for transport in transports:
                transport.protocol.connection_lost(None)

    run(main())


def test_a_body_that_waited_behind_another_request_does_not_stop_the_event_loop() -> None:
    piece = ENDLESS["chunks of empty lines"]

    async def main() -> None:
        gate = asyncio.Event()
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            backend.behave = held_by(gate)
            first = f"GET {WRITE.replace('transfer-write', 'record-read')} HTTP/1.1\r\nHost: origin.svc\r\n"
            first += "".join(f"{name}: {value}\r\n" for name, value in headers(1).items()) + "\r\n"
            transport = ReadingTransport(first.encode() + _write_head(2) + piece * (WAITING_BYTES // len(piece)))
            service.front.server().connection_made(transport)
            await until(lambda: len(backend.seen) == 1 and not transport.received)
            gate.set()
            assert max([await iteration_s() for _ in range(200)]) < MAX_STALL_S
            assert transport.written.startswith(b"HTTP/1.1 404"), "the first request is answered"
            transport.protocol.connection_lost(None)

    run(main())


class RecordingReceiver:
    """A connection whose framing is parsed; reading is never paused."""

    parses_framing = may_read = True

    def __init__(self) -> None:
        self.sizes: list[int] = []
        self.received = b""

    def data_received(self, data: bytes) -> None:
        self.sizes.append(len(data))
        self.received += data

    def eof_received(self) -> None:
        pass

    def connection_lost(self, exc: BaseException | None) -> None:
        pass

    def pause_writing(self) -> None:
        pass

    def resume_writing(self) -> None:
        pass


# Guards against bytes of one loop's connection that reach another loop's: the kernel fills a buffer without the GIL.
def test_event_loops_of_two_threads_do_not_share_a_buffer() -> None:
    async def main() -> list[bytes]:
        loop = asyncio.get_running_loop()
        receivers = [RecordingReceiver(), RecordingReceiver()]
        first, second = (BoundedReads(receiver, ReadingTransport(b""), loop) for receiver in receivers)

        def read_in_between() -> None:
            second.get_buffer(-1)[:5] = b"other"
            second.buffer_updated(5)

        first.get_buffer(-1)[:5] = b"bytes"
        await asyncio.to_thread(read_in_between)
        first.buffer_updated(5)
        return [receiver.received for receiver in receivers]

    assert run(main()) == [b"bytes", b"other"]


def test_the_buffer_is_the_shorter_the_more_lines_it_has_had() -> None:
    async def main() -> list[int]:
        receiver, transport = RecordingReceiver(), ReadingTransport(TINY_CHUNK * 4_000 + bytes(100_000))
        transport.set_protocol(BoundedReads(receiver, transport, asyncio.get_running_loop()))
        while transport.received:
            await asyncio.sleep(0)
        return receiver.sizes

    sizes = run(main())
    assert sizes[0] == sizes[-2] == FRAMED_READ_BYTES and min(sizes[:-1]) == MIN_FRAMED_READ_BYTES
    longer = sizes[len(sizes) - 1 - sizes[::-1].index(MIN_FRAMED_READ_BYTES) :]
    assert longer[:-1] == sorted(longer[:-1])


@pytest.mark.parametrize("kind", BEFORE_A_REQUEST)
def test_endless_bytes_before_a_request_end_their_connection_alone(kind: str) -> None:
    piece = BEFORE_A_REQUEST[kind]
    before = b"GET / HTTP/1.1\r\n" if kind == "header fields" else b""

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            transports = [ReadingTransport(before + piece * (SENT_BYTES // len(piece))) for _ in range(CONNECTIONS)]
            for transport in transports:
                service.front.server().connection_made(transport)
            assert await _longest_stall(transports) < MAX_STALL_S
            assert all(transport.written[:12].endswith(b" 400") for transport in transports)
            assert service.counters.counts["requests_unreadable"] == CONNECTIONS
            for transport in transports:
                transport.protocol.connection_lost(None)

    run(main())


def test_sound_requests_in_tiny_pieces_are_served() -> None:
    """The largest body of the protocol in chunks of one byte, and a request behind some empty lines."""
    body = bytes(itertools.islice(itertools.cycle(range(256)), 64 << 10))

    async def main() -> None:
        async with world(Backend(0)) as made:
            wire: Wire = await made.wire(await made.head())
            wire.writer.write(_write_head(1).replace(b"X-Remaining-Ms: 750", b"X-Remaining-Ms: 20000"))
            wire.writer.write(b"".join(b"1\r\n%b\r\n" % bytes([byte]) for byte in body) + b"0\r\n\r\n")
            assert (await wire.receive())[0] == 200
            assert made.backends[0].objects[f"{VOLUME}/{OBJECT}"] == body
            wire.writer.write(b"\r\n" * (MAX_HEAD_BYTES // 2))
            wire.send(WRITE.replace("transfer-write", "record-read"), headers(2))
            assert (await wire.receive())[::2] == (200, body)

    run(main())
