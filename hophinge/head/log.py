"""The head's log: lines on standard output."""

from __future__ import annotations

import contextlib


def say(text: str) -> None:
    """Write to the log; one that can't be written, as its reader has gone or its disk is full, ends nothing else."""
    with contextlib.suppress(OSError):
        print(text.rstrip("\n"), flush=True)
