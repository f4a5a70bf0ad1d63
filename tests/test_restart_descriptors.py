"""A head serves and shuts down while clients that send one byte only hold all its file descriptors."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from tests.restarting import HOST, PORT, Caller, HeadProcess, Tally, connect_when_serving
from tests.servers import Backend
from tests.stand_in import World, run, until, world
from tests.test_service import ROOT, config

MAX_DESCRIPTORS = 120  # limit of the system
HELD_DESCRIPTORS = 55  # in use once the crowd holds its part; a head without a limit uses all
STEADY_S = 0.5  # without an increase of the descriptors in use


@asynccontextmanager
async def start_limited_head(made: World, folder: Path, sockets: int, **changes: Any) -> AsyncIterator[HeadProcess]:
    """Start a head that is configured with `sockets` descriptors, in a process that may have fewer."""
    environ = config(
        folder,
        listen=f"{HOST}:{PORT}",
        discovery=made.agent.endpoint,
        **changes,
        limits={"cores": 1.0, "memory_mb": 192, "sockets": sockets},
    )
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"ulimit -n {MAX_DESCRIPTORS}; exec .venv/bin/python -m hophinge",
        cwd=ROOT,
        env=environ,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield HeadProcess(process, made)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def open_descriptors(head_process: HeadProcess) -> int:
    """Return the number of descriptors that a head has open."""
    return len(os.listdir(f"/proc/{head_process.process.pid}/fd"))


@pytest.mark.parametrize(("sockets", "silent"), [(MAX_DESCRIPTORS, False), (1024, False), (1024, True)])
def test_a_crowd_that_holds_the_descriptors_stops_neither_requests_nor_lists_nor_the_shutdown(
    sockets: int, silent: bool, tmp_path: Path
) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:

            async def answer_and_close(_: Any, __: bytes) -> web.Response:
                """Answer and close the connection, so that the next request needs a new one."""
                response = web.Response(status=404)
                response.force_close()
                return response

            backend, other = made.backends
            backend.behave = other.behave = answer_and_close
            made.agent.silent = silent
            made.agent.targets = {backend.name: backend.target()}
            known = {
                "rev": 1,
                "all": True,
                "targets": [{"uid": backend.name, "endpoint": backend.endpoint, "state": "Ready", "pod_group": 0}],
            }
            async with start_limited_head(made, tmp_path, sockets, known=known) as head_process:
                (await connect_when_serving(made)).close()
                is_over, tally = False, Tally()
                caller, late_caller = callers = (
                    Caller(tally, X_Remaining_Ms="3000"),
                    Caller(Tally(), X_Remaining_Ms="3000", X_Placement="units=2,shard=1,hosts=1"),
                )
                await request_until_answered(caller)

                async def hold_connections() -> None:
                    """Send one byte and wait until the head closes the connection, repeatedly."""
                    while not is_over:
                        try:
                            reader, writer = await asyncio.open_connection(HOST, PORT)
                        except OSError:
                            await asyncio.sleep(0.02)
                            continue
                        writer.write(b"G")
                        try:
                            await reader.read()
                        except OSError:
                            pass
                        finally:
                            writer.close()

                crowd = [asyncio.create_task(hold_connections()) for _ in range(2 * MAX_DESCRIPTORS)]
                await until(lambda: open_descriptors(head_process) >= HELD_DESCRIPTORS)
                loop = asyncio.get_running_loop()
                most, since = 0, loop.time()
                while loop.time() - since < STEADY_S and open_descriptors(head_process) < MAX_DESCRIPTORS:
                    if (count := open_descriptors(head_process)) > most:
                        most, since = count, loop.time()
                    await asyncio.sleep(0.005)
                for _ in range(10):
                    await request_until_answered(caller)
                if not silent:  # changes of discovery's list still arrive
                    await made.agent.tell(other.target())
                    await request_until_served(late_caller)
                head_process.terminate()
                await head_process.wait_for_exit()
                is_over = True
                await asyncio.gather(*crowd)  # their connects are refused now
                for one_caller in callers:
                    if one_caller.wire is not None:
                        one_caller.wire.close()
                assert tally["404"] == tally["answered"] == 11 and tally["lost"] == 0, tally
                assert head_process.counts["accepts_failed"] == head_process.counts["attempts_connect_failed"] == 0
                assert f"{MAX_DESCRIPTORS} sockets" in head_process.text

    run(main())


async def request_until_answered(caller: Caller) -> None:
    """Send requests until one is answered; a connection that was closed while idle is replaced."""
    answered = caller.tally["answered"]
    while caller.tally["answered"] == answered:
        if caller.wire is None or caller.wire.reader.at_eof():
            if caller.wire is not None:
                caller.wire.close()
            assert await caller.open()
        await caller.request()


async def request_until_served(caller: Caller) -> None:
    """Send requests until a backend has answered one."""
    while not caller.tally["404"]:
        await request_until_answered(caller)
        await asyncio.sleep(0.01)
