"""Tests of the rig's processes: signals, disk and clock faults, condition waits, and that none outlives its run."""

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
# A program that prints its clocks, and writes a durable file and an SQLite ledger until its folder has a file `go`.
WORKER_SOURCE = """
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


def create_worker(processes: Processes, name: str, **environ: str) -> Process:
    (processes.folder / "worker_of_rig.py").write_text(WORKER_SOURCE)
    (processes.folder / name).mkdir()
    return processes.create(
        name, ["worker_of_rig", str(processes.folder / name)], {"PYTHONPATH": f"{processes.folder}:{ROOT}", **environ}
    )


def has_logged_after(process: Process, text: str, line_count: int) -> Condition:
    """Return the condition that a process has logged a text after its first `line_count` lines."""

    async def check() -> tuple[bool, str]:
        return any(text in line for line in list(process.lines)[line_count:]), ""

    return Condition(process, f"has logged {text!r} again", check)


def test_disk_faults_begin_and_end_while_a_process_runs(tmp_path: Path) -> None:
    async def main() -> None:
        processes = Processes(tmp_path)
        worker = create_worker(processes, "one")
        try:
            await processes.start("one")
            await wait_until([has_logged(worker, "file written"), has_logged(worker, "ledger written")], BOUND_S)
            for fault, error_text in (("full", "No space left"), ("failing", "Input/output error")):
                worker.set_disk_fault(fault)
                await wait_until(
                    [
                        has_logged_after(worker, error_text, len(worker.lines)),
                        has_logged_after(worker, "ledger not written: FullError", len(worker.lines)),
                    ],
                    BOUND_S,
                )
                worker.set_disk_fault("")
                await wait_until(
                    [
                        has_logged_after(worker, "file written", len(worker.lines)),
                        has_logged_after(worker, "ledger written", len(worker.lines)),
                    ],
                    BOUND_S,
                )
            (worker.folder / "go").touch()
            await wait_until([has_exited(worker, 0)], BOUND_S)
        finally:
            assert await processes.close() == []

    run(main())


def test_a_shifted_wall_clock_leaves_the_monotonic_clock_unchanged(tmp_path: Path) -> None:
    async def main() -> None:
        processes = Processes(tmp_path)
        correct, shifted = (
            create_worker(processes, "correct"),
            create_worker(processes, "shifted", **{CLOCK_OFFSET: "-3600"}),
        )
        try:
            await processes.start("correct", "shifted")
            await wait_until([has_logged(correct, "clock"), has_logged(shifted, "clock")], BOUND_S)
            clocks = [
                [float(text) for text in line.split()[1:]]
                for process in (correct, shifted)
                for line in process.lines
                if line.startswith("clock")
            ]
            assert abs(clocks[0][0] - clocks[1][0] - 3600) < 120 and abs(clocks[0][1] - clocks[1][1]) < 120
        finally:
            assert await processes.close() == []

    run(main())


def test_suspend_resume_kill_and_restart_affect_only_their_process(tmp_path: Path) -> None:
    async def main() -> None:
        processes = Processes(tmp_path, max_processes=2)
        one, other = create_worker(processes, "one"), create_worker(processes, "other")
        create_worker(processes, "third")
        try:
            await processes.start("one", "other")
            with pytest.raises(TooManyProcessesError):
                await processes.start("third")
            await wait_until([has_logged(one, "file written"), has_logged(other, "file written")], BOUND_S)
            await one.suspend()
            assert one.is_suspended and not other.is_suspended and one.is_running
            # Once the other process has logged again, the output from before the suspension has been read.
            await wait_until([has_logged_after(other, "file written", len(other.lines))], BOUND_S)
            line_count = len(one.lines)
            await wait_until([has_logged_after(other, "file written", len(other.lines))], BOUND_S)
            assert len(one.lines) == line_count
            one.resume()
            await wait_until([has_logged_after(one, "file written", len(one.lines))], BOUND_S)
            await one.suspend()
            await one.kill()  # a suspended process can be killed
            assert not one.is_running and other.is_running
            with pytest.raises(ProcessLookupError):
                one.send(signal.SIGTERM)  # its id may belong to another process now
            await one.start()
            await wait_until([has_logged(one, "file written")], BOUND_S)
            assert one.starts == 2 and await other.end() == -signal.SIGTERM
        finally:
            assert await processes.close() == []

    run(main())


def test_a_failed_wait_names_the_process_the_condition_and_its_log(tmp_path: Path) -> None:
    async def main() -> None:
        processes = Processes(tmp_path)
        one, other = create_worker(processes, "one"), create_worker(processes, "other")
        try:
            await processes.start("one", "other")
            await wait_until([has_logged(one, "file written")], BOUND_S)
            with pytest.raises(ConditionError) as caught:
                await wait_until([has_logged(one, "file written"), has_logged(other, "an absent text")], 0.2)
            text = str(caught.value)
            assert "other (running): has logged 'an absent text'" in text and "one (running)" not in text
            await wait_until([has_logged(other, "file written")], BOUND_S)
            with pytest.raises(ConditionError, match=r"(?s)other.*written"):
                await holds_while([has_logged(one, "clock"), has_logged(other, "an absent text")], asyncio.sleep(60))
            assert await holds_while([has_logged(other, "clock")], asyncio.sleep(0.1)) > 0
            with pytest.raises(ValueError, match="there is no condition to wait for"):
                await wait_until([], 1.0)
        finally:
            assert await processes.close() == []

    run(main())


def test_a_process_ends_when_the_process_that_started_it_is_killed(tmp_path: Path) -> None:
    """A test that is killed must leave no process behind."""
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
    stat_file = Path(f"/proc/{pid}/stat")

    async def main() -> None:
        while stat_file.exists() and stat_file.read_text().rpartition(")")[2].split()[0] != "Z":
            await asyncio.sleep(0.01)

    run(main())
    assert not stat_file.exists() or stat_file.read_text().rpartition(")")[2].split()[0] == "Z"


def test_a_process_that_exits_before_its_program_starts_is_reported_as_never_started(tmp_path: Path) -> None:
    async def main() -> None:
        processes = Processes(tmp_path)
        one = processes.create("one", ["no_such_module_of_rig"], {MEMORY: "not a number"})
        await one.start()
        with pytest.raises(NeverStartedError, match="one"):
            await wait_until([has_logged(one, "hello")], BOUND_S)
        assert one.never_started
        other = create_worker(processes, "other")
        await other.start()
        await wait_until([has_logged(other, "clock")], BOUND_S)
        assert not other.never_started
        await other.kill()
        assert not other.never_started
        assert await processes.close() == []

    run(main())


def test_starting_a_child_runs_no_fork_handlers() -> None:
    """Fork handlers of libraries may end the child while threads and gRPC channels are open."""
    handler_calls = ctypes.c_int(0)

    def prepare() -> None:
        handler_calls.value += 1

    handler = ctypes.CFUNCTYPE(None)(prepare)
    register = ctypes.CDLL(None).__register_atfork
    register(handler, None, None, None)
    _REGISTERED_HANDLERS.append(handler)  # the C library may call it until this process exits

    async def main() -> None:
        one = child.start([sys.executable, "-c", "print('hello')"], ROOT, dict(os.environ))
        assert await one.stdout.read() == b"hello\n"
        assert await one.wait() == 0

    before = handler_calls.value
    run(main())
    assert handler_calls.value == before


_REGISTERED_HANDLERS: list[object] = []
