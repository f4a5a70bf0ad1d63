"""The second address: figures, bricks out by hand, and callers that say nothing or half a call."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase
from hophinge.net.operations_server import MAX_CALLERS
from hophinge.head.service import Service
from hophinge.core.manual_ejections import ManualEjection, ManualEjections
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, World, headers, held_by, run, until, world
from tests.test_net import READ

COLD_US = 17_000_000


class Desk:
    """Calls to a head's second address."""

    def __init__(self, made: World, service: Service) -> None:
        self.made, self.service = made, service

    async def wire(self) -> Wire:
        assert self.service.control_listener is not None
        host, port = self.service.control_listener.sockets[0].getsockname()
        wire = Wire(*await asyncio.open_connection(host, port))
        self.made.wires.append(wire)
        return wire

    async def call(self, path: str, backend: str = "", method: str = "") -> tuple[int, str]:
        wire = await self.wire()
        method = method or ("POST" if "bricks" in path else "GET")
        fields = {"Content-Length": str(len(backend))} if method == "POST" else {}
        wire.writer.write(wire.head(path, fields, method) + backend.encode())
        status, _, body = await wire.receive()
        assert await wire.ended()  # one call a connection
        return status, body.decode()

    async def figures(self) -> dict[str, int]:
        status, text = await self.call("/ops/stats")
        assert status == 200
        return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())}


def test_figures_count_each_request_once_by_what_its_client_got() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            desk = Desk(made, service := await made.head())
            backend, gate = made.backends[0], asyncio.Event()
            backend.objects[f"{VOLUME}/{OBJECT}"] = b"kept"
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 200

            async def fail(_: web.BaseRequest, __: bytes) -> web.Response:
                return web.Response(status=500)

            backend.behave = fail
            wire.send(READ, headers(2))
            assert (await wire.receive())[0] == 503  # after three attempts
            backend.behave = None
            wire.send(f"/statement-export/{VOLUME}/0000000000000001", headers(3))
            assert (await wire.receive())[0] == 404  # neither served nor refused
            backend.behave = held_by(gate)
            wire.send(READ, headers(4))
            await until(lambda: len(backend.seen) == 6)
            found = await desk.figures()
            assert {name.removeprefix("edge."): value for name, value in found.items() if value} == {
                "operations.record-read.fulfilled": 1,
                "operations.record-read.throttled": 1,
                "operations.statement-export.faulted": 1,
                "relayed": 6,
                "open_requests": 1,
                "registry_entries": 1,
            }
            assert len(found) == 3 * 3 + 4
            gate.set()
            assert (await wire.receive())[0] == 200
            wire.send(READ, {**headers(5), "X-Placement": "odd"})
            assert (await wire.receive())[0] == 400  # malformed: of no class
            found = await desk.figures()
            assert found["edge.open_requests"] == 0 and found["edge.operations.record-read.fulfilled"] == 2

    run(main())


def test_a_request_whose_client_leaves_is_no_longer_open() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            desk, gate = Desk(made, service := await made.head()), asyncio.Event()

            made.backends[0].behave = held_by(gate)
            wire = await made.wire(service)
            wire.send(READ, headers())
            await until(lambda: service.metrics.open == 1)
            wire.close()
            await until(lambda: service.metrics.open == 0)
            assert not any(service.metrics.ended.values()) and (await desk.figures())["edge.open_requests"] == 0
            gate.set()

    run(main())


def test_a_backend_out_by_hand_gets_nothing_whatever_discovery_lists_until_one_call_puts_it_back() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            desk, backend = Desk(made, service := await made.head()), made.backends[0]
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 404 and backend.connections == 1
            for _ in range(2):
                assert (await desk.call("/ops/bricks/down", "s-0"))[0] == 200
            await until(lambda: backend.connections == 0)  # what waits in the pool goes with it
            told = backend.target()
            told.boot_ms = service.exchange.now_us() // 1000
            await made.agent.tell(told)
            await until(lambda: service.ejections.listed["s-0"].started_us > 0)
            assert (await desk.figures())["edge.out_of_rotation"] == 1
            wire.send(READ, headers(2, X_Remaining_Ms="200"))
            assert (await wire.receive())[0] == 503 and len(backend.seen) == 1
            assert (await desk.call("/ops/bricks/up", "s-0\n"))[0] == 200
            assert (await desk.figures())["edge.out_of_rotation"] == 0
            wire.send(READ, headers(3))
            assert (await wire.receive())[0] == 404 and len(backend.seen) == 2

    run(main())


def test_an_attempt_under_way_to_a_backend_that_goes_out_is_not_written() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            start = service.exchange.start
            assert start is not None

            def late(attempt):  # type: ignore[no-untyped-def]
                service.ejections.eject("s-0")  # the call comes between decision and write
                return start(attempt)

            service.exchange.start = late
            wire.send(READ, headers(1, X_Remaining_Ms="200"))
            assert (await wire.receive())[0] == 503 and not made.backends[0].seen

    run(main())


@pytest.mark.parametrize(
    ("path", "backend", "method", "status"),
    [
        ("/ops/readiness", "", "GET", 200),
        ("http://head/ops/readiness", "", "GET", 200),
        ("/ops/none", "", "GET", 404),
        ("/ops/stats", "s-0", "POST", 405),
        ("/ops/bricks/down", "", "GET", 405),
        ("/ops/bricks/down", "s-9", "POST", 404),
        ("/ops/bricks/up", "s-9", "POST", 404),
        ("/ops/bricks/down", "", "POST", 400),
        ("/ops/bricks/up", "s-0 s-1", "POST", 400),
        ("/ops/bricks/up", "s" * 2000, "POST", 400),
    ],
)
def test_a_call_is_a_yes_or_a_no(path: str, backend: str, method: str, status: int) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            desk = Desk(made, await made.head())
            assert (await desk.call(path, backend, method))[0] == status

    run(main())


def test_callers_that_say_nothing_or_half_a_call_keep_nobody_out() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            desk = Desk(made, service := await made.head())
            halves = [b"", b"GET /ops/st", b"POST /ops/bricks/down HTTP/1.1\r\nContent-Length: 3\r\n\r\ns"]
            wires = []
            for at in range(3 * MAX_CALLERS):
                wires.append(await desk.wire())
                wires[-1].writer.write(halves[at % 3])
            # With no bound the calls are answered too; with it and no timers they would wait for ever.
            assert (await desk.call("/ops/readiness"))[0] == 200
            assert service.control is not None and len(service.control.server.connections) <= MAX_CALLERS
            for wire in wires:
                await wire.reader.read()  # each one is ended, with or without an answer

    run(main())


def test_callers_that_come_at_once_are_bounded_as_those_that_come_one_by_one() -> None:
    """Guards against more connections than the bound, where several wait while there is room for one."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            desk = Desk(made, service := await made.head())
            assert service.control is not None and service.control_listener is not None
            open_connections = service.control.server
            half = b"GET /ops/st"
            for _ in range(MAX_CALLERS - 1):
                (await desk.wire()).writer.write(half)
            await until(lambda: len(open_connections.connections) == MAX_CALLERS - 1)
            address = service.control_listener.sockets[0].getsockname()
            with contextlib.ExitStack() as waiting:
                for _ in range(MAX_CALLERS):  # the loop stands still meanwhile
                    waiting.enter_context(socket.create_connection(address)).sendall(half)
                most = 0
                for _ in range(200):
                    most = max(most, len(open_connections.connections))
                    await asyncio.sleep(0.001)
            assert most == MAX_CALLERS

    run(main())


class Overlay(RuleBasedStateMachine):
    """Random lists and calls; the model holds what discovery said last and which bricks are out."""

    NODES = st.sampled_from(["a", "b", "c"])

    def __init__(self) -> None:
        super().__init__()
        self.now, self.told = COLD_US, dict[str, NodeEntry]()
        self.listed, self.out, self.back = dict[str, Phase](), set[str](), dict[str, int]()
        self.rotation = ManualEjections(self.hear, lambda: self.now, COLD_US)

    def hear(self, event: NodeList) -> None:
        if event.kind is ListKind.FULL:
            self.told = {}
        self.told.update({entry.node: entry for entry in event.entries})
        self.told = {node: entry for node, entry in self.told.items() if entry.phase is not Phase.GONE}

    @rule(node=NODES, phase=st.sampled_from(list(Phase)), kind=st.sampled_from([ListKind.CHANGES, ListKind.FULL]))
    def discovery(self, node: str, phase: Phase, kind: ListKind) -> None:
        if kind is ListKind.FULL:
            self.listed = {}
        self.listed[node] = phase
        if phase is Phase.GONE:
            del self.listed[node]
        self.rotation.apply_list(NodeList(kind, (NodeEntry(node, 0, 0, phase, 1.0, 0),)))

    @rule(node=NODES, down=st.booleans())
    def call(self, node: str, down: bool) -> None:
        known = node in self.listed or node in self.out
        assert (self.rotation.eject(node) if down else self.rotation.restore(node)) is known
        if known and down:
            self.out.add(node)
        elif node in self.out:
            self.out.remove(node)
            self.back[node] = self.now

    @rule()
    def older_marks_change_nothing(self) -> None:
        self.rotation.merge({node: ManualEjection(0, True) for node in self.rotation.ejections})

    @rule(span=st.sampled_from([1, 1000, COLD_US]))
    def wait(self, span: int) -> None:
        self.now += span

    @invariant()
    def told_is_the_list_less_what_is_out(self) -> None:
        assert self.told.keys() == self.listed.keys()
        for node, entry in self.told.items():
            assert entry.phase is (Phase.DRAINING if node in self.out else self.listed[node])
            if node not in self.out and self.now - self.back.get(node, -COLD_US) < COLD_US:
                assert entry.started_us >= self.back[node]


TestOverlay = Overlay.TestCase
