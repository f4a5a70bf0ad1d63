"""Files that the two processes of an upgrade share: which processes are alive, and the manual ejections."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from hophinge.core.manual_ejections import ManualEjection, ManualEjections

FILE_VERSION = 1
REFRESH_INTERVAL_S = 0.05  # a tenth of the grace period of drains
LOCK_PREFIX, EJECTIONS_FILE = "live-", "marks.json"


class FileHeader(msgspec.Struct):
    """The part of the file of manual ejections that all versions have."""

    version: int


class EjectionFile(msgspec.Struct):
    """The file of manual ejections; one of another version is neither merged nor replaced."""

    version: int
    marks: dict[str, ManualEjection]


class ProcessHandoff:
    """The shared files of one process.

    Each process holds a lock on a file while it is alive; the kernel releases it however the process ends. Ejections
    are merged; the newest one of a backend wins. A process that finds one of its ejections missing in the file writes
    it again, so that a concurrent write is not lost for long.
    """

    def __init__(
        self,
        folder: Path,
        ejections: ManualEjections,
        now_us: Callable[[], int],
        overlap_us: int,
        log: Callable[[str], None],
    ) -> None:
        self.folder = folder
        self.ejections = ejections
        self.now_us = now_us
        self.overlap_us = overlap_us
        self.log = log
        folder.mkdir(mode=0o700, exist_ok=True)
        self.file = open(folder / f"new-{os.getpid()}", "w")  # noqa: SIM115
        fcntl.flock(self.file, fcntl.LOCK_EX)
        # Renamed only once it is locked: a file under this name that another process can lock is a dead process's.
        self.path = folder / f"{LOCK_PREFIX}{os.getpid()}"
        os.rename(self.file.name, self.path)
        self.other_pids: list[int] = []
        self.other_counts_until = 0  # until then another process counts: its last requests are in the overload window
        self.last_read: tuple[int, int] | None = None

    @property
    def processes(self) -> int:
        """The number of processes that share the head's limits, this one included."""
        return max(1 + len(self.other_pids), 2 if self.now_us() < self.other_counts_until else 1)

    def refresh(self) -> None:
        """Read which other processes are alive, and merge the ejections; raises OSError."""
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
            content = path.read_bytes()
            if self._is_of_another_version(content):
                return
            try:
                stored = msgspec.json.decode(content, type=EjectionFile)
            except msgspec.MsgspecError as error:
                self.log(f"{path} is malformed and will be rewritten: {error}")
                stored = EjectionFile(FILE_VERSION, {})
            self.ejections.merge(stored.marks)
            if any(stored.marks.get(node) != ejection for node, ejection in self.ejections.ejections.items()):
                self.write()

    def _is_of_another_version(self, content: bytes) -> bool:
        """Return whether the file's content is of another version, as a newer program writes it, and log that."""
        try:
            header = msgspec.json.decode(content, type=FileHeader)
        except msgspec.MsgspecError:
            return False
        if header.version == FILE_VERSION:
            return False
        self.log(
            f"{self.folder / EJECTIONS_FILE} has version {header.version}, not {FILE_VERSION}; manual ejections are not"
            " shared until it is removed, or replaced by a program of this version"
        )
        return True

    def write(self) -> None:
        """Write the ejections of this process to the file, replacing it atomically, unless it is of another version."""
        with contextlib.suppress(FileNotFoundError):
            if self._is_of_another_version((self.folder / EJECTIONS_FILE).read_bytes()):
                return
        path = self.folder / f"marks-{os.getpid()}"
        path.write_bytes(msgspec.json.encode(EjectionFile(FILE_VERSION, self.ejections.ejections)))
        os.replace(path, self.folder / EJECTIONS_FILE)

    def descriptors(self) -> int:
        """Return the number of file descriptors that the other processes use; all share one limit."""
        count = 0
        for pid in self.other_pids:
            with contextlib.suppress(OSError):
                count += len(os.listdir(f"/proc/{pid}/fd"))
        return count

    def close(self) -> None:
        """Remove the lock file and release the lock."""
        self.path.unlink(missing_ok=True)
        self.file.close()
