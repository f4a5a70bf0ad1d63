"""Runs a module as `python -m` does, in a process whose wall clock, disk and network may have faults.

Read here alone, from the environment: the program itself knows of none of it. `python -m hophinge.load.rig.launch
MODULE WORDS...` ends with whoever started it.
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

from hophinge.load.rig.cuts import Cuts

CLOCK, DISK, PARENT, MEMORY = "RIG_CLOCK_OFF_S", "RIG_DISK", "RIG_PARENT", "RIG_MEMORY_MB"
CUTS, BEGUN = "RIG_CUTS", "RIG_BEGUN"
ERRORS = {"full": errno.ENOSPC, "failing": errno.EIO}
PR_SET_PDEATHSIG = 1


def clock_off(seconds: float) -> None:
    """Set the wall clock off; what counts spans, the monotonic clock, goes on as it was."""
    true, true_ns = time.time, time.time_ns
    setattr(time, "time", lambda: true() + seconds)  # noqa: B010
    setattr(time, "time_ns", lambda: true_ns() + int(seconds * 1e9))  # noqa: B010


def disk_by(word: Path) -> None:
    """Let writes to files fail while the file `word` says `full` or `failing`; pipes and sockets go on."""
    real_open, real_read, real_close = os.open, os.read, os.close

    def fault() -> int:
        try:
            handle = real_open(word, os.O_RDONLY)
        except OSError:
            return 0
        try:
            return ERRORS.get(real_read(handle, 32).decode().strip(), 0)
        finally:
            real_close(handle)

    def failing(call: Callable[..., Any], wrong: Callable[..., bool]) -> Callable[..., Any]:
        def tried(*args: Any, **named: Any) -> Any:
            if wrong(*args) and (number := fault()):
                raise OSError(number, os.strerror(number))
            return call(*args, **named)

        return tried

    def plain(handle: int, *_: Any) -> bool:
        return stat.S_ISREG(os.fstat(handle).st_mode)

    def file_or_folder(handle: int, *_: Any) -> bool:
        return plain(handle) or stat.S_ISDIR(os.fstat(handle).st_mode)

    for name, wrong in (("write", plain), ("fsync", file_or_folder), ("replace", lambda *_: True)):
        setattr(os, name, failing(getattr(os, name), wrong))


def limit(memory_mb: int) -> None:
    """Bound this process's own memory; what it asks for beyond is refused."""
    _, hard = resource.getrlimit(resource.RLIMIT_DATA)
    resource.setrlimit(resource.RLIMIT_DATA, (memory_mb * 1024 * 1024, hard))


def prepare(environ: Mapping[str, str]) -> bool:
    """Set up what the environment asks for; tells whether the parent is still there."""
    if parent := environ.get(PARENT):
        # A test that is killed leaves nothing behind: the kernel ends its processes with it.
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))
        if os.getppid() != int(parent):
            return False
    if memory := environ.get(MEMORY):
        limit(int(memory))
    if seconds := environ.get(CLOCK):
        clock_off(float(seconds))
    if word := environ.get(DISK):
        disk_by(Path(word))
    if word := environ.get(CUTS):
        Cuts(Path(word)).install()
    if word := environ.get(BEGUN):
        Path(word).touch()
    return True


def main() -> int:
    """Become the module that the words name."""
    if not prepare(os.environ):
        return 1
    module = sys.argv[1]
    sys.argv = [module, *sys.argv[2:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
