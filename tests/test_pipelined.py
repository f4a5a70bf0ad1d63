"""Pipelined requests: each is answered once and in order, and none continues after its client has disconnected."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from typing import cast

import pytest

from hophinge.net import pipelined_connection
from hophinge.head.service import Service
from hophinge.net.client_connection import ClientConnection
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, headers, held_by, run, until, world
from tests.test_net import READ, WRITE

LONG = {"X_Remaining_Ms": "20000"}


def connections(service: Service) -> list[ClientConnection]:
    return [connection for connection in service.front.server.connections if isinstance(connection, ClientConnection)]


def many(wire: Wire, first: int, number: int) -> bytes:
    """Return the bytes of `number` pipelined requests."""
    return b"".join(wire.head(READ, headers(index, **LONG)) for index in range(first, first + number))


@pytest.mark.parametrize(("cut", "between"), [(0, 2), (1, 0), (2, 0), (3, 0), (3, 2)])
def test_a_malformed_request_does_not_suppress_the_answers_before_it(cut: int, between: int) -> None:
    """The first read ends within the last bytes of the first head, or after them."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            sent = many(wire, 1, 1)
            wire.writer.write(sent[: len(sent) - cut])
            await until(
                lambda: sum(client.requests_read or client.partial_head_bytes for client in connections(service)) > 0
            )
            wire.writer.write(sent[len(sent) - cut :] + many(wire, 2, between) + b"\0 noise\r\n\r\n")
            statuses = [(await wire.receive())[0] for _ in range(between + 2)]
            assert statuses == [404] * (between + 1) + [400] and await wire.ended()
            assert len(made.backends[0].seen) == between + 1

    run(main())


@pytest.mark.parametrize(
    ("number", "limit"),
    [
        (2, pipelined_connection.MAX_PIPELINED_EACH),
        (40, pipelined_connection.MAX_PIPELINED_EACH),
        (1000, pipelined_connection.MAX_PIPELINED_EACH),
        (100, 999),
    ],
)
def test_a_close_behind_pipelined_requests_is_detected_and_none_of_them_is_forwarded(
    number: int, limit: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also if bytes before the close are unread, as reading is paused because the client has sent too many."""
    monkeypatch.setattr(pipelined_connection, "MAX_PIPELINED_EACH", limit)

    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend, gate = await made.head(), made.backends[0], asyncio.Event()
            backend.behave = held_by(gate)
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, number))
            await until(lambda: len(backend.seen) == 1)
            (client,) = connections(service)
            await until(lambda: len(client.pipelined) > limit or client.pipelined.count(b"X-Txn") == number - 1)
            assert client.is_throttled == (limit == 999)
            wire.close()
            # The first request stays unanswered, so only the close can end this wait.
            await until(lambda: service.counters.counts["requests_departed"] == 1)
            gate.set()
            await until(lambda: not service.front.server.connections and not service.exchange.open)
            assert len(backend.seen) == 1

    run(main())


def test_pipelined_requests_are_answered_in_order_beyond_the_buffer_limit() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            wire = await made.wire(service)
            bodies = [bytes([65 + index]) * 50_000 for index in range(8)]
            for index, body in enumerate(bodies):
                wire.send(WRITE, headers(2 * index, **LONG), "PUT", body)
                wire.send(WRITE.replace("transfer-write", "record-read"), headers(2 * index + 1, **LONG))
            answers = [(await wire.receive())[::2] for _ in range(16)]
            assert (
                answers == [answer for body in bodies for answer in ((200, b"ok"), (200, body))]
                and len(backend.seen) == 16
            )
            await until(lambda: not service.front.pipelined_bytes.used)

    run(main())


def test_requests_pipelined_behind_a_rejected_one_are_rejected_too() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            service.front.max_busy = 0
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 3))
            answers = [await wire.receive() for _ in range(3)]
            assert [status for status, _, _ in answers] == [503] * 3 and await wire.ended()
            assert [fields.get("connection") for _, fields, _ in answers] == [None, None, "close"]

    run(main())


def test_requests_behind_a_malformed_one_with_a_complete_body_are_answered() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            odd = headers(1, X_Txn="odd")
            wire.writer.write(wire.head(WRITE, {**odd, "Content-Length": "4"}, "PUT") + b"body" + many(wire, 2, 1))
            assert [(await wire.receive())[0] for _ in range(2)] == [400, 404]

    run(main())


def test_requests_behind_a_long_answer_are_answered_while_draining() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            backend.objects[f"{VOLUME}/{OBJECT}"] = bytes(300_000)
            wire = await made.wire(service)
            service.front.is_draining = True
            wire.writer.write(many(wire, 1, 2))
            answers = [await wire.receive() for _ in range(2)]
            assert [(status, len(body)) for status, _, body in answers] == [(200, 300_000)] * 2
            assert [fields.get("connection") for _, fields, _ in answers] == [None, "close"] and await wire.ended()

    run(main())


def test_a_body_is_forwarded_unchanged_whatever_its_content_encoding() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            for number, coding in enumerate(("gzip", "deflate", "br", "zstd")):
                wire.send(WRITE, {**headers(number), "Content-Encoding": coding}, "PUT", b"not packed at all")
                assert (await wire.receive())[0] == 200
                assert made.backends[0].objects.popitem()[1] == b"not packed at all"

    run(main())


def test_a_half_close_counts_as_a_close_even_while_answers_are_unread() -> None:
    """A close and a shutdown of the sending side look the same to the head; the protocol only has the close."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend, gate = await made.head(), made.backends[0], asyncio.Event()
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1))
            assert (await wire.receive())[0] == 404
            client = next(iter(service.front.idle))
            backend.behave = held_by(gate)
            wire.writer.write(many(wire, 2, 1))
            await until(lambda: len(backend.seen) == 2)
            # Earlier answers are unread: the transport closes only once they have been written.
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            assert client.transport is not None
            while client.transport.get_write_buffer_size() == 0:
                client.transport.write(bytes(30_000))
            wire.writer.write_eof()
            await until(lambda: service.counters.counts["requests_departed"] == 1)
            gate.set()

    run(main())


def test_a_head_whose_last_bytes_are_unread_does_not_time_out() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1))
            assert (await wire.receive())[0] == 404
            wire.writer.write(many(wire, 2, 1)[:-2])
            (client,) = connections(service)
            await until(lambda: client.partial_head_bytes > 0)
            os.write(wire.writer.get_extra_info("socket").fileno(), b"\r\n")  # not read by the head's loop yet
            client._next_keepalive_close_time = 0.0
            client._process_keepalive()
            assert (await wire.receive())[0] == 404

    run(main())


def test_an_empty_line_is_not_a_request_and_its_connection_stays_idle() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1) + b"\r\n")
            assert (await wire.receive())[0] == 404
            (client,) = connections(service)
            await until(lambda: client.answered == 1 and not client.pipelined)
            assert client in service.front.idle
            wire.writer.write(b"\r\n" + many(wire, 2, 1))
            assert (await wire.receive())[0] == 404

    run(main())


@pytest.mark.parametrize(("ago_s", "status"), [(0.3, 404), (1.0, 503)])
def test_the_wait_behind_other_requests_is_deducted_from_the_remaining_time(ago_s: float, status: int) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend, gate = await made.head(), made.backends[0], asyncio.Event()
            backend.behave = held_by(gate)
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1))
            await until(lambda: len(backend.seen) == 1)
            wire.send(READ, headers(2))
            (client,) = connections(service)
            await until(lambda: bool(client.arrivals))
            client.arrivals = deque((size, arrived_at - ago_s) for size, arrived_at in client.arrivals)
            gate.set()
            assert [(await wire.receive())[0] for _ in range(2)] == [404, status]
            assert len(backend.seen) == 1 + (status == 404)
            assert status == 503 or int(backend.headers[1]["X-Remaining-Ms"]) <= 450

    run(main())


def test_a_malformed_body_is_rejected_at_once() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            wire = await made.wire(await made.head())
            head = wire.head(WRITE, {**headers(), "Transfer-Encoding": "chunked"}, "PUT")
            wire.writer.write(head + b"4\r\nbody\r\nzz\r\n")
            assert (await wire.receive())[0] == 400 and await wire.ended()  # 408 if the head waited for more of it
            assert not made.backends[0].seen

    run(main())
