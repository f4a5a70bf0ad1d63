"""Upgrades: two processes on one listening socket, one set of bricks out by hand, one share of every limit."""

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
REST_US = 1_500_000


class Desk:
    """A rotation of one brick and its files; `lives` plays another process."""

    def __init__(self, folder: Path) -> None:
        self.now, self.lines, self.folder = 1_000_000, list[str](), folder / "hophinge-n0"
        self.rotation = ManualEjections(lambda _: None, lambda: self.now, 17_000_000)
        self.rotation.apply_list(NodeList(ListKind.FULL, (NodeEntry("a", 0, 0, Phase.ON, 1.0, 0),)))
        self.handover = ProcessHandoff(self.folder, self.rotation, lambda: self.now, REST_US, self.lines.append)
        self.rotation.on_ejection = self.handover.write

    def marks(self) -> EjectionFile:
        return msgspec.json.decode((self.folder / EJECTIONS_FILE).read_bytes(), type=EjectionFile)

    def put(self, content: bytes) -> None:
        (self.folder / "elsewhere").write_bytes(content)
        os.replace(self.folder / "elsewhere", self.folder / EJECTIONS_FILE)


def test_who_lives_is_counted_and_who_died_is_not(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    desk.handover.refresh()
    assert desk.handover.processes == 1 and desk.handover.descriptors() == 0
    (desk.folder / f"{LOCK_PREFIX}1").touch()  # left by a process that was killed
    with open(desk.folder / f"{LOCK_PREFIX}{os.getppid()}", "w") as other:
        fcntl.flock(other, fcntl.LOCK_EX)
        desk.handover.refresh()
        assert desk.handover.processes == 2 and desk.handover.descriptors() > 0
        assert not (desk.folder / f"{LOCK_PREFIX}1").exists()
    desk.handover.refresh()
    assert desk.handover.processes == 2  # its last requests still count
    desk.now += REST_US
    assert desk.handover.processes == 1 and desk.handover.descriptors() == 0
    desk.handover.close()
    assert not list(desk.folder.glob(f"{LOCK_PREFIX}*"))


def test_marks_are_shared_and_none_is_lost_when_both_write_at_once(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    assert desk.rotation.eject("a")
    assert desk.marks() == EjectionFile(FILE_VERSION, {"a": ManualEjection(1_000_000, True)})
    desk.put(
        msgspec.json.encode(EjectionFile(FILE_VERSION, {"b": ManualEjection(5, True)}))
    )  # the other had not seen it
    desk.handover.refresh()
    assert (
        desk.rotation.is_ejected("a")
        and desk.rotation.is_ejected("b")
        and desk.marks().marks == desk.rotation.ejections
    )
    desk.put(
        msgspec.json.encode(
            EjectionFile(FILE_VERSION, {"a": ManualEjection(1_000_001, False), "b": ManualEjection(5, True)})
        )
    )
    desk.handover.refresh()
    assert not desk.rotation.is_ejected("a")
    desk.handover.close()


@pytest.mark.parametrize(
    ("content", "after"),
    [(b"", True), (b"{", True), (b'{"version": 1, "marks": {"a": 3}}', True), (b'{"version": 2, "marks": {}}', False)],
)
def test_a_file_of_marks_that_cannot_be_read_is_told_and_what_is_held_stays(
    content: bytes, after: bool, tmp_path: Path
) -> None:
    desk = Desk(tmp_path)
    desk.rotation.eject("a")
    desk.put(content)
    desk.handover.refresh()
    assert desk.rotation.is_ejected("a") and len(desk.lines) == 1
    # One that is malformed is written anew; another version's belongs to a newer program and is left alone.
    assert (
        (desk.folder / EJECTIONS_FILE).read_bytes() != content
        if after
        else (desk.folder / EJECTIONS_FILE).read_bytes() == content
    )
    desk.handover.close()


@pytest.mark.parametrize("processes", [1, 2])
def test_two_processes_give_a_cold_backend_and_a_warm_one_no_more_than_one_does(processes: int) -> None:
    rules = dataclasses.replace(
        SETTINGS.rules, slow_start_units=16.0, slow_start_us=17_000_000, overload_window_us=REST_US
    )
    settings = dataclasses.replace(SETTINGS, rules=rules)
    sent = dict.fromkeys(("cold", "warm"), 0.0)
    for _ in range(processes):
        scheduler = Scheduler(settings, 1)
        scheduler.processes = processes
        nodes = (NodeEntry("cold", 0, 0, Phase.ON, 1.0, T0), NodeEntry("warm", 0, 1, Phase.ON, 1.0, 0))
        asks = [ask(f"{at:016x}", shard=at % 2, units=0.05) for at in range(4 * MAX_IN_FLIGHT)]
        asks += [ask(f"{at + 999:016x}", shard=0, units=1.0) for at in range(40)]
        for action in scheduler.handle(T0 + 1, [NodeList(ListKind.FULL, nodes), *asks]):
            if isinstance(action, Send):
                units = next(one.units for one in asks if one.request == action.request)
                sent[action.node] += units if action.node == "cold" else 1
    assert 0 < sent["cold"] <= 16.0 / settings.gateways + 1 and 0 < sent["warm"] <= MAX_IN_FLIGHT


async def call(port: int, path: str, backend: str = "") -> tuple[int, str]:
    """Call a process's second address once it listens."""
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
    with socket.create_server((HOST, 0)) as one:
        return int(one.getsockname()[1])


def test_an_upgrade_under_load_meets_no_broken_connection_and_keeps_backends_out(tmp_path: Path) -> None:
    async def main() -> None:
        listening = socket.create_server((HOST, 0))
        port, fd = listening.getsockname()[1], listening.fileno()
        async with world(Backend(0), Backend(1)) as made:
            backend, gate = made.backends[0], asyncio.Event()
            old_port, new_port = free_port(), free_port()
            environ = config(tmp_path, listen=f"{HOST}:{port}", discovery=made.agent.endpoint)
            environ |= {"TMPDIR": str(tmp_path), "EDGE_ACCEPT_FD": str(fd)}
            numbers = itertools.count(1)

            async def ready(control: int) -> None:
                while (await call(control, "/ops/readiness"))[0] != 200:
                    await asyncio.sleep(0.02)

            async def open_wire() -> Wire:
                return Wire(*await asyncio.open_connection(HOST, port))

            async def ask_on(wire: Wire) -> tuple[int, dict[str, str]]:
                wire.send(TARGET, headers(next(numbers), X_Placement="units=2,shard=1,hosts=1"))
                return (await wire.receive())[:2]

            async with program({**environ, "EDGE_CONTROL": f"{HOST}:{old_port}"}, fd) as old:
                await ready(old_port)
                kept, busy = await open_wire(), await open_wire()
                assert (await ask_on(kept))[0] == 404

                backend.behave = held_by(gate)
                busy.send(TARGET, headers(next(numbers), X_Remaining_Ms="3000"))
                await until(lambda: len(backend.seen) == 1)
                async with program({**environ, "EDGE_CONTROL": f"{HOST}:{new_port}"}, fd) as new:
                    # Its client asks on: who rests for two seconds is closed on, and a start may take longer.
                    coming = asyncio.create_task(ready(new_port))
                    while not coming.done():
                        assert (await ask_on(kept))[0] == 404
                        await asyncio.sleep(0.05)
                    assert (await call(new_port, "/ops/bricks/down", "s-0"))[0] == 200  # the old one hears of it
                    while "edge.out_of_rotation=1\n" not in (await call(old_port, "/ops/stats"))[1]:
                        await asyncio.sleep(0.01)
                    old.send_signal(signal.SIGTERM)
                    while (await call(old_port, "/ops/readiness"))[0] == 200:
                        await asyncio.sleep(0.01)
                    status, fields = await ask_on(kept)
                    assert status == 404 and fields["connection"] == "close" and await kept.ended()
                    other = await open_wire()
                    assert (await ask_on(other))[0] == 404  # the socket was not shut down for the new one
                    gate.set()
                    status, fields, _ = await busy.receive()  # what was open is answered
                    assert status == 404 and fields["connection"] == "close"
                    assert await old.wait() == 0
                    _, text = await call(new_port, "/ops/stats")
                    assert "edge.operations.record-read.faulted=1\n" in text and "edge.out_of_rotation=1\n" in text
                    assert (await call(new_port, "/ops/bricks/up", "s-0"))[0] == 200
                    backend.behave = None
                    last = await open_wire()  # the other one has rested while the old process ended
                    last.send(TARGET, headers(next(numbers)))
                    assert (await last.receive())[0] == 404 and len(backend.seen) == 2
                    for wire in (kept, busy, other, last):
                        wire.close()
                    new.send_signal(signal.SIGTERM)
                    assert await new.wait() == 0
                assert listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        listening.close()

    run(main())


@pytest.mark.parametrize("text", ["x", "0", "999"])
def test_a_descriptor_that_does_not_listen_is_refused_at_the_start(text: str, tmp_path: Path) -> None:
    async def main() -> None:
        environ = config(tmp_path) | {"EDGE_ACCEPT_FD": text, "TMPDIR": str(tmp_path)}
        async with program(environ) as process:
            assert await process.wait() == 2

    run(main())


def test_the_other_fronts_go_on_through_an_upgrade(tmp_path: Path) -> None:
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

            async def asked(port: int) -> int:
                wire = Wire(*await asyncio.open_connection(HOST, port))
                wire.send(
                    "/bucket/name" if port == objects else "/v1/plans",
                    {"Authorization": "Bearer a token that is long enough"},
                )
                status = (await wire.receive())[0]
                wire.close()
                return status

            async def start(control: int) -> None:
                while (await call(control, "/ops/readiness"))[0] != 200:
                    await asyncio.sleep(0.02)

            async with (
                program({**environ, "EDGE_CONTROL": f"{HOST}:{controls[0]}"}, listening.fileno()) as old,
                program({**environ, "EDGE_CONTROL": f"{HOST}:{controls[1]}"}, listening.fileno()) as new,
            ):
                for control in controls:
                    await start(control)
                for at in range(40):
                    if at == 10:
                        old.send_signal(signal.SIGTERM)
                        assert await old.wait() == 0
                    assert (await asked(objects), await asked(admin)) == (403, 200)
                new.send_signal(signal.SIGTERM)
                assert await new.wait() == 0
        listening.close()

    run(main())
