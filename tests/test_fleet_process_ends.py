"""The end of a process, and of a step in it, with something still owed: what others have of it goes on."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from hophinge.coordination.dissemination import Push, Record
from hophinge.coordination.view import Replica
from hophinge.fleet import program
from hophinge.fleet.configuration.routes import RECORD_KEY, configuration_record
from hophinge.fleet.dataplane.knowledge import Knowledge
from hophinge.fleet.emulation.fleet import document
from hophinge.fleet.program import Signals, Tasks, every
from hophinge.fleet.settings import parse_settings
from hophinge.fleet.transport.asgi import Receive, Scope, Send, answer, read_body
from hophinge.fleet.transport.frames import Hello, frame
from hophinge.fleet.transport.links import Incoming, Links
from hophinge.fleet.transport.server import HttpServer, listening
from tests.fleet_requests import ROUTES

BOUND_S = 20.0
LARGE = bytes(6 << 20)      # more than the kernel's buffers of one connection take


async def _app(scope: Scope, receive: Receive, send: Send) -> None:
    await read_body(receive, 1_000)
    await answer(send, 200, LARGE if scope["path"] == "/large" else b"small")


async def _serve(play: Callable[[HttpServer, str, int], Awaitable[None]]) -> None:
    server, sock = HttpServer(_app), listening("127.0.0.1:0")
    host, port = sock.getsockname()
    serving = asyncio.create_task(server.serve([sock]))
    while not server.started:
        await asyncio.sleep(0)
    async with asyncio.timeout(BOUND_S):
        await play(server, host, port)
    server.stop_listening()
    server.close_resting()
    serving.cancel()


def test_an_answer_that_waits_in_the_buffers_goes_out_before_the_process_ends() -> None:
    """The head waited for its requests' work alone; an answer that a slow client had not read yet was lost with it."""
    async def play(server: HttpServer, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 12)
        writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        while not server.server_state.total_requests:
            await asyncio.sleep(0)
        assert not server.server_state.tasks or await _idle(server)
        finishing = asyncio.create_task(server.finish(asyncio.get_running_loop().time() + BOUND_S))
        for _ in range(50):
            await asyncio.sleep(0)
        assert not finishing.done() and server.owed()
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(len(LARGE)) == LARGE
        assert await reader.read() == b""
        await finishing
        assert not server.owed()
        writer.close()

    asyncio.run(_serve(play))


async def _idle(server: HttpServer) -> bool:
    while server.server_state.tasks:
        await asyncio.sleep(0)
    return True


def test_the_end_does_not_wait_for_longer_than_it_may_and_tells_what_is_owed(
        capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> None:
    notes: list[str] = []
    monkeypatch.setattr("hophinge.fleet.log.note", notes.append)

    async def play(server: HttpServer, host: str, port: int) -> None:
        _, writer = await asyncio.open_connection(host, port, limit=1 << 12)
        writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        while not server.server_state.total_requests:
            await asyncio.sleep(0)
        await server.finish(asyncio.get_running_loop().time())
        assert len(notes) == 1 and notes[0].startswith("cut: by the end of this process; /large of")
        writer.close()

    asyncio.run(_serve(play))


def test_a_longer_time_of_rest_holds_for_connections_that_rest_already() -> None:
    async def play(server: HttpServer, host: str, port: int) -> None:
        server.rest(2.0)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n")
        assert (await reader.readuntil(b"small")).startswith(b"HTTP/1.1 200")
        (connection,) = server.connections()
        loop = asyncio.get_running_loop()
        timer = connection.timeout_keep_alive_task
        assert timer is not None and timer.when() <= loop.time() + 3.0
        server.rest(60.0)
        timer = connection.timeout_keep_alive_task
        assert timer is not None and timer.when() > loop.time() + 50.0
        server.rest(2.0)
        assert connection.timeout_keep_alive_task is timer, "it keeps the time that it began with"
        writer.write(b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n")
        await reader.readuntil(b"small")
        timer = connection.timeout_keep_alive_task
        assert timer is not None and timer.when() <= loop.time() + 3.0, "the next rest is by the time in force"
        writer.close()

    asyncio.run(_serve(play))


# --- steps that fail ------------------------------------------------------------------------------------------------

async def _failing(fails: int, most: int) -> tuple[int, bool]:
    """Run a periodic step whose first calls fail; tells its calls, and whether the program was told to end."""
    ending, calls, enough = asyncio.Event(), 0, asyncio.Event()

    def step() -> None:
        nonlocal calls
        calls += 1
        if calls > fails + 3:
            enough.set()
        if calls <= fails:
            raise ValueError("a step")

    tasks = Tasks(ending)
    tasks.start(every(0.0, step, most))
    waits = [asyncio.create_task(one.wait()) for one in (ending, enough)]
    await asyncio.wait(waits, timeout=BOUND_S, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    tasks.cancel()
    return calls, ending.is_set()


def test_a_periodic_step_that_fails_now_and_then_does_not_end_the_program() -> None:
    calls, ended = asyncio.run(_failing(3, 4))
    assert calls >= 7 and not ended


def test_one_that_fails_for_ever_does() -> None:
    calls, ended = asyncio.run(_failing(1_000, 4))
    assert (calls, ended) == (4, True)


def test_work_aside_that_fails_ends_nothing() -> None:
    async def play() -> bool:
        ending, failed = asyncio.Event(), asyncio.Event()

        async def work() -> None:
            failed.set()
            raise ValueError("work")

        tasks = Tasks(ending)
        tasks.start_aside(work())
        await failed.wait()
        while tasks.running:
            await asyncio.sleep(0)
        return ending.is_set()

    assert not asyncio.run(play())


def test_a_message_that_cannot_be_taken_takes_neither_its_connection_nor_those_behind_it() -> None:
    taken: list[object] = []

    def handler(hello: Hello, message: object) -> None:
        if isinstance(message, Push) and not message.records:
            raise ValueError("a message")
        taken.append(message)

    me = Replica("me", "127.0.0.1:1", "z")
    links = Links(me, "data", handler, lambda text: None)
    incoming = Incoming(links)
    other = Push((Record("key", (1, 0), b""),))
    incoming.data_received(frame(Hello(me, "data")) + frame(other) + frame(Push(())) + frame(other))
    assert taken == [other, other]


def test_a_configuration_is_in_force_even_where_passing_it_on_fails() -> None:
    async def play() -> None:
        settings = parse_settings({
            "node-name": "one", "ip": "127.0.0.1", "zone": "z", "internal-port-range": [7660, 7675],
            "seed-nodes": ["127.0.0.1:8146"], "listen-addresses": {"front": "127.0.0.1:80", "ready": "127.0.0.1:81"}})

        def send(address: str, message: object) -> None:
            raise ValueError("it cannot be passed on")

        knowledge = Knowledge(settings, send, lambda identity, instance: None, lambda table: None, lambda: None)
        knowledge.dissemination.neighbours = ("127.0.0.2:7661",)
        record = configuration_record(1, document(1, ROUTES))
        assert record.key == RECORD_KEY
        with pytest.raises(ValueError, match="passed on"):
            knowledge.received("127.0.0.3:7661", Push((record,)))
        assert knowledge.table is not None and knowledge.table.version == 1

    asyncio.run(play())


# --- signals --------------------------------------------------------------------------------------------------------

HANGUP_AT_ONCE = """
import os, signal
from hophinge.fleet import early_signals
os.kill(os.getpid(), signal.SIGHUP)
print("lives")
"""


def test_a_hangup_before_the_handlers_are_there_does_not_end_a_process() -> None:
    run = subprocess.run([sys.executable, "-c", HANGUP_AT_ONCE], cwd=Path(__file__).parent.parent,
                         capture_output=True, text=True, timeout=BOUND_S)
    assert (run.returncode, run.stdout) == (0, "lives\n")


def test_signals_in_the_last_moments_change_nothing() -> None:
    before = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}

    async def play() -> None:
        signals = Signals()
        os.kill(os.getpid(), signal.SIGTERM)
        await signals.ending.wait()
        signals.close()

    try:
        asyncio.run(play())
        for number in before:
            os.kill(os.getpid(), number)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def test_the_programs_ignore_hangups_before_anything_that_takes_a_while() -> None:
    for name in ("dataplane", "controlplane"):
        text = (Path(program.__file__).parent / name / "__main__.py").read_text()
        imports = [line for line in text.splitlines() if line.startswith(("import", "from"))]
        assert imports[0].startswith("from hophinge.fleet import early_signals")


