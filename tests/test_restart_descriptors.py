"""Clients that say half a word hold all descriptors that a head has: what it owes the others and its end."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from tests.restarting import HOST, PORT, Caller, Ending, Tally, wire
from tests.servers import Backend
from tests.stand_in import World, run, until, world
from tests.test_service import ROOT, config

GIVEN = 120  # descriptors, by the system
HELD = 55  # of them are in use once the crowd holds its part, and all in a head that knows no bound
STEADY_S = 0.5


@asynccontextmanager
async def bounded(made: World, folder: Path, sockets: int, **changes: Any) -> AsyncIterator[Ending]:
    """A head that is told of so many descriptors, in a process that gets fewer."""
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
        f"ulimit -n {GIVEN}; exec .venv/bin/python -m hophinge",
        cwd=ROOT,
        env=environ,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield Ending(process, made)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def held(ending: Ending) -> int:
    """Tell how many descriptors a head has open."""
    return len(os.listdir(f"/proc/{ending.process.pid}/fd"))


@pytest.mark.parametrize(("sockets", "silent"), [(GIVEN, False), (1024, False), (1024, True)])
def test_a_crowd_that_holds_the_descriptors_stops_neither_backends_nor_lists_nor_the_end(
    sockets: int, silent: bool, tmp_path: Path
) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:

            async def once(_: Any, __: bytes) -> web.Response:
                """Answer, and end the connection: the next request needs a new one."""
                response = web.Response(status=404)
                response.force_close()
                return response

            backend, other = made.backends
            backend.behave = other.behave = once
            made.agent.silent = silent
            made.agent.targets = {backend.name: backend.target()}
            known = {
                "rev": 1,
                "all": True,
                "targets": [{"uid": backend.name, "endpoint": backend.endpoint, "state": "Ready", "pod_group": 0}],
            }
            async with bounded(made, tmp_path, sockets, known=known) as ending:
                (await wire(made)).close()
                over, tally = False, Tally()
                one, late = callers = (
                    Caller(tally, X_Remaining_Ms="3000"),
                    Caller(Tally(), X_Remaining_Ms="3000", X_Placement="units=2,shard=1,hosts=1"),
                )
                await asks(one)

                async def rests() -> None:
                    """Say one byte and rest until the head ends it; and again."""
                    while not over:
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

                crowd = [asyncio.create_task(rests()) for _ in range(2 * GIVEN)]
                await until(lambda: held(ending) >= HELD)
                loop = asyncio.get_running_loop()
                most, since = 0, loop.time()
                while loop.time() - since < STEADY_S and held(ending) < GIVEN:
                    if (now := held(ending)) > most:
                        most, since = now, loop.time()
                    await asyncio.sleep(0.005)
                for _ in range(10):
                    await asks(one)
                if not silent:  # what discovery has to tell comes through
                    await made.agent.tell(other.target())
                    await until_served(late)
                ending.tell()
                await ending.over()
                over = True
                await asyncio.gather(*crowd)  # nobody listens any more
                for asked in callers:
                    if asked.wire is not None:
                        asked.wire.close()
                assert tally["404"] == tally["answered"] == 11 and tally["lost"] == 0, tally
                assert ending.counts["accepts_failed"] == ending.counts["attempts_connect_failed"] == 0
                assert f"{GIVEN} sockets" in ending.text

    run(main())


async def asks(one: Caller) -> None:
    """Ask until there is an answer; a connection that ended at rest meanwhile is opened anew."""
    answered = one.tally["answered"]
    while one.tally["answered"] == answered:
        if one.wire is None or one.wire.reader.at_eof():
            if one.wire is not None:
                one.wire.close()
            assert await one.open()
        await one.ask()


async def until_served(one: Caller) -> None:
    """Ask until a brick has answered."""
    while not one.tally["404"]:
        await asks(one)
        await asyncio.sleep(0.01)
