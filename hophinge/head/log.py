"""The head's log: lines on standard output."""

from __future__ import annotations

import asyncio
import contextlib

from hophinge.core.errors import told


def say(text: str) -> None:
    """Write to the log; one that can't be written, as its reader has gone or its disk is full, ends nothing else."""
    with contextlib.suppress(OSError):
        print(text.rstrip("\n"), flush=True)


def note_end(task: asyncio.Task[None]) -> None:
    """Log the end of a task that should run as long as its head, unless it was cancelled."""
    if not task.cancelled() and (error := task.exception()) is not None:
        say(f"a part of the head has ended, all else goes on: {told(error)}")
