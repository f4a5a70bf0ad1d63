"""Rare moments of a head's start and shutdown, each forced at a certain point of the code."""

from __future__ import annotations

import asyncio
import fcntl
import os
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from hophinge.head import shutdown
from hophinge.head import service as service_module
from hophinge.head.operator_config import OperatorConfig
from hophinge.net.acceptor import Acceptor
from hophinge.telemetry.config import RemoteWriteConfig
from hophinge.telemetry.remote_write import RemoteWrite
from tests.restarting import HOST, NUMBERS, PORT, connect_when_serving, settings_with_deadline, start_head
from tests.stand_in import Backend, Wire, headers, held_by, run, until, world
from tests.test_net import READ, WRITE
from tests.test_service import COMMAND, ROOT, config, program

LONGEST_US, KILL_US, MARGIN_US = 3_000_000, 700_000, 250_000  # the platform's rule, and the margin before SIGKILL


def test_connections_accepted_when_all_classes_are_rejected_have_a_response_before_the_head_exits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Acceptor._connect

    async def connect_late(self: Acceptor, *args: Any) -> None:
        await asyncio.sleep(0.1)  # accepted, but not counted by the frontend yet
        await connect(self, *args)

    async def main() -> None:
        async with world(Backend(0)) as made:
            # Closes before new connections stop arriving.
            service = await made.head(settings=settings_with_deadline(100))
            service.front.max_connections = 0  # all wait in the listening socket's queue until the last moment
            wires = [await made.wire(service) for _ in range(5)]
            for wire in wires:
                wire.send(READ, headers(next(NUMBERS), X_Remaining_Ms="100"))
            monkeypatch.setattr(Acceptor, "_connect", connect_late)
            await service.shut_down()
            made.services.remove(service)
            assert service.counters.counts["requests_taken"] == len(wires)  # before the process would exit
            assert [(await wire.receive())[0] for wire in wires] == [503] * len(wires)

    run(main())


def test_a_client_that_does_not_read_its_response_does_not_block_the_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            monkeypatch.setattr(shutdown, "UNREAD_TIMEOUT_S", 0.2)
            monkeypatch.setattr(service_module, "SHUTDOWN_S", 0.2)
            service, backend, large = (
                await made.head(settings=settings_with_deadline(300)),
                made.backends[0],
                b"x" * 60_000,
            )

            async def answer(_: Any, __: bytes) -> web.Response:
                return web.Response(body=large)

            backend.behave = answer
            wire = await made.wire(service)
            wire.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client_socket = wire.writer.get_extra_info("socket")
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            request_count, busy = 0, service.front.busy

            async def is_write_blocked() -> bool:
                """Return whether a response stays unwritten."""
                for _ in range(200):
                    await asyncio.sleep(0.002)
                    if not busy:
                        return False
                return service.exchange.unanswered == 0

            while not await is_write_blocked():
                wire.send(READ, headers(next(NUMBERS), X_Remaining_Ms="300"))
                request_count += 1
                await until(lambda: len(backend.seen) == request_count)  # noqa: B023
            async with asyncio.timeout(20.0):
                await service.shut_down()
            made.services.remove(service)

    run(main())


def test_the_shutdown_s_deadlines_count_from_the_signal_even_if_the_event_loop_is_late() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            signalled_us = service.exchange.now_us()
            service.stop()
            time.sleep(0.05)  # blocks the loop after the signal's handler ran, before the task that waits for it
            shutdown_task = asyncio.create_task(service.shut_down())
            await until(lambda: service.front.final_drain is not None)
            schedule: Any = service.front.final_drain
            assert schedule.answer_by_us <= signalled_us + LONGEST_US + KILL_US - MARGIN_US + 10_000
            await shutdown_task
            made.services.remove(service)

    run(main())


def test_a_signal_during_the_wait_for_the_first_list_ends_the_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            monkeypatch.setattr(service_module, "FIRST_LIST_S", 60.0)
            made.agent.silent = True
            starting = asyncio.create_task(made.head(saved=[made.backends[0].target()]))
            await until(lambda: len(made.agent.asked) > 0)
            made.services[0].stop()
            async with asyncio.timeout(30.0):
                await starting

    run(main())


@pytest.mark.parametrize(("shard", "status"), [(1, 503), (0, 502)])
def test_a_write_cut_off_by_the_shutdown_is_refused_if_it_was_not_sent_to_a_backend(shard: int, status: int) -> None:
    """The write must not be repeated; it is held, as no listed backend has its shard, or in flight at a backend."""

    async def main() -> None:
        settings, gate = settings_with_deadline(30_000), asyncio.Event()
        for request_class in settings["RequestClasses"]:
            request_class["Effect"] = "side_effect"
        async with world(Backend(0)) as made:
            made.backends[0].behave = held_by(gate)
            service = await made.head(settings=settings)
            wire = await made.wire(service)
            wire.send(
                WRITE,
                headers(next(NUMBERS), X_Remaining_Ms="30000", X_Placement=f"units=1,shard={shard},hosts=1"),
                "PUT",
            )
            await until(lambda: service.exchange.unanswered == 1 and len(made.backends[0].seen) == 1 - shard)
            service.exchange.answer_all_now()
            assert (await wire.receive())[0] == status
            gate.set()

    run(main())


@pytest.mark.parametrize("text", [b"[" * 100_000, b"\xff\xfe", b'{"listen":1}', None])
def test_sighup_with_a_malformed_file_changes_nothing(text: bytes | None, tmp_path: Path) -> None:
    async def main() -> None:
        async with start_head(tmp_path, Backend(0)) as head_process:
            path, wire = tmp_path / "config.json", await head_process.connect()
            path.unlink()
            path.mkdir() if text is None else path.write_bytes(text)
            head_process.process.send_signal(signal.SIGHUP)
            assert head_process.process.stdout is not None
            await head_process.process.stdout.readuntil(b"kept as it was")
            wire.send(READ, headers(next(NUMBERS)))
            assert (await wire.receive())[0] == 404
            head_process.terminate()
            await head_process.wait_for_exit()
            assert head_process.counts["reloads_failed"] == 1 and "Traceback" not in head_process.text

    run(main())


@asynccontextmanager
async def start_head_logging_to(write_fd: int, folder: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Wire]]:
    """Start a head that logs to a descriptor, and connect to it; the descriptor is closed in this process."""
    async with world(Backend(0)) as made:
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            stdout=write_fd,
            stderr=write_fd,
            env=config(folder, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint),
        )
        os.close(write_fd)
        try:
            async with asyncio.timeout(30.0):
                client: Wire = await connect_when_serving(made)
            yield process, client
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def test_a_closed_log_pipe_does_not_disturb_the_head(tmp_path: Path) -> None:
    async def main() -> None:
        read_fd, write_fd = os.pipe()
        os.close(read_fd)  # every write fails, from the first line on
        async with start_head_logging_to(write_fd, tmp_path) as (process, client):
            for number in (signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM):
                process.send_signal(number)
                client.send(READ, headers(next(NUMBERS)))
                assert (await client.receive())[0] == 404
            assert await client.ended() and await process.wait() == 0

    run(main())


def test_a_stalled_log_reader_does_not_block_the_head(tmp_path: Path) -> None:
    async def main() -> None:
        read_fd, write_fd = os.pipe()
        os.set_blocking(read_fd, False)
        fcntl.fcntl(write_fd, fcntl.F_SETPIPE_SZ, 4096)
        os.write(write_fd, b"x" * 4096)  # the pipe is full from the first line on
        try:
            async with start_head_logging_to(write_fd, tmp_path) as (process, client):
                process.send_signal(signal.SIGUSR1)
                client.send(READ, headers(next(NUMBERS)))
                assert (await client.receive())[0] == 404
                os.read(read_fd, 4096)  # the reader resumes, and so does the log
                process.send_signal(signal.SIGTERM)
                assert await client.ended() and await process.wait() == 0
            assert os.read(read_fd, 4096).startswith(b"shutting down with 0 requests open")
        finally:
            os.close(read_fd)

    run(main())


def test_a_failed_shutdown_does_not_change_the_exit_status(tmp_path: Path) -> None:
    async def main() -> None:
        with socket.create_server((HOST, PORT)) as listening:
            async with world(Backend(0)) as made:
                environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint) | {
                    "TMPDIR": str(tmp_path),
                    "EDGE_ACCEPT_FD": str(listening.fileno()),
                }
                async with program(environ, listening.fileno()) as process:
                    client: Wire = await connect_when_serving(made)
                    lock_file = next(tmp_path.glob("hophinge-*/live-*"))
                    lock_file.unlink()
                    lock_file.mkdir()  # the head cannot remove it when it shuts down
                    process.send_signal(signal.SIGTERM)
                    client.send(READ, headers(next(NUMBERS)))
                    assert (await client.receive())[0] == 404
                    assert process.stdout is not None
                    text = await process.stdout.read()
                    assert await process.wait() == 0 and b"the shutdown failed" in text
                    assert b"requests_absent 1\n" in text

    run(main())


def test_a_failed_background_task_is_logged_and_ends_nothing_else(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            operator = OperatorConfig(remote_write=RemoteWriteConfig("http://127.0.0.1:9/write"))
            monkeypatch.setattr(RemoteWrite, "sample", lambda _: [][1])
            service = await made.head(operator)
            await until(lambda: any(task.done() for task in service.tasks))
            wire = await made.wire(service)
            wire.send(READ, headers(next(NUMBERS)))
            assert (await wire.receive())[0] == 404
            assert "a background task failed" in capsys.readouterr().out

    run(main())
