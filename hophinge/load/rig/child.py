"""A child process that runs no fork handlers of this process; its output is a stream, and its exit an event.

An event loop may start children with a plain fork, which runs the fork handlers that libraries have registered. While
threads and gRPC channels are open, these handlers can end the child before it executes its program. A child that is
started here runs no code of this process.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

READ_BYTES = 1 << 16


class Child:
    """A started process; `returncode` is None until it has exited."""

    def __init__(self, process: subprocess.Popen[bytes], output_fd: int) -> None:
        self.process = process
        self.output_fd = output_fd
        self.pid = process.pid
        self.stdout = asyncio.StreamReader()
        self.returncode: int | None = None
        self.exited = asyncio.Event()
        self.pidfd = os.pidfd_open(process.pid)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.pidfd, self._on_exit)
        loop.add_reader(self.output_fd, self._on_output)

    def _on_output(self) -> None:
        data = os.read(self.output_fd, READ_BYTES)
        if data:
            self.stdout.feed_data(data)
            return
        asyncio.get_running_loop().remove_reader(self.output_fd)
        os.close(self.output_fd)
        self.stdout.feed_eof()

    def _on_exit(self) -> None:
        self.returncode = self.process.wait()
        asyncio.get_running_loop().remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.exited.set()

    async def wait(self) -> int:
        """Wait for its exit and return its status; if a signal ended it, the negative signal number."""
        await self.exited.wait()
        assert self.returncode is not None
        return self.returncode


def start(command: Sequence[str], folder: Path, environ: Mapping[str, str]) -> Child:
    """Start a program in a folder; `stdout` has its output and errors. Raises OSError if it cannot be started."""
    output_fd, inherited_fd = os.pipe()
    try:
        process = subprocess.Popen(
            command, cwd=folder, env=environ, stdin=subprocess.DEVNULL, stdout=inherited_fd, stderr=subprocess.STDOUT
        )
    except OSError:
        os.close(output_fd)
        raise
    finally:
        os.close(inherited_fd)
    return Child(process, output_fd)
