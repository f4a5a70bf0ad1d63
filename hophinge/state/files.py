"""Whole files that last: what is read back is what was once written whole, the one before it, or an error.

The promise, sentence by sentence: a file is replaced, never changed in place. Its bytes are synced before its name is,
and the folder after it. A header tells kind, form, length and checksum; what does not fit them is not loaded. What
cannot be written leaves the file as it was.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import re
import time
from pathlib import Path

HEADER = re.compile(rb"hophinge-state ([a-z-]{1,32}) ([0-9]{1,4}) ([0-9]{1,12}) ([0-9a-f]{64})\n", re.ASCII)
LONGEST_HEADER = 160
WRITING_S = 60.0  # no write of one file takes so long
MAX_BYTES = 512 * 1024 * 1024  # a larger file is none of ours


class UnusableError(ValueError):
    """A file that is torn, foreign, or of a form that this program does not read."""


class Disk:
    """The calls that a write consists of; tests fail, cut and reorder them."""

    def write(self, path: Path, data: bytes) -> None:
        """Write a new file and sync it."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: Path, new: Path) -> None:
        """Put a file in the place of another."""
        os.replace(old, new)

    def sync_folder(self, folder: Path) -> None:
        """Make names that were set in a folder last."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


DISK = Disk()


def _sum(kind: str, form: int, payload: bytes) -> str:
    return hashlib.blake2b(payload, digest_size=32, person=f"{kind[:10]}{form}".encode()).hexdigest()


def save(path: Path, kind: str, form: int, payload: bytes, disk: Disk = DISK) -> None:
    """Replace a file; raises OSError, and then the file is as it was."""
    header = f"hophinge-state {kind} {form} {len(payload)} {_sum(kind, form, payload)}\n".encode()
    # Two processes of one head may write at once during an upgrade: each beside, under a name of its own.
    beside = path.with_name(f".{path.name}.{os.getpid()}.new")
    try:
        disk.write(beside, header + payload)
        disk.rename(beside, path)
    except BaseException:
        with contextlib.suppress(OSError):
            beside.unlink(missing_ok=True)
        raise
    disk.sync_folder(path.parent)


def tidy(path: Path) -> None:
    """Remove what killed processes left beside a file; what was touched in the last minute may still be written."""
    for left in path.parent.glob(f".{path.name}.*.new"):
        with contextlib.suppress(OSError):
            if time.time() - left.stat().st_mtime > WRITING_S:
                left.unlink()


def load(path: Path, kind: str, forms: range) -> tuple[int, bytes] | None:
    """Read a file's form and payload; None where there is none, UnusableError where it cannot be trusted."""
    try:
        size = path.stat().st_size
        if size > MAX_BYTES:
            raise UnusableError(f"{path}: {size} bytes are more than any file of this kind has")
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    except OSError as error:
        raise UnusableError(f"{path}: {error.strerror}") from error
    header = HEADER.match(data[:LONGEST_HEADER])
    if header is None:
        raise UnusableError(f"{path}: its beginning is not that of a state file")
    if header[1].decode() != kind:
        raise UnusableError(f"{path}: it holds {header[1].decode()}, not {kind}")
    form, payload = int(header[2]), data[header.end() :]
    if form not in forms:
        raise UnusableError(f"{path}: form {form} is not read by this version, which reads {forms[0]} to {forms[-1]}")
    if len(payload) != int(header[3]) or _sum(kind, form, payload) != header[4].decode():
        raise UnusableError(f"{path}: it is torn: length or checksum differ")
    return form, payload
