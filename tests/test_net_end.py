"""Shutdown of a head: which requests are still served, and when connections close."""

from __future__ import annotations

import asyncio

from tests.stand_in import Backend, headers, held_by, run_in_real_time as run, until, world
from tests.test_net import READ


def test_during_a_shutdown_new_and_open_connections_are_served_until_little_time_is_left() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, gate, backend = await made.head(), asyncio.Event(), made.backends[0]

            backend.behave = held_by(gate)
            wire, reused = await made.wire(service), await made.wire(service)
            wire.send(READ, headers(1, X_Remaining_Ms="3000"))
            await until(lambda: len(backend.seen) == 1)
            ending = asyncio.create_task(service.shut_down())
            await until(lambda: service.front.final_drain is not None)
            backend.behave = None
            late = await made.wire(service)
            for number, client in ((2, reused), (3, late)):
                client.send(READ, headers(number))
                status, fields, _ = await client.receive()
                assert status == 404 and "connection" not in fields
            gate.set()
            assert (await wire.receive())[0] == 404
            await until(lambda: service.listeners[0].socket.fileno() < 0)
            reused.send(READ, headers(4, X_Remaining_Ms="30000"))
            assert (await reused.receive())[0] == 404  # after the listener has closed, within the remaining time
            assert int(backend.headers[-1]["X-Remaining-Ms"]) < 3700
            await until(lambda: service.front.is_draining)
            assert await reused.ended() and await late.ended() and await wire.ended()
            await ending
            made.services.remove(service)
            assert service.counters.counts["requests_absent"] == 4

    run(main())


def test_an_idle_connection_closes_while_a_request_on_another_is_still_served() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service, gate = await made.head(), asyncio.Event()
            wire, idle = await made.wire(service), await made.wire(service)
            idle.send("/healthz", {})
            assert (await idle.receive())[0] == 200

            made.backends[0].behave = held_by(gate)
            wire.send(READ, headers(1, X_Remaining_Ms="20000"))
            await until(lambda: len(made.backends[0].seen) == 1)
            ending = asyncio.create_task(service.shut_down())
            assert await idle.ended() and service.exchange.unanswered == 1  # long before the other request is answered
            gate.set()
            assert (await wire.receive())[0] == 404 and await wire.ended()
            await ending
            made.services.remove(service)

    run(main())


def test_only_the_longest_idle_connection_closes_at_a_time() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wires = [await made.wire(service) for _ in range(3)]
            for number, wire in enumerate([*wires, wires[0]]):
                wire.send(READ, headers(number))
                assert (await wire.receive())[0] == 404
            await until(lambda: len(service.front.idle) == 3)
            service.front.close_longest_idle(60.0)
            assert len(service.front.idle) == 3  # none has been idle for that long
            service.front.close_longest_idle(0.0)
            assert await wires[1].ended()
            await until(lambda: len(service.front.idle) == 2)

    run(main())
