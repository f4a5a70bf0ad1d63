"""Processes that a run started: killed, suspended, resumed and restarted by their ids, and ended with the run."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import sys
from collections import deque
from collections.abc import Iterable, Mapping
from pathlib import Path

from hophinge.core.errors import HophingeError
from hophinge.load.rig import child
from hophinge.load.rig.child import Child
from hophinge.load.rig.launch import STARTED_FILE, BLOCKED_HOSTS, DISK, MEMORY, PARENT

ROOT = Path(__file__).parent.parent.parent.parent
LAUNCH = "hophinge.load.rig.launch"
DEFAULT_MAX_PROCESSES = 48  # running ones of one run
MAX_PROCESSES = 200  # that a run may request
MEMORY_MB = 1024  # limit of one process: several times what any uses
MAX_LINES, MAX_LINE_BYTES = 2_000, 4_000  # of a process's log, the newest, and bytes of one
SHUTDOWN_TIMEOUT_S = 4.0  # after SIGTERM; then it is killed


class TooManyProcessesError(HophingeError):
    """More processes than a run may have."""

    code = "rig-too-many-processes"
    remedy = "End some of the run's processes first, or ask for fewer."


class Process:
    """One process under a name, over all its starts; its folder and log outlive each of them."""

    def __init__(self, name: str, folder: Path, command: list[str], environ: Mapping[str, str]) -> None:
        self.name = name
        self.folder = folder
        self.command = command
        self.environ = dict(environ)
        self.lines: deque[str] = deque(maxlen=MAX_LINES)
        self.start_line = 0  # lines of earlier starts that the log still has
        self.starts = 0
        self.child: Child | None = None
        self.reader: asyncio.Task[None] | None = None
        self.zone = ""  # for partitions by zone

    @property
    def is_running(self) -> bool:
        """Whether it has not exited; a suspended process is running."""
        return self.child is not None and self.child.returncode is None

    @property
    def started_file(self) -> Path:
        """The file that exists once its program has started."""
        return self.folder / "begun"

    @property
    def never_started(self) -> bool:
        """Whether it exited before its program started: the program had no part in that."""
        return self.child is not None and not self.is_running and not self.started_file.exists()

    @property
    def pid(self) -> int:
        """Its id; raises ProcessLookupError where it does not run, so that no other process's is ever used."""
        if self.child is None or self.child.returncode is not None:
            raise ProcessLookupError(f"{self.name} does not run")
        return self.child.pid

    async def start(self, **changes: str) -> None:
        """Start or restart it under the same name and folder; `changes` to the environment stay."""
        if self.is_running:
            raise ProcessLookupError(f"{self.name} runs already")
        if self.reader is not None:
            await self.reader
        self.environ.update(changes)
        self.start_line = len(self.lines)
        self.starts = self.starts + 1
        environ = {
            **os.environ,
            "PYTHONUNBUFFERED": "1",
            MEMORY: str(MEMORY_MB),
            PARENT: str(os.getpid()),
            DISK: str(self.folder / "disk"),
            BLOCKED_HOSTS: str(self.folder / "cuts"),
            STARTED_FILE: str(self.started_file),
            **self.environ,
        }
        self.started_file.unlink(missing_ok=True)
        self.child = child.start([sys.executable, "-m", LAUNCH, *self.command], ROOT, environ)
        self.reader = asyncio.create_task(self._read(self.child))

    async def _read(self, started: Child) -> None:
        rest = b""
        while data := await started.stdout.read(65_536):
            *lines, rest = (rest + data).split(b"\n")
            self._append(lines)
            rest = rest[-MAX_LINE_BYTES:]
        if rest:
            self._append([rest])

    def _append(self, lines: list[bytes]) -> None:
        over = len(self.lines) + len(lines) - MAX_LINES
        if over > 0:
            self.start_line = max(0, self.start_line - over)
        self.lines.extend(line[:MAX_LINE_BYTES].decode("utf-8", "replace") for line in lines)

    def has_logged(self, text: str) -> bool:
        """Return whether it has logged a text since it was last started."""
        return any(text in line for line in list(self.lines)[self.start_line :])

    # --- faults

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        os.kill(self.pid, number)

    async def kill(self) -> None:
        """Kill it (SIGKILL), and wait for its exit."""
        self.send(signal.SIGKILL)
        assert self.child is not None
        await self.child.wait()

    async def end(self) -> int:
        """Shut it down (SIGTERM), or kill it after a time; returns its exit status."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.send(signal.SIGCONT)
                self.send(signal.SIGTERM)
        if self.child is None:
            return 0
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                return await self.child.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.send(signal.SIGKILL)
            return await self.child.wait()

    async def suspend(self) -> None:
        """Suspend it (SIGSTOP); it is suspended when this returns."""
        self.send(signal.SIGSTOP)
        while self.is_running and not self.is_suspended:
            await asyncio.sleep(0.002)

    def resume(self) -> None:
        """Resume it (SIGCONT)."""
        self.send(signal.SIGCONT)

    @property
    def is_suspended(self) -> bool:
        """Whether it is suspended, as the kernel reports it."""
        try:
            return Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        except OSError:
            return False

    def set_disk_fault(self, fault: str) -> None:
        """Make its writes to files fail from now on: `full`, `failing`, or an empty text for no fault.

        The launcher covers the program's own calls; a limit on the size of files covers libraries that write by
        themselves, such as SQLite, as a full disk would.
        """
        path = self.folder / "disk"
        if fault:
            path.write_text(fault)
        else:
            path.unlink(missing_ok=True)
        _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0 if fault else hard, hard))

    def block_hosts(self, hosts: Iterable[str]) -> None:
        """Drop what it sends to some hosts from now on, in place of those before; none unblocks all."""
        path = self.folder / "cuts"
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(hosts))
        fresh.replace(path)

    def resident_mb(self) -> float:
        """Return its resident memory in MB."""
        rows = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(row.split()[1]) / 1024 for row in rows if row.startswith("VmRSS"))


class Processes:
    """All processes of one run, at most so many at once."""

    def __init__(self, folder: Path, max_processes: int = DEFAULT_MAX_PROCESSES) -> None:
        self.folder = folder
        self.max_processes = min(max_processes, MAX_PROCESSES)
        self.by_name: dict[str, Process] = {}

    def running(self) -> list[Process]:
        """Return those that have not exited."""
        return [one for one in self.by_name.values() if one.is_running]

    def create(self, name: str, command: list[str], environ: Mapping[str, str] | None = None) -> Process:
        """Create a process under a name of its own, not yet started."""
        if name in self.by_name:
            raise ValueError(f"{name} is there already; start that one again")
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        self.by_name[name] = made = Process(name, folder, command, environ or {})
        return made

    async def start(self, *names: str, **changes: str) -> None:
        """Start several at once."""
        if len(self.running()) + len(names) > self.max_processes:
            raise TooManyProcessesError(
                f"{len(self.running())} run, {len(names)} more would be over {self.max_processes}"
            )
        await asyncio.gather(*(self.by_name[name].start(**changes) for name in names))

    async def kill(self, *names: str) -> None:
        """Kill several at once."""
        await asyncio.gather(*(self.by_name[name].kill() for name in names))

    async def close(self) -> list[int]:
        """Kill all; returns the ids of those that still exist, which must be none."""
        ids = [one.pid for one in self.running()]
        for one in self.running():
            with contextlib.suppress(ProcessLookupError):
                one.send(signal.SIGKILL)  # ends one that is stopped too
        for one in self.by_name.values():
            if one.child is not None:
                await one.child.wait()
            if one.reader is not None:
                await one.reader
        return [pid for pid in ids if Path(f"/proc/{pid}").exists()]
