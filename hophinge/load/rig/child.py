"""One child process: begun without a copy of this process, its output as a stream, its end as an event.

An event loop of its own making may start children by a plain fork, which runs what libraries registered to be run in
the copy; with threads and channels open that can end the copy before it becomes the program. Here nothing of this
process runs in the child.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

READ_BYTES = 1 << 16


class Child:
    """A process that was started, its output, and later its status."""

    def __init__(self, process: subprocess.Popen[bytes], output: int) -> None:
        self.process, self.output, self.pid = process, output, process.pid
        self.stdout = asyncio.StreamReader()
        self.returncode: int | None = None
        self.over = asyncio.Event()
        self.handle = os.pidfd_open(process.pid)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.handle, self._ended)
        loop.add_reader(self.output, self._read)

    def _read(self) -> None:
        data = os.read(self.output, READ_BYTES)
        if data:
            self.stdout.feed_data(data)
            return
        asyncio.get_running_loop().remove_reader(self.output)
        os.close(self.output)
        self.stdout.feed_eof()

    def _ended(self) -> None:
        self.returncode = self.process.wait()
        asyncio.get_running_loop().remove_reader(self.handle)
        os.close(self.handle)
        self.over.set()

    async def wait(self) -> int:
        """Wait for its end; tells its status, below 0 for the signal that ended it."""
        await self.over.wait()
        assert self.returncode is not None
        return self.returncode


def start(words: Sequence[str], folder: Path, environ: Mapping[str, str]) -> Child:
    """Start a program in a folder, with its output and errors in one stream; raises OSError where that fails."""
    output, inherited = os.pipe()
    try:
        process = subprocess.Popen(
            words, cwd=folder, env=environ, stdin=subprocess.DEVNULL, stdout=inherited, stderr=subprocess.STDOUT
        )
    except OSError:
        os.close(output)
        raise
    finally:
        os.close(inherited)
    return Child(process, output)
