"""The rig's processes: stopped, killed, with a full disk and a wrong clock, and none left behind."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from hophinge.load.rig import child
from hophinge.load.rig.launch import CLOCK_OFFSET, MEMORY
from hophinge.load.rig.processes import LAUNCH, ROOT, Process, Processes, TooManyProcessesError
from hophinge.load.rig.conditions import (
    Condition,
    ConditionError,
    NeverStartedError,
    holds_while,
    has_exited,
    has_logged,
    wait_until,
)
from tests.stand_in import run

BOUND_S = 30.0
# A module that does by words what the program's parts do: tells the time, writes a file that lasts, uses SQLite.
MODULE = """
import sqlite3, sys, time
from pathlib import Path
from hophinge.state.files import load, save
from hophinge.state.ledger import Ledger, LedgerError
from hophinge.state.rows import AuditEntry, LedgerChange, Row
folder = Path(sys.argv[1])
ledger = Ledger(folder / "accounts.db")
print("clock", time.time(), time.monotonic(), flush=True)
at = 0
while not (folder / "go").exists():
    at += 1
    changed = LedgerChange([Row("k", "n", b"1")], AuditEntry(0, "", "", "", ""))
    for name, act in (("file", lambda: save(folder / "kept", "try", 1, b"%d" % at)),
                      ("ledger", lambda: ledger.change(lambda: changed))):
        try:
            act()
            print(name, "written", at, flush=True)
        except (OSError, LedgerError) as error:
            print(name, "not written:", type(error).__name__, error, flush=True)
    time.sleep(0.02)
"""


def module(made: Processes, name: str, **environ: str) -> Process:
    (made.folder / "worker_of_rig.py").write_text(MODULE)
    (made.folder / name).mkdir()
    return made.create(
        name, ["worker_of_rig", str(made.folder / name)], {"PYTHONPATH": f"{made.folder}:{ROOT}", **environ}
    )


def newer(process: Process, text: str, than: int) -> Condition:
    """A line that came after so many."""

    async def look() -> tuple[bool, str]:
        return any(text in line for line in list(process.lines)[than:]), ""

    return Condition(process, f"says {text!r} again", look)


def test_a_full_and_a_failing_disk_come_and_go_while_a_process_runs(tmp_path: Path) -> None:
    async def main() -> None:
        made = Processes(tmp_path)
        one = module(made, "one")
        try:
            await made.start("one")
            await wait_until([has_logged(one, "file written"), has_logged(one, "ledger written")], BOUND_S)
            for word, text in (("full", "No space left"), ("failing", "Input/output error")):
                one.set_disk_fault(word)
                await wait_until(
                    [newer(one, text, len(one.lines)), newer(one, "ledger not written: FullError", len(one.lines))],
                    BOUND_S,
                )
                one.set_disk_fault("")
                await wait_until(
                    [newer(one, "file written", len(one.lines)), newer(one, "ledger written", len(one.lines))], BOUND_S
                )
            (one.folder / "go").touch()
            await wait_until([has_exited(one, 0)], BOUND_S)
        finally:
            assert await made.close() == []

    run(main())


def test_a_wall_clock_is_off_and_the_monotonic_one_is_not(tmp_path: Path) -> None:
    async def main() -> None:
        made = Processes(tmp_path)
        right, wrong = module(made, "right"), module(made, "wrong", **{CLOCK_OFFSET: "-3600"})
        try:
            await made.start("right", "wrong")
            await wait_until([has_logged(right, "clock"), has_logged(wrong, "clock")], BOUND_S)
            found = [
                [float(text) for text in line.split()[1:]]
                for one in (right, wrong)
                for line in one.lines
                if line.startswith("clock")
            ]
            assert abs(found[0][0] - found[1][0] - 3600) < 120 and abs(found[0][1] - found[1][1]) < 120
        finally:
            assert await made.close() == []

    run(main())


def test_a_process_is_stopped_woken_killed_and_started_again_and_only_by_its_own_id(tmp_path: Path) -> None:
    async def main() -> None:
        made = Processes(tmp_path, max_processes=2)
        one, other = module(made, "one"), module(made, "other")
        module(made, "third")
        try:
            await made.start("one", "other")
            with pytest.raises(TooManyProcessesError):
                await made.start("third")
            await wait_until([has_logged(one, "file written"), has_logged(other, "file written")], BOUND_S)
            await one.suspend()
            assert one.is_suspended and not other.is_suspended and one.is_running
            await wait_until([newer(other, "file written", len(other.lines))], BOUND_S)  # the pipes are empty now
            seen = len(one.lines)
            await wait_until([newer(other, "file written", len(other.lines))], BOUND_S)
            assert len(one.lines) == seen
            one.resume()
            await wait_until([newer(one, "file written", len(one.lines))], BOUND_S)
            await one.suspend()
            await one.kill()  # one that stands still too
            assert not one.is_running and other.is_running
            with pytest.raises(ProcessLookupError):
                one.send(signal.SIGTERM)  # nobody else's id is ever taken
            await one.start()
            await wait_until([has_logged(one, "file written")], BOUND_S)
            assert one.starts == 2 and await other.end() == -signal.SIGTERM
        finally:
            assert await made.close() == []

    run(main())


def test_a_wait_that_fails_names_the_process_the_condition_and_its_log(tmp_path: Path) -> None:
    async def main() -> None:
        made = Processes(tmp_path)
        one, other = module(made, "one"), module(made, "other")
        try:
            await made.start("one", "other")
            await wait_until([has_logged(one, "file written")], BOUND_S)
            with pytest.raises(ConditionError) as caught:
                await wait_until([has_logged(one, "file written"), has_logged(other, "what never comes")], 0.2)
            text = str(caught.value)
            assert "other (running): has logged 'what never comes'" in text and "one (running)" not in text
            await wait_until([has_logged(other, "file written")], BOUND_S)
            with pytest.raises(ConditionError, match=r"(?s)other.*written"):
                await holds_while([has_logged(one, "clock"), has_logged(other, "what never comes")], asyncio.sleep(60))
            assert await holds_while([has_logged(other, "clock")], asyncio.sleep(0.1)) > 0
            with pytest.raises(ValueError, match="there is no condition to wait for"):
                await wait_until([], 1.0)
        finally:
            assert await made.close() == []

    run(main())


def test_a_test_that_is_killed_leaves_no_process_behind(tmp_path: Path) -> None:
    """The parent of a process of the rig is killed; the process ends with it."""
    code = (
        "import os, subprocess, sys\n"
        f"one = subprocess.Popen([sys.executable, '-m', {LAUNCH!r}, 'http.server', '0', '--bind', '127.0.0.1'],\n"
        "    env={**os.environ, 'RIG_PARENT': str(os.getpid())}, stderr=subprocess.PIPE, stdout=subprocess.PIPE)\n"
        "print(one.pid, flush=True)\n"
        "assert one.stdout.readline() or True\nprint('serves', flush=True)\nsys.stdin.read()"
    )
    with subprocess.Popen(
        [sys.executable, "-c", code],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    ) as parent:
        assert parent.stdout is not None
        pid = int(parent.stdout.readline())
        assert parent.stdout.readline() == b"serves\n" and Path(f"/proc/{pid}").exists()
        parent.kill()
    gone = Path(f"/proc/{pid}/stat")

    async def main() -> None:
        while gone.exists() and gone.read_text().rpartition(")")[2].split()[0] != "Z":
            await asyncio.sleep(0.01)

    run(main())
    assert not gone.exists() or gone.read_text().rpartition(")")[2].split()[0] == "Z"


def test_a_child_that_dies_before_its_program_begins_is_told_as_such(tmp_path: Path) -> None:
    async def main() -> None:
        made = Processes(tmp_path)
        one = made.create("one", ["no_such_module_of_rig"], {MEMORY: "not a number"})
        await one.start()
        with pytest.raises(NeverStartedError, match="one"):
            await wait_until([has_logged(one, "hello")], BOUND_S)
        assert one.never_started
        other = module(made, "other")
        await other.start()
        await wait_until([has_logged(other, "clock")], BOUND_S)
        assert not other.never_started
        await other.kill()
        assert not other.never_started
        assert await made.close() == []

    run(main())


def test_nothing_of_this_process_runs_in_a_child_before_its_program() -> None:
    """What libraries register for a fork is not run: with threads and channels open it may end the child."""
    forked = ctypes.c_int(0)

    def prepare() -> None:
        forked.value += 1

    kept = ctypes.CFUNCTYPE(None)(prepare)
    register = ctypes.CDLL(None).__register_atfork
    register(kept, None, None, None)
    _KEPT.append(kept)  # the C library calls it for as long as this process lives

    async def main() -> None:
        one = child.start([sys.executable, "-c", "print('hello')"], ROOT, dict(os.environ))
        assert await one.stdout.read() == b"hello\n"
        assert await one.wait() == 0

    before = forked.value
    run(main())
    assert forked.value == before


_KEPT: list[object] = []
