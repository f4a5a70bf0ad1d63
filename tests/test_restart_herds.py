"""Many more clients than places, all at once: new connections closed with no answer, counted at both ends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.restarting import Caller, Tally, head
from tests.servers import Backend
from tests.stand_in import run

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 120}  # of these 48 for clients


def test_a_herd_that_connects_at_once_and_stays_has_an_answer_each_at_a_full_table(tmp_path: Path) -> None:
    async def main() -> None:
        async with head(tmp_path, Backend(0), limits=LIMITS) as ending:
            tally = Tally()
            herd = [Caller(tally, X_Remaining_Ms="3000") for _ in range(300)]

            async def comes(caller: Caller) -> None:
                assert await caller.open()
                await caller.ask()  # its connection stays: the table holds those that rest

            await asyncio.gather(*(comes(caller) for caller in herd))
            assert tally["answered"] == tally["written"] == 300 and tally["lost"] == tally["turned"] == 0
            ending.tell()
            await ending.over()
            for caller in herd:
                assert caller.wire is not None
                caller.wire.close()
            assert ending.counts["requests_taken"] + ending.counts["requests_too_many"] == 300
            assert ending.counts["connections_yielded"] >= 300 - 48 - ending.counts["requests_too_many"]

    run(main())


def test_a_herd_that_waits_unaccepted_as_the_head_is_told_to_end_is_taken(tmp_path: Path) -> None:
    async def main() -> None:
        async with head(tmp_path, Backend(0), limits=LIMITS) as ending:
            tally = Tally()
            herd = [Caller(tally, X_Remaining_Ms="3000") for _ in range(200)]
            ending.process.send_signal(signal.SIGSTOP)  # the kernel goes on taking connections for it
            assert all(await asyncio.gather(*(caller.open() for caller in herd)))
            asked = [asyncio.create_task(caller.ask()) for caller in herd]
            while tally["written"] < len(herd):
                await asyncio.sleep(0.01)
            ending.tell()
            ending.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*asked)
            await ending.over()
            for caller in herd:
                assert caller.wire is not None
                caller.wire.close()
            assert tally["answered"] == len(herd) and tally["lost"] == 0, tally
            assert ending.answered + ending.counts["requests_too_many"] == len(herd)

    run(main())
