"""Moments of a head's end and start in which something is still owed, each forced at a named point."""

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
from tests.restarting import HOST, NUMBERS, PORT, head, lasting, wire
from tests.stand_in import Backend, Wire, headers, held_by, run, until, world
from tests.test_net import READ, WRITE
from tests.test_service import COMMAND, ROOT, config, program

LONGEST_US, KILL_US, MARGIN_US = 3_000_000, 700_000, 250_000  # the protocol's, and what is kept before SIGKILL


def test_who_is_accepted_as_the_last_class_has_closed_has_an_answer_before_the_head_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    take = Acceptor._connect

    async def late(self: Acceptor, *args: Any) -> None:
        await asyncio.sleep(0.1)  # accepted, and not among its front's connections yet
        await take(self, *args)

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head(settings=lasting(100))  # closes sooner than new connections stop coming
            service.front.max_connections = 0  # all wait in the listening socket's queue up to its last moment
            wires = [await made.wire(service) for _ in range(5)]
            for one in wires:
                one.send(READ, headers(next(NUMBERS), X_Remaining_Ms="100"))
            monkeypatch.setattr(Acceptor, "_connect", late)
            await service.shut_down()
            made.services.remove(service)
            assert service.counters.counts["requests_taken"] == len(wires)  # before the process would exit
            assert [(await one.receive())[0] for one in wires] == [503] * len(wires)

    run(main())


def test_a_client_that_reads_no_answer_keeps_no_head_from_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            monkeypatch.setattr(shutdown, "UNREAD_TIMEOUT_S", 0.2)
            monkeypatch.setattr(service_module, "SHUTDOWN_S", 0.2)
            service, backend, large = await made.head(settings=lasting(300)), made.backends[0], b"x" * 60_000

            async def answers(_: Any, __: bytes) -> web.Response:
                return web.Response(body=large)

            backend.behave = answers
            one = await made.wire(service)
            one.writer.transport.pause_reading()  # type: ignore[attr-defined]
            small = one.writer.get_extra_info("socket")
            small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            asked, busy = 0, service.front.busy

            async def stuck() -> bool:
                """Tell whether an answer stays unwritten."""
                for _ in range(200):
                    await asyncio.sleep(0.002)
                    if not busy:
                        return False
                return service.exchange.unanswered == 0

            while not await stuck():
                one.send(READ, headers(next(NUMBERS), X_Remaining_Ms="300"))
                asked += 1
                await until(lambda: len(backend.seen) == asked)  # noqa: B023
            async with asyncio.timeout(20.0):
                await service.shut_down()
            made.services.remove(service)

    run(main())


def test_the_time_that_is_left_counts_from_the_signal_and_not_from_when_the_head_comes_to_it() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head()
            told_us = service.exchange.now_us()
            service.stop()
            time.sleep(0.05)  # the loop stands still: a signal's handler ran, what waits for it has not
            ending = asyncio.create_task(service.shut_down())
            await until(lambda: service.front.final_drain is not None)
            last: Any = service.front.final_drain
            assert last.answer_by_us <= told_us + LONGEST_US + KILL_US - MARGIN_US + 10_000
            await ending
            made.services.remove(service)

    run(main())


def test_a_signal_in_the_wait_for_the_first_list_ends_that_wait(monkeypatch: pytest.MonkeyPatch) -> None:
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
def test_what_an_end_cuts_off_is_refused_where_nothing_of_it_was_sent(shard: int, status: int) -> None:
    """A write that must not be repeated: held, as no listed brick has its shard, or out at a brick."""

    async def main() -> None:
        settings, gate = lasting(30_000), asyncio.Event()
        for one in settings["RequestClasses"]:
            one["Effect"] = "side_effect"
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
def test_a_hangup_with_any_spoilt_file_changes_nothing(text: bytes | None, tmp_path: Path) -> None:
    async def main() -> None:
        async with head(tmp_path, Backend(0)) as ending:
            path, one = tmp_path / "config.json", await ending.wire()
            path.unlink()
            path.mkdir() if text is None else path.write_bytes(text)
            ending.process.send_signal(signal.SIGHUP)
            assert ending.process.stdout is not None
            await ending.process.stdout.readuntil(b"kept as it was")
            one.send(READ, headers(next(NUMBERS)))
            assert (await one.receive())[0] == 404
            ending.tell()
            await ending.over()
            assert ending.counts["reloads_failed"] == 1 and "Traceback" not in ending.text

    run(main())


@asynccontextmanager
async def logging_to(writes: int, folder: Path) -> AsyncIterator[tuple[asyncio.subprocess.Process, Wire]]:
    """A head whose log goes to a descriptor, closed here, and a connection to it once it serves."""
    async with world(Backend(0)) as made:
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            stdout=writes,
            stderr=writes,
            env=config(folder, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint),
        )
        os.close(writes)
        try:
            async with asyncio.timeout(30.0):
                one: Wire = await wire(made)
            yield process, one
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


def test_a_log_that_nobody_reads_any_more_ends_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        reads, writes = os.pipe()
        os.close(reads)  # from the first line on: every write fails
        async with logging_to(writes, tmp_path) as (process, one):
            for number in (signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM):
                process.send_signal(number)
                one.send(READ, headers(next(NUMBERS)))
                assert (await one.receive())[0] == 404
            assert await one.ended() and await process.wait() == 0

    run(main())


def test_a_log_whose_reader_stands_still_holds_up_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        reads, writes = os.pipe()
        os.set_blocking(reads, False)
        fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, 4096)
        os.write(writes, b"x" * 4096)  # from the first line on: there is no room, and nobody makes any
        try:
            async with logging_to(writes, tmp_path) as (process, one):
                process.send_signal(signal.SIGUSR1)
                one.send(READ, headers(next(NUMBERS)))
                assert (await one.receive())[0] == 404
                os.read(reads, 4096)  # it goes on: the log does too
                process.send_signal(signal.SIGTERM)
                assert await one.ended() and await process.wait() == 0
            assert os.read(reads, 4096).startswith(b"shutting down with 0 requests open")
        finally:
            os.close(reads)

    run(main())


def test_an_end_that_does_not_close_cleanly_changes_no_exit_status(tmp_path: Path) -> None:
    async def main() -> None:
        with socket.create_server((HOST, PORT)) as listening:
            async with world(Backend(0)) as made:
                environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint) | {
                    "TMPDIR": str(tmp_path),
                    "EDGE_ACCEPT_FD": str(listening.fileno()),
                }
                async with program(environ, listening.fileno()) as process:
                    one: Wire = await wire(made)
                    mine = next(tmp_path.glob("hophinge-*/live-*"))
                    mine.unlink()
                    mine.mkdir()  # what the head removes at its end can't be removed
                    process.send_signal(signal.SIGTERM)
                    one.send(READ, headers(next(NUMBERS)))
                    assert (await one.receive())[0] == 404
                    assert process.stdout is not None
                    text = await process.stdout.read()
                    assert await process.wait() == 0 and b"the shutdown failed" in text
                    assert b"requests_absent 1\n" in text

    run(main())


def test_a_part_that_dies_is_logged_and_ends_nothing_else(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            operator = OperatorConfig(remote_write=RemoteWriteConfig("http://127.0.0.1:9/write"))
            monkeypatch.setattr(RemoteWrite, "sample", lambda _: [][1])
            service = await made.head(operator)
            await until(lambda: any(task.done() for task in service.tasks))
            one = await made.wire(service)
            one.send(READ, headers(next(NUMBERS)))
            assert (await one.receive())[0] == 404
            assert "a background task failed" in capsys.readouterr().out

    run(main())
