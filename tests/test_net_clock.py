"""Timers of the monotonic clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast
from unittest.mock import Mock

from hophinge.net.clock import LoopClock, now_us
from tests.stand_in import run_in_real_time as run, until


def test_a_timer_never_fires_early() -> None:
    class EarlyLoop:
        """A loop whose timers fire at once."""

        def __init__(self) -> None:
            self.delays: list[float] = []

        def call_later(self, delay: float, callback: Callable[[], None]) -> Mock:
            self.delays.append(delay)
            asyncio.get_running_loop().call_soon(callback)
            return Mock()

    async def main() -> None:
        loop, fired = EarlyLoop(), list[int]()
        due = now_us() + 200_000  # longer than a busy machine delays this loop
        LoopClock(cast(asyncio.AbstractEventLoop, loop)).call_at(due, lambda: fired.append(now_us()))
        await until(lambda: bool(fired))
        assert fired[0] >= due and len(loop.delays) > 1 and loop.delays == sorted(loop.delays, reverse=True)

    run(main())
