"""Processes that a run started: killed, stopped, woken and started again by their ids, and ended with the run."""

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
from hophinge.load.rig.launch import BEGUN, CUTS, DISK, MEMORY, PARENT

ROOT = Path(__file__).parent.parent.parent.parent
LAUNCH = "hophinge.load.rig.launch"
USUAL_MAX = 48  # processes of one run, ended ones not counted
MOST = 200  # that a run may ask for
MEMORY_MB = 1024  # of one process: several times what any takes
LINES, LONGEST_LINE = 2_000, 4_000  # of a process's log, the newest, and bytes of one
END_S = 4.0  # for an orderly end; then it is killed


class TooManyError(HophingeError):
    """More processes than a run may have."""

    code = "rig-too-many-processes"
    remedy = "End some of the run's processes first, or ask for fewer."


class Process:
    """One process under a name, over all its starts; its folder and log outlive each of them."""

    def __init__(self, name: str, folder: Path, words: list[str], environ: Mapping[str, str]) -> None:
        self.name, self.folder, self.words, self.environ = name, folder, words, dict(environ)
        self.lines: deque[str] = deque(maxlen=LINES)
        self.since = 0  # lines of earlier starts that the log still holds
        self.starts = 0
        self.child: Child | None = None
        self.reading: asyncio.Task[None] | None = None
        self.zone = ""  # for splits by zone

    @property
    def running(self) -> bool:
        """Tell whether it has not ended; one that is stopped runs."""
        return self.child is not None and self.child.returncode is None

    @property
    def begun(self) -> Path:
        """Tell the file that is there once its program has begun."""
        return self.folder / "begun"

    @property
    def never_began(self) -> bool:
        """Tell whether it has ended before its program began: what it was to run had no part in that."""
        return self.child is not None and not self.running and not self.begun.exists()

    @property
    def pid(self) -> int:
        """Tell its id; raises ProcessLookupError where it does not run, so that nobody else's is ever taken."""
        if self.child is None or self.child.returncode is not None:
            raise ProcessLookupError(f"{self.name} does not run")
        return self.child.pid

    async def start(self, **changes: str) -> None:
        """Start it, again under the same name and folder; `changes` to the environment stay."""
        if self.running:
            raise ProcessLookupError(f"{self.name} runs already")
        if self.reading is not None:
            await self.reading
        self.environ.update(changes)
        self.since, self.starts = len(self.lines), self.starts + 1
        environ = {
            **os.environ,
            "PYTHONUNBUFFERED": "1",
            MEMORY: str(MEMORY_MB),
            PARENT: str(os.getpid()),
            DISK: str(self.folder / "disk"),
            CUTS: str(self.folder / "cuts"),
            BEGUN: str(self.begun),
            **self.environ,
        }
        self.begun.unlink(missing_ok=True)
        self.child = child.start([sys.executable, "-m", LAUNCH, *self.words], ROOT, environ)
        self.reading = asyncio.create_task(self._read(self.child))

    async def _read(self, started: Child) -> None:
        rest = b""
        while data := await started.stdout.read(65_536):
            *lines, rest = (rest + data).split(b"\n")
            self._note(lines)
            rest = rest[-LONGEST_LINE:]
        if rest:
            self._note([rest])

    def _note(self, lines: list[bytes]) -> None:
        over = len(self.lines) + len(lines) - LINES
        if over > 0:
            self.since = max(0, self.since - over)
        self.lines.extend(line[:LONGEST_LINE].decode("utf-8", "replace") for line in lines)

    def said(self, text: str) -> bool:
        """Tell whether its log holds a text since it was last started."""
        return any(text in line for line in list(self.lines)[self.since :])

    # --- what is done to it

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        os.kill(self.pid, number)

    async def kill(self) -> None:
        """End it as a crash does."""
        self.send(signal.SIGKILL)
        assert self.child is not None
        await self.child.wait()

    async def end(self) -> int:
        """End it in order, or, where it does not, by force; tells its status."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.send(signal.SIGCONT)
                self.send(signal.SIGTERM)
        if self.child is None:
            return 0
        try:
            async with asyncio.timeout(END_S):
                return await self.child.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.send(signal.SIGKILL)
            return await self.child.wait()

    async def stop(self) -> None:
        """Let it stand still; it has when this returns."""
        self.send(signal.SIGSTOP)
        while self.running and not self.stopped:
            await asyncio.sleep(0.002)

    def wake(self) -> None:
        """Let it go on."""
        self.send(signal.SIGCONT)

    @property
    def stopped(self) -> bool:
        """Tell whether it stands still, as the kernel sees it."""
        try:
            return Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"
        except OSError:
            return False

    def disk(self, word: str) -> None:
        """Let its writes to files fail from now on: `full`, `failing`, or nothing for a sound disk.

        What the launcher answers for is the program's own calls; a limit on the length of files holds for libraries
        that write by themselves, such as SQLite, and tells them that there is no room.
        """
        path = self.folder / "disk"
        if word:
            path.write_text(word)
        else:
            path.unlink(missing_ok=True)
        _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0 if word else hard, hard))

    def cut(self, hosts: Iterable[str]) -> None:
        """Lose what it sends to some addresses from now on, in place of those cut off before; none heals all."""
        path = self.folder / "cuts"
        fresh = path.with_suffix(".new")
        fresh.write_text("\n".join(hosts))
        fresh.replace(path)

    def resident_mb(self) -> float:
        """Tell the memory that it has now."""
        rows = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        return next(int(row.split()[1]) / 1024 for row in rows if row.startswith("VmRSS"))


class Processes:
    """All processes of one run, at most so many at once."""

    def __init__(self, folder: Path, most: int = USUAL_MAX) -> None:
        self.folder, self.most = folder, min(most, MOST)
        self.by_name: dict[str, Process] = {}

    def running(self) -> list[Process]:
        """Tell those that have not ended."""
        return [one for one in self.by_name.values() if one.running]

    def make(self, name: str, words: list[str], environ: Mapping[str, str] | None = None) -> Process:
        """Make one under a name of its own, not yet started."""
        if name in self.by_name:
            raise ValueError(f"{name} is there already; start that one again")
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        self.by_name[name] = made = Process(name, folder, words, environ or {})
        return made

    async def start(self, *names: str, **changes: str) -> None:
        """Start several, all at once."""
        if len(self.running()) + len(names) > self.most:
            raise TooManyError(f"{len(self.running())} run, {len(names)} more would be over {self.most}")
        await asyncio.gather(*(self.by_name[name].start(**changes) for name in names))

    async def kill(self, *names: str) -> None:
        """Kill several within a moment."""
        await asyncio.gather(*(self.by_name[name].kill() for name in names))

    async def close(self) -> list[int]:
        """End all; tells the ids of those that are still there, which has to be none."""
        ids = [one.pid for one in self.running()]
        for one in self.running():
            with contextlib.suppress(ProcessLookupError):
                one.send(signal.SIGKILL)  # ends one that is stopped too
        for one in self.by_name.values():
            if one.child is not None:
                await one.child.wait()
            if one.reading is not None:
                await one.reading
        return [pid for pid in ids if Path(f"/proc/{pid}").exists()]
