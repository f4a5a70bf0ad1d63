"""One child process: started without a fork of this process, its output as a stream, its exit as an event.

An event loop may start children by a plain fork, which runs the handlers that libraries registered for the child; with
threads and channels open that can end the child before it becomes the program. Here nothing of this process runs in the
child.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

READ_BYTES = 1 << 16


class Child:
    """A process that was started, its output, and later its exit status."""

    def __init__(self, process: subprocess.Popen[bytes], output: int) -> None:
        self.process = process
        self.output = output
        self.pid = process.pid
        self.stdout = asyncio.StreamReader()
        self.returncode: int | None = None
        self.exited = asyncio.Event()
        self.pidfd = os.pidfd_open(process.pid)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.pidfd, self._on_exit)
        loop.add_reader(self.output, self._on_output)

    def _on_output(self) -> None:
        data = os.read(self.output, READ_BYTES)
        if data:
            self.stdout.feed_data(data)
            return
        asyncio.get_running_loop().remove_reader(self.output)
        os.close(self.output)
        self.stdout.feed_eof()

    def _on_exit(self) -> None:
        self.returncode = self.process.wait()
        asyncio.get_running_loop().remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.exited.set()

    async def wait(self) -> int:
        """Wait for its exit and return its status, below 0 for the signal that ended it."""
        await self.exited.wait()
        assert self.returncode is not None
        return self.returncode


def start(command: Sequence[str], folder: Path, environ: Mapping[str, str]) -> Child:
    """Start a program in a folder, its output and errors in one stream; raises OSError where that fails."""
    output, inherited = os.pipe()
    try:
        process = subprocess.Popen(
            command, cwd=folder, env=environ, stdin=subprocess.DEVNULL, stdout=inherited, stderr=subprocess.STDOUT
        )
    except OSError:
        os.close(output)
        raise
    finally:
        os.close(inherited)
    return Child(process, output)
