"""The program with a fault that strikes at one exact point: run in place of `hophinge`, in a process of a run.

Read from the environment and from files that STRUCK_FOLDER names, so that a test can change its mind between strikes.
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

FOLDER, BAD = "STRUCK_FOLDER", "STRUCK_REFUSES"  # BAD: one request in this many is rejected
KILL, STOP = "kill", "stop"  # files: the process ends `before` or `after` a save; it stops instead of going offline
REFUSED = 503


def end_at_stores(word: Path) -> None:
    """End as by SIGKILL before or after the next save of permits, as the file says."""
    keep = MaintenanceStore.save

    def struck(self: MaintenanceStore, *rows: Any) -> None:
        when = word.read_text() if word.exists() else ""
        if when == "before":
            os.kill(os.getpid(), signal.SIGKILL)
        keep(self, *rows)
        if when == "after":
            os.kill(os.getpid(), signal.SIGKILL)

    setattr(MaintenanceStore, "save", struck)  # noqa: B010


def stand_still_when_let_go(word: Path) -> None:
    """Stop between the update that requires this head to go offline and acting on it, while the file exists."""
    told = PermitHolder.apply_update

    def struck(self: PermitHolder, *words: Any) -> Any:
        goes = told(self, *words)
        if goes and word.exists():
            os.kill(os.getpid(), signal.SIGSTOP)
        return goes

    setattr(PermitHolder, "apply_update", struck)  # noqa: B010


def refuse_one_in(count: int) -> None:
    """Reject one request in this many, as a bad build may."""
    admit = AnswerTimes.admit
    asked = [0]

    def struck(self: AnswerTimes, *words: Any) -> Any:
        asked[0] += 1
        return REFUSED if asked[0] % count == 0 else admit(self, *words)

    setattr(AnswerTimes, "admit", struck)  # noqa: B010


if __name__ == "__main__":
    folder = Path(os.environ[FOLDER])
    end_at_stores(folder / KILL)
    stand_still_when_let_go(folder / STOP)
    if os.environ.get(BAD):
        refuse_one_in(int(os.environ[BAD]))
    sys.argv[0] = "hophinge"
    runpy.run_module("hophinge", run_name="__main__", alter_sys=True)
