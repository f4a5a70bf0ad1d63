"""Clients' connections: malformed and incomplete requests, and which idle connections are closed."""

from __future__ import annotations

import asyncio
import itertools
import os

import pytest

from tests.stand_in import Backend, headers, run_in_real_time as run, until, world
from tests.test_net import READ, WRITE

HEADER = "".join(f"{name}: {text}\r\n" for name, text in headers().items()).encode()
GET, PUT = f"GET {READ} HTTP/1.1\r\n".encode(), f"PUT {WRITE} HTTP/1.1\r\n".encode()
HOSTED = HEADER + b"Host: origin.svc\r\n"
MALFORMED = [
    b"\0\x16\x03\x01 noise\r\n\r\n",
    b"GET\r\n\r\n",
    GET + b"no colon here\r\n" + HOSTED + b"\r\n",
    PUT + HOSTED + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET + HOSTED + b"\r\n",
    PUT + HOSTED + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + GET + HOSTED + b"\r\n",
    PUT + HOSTED + b"Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    PUT + HOSTED + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    *(
        PUT + HOSTED + b"Content-Length: " + length + b"\r\n\r\nbody"
        for length in (b"-4", b"+4", b"4, 4", b"0x4", b"9" * 30)
    ),
    PUT + HOSTED + b"Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
    PUT + HOSTED + b"Content-Length: 70000\r\n\r\n",
    GET + HOSTED + b"Content-Length: 4\r\n\r\nbody",
    GET + HOSTED + b"X-Txn: 00000000000000ff\r\n\r\n",
    GET + HOSTED + b"X-Remaining-Ms: 5\r\n\r\n",
    GET + HEADER + b"\r\n",
    GET + HOSTED.replace(b"\r\n", b"\n") + b"\n",
    GET + HOSTED + b"X-A: b\rX-B: c\r\n\r\n",
    GET + HOSTED + b" folded\r\n\r\n",
    GET + HOSTED + b"X-A: \0\r\n\r\n",
    GET.replace(b"record-read", b"no-such") + HOSTED + b"\r\n",
    GET + HOSTED.replace(b"priority", b"none") + b"\r\n",
    *(GET + HOSTED.replace(b"750", remaining) + b"\r\n" for remaining in (b"soon", b"-1", b"nan", b"1e3", b"9" * 40)),
    GET + HOSTED.replace(b"X-Txn", b"X-Other") + b"\r\n",
    b"GET " + b"/a" * 20_000 + b" HTTP/1.1\r\n" + HOSTED + b"\r\n",
]


@pytest.mark.parametrize("sent", MALFORMED)
def test_malformed_requests_get_an_error_and_are_not_forwarded(sent: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(sent)
            async with asyncio.timeout(10):
                status, _, _ = await wire.receive()
            assert 400 <= status < 500 and not made.backends[0].seen
            assert not service.counters.counts["requests_taken"] and not service.exchange.open
            wire.close()
            await until(lambda: not service.front.server.connections)

    run(main())


@pytest.mark.parametrize("sent", [b"", b"GET /rec", PUT + HOSTED + b"Content-Length: 9\r\n\r\nhalf", GET + HOSTED])
def test_silent_or_incomplete_requests_are_answered_408_or_closed(sent: bytes) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            wire.writer.write(sent)
            async with asyncio.timeout(10):  # the kernel defers the accept of a silent connection by a second
                got = await wire.reader.read()
            assert (not got or got.startswith(b"HTTP/1.1 408")) and not made.backends[0].seen

    run(main())


@pytest.mark.parametrize(
    "head", [GET + b"X-A: ", GET + b"X-A: b\r\n" * 9, PUT + HOSTED + b"Content-Length: 60000000\r\n\r\n"]
)
def test_an_endless_head_or_a_huge_body_is_rejected_while_it_arrives(head: bytes) -> None:
    """A client that goes on sending must be able to read the error: no reset may discard it."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(head)
            for _ in range(40):
                wire.writer.write(b"a" * 100_000 if b"Content-Length" in head else b"X-A: " + b"a" * 500 + b"\r\n")
                await asyncio.sleep(0)
            async with asyncio.timeout(10):
                assert 400 <= (await wire.receive())[0] < 500 and await wire.ended()
            assert not made.backends[0].seen

    run(main())


def test_the_longest_idle_connection_is_closed_for_a_new_one_but_never_before_its_first_request() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            service.front.max_connections, served = 3, []
            for number in range(6):
                served.append(await made.wire(service))
                served[-1].send(READ, headers(number))
                assert (await served[-1].receive())[0] == 404  # each is accepted, none is refused
            assert await served[0].ended() and await served[1].ended() and await served[2].ended()
            assert service.counters.counts["connections_yielded"] == 3
            silent = [await made.wire(service) for _ in range(9)]  # deferred by the kernel: none was accepted
            last = await made.wire(service)
            last.send(READ, headers(9))
            assert (await last.receive())[0] == 404 and len(silent) == 9

    run(main())


def test_an_idle_connection_with_an_unread_request_is_not_closed() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 404
            client_socket = wire.writer.get_extra_info("socket")
            os.write(client_socket.fileno(), wire.head(READ, headers(2)))  # sent, but not read by the head's loop yet
            service.front.close_idle()
            service.front._close_idlest(1)
            for connection in list(service.front.idle):
                connection._next_keepalive_close_time = 0.0
                connection._process_keepalive()
            assert (await wire.receive())[0] == 404
            await until(lambda: len(service.front.idle) == 1)
            connection = next(iter(service.front.idle))
            assert connection.transport is not None
            connection.transport.abort()  # closed, but `connection_lost` was not called yet
            service.front.close_idle()
            assert await wire.ended()

    run(main())


def test_a_connection_is_not_closed_before_the_handler_of_a_parsed_request_runs() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 404
            await until(lambda: len(service.front.idle) == 1)
            connection = next(iter(service.front.idle))
            connection.data_received(wire.head(READ, headers(2)))
            service.front._close_idlest(1)
            service.front.close_longest_idle(0.0)
            service.front.close_idle()
            assert (await wire.receive())[0] == 404

    run(main())


def test_a_connection_with_several_requests_is_kept_when_many_are_idle() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, number = await made.head(), itertools.count(1)
            service.front.max_idle = 1
            wires = [await made.wire(service) for _ in range(3)]
            for wire in [wires[0], wires[0], wires[1], wires[1], wires[2]]:
                wire.send(READ, headers(next(number)))
                assert (await wire.receive())[0] == 404
            await asyncio.sleep(0.06)  # all are idle long enough to be closed
            wires[0].send(READ, headers(next(number)))
            assert (await wires[0].receive())[0] == 404 and await wires[2].ended()
            await until(lambda: len(service.front.idle) == 2)

    run(main())


def test_idle_connections_with_a_single_request_are_closed_while_others_are_used() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            service.front.max_idle, reused, number = 3, await made.wire(service), 0
            used_once = []
            for _ in range(8):
                used_once.append(await made.wire(service))
                for wire in (used_once[-1], reused):
                    number += 1
                    wire.send(READ, headers(number))
                    assert (await wire.receive())[0] == 404
                await asyncio.sleep(0.06)  # idle long enough to be closed
            await until(lambda: len(service.front.server.connections) <= 5)
            assert service.counters.counts["connections_yielded"] >= 5
            assert all([await wire.ended() for wire in used_once[:4]])

    run(main())
