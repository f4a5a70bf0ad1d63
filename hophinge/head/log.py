"""The head's log: lines on standard output, written without blocking the head."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import select
import sys

from hophinge.core.errors import one_line

MAX_WRITE = select.PIPE_BUF // 4  # characters, 4 bytes each at most: fits into a pipe that polls as writable
READER_TIMEOUT_MS = 50.0  # wait for a slow reader; after a timeout there is no wait until it has read again


class StdoutReadiness:
    """Checks whether standard output accepts a write, that is, whether its reader keeps up."""

    def __init__(self) -> None:
        self.wait_ms = READER_TIMEOUT_MS

    def is_writable(self) -> bool:
        """Return whether a write would not block, after a short wait for a reader that is behind."""
        try:
            descriptor = sys.stdout.fileno()
        except (OSError, ValueError):  # not a file of the operating system, so that it does not block
            return True
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        is_ready = bool(poller.poll(self.wait_ms))
        self.wait_ms = READER_TIMEOUT_MS if is_ready else 0.0
        return is_ready


STDOUT = StdoutReadiness()


def write_line(text: str) -> None:
    """Write a line to the log; one that cannot be written is dropped.

    The log's reader may be gone or stalled, or its disk full; a head that waited for it would stop serving.
    """
    text = text.rstrip("\n") + "\n"
    with contextlib.suppress(OSError):
        for start in range(0, len(text), MAX_WRITE):
            if not STDOUT.is_writable():
                return
            print(text[start : start + MAX_WRITE], end="", flush=True)


class LibraryLogHandler(logging.Handler):
    """Writes log records of libraries to the head's log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line."""
        write_line(self.format(record))


def log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the failure of a background task, which should run as long as its head."""
    if not task.cancelled() and (error := task.exception()) is not None:
        write_line(f"a background task failed, the head serves without it: {one_line(error)}")
