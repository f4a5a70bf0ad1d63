"""A client that has gone takes its request with it, wherever that waits: no attempt begins afterwards."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from hophinge.core import interface as api
from hophinge.head.service import Service
from tests.stand_in import Backend, Wire, World, headers, held_by, run, setup, until, world
from tests.test_net import READ, WRITE
from tests.test_net_connects import late
from tests.test_pipelined import connections

Free = Callable[[], Awaitable[None]]  # lets what waited go on
State = Callable[[World, Service, Wire, pytest.MonkeyPatch], Awaitable[Free]]


def patient(number: int = 1) -> dict[str, str]:
    return headers(number, X_Remaining_Ms="20000")


def leave(wire: Wire, way: str) -> None:
    """Go: by a close, a reset, or the end of the sending, which cannot be told from a close."""
    if way == "half":
        return wire.writer.write_eof()
    if way == "reset":
        wire.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return wire.writer.transport.abort()
    wire.close()


async def connecting(made: World, service: Service, wire: Wire, monkeypatch: pytest.MonkeyPatch) -> Free:
    """Its connection to the brick comes up late."""
    gate = asyncio.Event()
    service.backends.pool.connect_timeout_s, service.backends.pool.estimate.hedge_credit = 30.0, -1000.0
    begun = late(monkeypatch, service.backends.connector, gate, {0})
    wire.send(READ, patient())
    await until(lambda: len(begun) == 1)

    async def free() -> None:
        gate.set()
        await until(lambda: made.backends[0].connections == 1)

    return free


async def long_body(made: World, service: Service, wire: Wire, monkeypatch: pytest.MonkeyPatch) -> Free:
    """So does that of a long body, of which no more is read meanwhile."""
    gate = asyncio.Event()
    service.backends.pool.connect_timeout_s, service.backends.pool.estimate.hedge_credit = 30.0, -1000.0
    service.budget.limit = 1
    begun = late(monkeypatch, service.backends.connector, gate, {0})
    wire.writer.write(wire.head(WRITE, {**patient(), "Content-Length": "20000000"}, "PUT"))
    while not any(one._reading_paused for one in connections(service)):
        wire.writer.write(bytes(50_000))
        await asyncio.sleep(0.005)
    await until(lambda: len(begun) == 1)

    async def free() -> None:
        gate.set()
        await until(lambda: made.backends[0].connections == 1)

    return free


async def half_body(made: World, service: Service, wire: Wire, _: pytest.MonkeyPatch) -> Free:
    """Its body is half read."""
    wire.writer.write(wire.head(WRITE, {**patient(), "Content-Length": "9"}, "PUT") + b"half")
    await until(lambda: any(one.request_payload.total_bytes for one in connections(service)))

    async def free() -> None:
        pass

    return free


async def queueing(made: World, service: Service, wire: Wire, _: pytest.MonkeyPatch) -> Free:
    """It waits for its turn at the only brick."""
    backend, gate = made.backends[0], asyncio.Event()
    backend.behave = held_by(gate)
    other = await made.wire(service)
    other.send(READ, patient(90))
    await until(lambda: len(backend.seen) == 1)
    wire.send(READ, patient())
    await until(lambda: service.exchange.unanswered == 2)
    assert not service.exchange.open[f"{1:016x}"].attempts

    async def free() -> None:
        gate.set()
        assert (await other.receive())[0] == 404
        backend.seen.pop()

    return free


class Unbounded:
    """Nothing narrows what the module may choose from."""

    attempts = hedge_delay_us = version = 0

    def allows(self, node: str, shard: int) -> bool:
        return True

    def take_retry(self, now_us: int, attempts: int) -> bool:
        return True


class Closed:
    """A gate under the test's hand; it lets all in at once that it has held."""

    next_release_us = 0

    def __init__(self) -> None:
        self.held: list[str] | None = []

    def admit(self, now_us: int, ask: api.Arrival) -> api.Bounds | api.WaitAtGate | int:
        if self.held is None:
            return Unbounded()
        self.held.append(ask.request)
        return api.WaitAtGate(Unbounded())

    def release(self, now_us: int) -> list[tuple[str, int]]:
        held, self.held = self.held or [], None
        return [(name, 0) for name in held]

    def answered(self, now_us: int, bounds: api.Bounds) -> None:
        pass

    def ended(self, now_us: int, node: str, result: api.Result) -> None:
        pass

    def nodes(self, now_us: int, event: api.NodeList) -> None:
        pass


async def at_the_gate(made: World, service: Service, wire: Wire, _: pytest.MonkeyPatch) -> Free:
    """It waits at the gate."""
    closed = service.exchange.gate = Closed()
    wire.send(READ, patient())
    await until(lambda: bool(closed.held))

    async def free() -> None:
        service.exchange.gate_changed()
        await until(lambda: closed.held is None)

    return free


@pytest.mark.parametrize("way", ["close", "reset", "half"])
@pytest.mark.parametrize("state", [connecting, long_body, half_body, queueing, at_the_gate])
def test_nothing_is_sent_on_for_a_client_that_has_gone(state: State, way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head(settings=setup(Balancers=1000 if state is queueing else 1))
            wire = await made.wire(service)
            free = await state(made, service, wire, monkeypatch)
            client = next(
                one
                for one in connections(service)
                if one.transport is not None
                and one.transport.get_extra_info("peername") == wire.writer.get_extra_info("sockname")
            )
            leave(wire, way)
            # What it waits for is held until its end has been seen: nothing else lets it go.
            await until(lambda: client.transport is None and client not in service.front.busy)
            await free()
            staying = await made.wire(service)
            staying.send(READ, patient(99))
            assert (await staying.receive())[0] == 404
            assert made.backends[0].seen == [("GET", READ)] and not service.exchange.open

    run(main())
