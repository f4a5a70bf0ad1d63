"""A head's control address: metrics, manual ejection of backends, and callers that send nothing or part of a call."""

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


class ControlClient:
    """Client of a head's control address."""

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
        assert await wire.ended()  # the server closes the connection after one call
        return status, body.decode()

    async def metrics(self) -> dict[str, int]:
        status, text = await self.call("/ops/stats")
        assert status == 200
        return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())}


def test_each_request_is_counted_once_by_the_outcome_for_its_client() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            client = ControlClient(made, service := await made.head())
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
            assert (await wire.receive())[0] == 404  # counts neither as served nor as rejected
            backend.behave = held_by(gate)
            wire.send(READ, headers(4))
            await until(lambda: len(backend.seen) == 6)
            counts = await client.metrics()
            assert {name.removeprefix("edge."): value for name, value in counts.items() if value} == {
                "operations.record-read.fulfilled": 1,
                "operations.record-read.throttled": 1,
                "operations.statement-export.faulted": 1,
                "relayed": 6,
                "open_requests": 1,
                "registry_entries": 1,
            }
            assert len(counts) == 3 * 3 + 4
            gate.set()
            assert (await wire.receive())[0] == 200
            wire.send(READ, {**headers(5), "X-Placement": "odd"})
            assert (await wire.receive())[0] == 400  # malformed: belongs to no request class
            counts = await client.metrics()
            assert counts["edge.open_requests"] == 0 and counts["edge.operations.record-read.fulfilled"] == 2

    run(main())


def test_a_request_whose_client_disconnects_is_no_longer_open() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            client, gate = ControlClient(made, service := await made.head()), asyncio.Event()

            made.backends[0].behave = held_by(gate)
            wire = await made.wire(service)
            wire.send(READ, headers())
            await until(lambda: service.metrics.open == 1)
            wire.close()
            await until(lambda: service.metrics.open == 0)
            assert not any(service.metrics.ended.values()) and (await client.metrics())["edge.open_requests"] == 0
            gate.set()

    run(main())


def test_a_manually_ejected_backend_gets_no_requests_until_it_is_restored() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            client, backend = ControlClient(made, service := await made.head()), made.backends[0]
            wire = await made.wire(service)
            wire.send(READ, headers(1))
            assert (await wire.receive())[0] == 404 and backend.connections == 1
            for _ in range(2):
                assert (await client.call("/ops/bricks/down", "s-0"))[0] == 200
            await until(lambda: backend.connections == 0)  # its pooled connections are closed too
            target = backend.target()
            target.boot_ms = service.exchange.now_us() // 1000
            await made.agent.tell(target)
            await until(lambda: service.ejections.listed["s-0"].started_us > 0)
            assert (await client.metrics())["edge.out_of_rotation"] == 1
            wire.send(READ, headers(2, X_Remaining_Ms="200"))
            assert (await wire.receive())[0] == 503 and len(backend.seen) == 1
            assert (await client.call("/ops/bricks/up", "s-0\n"))[0] == 200
            assert (await client.metrics())["edge.out_of_rotation"] == 0
            wire.send(READ, headers(3))
            assert (await wire.receive())[0] == 404 and len(backend.seen) == 2

    run(main())


def test_a_pending_attempt_to_an_ejected_backend_is_not_sent() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            wire = await made.wire(service)
            start = service.exchange.start
            assert start is not None

            def eject_then_start(attempt):  # type: ignore[no-untyped-def]
                service.ejections.eject("s-0")  # the ejection happens between the decision and the write
                return start(attempt)

            service.exchange.start = eject_then_start
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
def test_calls_return_the_expected_status(path: str, backend: str, method: str, status: int) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            client = ControlClient(made, await made.head())
            assert (await client.call(path, backend, method))[0] == status

    run(main())


def test_silent_callers_and_partial_calls_do_not_block_other_callers() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            client = ControlClient(made, service := await made.head())
            partial_requests = [b"", b"GET /ops/st", b"POST /ops/bricks/down HTTP/1.1\r\nContent-Length: 3\r\n\r\ns"]
            wires = []
            for at in range(3 * MAX_CALLERS):
                wires.append(await client.wire())
                wires[-1].writer.write(partial_requests[at % 3])
            # Without the bound the call would be answered too; with the bound but no timeouts it would wait forever.
            assert (await client.call("/ops/readiness"))[0] == 200
            assert service.control is not None and len(service.control.server.connections) <= MAX_CALLERS
            for wire in wires:
                await wire.reader.read()  # the server closes each one, with or without a response

    run(main())


def test_callers_that_come_at_once_are_bounded_as_those_that_come_one_by_one() -> None:
    """Guards against exceeding the bound when several connections wait to be accepted and only one more is allowed."""

    async def main() -> None:
        async with world(Backend(0)) as made:
            client = ControlClient(made, service := await made.head())
            assert service.control is not None and service.control_listener is not None
            server = service.control.server
            partial_request = b"GET /ops/st"
            for _ in range(MAX_CALLERS - 1):
                (await client.wire()).writer.write(partial_request)
            await until(lambda: len(server.connections) == MAX_CALLERS - 1)
            address = service.control_listener.sockets[0].getsockname()
            with contextlib.ExitStack() as waiting:
                for _ in range(MAX_CALLERS):  # without yielding to the event loop
                    waiting.enter_context(socket.create_connection(address)).sendall(partial_request)
                peak = 0
                for _ in range(200):
                    peak = max(peak, len(server.connections))
                    await asyncio.sleep(0.001)
            assert peak == MAX_CALLERS

    run(main())


class ManualEjectionsMachine(RuleBasedStateMachine):
    """Random discovery lists and calls; the model has the last list of discovery and the ejected backends."""

    NODES = st.sampled_from(["a", "b", "c"])

    def __init__(self) -> None:
        super().__init__()
        self.now, self.reported = COLD_US, dict[str, NodeEntry]()
        self.listed, self.ejected, self.restored_at = dict[str, Phase](), set[str](), dict[str, int]()
        self.ejections = ManualEjections(self.on_list, lambda: self.now, COLD_US)

    def on_list(self, event: NodeList) -> None:
        if event.kind is ListKind.FULL:
            self.reported = {}
        self.reported.update({entry.node: entry for entry in event.entries})
        self.reported = {node: entry for node, entry in self.reported.items() if entry.phase is not Phase.GONE}

    @rule(node=NODES, phase=st.sampled_from(list(Phase)), kind=st.sampled_from([ListKind.CHANGES, ListKind.FULL]))
    def apply_discovery(self, node: str, phase: Phase, kind: ListKind) -> None:
        if kind is ListKind.FULL:
            self.listed = {}
        self.listed[node] = phase
        if phase is Phase.GONE:
            del self.listed[node]
        self.ejections.apply_list(NodeList(kind, (NodeEntry(node, 0, 0, phase, 1.0, 0),)))

    @rule(node=NODES, down=st.booleans())
    def call(self, node: str, down: bool) -> None:
        known = node in self.listed or node in self.ejected
        assert (self.ejections.eject(node) if down else self.ejections.restore(node)) is known
        if known and down:
            self.ejected.add(node)
        elif node in self.ejected:
            self.ejected.remove(node)
            self.restored_at[node] = self.now

    @rule()
    def merging_older_ejections_changes_nothing(self) -> None:
        self.ejections.merge({node: ManualEjection(0, True) for node in self.ejections.ejections})

    @rule(span=st.sampled_from([1, 1000, COLD_US]))
    def wait(self, span: int) -> None:
        self.now += span

    @invariant()
    def ejected_nodes_are_reported_as_draining(self) -> None:
        assert self.reported.keys() == self.listed.keys()
        for node, entry in self.reported.items():
            assert entry.phase is (Phase.DRAINING if node in self.ejected else self.listed[node])
            if node not in self.ejected and self.now - self.restored_at.get(node, -COLD_US) < COLD_US:
                assert entry.started_us >= self.restored_at[node]


TestManualEjections = ManualEjectionsMachine.TestCase
