"""Clients that send much and read nothing, and what each of them may hold."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest

from hophinge.net import pipelined_connection
from tests.stand_in import OBJECT, VOLUME, Backend, held_by, run, until, world
from tests.test_pipelined import connections, many


def test_who_floods_the_head_ends_and_others_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend, gate = await made.head(), made.backends[0], asyncio.Event()
            service.front.pipelined_bytes.limit = 300_000
            backend.behave = held_by(gate)
            floods, fair = [await made.wire(service) for _ in range(6)], await made.wire(service)
            fair.writer.write(many(fair, 1, 3))
            for at, wire in enumerate(floods, 1):
                wire.writer.write(many(wire, 100 * at, 1) + many(wire, 100 * at + 1, 1) * 1000)
            await until(lambda: service.counters.counts["connections_flooding"] > 0)
            await until(lambda: not service.front.pipelined_bytes.is_exhausted)
            gate.set()
            assert [(await fair.receive())[0] for _ in range(3)] == [404] * 3

    run(main())


def test_who_never_reads_is_not_written_to_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pipelined_connection, "CLIENT_READ_TIMEOUT_S", 0.2)

    async def main() -> None:
        async with world(Backend(0)) as made:
            service, backend = await made.head(), made.backends[0]
            backend.objects[f"{VOLUME}/{OBJECT}"] = bytes(60_000)
            wire = await made.wire(service)
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            for first in range(1, 2000, 100):
                wire.writer.write(many(wire, first, 100))
            await until(lambda: bool(service.front.server.connections))
            await until(lambda: not service.front.server.connections)
            assert not service.front.busy and not service.front.pipelined_bytes.used

    run(main())


def test_answers_are_not_held_back_by_the_kernel() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1))
            assert (await wire.receive())[0] == 404
            transport = next(iter(service.front.idle)).transport
            assert transport is not None
            client = transport.get_extra_info("socket")
            assert client.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(main())


@pytest.mark.parametrize("way", ["half close", "rest", "last answer"])
def test_a_connection_that_ends_does_not_wait_for_ever_for_a_client_that_does_not_read(
    way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(pipelined_connection, "CLIENT_READ_TIMEOUT_S", 0.2)
    monkeypatch.setattr(pipelined_connection, "MIN_CLIENT_READ_RATE", 1e9)

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.writer.write(many(wire, 1, 1))
            assert (await wire.receive())[0] == 404
            (client,) = connections(service)
            await until(lambda: client in service.front.idle)
            assert client.transport is not None
            cast(asyncio.Transport, wire.writer.transport).pause_reading()
            while client.transport.get_write_buffer_size() == 0:
                client.transport.write(bytes(30_000))
            if way == "half close":
                wire.writer.write_eof()
            elif way == "rest":
                assert client._keepalive_handle is not None
                client._keepalive_handle.cancel()  # its timer is due now, and comes no second time
                client._next_keepalive_close_time = 0.0
                client._process_keepalive()
            else:
                wire.writer.write(b"\0")
            await until(lambda: not service.front.server.connections)
            assert not service.front.idle and not service.front.closing_connections and not service.front.busy

    run(main())
