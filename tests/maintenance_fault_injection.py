"""The program with an injected fault at one exact point: run in place of `hophinge` in a test's process.

The faults are read from the environment and from files in the folder of STRUCK_FOLDER, so that a test can change them
while the process runs.
"""

from __future__ import annotations

import os
import runpy
import signal
import sys
from pathlib import Path
from typing import Any

from hophinge.control.maintenance_store import MaintenanceStore
from hophinge.head.maintenance import AnswerTimes
from hophinge.maintenance.permit_holder import PermitHolder

FOLDER, BAD = "STRUCK_FOLDER", "STRUCK_REFUSES"  # environment variables; BAD: one request in this many is rejected
# Files. KILL: the process is killed `before` or `after` a save. STOP: it is stopped instead of going offline.
KILL, STOP = "kill", "stop"
REFUSED = 503


def kill_at_saves(file: Path) -> None:
    """Kill this process before or after the next save of permits, as the content of the file says."""
    save = MaintenanceStore.save

    def with_fault(self: MaintenanceStore, *rows: Any) -> None:
        when = file.read_text() if file.exists() else ""
        if when == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        save(self, *rows)
        if when == "after":
            os.kill(os.getpid(), signal.SIGKILL)

    setattr(MaintenanceStore, "save", with_fault)  # noqa: B010


def stop_before_going_offline(file: Path) -> None:
    """Stop between the update that requires this head to go offline and acting on it, while the file exists."""
    apply_update = PermitHolder.apply_update

    def with_fault(self: PermitHolder, *arguments: Any) -> Any:
        actions = apply_update(self, *arguments)
        if actions and file.exists():
            os.kill(os.getpid(), signal.SIGSTOP)
        return actions

    setattr(PermitHolder, "apply_update", with_fault)  # noqa: B010


def reject_one_in(count: int) -> None:
    """Reject one request in this many, as a bad build may."""
    admit = AnswerTimes.admit
    request_count = [0]

    def with_fault(self: AnswerTimes, *arguments: Any) -> Any:
        request_count[0] += 1
        return REFUSED if request_count[0] % count == 0 else admit(self, *arguments)

    setattr(AnswerTimes, "admit", with_fault)  # noqa: B010


if __name__ == "__main__":
    folder = Path(os.environ[FOLDER])
    kill_at_saves(folder / KILL)
    stop_before_going_offline(folder / STOP)
    if os.environ.get(BAD):
        reject_one_in(int(os.environ[BAD]))
    sys.argv[0] = "hophinge"
    runpy.run_module("hophinge", run_name="__main__", alter_sys=True)
