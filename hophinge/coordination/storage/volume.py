"""The calls that storage makes of a disk, behind a small interface that tests can fail, tear and wipe."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class StorageVolume(Protocol):
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
        self.file_descriptors: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def _descriptor(self, name: str) -> int:
        descriptor = self.file_descriptors.get(name)
        if descriptor is None:
            descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, FILE_MODE)
            self.file_descriptors[name] = descriptor
        return descriptor

    def read(self, name: str) -> bytes:
        """Read a whole file; one that is not there is empty."""
        with contextlib.suppress(FileNotFoundError):
            return (self.folder / name).read_bytes()
        return b""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at a place, without syncing it."""
        descriptor, view = self._descriptor(name), memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            offset += written
            view = view[written:]

    def sync(self, name: str) -> None:
        """Make what was written to a file last, and its name in the folder."""
        os.fsync(self._descriptor(name))

    def close(self) -> None:
        """Let go of the files."""
        for handle in self.file_descriptors.values():
            os.close(handle)
        self.file_descriptors.clear()
