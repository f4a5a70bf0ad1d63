"""A clock and an event loop for tests with real deadlines: time for which the process did not run is left out.

A process that stands still for a quarter of a second learns from its own stall that all instances are slow, and then
refuses. Tests of what happens without faults run on this clock, so that a busy machine is no fault.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import pytest

LONGEST_STEP_S = 0.02  # between two looks at the clock while the process works; what is beyond is a stall
LIMIT_S = 90.0  # of a test, by this clock
Value = TypeVar("Value")


class SteadyClock:
    """Seconds that pass while the process works, in steps of at most `LONGEST_STEP_S`, or while it waits."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.seen = self.now = clock()

    def pass_by(self, longest_s: float) -> None:
        """Count what has passed since the last look, up to a bound."""
        seen = self.clock()
        self.now += min(seen - self.seen, longest_s)
        self.seen = seen

    def seconds(self) -> float:
        """Tell the time, in place of `time.monotonic`."""
        self.pass_by(LONGEST_STEP_S)
        return self.now

    def nanoseconds(self) -> int:
        """Tell the time, in place of `time.monotonic_ns`."""
        return int(self.seconds() * 1e9)


class SteadySelector(selectors.DefaultSelector):
    """Tells the clock how long the loop wanted to wait: a stall in a wait counts for no more than that."""

    def __init__(self, clock: SteadyClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events as the loop asks."""
        self.clock.pass_by(LONGEST_STEP_S)
        events = super().select(timeout)
        self.clock.pass_by(LONGEST_STEP_S if timeout is None else timeout + LONGEST_STEP_S)
        return events


def run_steadily(main: Coroutine[Any, Any, Value], monkeypatch: pytest.MonkeyPatch) -> Value:
    """Run a test's coroutine on a steady clock, which all code of the process then reads."""
    clock = SteadyClock(time.monotonic)
    monkeypatch.setattr(time, "monotonic", clock.seconds)
    monkeypatch.setattr(time, "monotonic_ns", clock.nanoseconds)

    async def limited() -> Value:
        async with asyncio.timeout(LIMIT_S):
            return await main

    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(SteadySelector(clock))) as runner:
        return runner.run(limited())
