"""An asyncio loop whose time is virtual: where nothing is ready, it goes on to the next timer at once."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

Value = TypeVar("Value")


class _Selector(selectors.DefaultSelector):
    """Waits for nobody: what it would have waited passes in the loop's own time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is due in virtual time: the play waits for ever")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop for machines that own no socket."""

    def __init__(self) -> None:
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.now


def play(work: Coroutine[Any, Any, Value]) -> Value:
    """Run something to its end in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.close()
        asyncio.set_event_loop(None)
