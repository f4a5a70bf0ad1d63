"""Files that are replaced atomically: a reader gets the new content in full, the previous content, or an error.

A file is never changed in place. New content is written to a temporary file and synced to disk; then that file is
renamed and its directory synced. A header gives kind, format version, length and checksum; a file that does not match
its header is not loaded. A failed write leaves the previous file as it was.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import re
import time
from pathlib import Path
from typing import NamedTuple

HEADER = re.compile(rb"hophinge-state ([a-z-]{1,32}) ([0-9]{1,4}) ([0-9]{1,12}) ([0-9a-f]{64})\n", re.ASCII)
MAX_HEADER_BYTES = 160
MAX_WRITE_S = 60.0  # a temporary file that is older than this was left by a killed process
MAX_BYTES = 512 * 1024 * 1024  # a larger file was not written by this program


class StateFileError(ValueError):
    """A file that is corrupt, is not a state file, or has a kind or format version that is not supported."""


class StateFile(NamedTuple):
    """The verified content of a file."""

    format_version: int
    payload: bytes


class Disk:
    """The system calls of a write; tests replace them in order to fail, truncate and reorder writes."""

    def write(self, path: Path, data: bytes) -> None:
        """Write a new file and sync its bytes to disk."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: Path, new: Path) -> None:
        """Replace `new` by `old` atomically."""
        os.replace(old, new)

    def sync_directory(self, directory: Path) -> None:
        """Sync a directory, so that renames in it survive a power failure."""
        handle = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


DISK = Disk()


def _checksum(kind: str, format_version: int, payload: bytes) -> str:
    return hashlib.blake2b(payload, digest_size=32, person=f"{kind[:10]}{format_version}".encode()).hexdigest()


def save(path: Path, kind: str, format_version: int, payload: bytes, disk: Disk = DISK) -> None:
    """Replace a file atomically.

    Raises:
        OSError: The write failed; the previous file is unchanged, unless only the sync of the directory failed.

    """
    checksum = _checksum(kind, format_version, payload)
    header = f"hophinge-state {kind} {format_version} {len(payload)} {checksum}\n".encode()
    # During an upgrade two processes of one head may write at once, so the temporary file's name has the process id.
    temporary = path.with_name(f".{path.name}.{os.getpid()}.new")
    try:
        disk.write(temporary, header + payload)
        disk.rename(temporary, path)
    except BaseException:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    disk.sync_directory(path.parent)


def remove_leftovers(path: Path) -> None:
    """Remove temporary files that killed processes left beside a file; recent ones stay, as they may be in use."""
    for leftover in path.parent.glob(f".{path.name}.*.new"):
        with contextlib.suppress(OSError):
            if time.time() - leftover.stat().st_mtime > MAX_WRITE_S:
                leftover.unlink()


def load(path: Path, kind: str, supported_versions: range) -> StateFile | None:
    """Read and verify a file; returns None if it does not exist.

    Raises:
        StateFileError: The file cannot be read, does not match its header, or has an unsupported format version.

    """
    data = _read(path)
    if data is None:
        return None
    header = HEADER.match(data[:MAX_HEADER_BYTES])
    if header is None:
        raise StateFileError(f"{path}: not a state file: the header is missing or malformed")
    if header[1].decode() != kind:
        raise StateFileError(f"{path}: the file is of kind {header[1].decode()}, expected {kind}")
    format_version, payload = int(header[2]), data[header.end() :]
    if format_version not in supported_versions:
        raise StateFileError(
            f"{path}: unsupported format version {format_version}; "
            f"supported versions are {supported_versions[0]} to {supported_versions[-1]}"
        )
    if len(payload) != int(header[3]) or _checksum(kind, format_version, payload) != header[4].decode():
        raise StateFileError(f"{path}: corrupt: the length or checksum does not match the header")
    return StateFile(format_version, payload)


def _read(path: Path) -> bytes | None:
    try:
        size = path.stat().st_size
        if size > MAX_BYTES:
            raise StateFileError(f"{path}: its size of {size} bytes exceeds the limit for state files")
        return path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise StateFileError(f"{path}: {error.strerror}") from error
