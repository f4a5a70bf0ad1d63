"""The file operations of storage, behind a small interface so that tests can fail, tear and wipe a disk."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600


class StorageVolume(Protocol):
    """A directory of files. Each operation raises OSError where the disk fails."""

    def read(self, name: str) -> bytes:
        """Read a complete file; one that does not exist is empty."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at an offset, without syncing it."""

    def sync(self, name: str) -> None:
        """Make what was written to a file durable, with the file's name."""

    def close(self) -> None:
        """Close the files."""


class FileVolume:
    """A directory of the file system."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.file_descriptors: dict[str, int] = {}
        directory.mkdir(parents=True, exist_ok=True)

    def _descriptor(self, name: str) -> int:
        descriptor = self.file_descriptors.get(name)
        if descriptor is None:
            descriptor = os.open(self.directory / name, os.O_RDWR | os.O_CREAT, FILE_MODE)
            self.file_descriptors[name] = descriptor
        return descriptor

    def read(self, name: str) -> bytes:
        """Read a complete file; one that does not exist is empty."""
        with contextlib.suppress(FileNotFoundError):
            return (self.directory / name).read_bytes()
        return b""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write at an offset, without syncing it."""
        descriptor = self._descriptor(name)
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(descriptor, remaining, offset)
            offset += written
            remaining = remaining[written:]

    def sync(self, name: str) -> None:
        """Make what was written to a file durable, with the file's name."""
        os.fsync(self._descriptor(name))

    def close(self) -> None:
        """Close the files."""
        for handle in self.file_descriptors.values():
            os.close(handle)
        self.file_descriptors.clear()
