"""The head's log: lines on standard output, which never block the head."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import sys

from hophinge.core.errors import one_line

MAX_WRITE = select.PIPE_BUF // 4  # characters; their bytes fit into a pipe that has any room
READER_TIMEOUT_MS = 50.0  # for a reader that is behind; one that let it pass is not waited for until it has read


class StdoutReadiness:
    """Whether standard output accepts a write, as its reader keeps up."""

    def __init__(self) -> None:
        self.wait_ms = READER_TIMEOUT_MS

    def is_writable(self) -> bool:
        """Return whether a write would not block, waiting briefly for a reader that is behind."""
        try:
            descriptor = sys.stdout.fileno()
        except (OSError, ValueError):  # no file of the system's: it keeps nobody waiting
            return True
        look = select.poll()
        look.register(descriptor, select.POLLOUT)
        found = bool(look.poll(self.wait_ms))
        self.wait_ms = READER_TIMEOUT_MS if found else 0.0
        return found


STDOUT = StdoutReadiness()


def write_line(text: str) -> None:
    """Write a line to the log; one that cannot be written is dropped.

    Its reader may have gone or stand still, its disk may be full: a head that waited for that would serve nobody.
    """
    text = text.rstrip("\n") + "\n"
    with contextlib.suppress(OSError):
        for at in range(0, len(text), MAX_WRITE):
            if not STDOUT.is_writable():
                return
            print(text[at : at + MAX_WRITE], end="", flush=True)


class LibraryLogHandler(logging.Handler):
    """Writes the libraries' log records as lines of the head's log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        write_line(self.format(record))


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the failure of a task that should run as long as its head."""
    if not task.cancelled() and (error := task.exception()) is not None:
        write_line(f"a part of the head has ended, all else goes on: {one_line(error)}")
