"""Many more clients than a head has connections for, all at once: each gets a response, counted at both ends."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.restarting import Caller, Tally, start_head
from tests.servers import Backend
from tests.stand_in import run

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 120}  # of these 48 for clients


def test_clients_that_connect_at_once_and_stay_connected_are_all_answered(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_head(tmp_path, Backend(0), limits=LIMITS) as head_process:
            tally = Tally()
            callers = [Caller(tally, X_Remaining_Ms="3000") for _ in range(300)]

            async def connect_and_request(caller: Caller) -> None:
                assert await caller.open()
                await caller.request()  # the connection stays open and counts as idle

            await asyncio.gather(*(connect_and_request(caller) for caller in callers))
            assert tally["answered"] == tally["written"] == 300 and tally["lost"] == tally["connects_refused"] == 0
            head_process.terminate()
            await head_process.wait_for_exit()
            for caller in callers:
                assert caller.wire is not None
                caller.wire.close()
            assert head_process.counts["requests_taken"] + head_process.counts["requests_too_many"] == 300
            assert head_process.counts["connections_yielded"] >= 300 - 48 - head_process.counts["requests_too_many"]

    run(main())


def test_clients_that_wait_in_the_backlog_at_the_shutdown_are_answered(tmp_path: Path) -> None:
    async def main() -> None:
        async with start_head(tmp_path, Backend(0), limits=LIMITS) as head_process:
            tally = Tally()
            callers = [Caller(tally, X_Remaining_Ms="3000") for _ in range(200)]
            head_process.process.send_signal(signal.SIGSTOP)  # the kernel still completes connections
            assert all(await asyncio.gather(*(caller.open() for caller in callers)))
            requests = [asyncio.create_task(caller.request()) for caller in callers]
            while tally["written"] < len(callers):
                await asyncio.sleep(0.01)
            head_process.terminate()
            head_process.process.send_signal(signal.SIGCONT)
            await asyncio.gather(*requests)
            await head_process.wait_for_exit()
            for caller in callers:
                assert caller.wire is not None
                caller.wire.close()
            assert tally["answered"] == len(callers) and tally["lost"] == 0, tally
            assert head_process.answered + head_process.counts["requests_too_many"] == len(callers)

    run(main())
