"""The calls that storage makes of a disk, behind a small interface that tests can fail, tear and wipe."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class Volume(Protocol):
    """A folder of files."""

    def read(self, name: str) -> bytes:
        """Read a whole file; one that is not there is empty."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at a place, without syncing it."""

    def sync(self, name: str) -> None:
        """Make what was written to a file last; a file's own name lasts with it."""

    def close(self) -> None:
        """Let go of the files."""


class FileVolume:
    """A folder on a real disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.handles: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def _handle(self, name: str) -> int:
        handle = self.handles.get(name)
        if handle is None:
            handle = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, FILE_MODE)
            self.handles[name] = handle
        return handle

    def read(self, name: str) -> bytes:
        """Read a whole file; one that is not there is empty."""
        with contextlib.suppress(FileNotFoundError):
            return (self.folder / name).read_bytes()
        return b""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at a place, without syncing it."""
        handle, view = self._handle(name), memoryview(data)
        while view:
            written = os.pwrite(handle, view, offset)
            offset += written
            view = view[written:]

    def sync(self, name: str) -> None:
        """Make what was written to a file last, and its name in the folder."""
        os.fsync(self._handle(name))

    def close(self) -> None:
        """Let go of the files."""
        for handle in self.handles.values():
            os.close(handle)
        self.handles.clear()
