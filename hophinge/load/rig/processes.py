"""Child processes of a run, which can be killed, suspended, resumed and restarted, and which end with the run."""

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
DEFAULT_MAX_PROCESSES = 48  # that run at the same time in one run
MAX_PROCESSES = 200  # upper bound of the limit that a run may set
MEMORY_MB = 1024  # limit of one process: several times the memory that any of them uses
MAX_LINES, MAX_LINE_BYTES = 2_000, 4_000  # newest log lines kept of a process, and bytes kept of each
SHUTDOWN_TIMEOUT_S = 4.0  # from SIGTERM to SIGKILL


class TooManyProcessesError(HophingeError):
    """More processes than may run at the same time in a run."""

    code = "rig-too-many-processes"
    remedy = "End some of the run's processes first, or start fewer."


class Process:
    """A named process of a run; its folder and log are kept when it is started again."""

    def __init__(self, name: str, folder: Path, command: list[str], environ: Mapping[str, str]) -> None:
        self.name = name
        self.folder = folder
        self.command = command
        self.environ = dict(environ)
        self.lines: deque[str] = deque(maxlen=MAX_LINES)
        self.start_line = 0  # number of lines in the log that earlier starts logged
        self.starts = 0
        self.child: Child | None = None
        self.reader: asyncio.Task[None] | None = None  # reads the output into the log
        self.zone = ""  # for partitions by zone

    @property
    def is_running(self) -> bool:
        """Whether it is started and has not exited; a suspended process is running."""
        return self.child is not None and self.child.returncode is None

    @property
    def started_file(self) -> Path:
        """The file that the launcher creates just before its program starts."""
        return self.folder / "begun"

    @property
    def never_started(self) -> bool:
        """Whether it exited before its program started, so that the program is not the cause."""
        return self.child is not None and not self.is_running and not self.started_file.exists()

    @property
    def pid(self) -> int:
        """Its process id; raises ProcessLookupError if it is not running, so that no signal reaches another process."""
        if self.child is None or self.child.returncode is not None:
            raise ProcessLookupError(f"{self.name} is not running")
        return self.child.pid

    async def start(self, **changes: str) -> None:
        """Start it, or restart it with the same folder; `changes` to its environment also apply to later starts."""
        if self.is_running:
            raise ProcessLookupError(f"{self.name} is already running")
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

    async def _read(self, running: Child) -> None:
        partial_line = b""
        while data := await running.stdout.read(65_536):
            *lines, partial_line = (partial_line + data).split(b"\n")
            self._append(lines)
            partial_line = partial_line[-MAX_LINE_BYTES:]
        if partial_line:
            self._append([partial_line])

    def _append(self, lines: list[bytes]) -> None:
        excess = len(self.lines) + len(lines) - MAX_LINES
        if excess > 0:
            self.start_line = max(0, self.start_line - excess)
        self.lines.extend(line[:MAX_LINE_BYTES].decode("utf-8", "replace") for line in lines)

    def has_logged(self, text: str) -> bool:
        """Return whether it has logged `text` since it was last started."""
        return any(text in line for line in list(self.lines)[self.start_line :])

    # --- faults

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process."""
        os.kill(self.pid, signal_number)

    async def kill(self) -> None:
        """Kill it with SIGKILL, and wait for its exit."""
        self.send(signal.SIGKILL)
        assert self.child is not None
        await self.child.wait()

    async def end(self) -> int:
        """End it with SIGTERM, then SIGKILL after a timeout; returns its exit status, 0 if it was never started."""
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
        """Suspend it with SIGSTOP; returns once the kernel reports it as suspended."""
        self.send(signal.SIGSTOP)
        while self.is_running and not self.is_suspended:
            await asyncio.sleep(0.002)

    def resume(self) -> None:
        """Resume it with SIGCONT."""
        self.send(signal.SIGCONT)

    @property
    def is_suspended(self) -> bool:
        """Whether it is suspended, as the kernel reports it."""
        try:
            return Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        except OSError:
            return False

    def set_disk_fault(self, fault: str) -> None:
        """Make its writes to files fail from now on: `full`, `failing`, or an empty string to end the fault.

        The launcher intercepts writes from Python. A file size limit affects libraries that call the kernel directly,
        such as SQLite, in the same way as a full disk.
        """
        path = self.folder / "disk"
        if fault:
            path.write_text(fault)
        else:
            path.unlink(missing_ok=True)
        _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0 if fault else hard, hard))

    def block_hosts(self, hosts: Iterable[str]) -> None:
        """Drop what it sends to these hosts from now on; they replace the earlier ones, and none unblocks all."""
        path = self.folder / "cuts"
        new_path = path.with_suffix(".new")
        new_path.write_text("\n".join(hosts))
        new_path.replace(path)

    def resident_mb(self) -> float:
        """Return its resident memory in MB."""
        rows = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(row.split()[1]) / 1024 for row in rows if row.startswith("VmRSS"))


class Processes:
    """All processes of one run, of which at most `max_processes` run at the same time."""

    def __init__(self, folder: Path, max_processes: int = DEFAULT_MAX_PROCESSES) -> None:
        self.folder = folder
        self.max_processes = min(max_processes, MAX_PROCESSES)
        self.by_name: dict[str, Process] = {}

    def running(self) -> list[Process]:
        """Return the processes that are started and have not exited."""
        return [process for process in self.by_name.values() if process.is_running]

    def create(self, name: str, command: list[str], environ: Mapping[str, str] | None = None) -> Process:
        """Create a process, which is not started yet; raises ValueError if the name is in use."""
        if name in self.by_name:
            raise ValueError(f"a process {name} already exists; start it again instead")
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        self.by_name[name] = process = Process(name, folder, command, environ or {})
        return process

    async def start(self, *names: str, **changes: str) -> None:
        """Start several processes concurrently; raises TooManyProcessesError if they are too many."""
        if len(self.running()) + len(names) > self.max_processes:
            raise TooManyProcessesError(
                f"{len(self.running())} processes are running, {len(names)} more would exceed {self.max_processes}"
            )
        await asyncio.gather(*(self.by_name[name].start(**changes) for name in names))

    async def kill(self, *names: str) -> None:
        """Kill several processes concurrently."""
        await asyncio.gather(*(self.by_name[name].kill() for name in names))

    async def close(self) -> list[int]:
        """Kill all processes; returns the ids of those that still exist, which is empty unless something is wrong."""
        ids = [process.pid for process in self.running()]
        for process in self.running():
            with contextlib.suppress(ProcessLookupError):
                process.send(signal.SIGKILL)  # also ends a suspended process
        for process in self.by_name.values():
            if process.child is not None:
                await process.child.wait()
            if process.reader is not None:
                await process.reader
        return [pid for pid in ids if Path(f"/proc/{pid}").exists()]
