"""The last good version of a head: taken at start, so that a head needs no control service to serve as before."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from hophinge.control.wire import Order, Version
from hophinge.routing import records
from hophinge.state import files

KIND, FORM = "last-good", 1


class LastGood(msgspec.Struct, frozen=True, array_like=True):
    """A version and its records: by name, the version of each and its JSON."""

    order: Order
    sum: bytes  # of its records' fingerprints, 16 bytes; msgpack's numbers end at 64 bits
    kept_ms: int  # of the head's clock, since 1970
    rows: list[tuple[str, str, bytes]]

    @property
    def version(self) -> Version:
        """Tell the version as the stream does."""
        return Version(self.order, len(self.rows), int.from_bytes(self.sum, "big"))


def made(version: Version, held: Mapping[str, tuple[str, int, bytes]], now_ms: int) -> LastGood:
    """Make one of what is held by name: each record's version, fingerprint and JSON."""
    return LastGood(
        version.order,
        version.sum.to_bytes(16, "big"),
        now_ms,
        [(name, text, body) for name, (text, _, body) in held.items()],
    )


def save(path: Path, good: LastGood, disk: files.Disk = files.DISK) -> None:
    """Write a version; raises OSError, and then the one before it stays."""
    files.save(path, KIND, FORM, msgspec.msgpack.encode(good), disk)


def load(path: Path) -> LastGood | None:
    """Read the last good version; None where there is none, StateFileError where it cannot be trusted."""
    found = files.load(path, KIND, range(1, FORM + 1))
    if found is None:
        return None
    try:
        good = msgspec.msgpack.decode(found.payload, type=LastGood)
    except msgspec.MsgspecError as error:
        raise files.StateFileError(f"{path}: {error}") from error
    total = sum(records.fingerprint(name, body) for name, _, body in good.rows) % records.SUM
    if total != good.version.sum:
        raise files.StateFileError(f"{path}: its records are not those of its version")
    return good
