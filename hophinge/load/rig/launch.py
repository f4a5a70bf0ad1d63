"""Runs a module as `python -m` does, in a process whose wall clock, disk and network may have faults.

The faults are read from the environment here alone: the program itself knows none of them.
`python -m hophinge.load.rig.launch MODULE ARGUMENTS...` ends with the process that started it.
"""

from __future__ import annotations

import ctypes
import errno
import os
import resource
import runpy
import signal
import stat
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from hophinge.load.rig.socket_partition import SocketPartition

CLOCK_OFFSET, DISK, PARENT, MEMORY = "RIG_CLOCK_OFF_S", "RIG_DISK", "RIG_PARENT", "RIG_MEMORY_MB"
BLOCKED_HOSTS, STARTED_FILE = "RIG_CUTS", "RIG_BEGUN"
DISK_ERRORS = {"full": errno.ENOSPC, "failing": errno.EIO}
PR_SET_PDEATHSIG = 1


def shift_wall_clock(seconds: float) -> None:
    """Shift the wall clock by seconds; the monotonic clock stays as it is."""
    true, true_ns = time.time, time.time_ns
    setattr(time, "time", lambda: true() + seconds)  # noqa: B010
    setattr(time, "time_ns", lambda: true_ns() + int(seconds * 1e9))  # noqa: B010


def install_disk_faults(fault_file: Path) -> None:
    """Make writes to files fail while the fault file has `full` or `failing`; pipes and sockets are not affected."""
    real_open, real_read, real_close = os.open, os.read, os.close

    def fault() -> int:
        try:
            handle = real_open(fault_file, os.O_RDONLY)
        except OSError:
            return 0
        try:
            return DISK_ERRORS.get(real_read(handle, 32).decode().strip(), 0)
        finally:
            real_close(handle)

    def failing(call: Callable[..., Any], wrong: Callable[..., bool]) -> Callable[..., Any]:
        def attempted(*args: Any, **named: Any) -> Any:
            if wrong(*args) and (number := fault()):
                raise OSError(number, os.strerror(number))
            return call(*args, **named)

        return attempted

    def plain(handle: int, *_: Any) -> bool:
        return stat.S_ISREG(os.fstat(handle).st_mode)

    def file_or_folder(handle: int, *_: Any) -> bool:
        return plain(handle) or stat.S_ISDIR(os.fstat(handle).st_mode)

    for name, wrong in (("write", plain), ("fsync", file_or_folder), ("replace", lambda *_: True)):
        setattr(os, name, failing(getattr(os, name), wrong))


def limit_memory(memory_mb: int) -> None:
    """Limit this process's memory; allocations beyond it fail."""
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    resource.setrlimit(resource.RLIMIT_DATA, (memory_mb * 1024 * 1024, hard))


def prepare(environ: Mapping[str, str]) -> bool:
    """Install the faults of the environment; returns whether the parent process still runs."""
    if parent := environ.get(PARENT):
        # A test that is killed leaves no process behind: the kernel ends them with it.
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))
        if os.getppid() != int(parent):
            return False
    if memory := environ.get(MEMORY):
        limit_memory(int(memory))
    if seconds := environ.get(CLOCK_OFFSET):
        shift_wall_clock(float(seconds))
    if word := environ.get(DISK):
        install_disk_faults(Path(word))
    if word := environ.get(BLOCKED_HOSTS):
        SocketPartition(Path(word)).install()
    if word := environ.get(STARTED_FILE):
        Path(word).touch()
    return True


def main() -> int:
    """Run the module that the arguments name."""
    if not prepare(os.environ):
        return 1
    module = sys.argv[1]
    sys.argv = [module, *sys.argv[2:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
