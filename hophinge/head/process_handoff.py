"""State that the two processes of an upgrade share by files: which are alive, and the manual ejections."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from hophinge.core.manual_ejections import ManualEjection, ManualEjections

FILE_VERSION = 1
REFRESH_INTERVAL_S = 0.05  # between looks; the grace on drains is ten times that
LOCK_PREFIX, EJECTIONS_FILE = "live-", "marks.json"


class EjectionFile(msgspec.Struct):
    """The file of manual ejections; one of an unknown version is left alone."""

    version: int
    marks: dict[str, ManualEjection]


class ProcessHandoff:
    """The shared files of one process.

    Each process holds a file locked while it lives; the kernel lets go of it however the process ends. Marks are
    merged, the newer counts; who finds that the file lacks a mark writes it whole again, so no write is lost for long.
    """

    def __init__(
        self,
        folder: Path,
        rotation: ManualEjections,
        now_us: Callable[[], int],
        rest_us: int,
        log: Callable[[str], None],
    ) -> None:
        self.folder = folder
        self.ejections = rotation
        self.now_us = now_us
        self.overlap_us = rest_us
        self.log = log
        folder.mkdir(mode=0o700, exist_ok=True)
        self.file = open(folder / f"new-{os.getpid()}", "w")  # noqa: SIM115
        fcntl.flock(self.file, fcntl.LOCK_EX)
        # Seen by others only once it is locked: one that can be locked by another is a dead process's.
        self.path = folder / f"{LOCK_PREFIX}{os.getpid()}"
        os.rename(self.file.name, self.path)
        self.other_pids: list[int] = []
        self.other_counts_until = 0  # its last requests still count against the rules until then
        self.last_read: tuple[int, int] | None = None

    @property
    def processes(self) -> int:
        """The number of processes that share the head's limits."""
        return max(1 + len(self.other_pids), 2 if self.now_us() < self.other_counts_until else 1)

    def refresh(self) -> None:
        """Refresh which other processes are alive, and the ejections."""
        self.other_pids = [
            int(name.removeprefix(LOCK_PREFIX))
            for name in os.listdir(self.folder)
            if name.startswith(LOCK_PREFIX) and name != self.path.name and self._is_alive(name)
        ]
        if self.other_pids:
            self.other_counts_until = self.now_us() + self.overlap_us
        self._read()

    def _is_alive(self, name: str) -> bool:
        try:
            with open(self.folder / name) as file:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                os.unlink(self.folder / name)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def _read(self) -> None:
        path = self.folder / EJECTIONS_FILE
        with contextlib.suppress(FileNotFoundError):
            status = path.stat()
            if (status.st_mtime_ns, status.st_ino) == self.last_read:
                return
            self.last_read = status.st_mtime_ns, status.st_ino
            try:
                found = msgspec.json.decode(path.read_bytes(), type=EjectionFile)
            except msgspec.MsgspecError as error:
                self.log(f"{path} is malformed and is written anew: {error}")
                found = EjectionFile(FILE_VERSION, {})
            if found.version != FILE_VERSION:
                return self.log(
                    f"{path} has version {found.version}, not {FILE_VERSION}; bricks out by hand are not shared"
                )
            self.ejections.merge(found.marks)
            if any(found.marks.get(node) != mark for node, mark in self.ejections.ejections.items()):
                self.write()
        return None

    def write(self) -> None:
        """Replace the file by the ejections of this process."""
        path = self.folder / f"marks-{os.getpid()}"
        path.write_bytes(msgspec.json.encode(EjectionFile(FILE_VERSION, self.ejections.ejections)))
        os.replace(path, self.folder / EJECTIONS_FILE)

    def descriptors(self) -> int:
        """Return the number of file descriptors of the other processes; the limit covers all together."""
        held = 0
        for process in self.other_pids:
            with contextlib.suppress(OSError):
                held += len(os.listdir(f"/proc/{process}/fd"))
        return held

    def close(self) -> None:
        """Release the lock file."""
        self.path.unlink(missing_ok=True)
        self.file.close()
