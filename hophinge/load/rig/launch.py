"""Runs a module as `python -m` does, with injected faults of the wall clock, the disk and the network.

Only this module reads the faults from the environment; the program that it runs does not know of them.
`python -m hophinge.load.rig.launch MODULE ARGUMENTS...` is killed when the process that started it exits.
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
    """Shift the wall clock of this process by seconds; the monotonic clock is not affected."""
    real_time, real_time_ns = time.time, time.time_ns
    setattr(time, "time", lambda: real_time() + seconds)  # noqa: B010
    setattr(time, "time_ns", lambda: real_time_ns() + int(seconds * 1e9))  # noqa: B010


def install_disk_faults(fault_file: Path) -> None:
    """Make `os.write`, `os.fsync` and `os.replace` fail while `fault_file` contains `full` or `failing`.

    Pipes and sockets are not affected.
    """
    real_open, real_read, real_close = os.open, os.read, os.close

    def current_errno() -> int:
        try:
            fd = real_open(fault_file, os.O_RDONLY)
        except OSError:
            return 0
        try:
            return DISK_ERRORS.get(real_read(fd, 32).decode().strip(), 0)
        finally:
            real_close(fd)

    def with_disk_faults(call: Callable[..., Any], is_affected: Callable[..., bool]) -> Callable[..., Any]:
        def call_or_fail(*args: Any, **kwargs: Any) -> Any:
            if is_affected(*args) and (error_number := current_errno()):
                raise OSError(error_number, os.strerror(error_number))
            return call(*args, **kwargs)

        return call_or_fail

    def is_regular_file(fd: int, *_: Any) -> bool:
        return stat.S_ISREG(os.fstat(fd).st_mode)

    def is_file_or_folder(fd: int, *_: Any) -> bool:
        return is_regular_file(fd) or stat.S_ISDIR(os.fstat(fd).st_mode)

    for name, is_affected in (("write", is_regular_file), ("fsync", is_file_or_folder), ("replace", lambda *_: True)):
        setattr(os, name, with_disk_faults(getattr(os, name), is_affected))


def limit_memory(memory_mb: int) -> None:
    """Limit the memory of this process; further allocations fail."""
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    resource.setrlimit(resource.RLIMIT_DATA, (memory_mb * 1024 * 1024, hard))


def prepare(environ: Mapping[str, str]) -> bool:
    """Install the faults that the environment specifies; returns False if the parent process has exited."""
    if parent := environ.get(PARENT):
        # The kernel kills this process when its parent exits, so that a killed test leaves no processes behind.
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))
        if os.getppid() != int(parent):
            return False
    if memory := environ.get(MEMORY):
        limit_memory(int(memory))
    if seconds := environ.get(CLOCK_OFFSET):
        shift_wall_clock(float(seconds))
    if fault_file := environ.get(DISK):
        install_disk_faults(Path(fault_file))
    if blocked_hosts_file := environ.get(BLOCKED_HOSTS):
        SocketPartition(Path(blocked_hosts_file)).install()
    if started_file := environ.get(STARTED_FILE):
        Path(started_file).touch()
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
