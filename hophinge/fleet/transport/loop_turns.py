"""Shares the event loop's time among the responses whose received bytes are to be parsed.

Parsing takes time by the number of chunks, lines and messages, not by bytes: 64 KiB in chunks of one byte keep the
event loop busy for a hundred times as long as 64 KiB in one chunk. After `TURN_S` in one iteration the responses that
have more to parse wait in a queue, of which each iteration admits a few, so that other work goes on between them.

`ParseScheduler` does the same for callbacks; here coroutines wait.
"""

from __future__ import annotations

import asyncio
from collections import deque

from hophinge.fleet.transport.parse_scheduler import TURN_S

MAX_ADMITTED = 4  # waiting responses that parse a piece in one iteration


class LoopTurns:
    """The turns of all responses that one process reads."""

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._turn_until: float | None = None  # None between turns

    async def wait_for_turn(self) -> None:
        """Wait until a piece may be parsed; return at once where this iteration has time left and nobody waits."""
        loop = asyncio.get_running_loop()
        if not self._waiting and not self._is_turn_over(loop):
            return
        admitted: asyncio.Future[None] = loop.create_future()
        self._waiting.append(admitted)
        await admitted

    def _is_turn_over(self, loop: asyncio.AbstractEventLoop) -> bool:
        if self._turn_until is None:
            self._turn_until = loop.time() + TURN_S
            loop.call_soon(self._begin_next_turn, loop)
        return loop.time() >= self._turn_until

    def _begin_next_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        """Admit the next responses in their order; a cancelled one is passed over."""
        admitted = 0
        while self._waiting and admitted < MAX_ADMITTED:
            waiting = self._waiting.popleft()
            if not waiting.done():
                waiting.set_result(None)
                admitted += 1
        self._turn_until = None
        if admitted or self._waiting:
            self._turn_until = loop.time() + TURN_S
            loop.call_soon(self._begin_next_turn, loop)
