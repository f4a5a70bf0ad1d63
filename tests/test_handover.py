"""Upgrades: two processes share a listening socket, the manual ejections and the head's limits."""

from __future__ import annotations

import asyncio
import dataclasses
import fcntl
import itertools
import os
import signal
import socket
from pathlib import Path

import msgspec
import pytest

from hophinge.core.choice import MAX_IN_FLIGHT, Scheduler
from hophinge.core.interface import ListKind, NodeEntry, NodeList, Phase, Send
from hophinge.head.process_handoff import LOCK_PREFIX, EJECTIONS_FILE, FILE_VERSION, ProcessHandoff, EjectionFile
from hophinge.core.manual_ejections import ManualEjection, ManualEjections
from tests.stand_in import OBJECT, VOLUME, Backend, Wire, headers, held_by, run, until, world
from tests.test_choice import SETTINGS, T0, ask
from tests.test_service import HOST, config, program

TARGET = f"/record-read/{VOLUME}/{OBJECT}"
OVERLAP_US = 1_500_000


class SharedEjections:
    """The manual ejections of one backend, and the files that they are shared by."""

    def __init__(self, folder: Path) -> None:
        self.now, self.log_lines, self.folder = 1_000_000, list[str](), folder / "hophinge-n0"
        self.ejections = ManualEjections(lambda _: None, lambda: self.now, 17_000_000)
        self.ejections.apply_list(NodeList(ListKind.FULL, (NodeEntry("a", 0, 0, Phase.ON, 1.0, 0),)))
        self.handoff = ProcessHandoff(self.folder, self.ejections, lambda: self.now, OVERLAP_US, self.log_lines.append)
        self.ejections.on_ejection = self.handoff.write

    def read(self) -> EjectionFile:
        return msgspec.json.decode((self.folder / EJECTIONS_FILE).read_bytes(), type=EjectionFile)

    def replace(self, content: bytes) -> None:
        (self.folder / "temporary").write_bytes(content)
        os.replace(self.folder / "temporary", self.folder / EJECTIONS_FILE)


def test_only_processes_that_are_alive_are_counted(tmp_path: Path) -> None:
    shared = SharedEjections(tmp_path)
    shared.handoff.refresh()
    assert shared.handoff.processes == 1 and shared.handoff.descriptors() == 0
    (shared.folder / f"{LOCK_PREFIX}1").touch()  # left by a process that was killed
    with open(shared.folder / f"{LOCK_PREFIX}{os.getppid()}", "w") as other:
        fcntl.flock(other, fcntl.LOCK_EX)
        shared.handoff.refresh()
        assert shared.handoff.processes == 2 and shared.handoff.descriptors() > 0
        assert not (shared.folder / f"{LOCK_PREFIX}1").exists()
    shared.handoff.refresh()
    assert shared.handoff.processes == 2  # its last requests still load the backends
    shared.now += OVERLAP_US
    assert shared.handoff.processes == 1 and shared.handoff.descriptors() == 0
    shared.handoff.close()
    assert not list(shared.folder.glob(f"{LOCK_PREFIX}*"))


def test_ejections_are_shared_and_none_is_lost_when_both_processes_write_at_once(tmp_path: Path) -> None:
    shared = SharedEjections(tmp_path)
    assert shared.ejections.eject("a")
    assert shared.read() == EjectionFile(FILE_VERSION, {"a": ManualEjection(1_000_000, True)})
    # The other process had not read the ejection.
    shared.replace(msgspec.json.encode(EjectionFile(FILE_VERSION, {"b": ManualEjection(5, True)})))
    shared.handoff.refresh()
    assert (
        shared.ejections.is_ejected("a")
        and shared.ejections.is_ejected("b")
        and shared.read().marks == shared.ejections.ejections
    )
    shared.replace(
        msgspec.json.encode(
            EjectionFile(FILE_VERSION, {"a": ManualEjection(1_000_001, False), "b": ManualEjection(5, True)})
        )
    )
    shared.handoff.refresh()
    assert not shared.ejections.is_ejected("a")
    shared.handoff.close()


@pytest.mark.parametrize(
    ("content", "is_rewritten"),
    [(b"", True), (b"{", True), (b'{"version": 1, "marks": {"a": 3}}', True), (b'{"version": 2, "marks": {}}', False)],
)
def test_an_unreadable_file_of_ejections_is_logged_and_own_ejections_stay(
    content: bytes, is_rewritten: bool, tmp_path: Path
) -> None:
    shared = SharedEjections(tmp_path)
    shared.ejections.eject("a")
    shared.replace(content)
    shared.handoff.refresh()
    assert shared.ejections.is_ejected("a") and len(shared.log_lines) == 1
    # A malformed file is rewritten; one of another version belongs to a newer program and is left unchanged.
    assert (
        (shared.folder / EJECTIONS_FILE).read_bytes() != content
        if is_rewritten
        else (shared.folder / EJECTIONS_FILE).read_bytes() == content
    )
    shared.handoff.close()


# Guards against the loss of a newer program's ejections during an upgrade.
@pytest.mark.parametrize("content", [b'{"version": 2, "marks": {}}', b'{"version": 2, "ejected": ["b"]}'])
def test_a_file_of_ejections_of_another_version_is_not_replaced(content: bytes, tmp_path: Path) -> None:
    shared = SharedEjections(tmp_path)
    shared.replace(content)
    shared.handoff.refresh()
    assert shared.ejections.eject("a") and shared.ejections.is_ejected("a")
    assert (shared.folder / EJECTIONS_FILE).read_bytes() == content
    assert any("has version 2" in line for line in shared.log_lines)
    shared.replace(msgspec.json.encode(EjectionFile(FILE_VERSION, {})))
    shared.handoff.refresh()
    assert shared.read().marks == shared.ejections.ejections, "shared again with a file of this version"
    shared.handoff.close()


@pytest.mark.parametrize("processes", [1, 2])
def test_two_processes_send_no_more_to_a_cold_or_warm_backend_than_one_does(processes: int) -> None:
    rules = dataclasses.replace(
        SETTINGS.rules, slow_start_units=16.0, slow_start_us=17_000_000, overload_window_us=OVERLAP_US
    )
    settings = dataclasses.replace(SETTINGS, rules=rules)
    sent = dict.fromkeys(("cold", "warm"), 0.0)
    for _ in range(processes):
        scheduler = Scheduler(settings, 1)
        scheduler.processes = processes
        nodes = (NodeEntry("cold", 0, 0, Phase.ON, 1.0, T0), NodeEntry("warm", 0, 1, Phase.ON, 1.0, 0))
        arrivals = [ask(f"{at:016x}", shard=at % 2, units=0.05) for at in range(4 * MAX_IN_FLIGHT)]
        arrivals += [ask(f"{at + 999:016x}", shard=0, units=1.0) for at in range(40)]
        for action in scheduler.handle(T0 + 1, [NodeList(ListKind.FULL, nodes), *arrivals]):
            if isinstance(action, Send):
                units = next(arrival.units for arrival in arrivals if arrival.request == action.request)
                sent[action.node] += units if action.node == "cold" else 1
    assert 0 < sent["cold"] <= 16.0 / settings.gateways + 1 and 0 < sent["warm"] <= MAX_IN_FLIGHT


async def call(port: int, path: str, backend: str = "") -> tuple[int, str]:
    """Call a process's operations server once it listens."""
    while True:
        try:
            wire = Wire(*await asyncio.open_connection(HOST, port))
            break
        except OSError:
            await asyncio.sleep(0.02)
    method = "POST" if backend else "GET"
    wire.writer.write(wire.head(path, {"Content-Length": str(len(backend))}, method) + backend.encode())
    status, _, body = await wire.receive()
    wire.close()
    return status, body.decode()


def free_port() -> int:
    with socket.create_server((HOST, 0)) as listening:
        return int(listening.getsockname()[1])


def test_an_upgrade_under_load_breaks_no_connection_and_keeps_manual_ejections(tmp_path: Path) -> None:
    async def main() -> None:
        listening = socket.create_server((HOST, 0))
        port, fd = listening.getsockname()[1], listening.fileno()
        async with world(Backend(0), Backend(1)) as made:
            backend, gate = made.backends[0], asyncio.Event()
            old_port, new_port = free_port(), free_port()
            environ = config(tmp_path, listen=f"{HOST}:{port}", discovery=made.agent.endpoint)
            environ |= {"TMPDIR": str(tmp_path), "EDGE_ACCEPT_FD": str(fd)}
            numbers = itertools.count(1)

            async def wait_until_ready(control: int) -> None:
                while (await call(control, "/ops/readiness"))[0] != 200:
                    await asyncio.sleep(0.02)

            async def open_wire() -> Wire:
                return Wire(*await asyncio.open_connection(HOST, port))

            async def request_on(wire: Wire) -> tuple[int, dict[str, str]]:
                wire.send(TARGET, headers(next(numbers), X_Placement="units=2,shard=1,hosts=1"))
                return (await wire.receive())[:2]

            async with program({**environ, "EDGE_CONTROL": f"{HOST}:{old_port}"}, fd) as old:
                await wait_until_ready(old_port)
                reused, busy = await open_wire(), await open_wire()
                assert (await request_on(reused))[0] == 404

                backend.behave = held_by(gate)
                busy.send(TARGET, headers(next(numbers), X_Remaining_Ms="3000"))
                await until(lambda: len(backend.seen) == 1)
                async with program({**environ, "EDGE_CONTROL": f"{HOST}:{new_port}"}, fd) as new:
                    # Requests keep the connection open: it is closed after 2 s idle, and the start may take longer.
                    starting = asyncio.create_task(wait_until_ready(new_port))
                    while not starting.done():
                        assert (await request_on(reused))[0] == 404
                        await asyncio.sleep(0.05)
                    assert (await call(new_port, "/ops/bricks/down", "s-0"))[0] == 200  # shared with the old process
                    while "edge.out_of_rotation=1\n" not in (await call(old_port, "/ops/stats"))[1]:
                        await asyncio.sleep(0.01)
                    old.send_signal(signal.SIGTERM)
                    while (await call(old_port, "/ops/readiness"))[0] == 200:
                        await asyncio.sleep(0.01)
                    status, fields = await request_on(reused)
                    assert status == 404 and fields["connection"] == "close" and await reused.ended()
                    other = await open_wire()
                    assert (await request_on(other))[0] == 404  # the socket was not shut down for the new one
                    gate.set()
                    status, fields, _ = await busy.receive()  # the open request is answered
                    assert status == 404 and fields["connection"] == "close"
                    assert await old.wait() == 0
                    _, text = await call(new_port, "/ops/stats")
                    assert "edge.operations.record-read.faulted=1\n" in text and "edge.out_of_rotation=1\n" in text
                    assert (await call(new_port, "/ops/bricks/up", "s-0"))[0] == 200
                    backend.behave = None
                    last = await open_wire()  # `other` may have been closed while it was idle
                    last.send(TARGET, headers(next(numbers)))
                    assert (await last.receive())[0] == 404 and len(backend.seen) == 2
                    for wire in (reused, busy, other, last):
                        wire.close()
                    new.send_signal(signal.SIGTERM)
                    assert await new.wait() == 0
                assert listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        listening.close()

    run(main())


@pytest.mark.parametrize("text", ["x", "0", "999"])
def test_a_descriptor_that_does_not_listen_is_rejected_at_the_start(text: str, tmp_path: Path) -> None:
    async def main() -> None:
        environ = config(tmp_path) | {"EDGE_ACCEPT_FD": text, "TMPDIR": str(tmp_path)}
        async with program(environ) as process:
            assert await process.wait() == 2

    run(main())


def test_the_other_listeners_serve_throughout_an_upgrade(tmp_path: Path) -> None:
    async def main() -> None:
        listening = socket.create_server((HOST, 0))
        objects, admin, controls = free_port(), free_port(), [free_port(), free_port()]
        (tmp_path / "token").write_text("a token that is long enough")
        (tmp_path / "operator.toml").write_text(
            f'[objects]\nlisten = "{HOST}:{objects}"\ntenants = "tenants.json"\nread_class = "record-read"\n'
            f'write_class = "transfer-write"\n[admin]\nlisten = "{HOST}:{admin}"\ntoken_file = "token"\n'
        )
        async with world(Backend(0)) as made:
            environ = config(tmp_path, discovery=made.agent.endpoint) | {
                "TMPDIR": str(tmp_path),
                "EDGE_ACCEPT_FD": str(listening.fileno()),
                "HOPHINGE_OPERATOR_FILE": str(tmp_path / "operator.toml"),
            }

            async def request_status(port: int) -> int:
                wire = Wire(*await asyncio.open_connection(HOST, port))
                wire.send(
                    "/bucket/name" if port == objects else "/v1/plans",
                    {"Authorization": "Bearer a token that is long enough"},
                )
                status = (await wire.receive())[0]
                wire.close()
                return status

            async def wait_until_ready(control: int) -> None:
                while (await call(control, "/ops/readiness"))[0] != 200:
                    await asyncio.sleep(0.02)

            async with (
                program({**environ, "EDGE_CONTROL": f"{HOST}:{controls[0]}"}, listening.fileno()) as old,
                program({**environ, "EDGE_CONTROL": f"{HOST}:{controls[1]}"}, listening.fileno()) as new,
            ):
                for control in controls:
                    await wait_until_ready(control)
                for number in range(40):
                    if number == 10:
                        old.send_signal(signal.SIGTERM)
                        assert await old.wait() == 0
                    assert (await request_status(objects), await request_status(admin)) == (403, 200)
                new.send_signal(signal.SIGTERM)
                assert await new.wait() == 0
        listening.close()

    run(main())
