"""The last known good version of a head, loaded at start so that the head can serve without a control service."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from hophinge.control.messages import ConfigVersion, VersionedRecord, VersionId
from hophinge.routing import records
from hophinge.state import files

KIND = "last-good"
FORMAT_VERSION = 1


class LastKnownGood(msgspec.Struct, frozen=True, array_like=True):
    """Content of the file: a version and its records, each as name, version text and JSON."""

    version_id: VersionId
    fingerprint_sum: bytes  # 16 bytes, big-endian; MessagePack integers have at most 64 bits
    saved_ms: int  # since 1970, by the head's clock
    records: list[tuple[str, str, bytes]]

    @property
    def version(self) -> ConfigVersion:
        """The version as it is announced on the stream, without its push time."""
        return ConfigVersion(self.version_id, len(self.records), int.from_bytes(self.fingerprint_sum, "big"))


def from_records(version: ConfigVersion, stored: Mapping[str, VersionedRecord], now_ms: int) -> LastKnownGood:
    """Return the file's content for a version and its records by name."""
    return LastKnownGood(
        version.id,
        version.fingerprint_sum.to_bytes(16, "big"),
        now_ms,
        [(name, record.version_text, record.body) for name, record in stored.items()],
    )


def save(path: Path, good: LastKnownGood, disk: files.Disk = files.DISK) -> None:
    """Replace the file atomically; raises OSError if that fails (see `files.save`)."""
    files.save(path, KIND, FORMAT_VERSION, msgspec.msgpack.encode(good), disk)


def load(path: Path) -> LastKnownGood | None:
    """Read and verify the file; returns None if it does not exist.

    Raises:
        StateFileError: The file is corrupt, or its records do not match the fingerprint sum of its version.

    """
    file = files.load(path, KIND, range(1, FORMAT_VERSION + 1))
    if file is None:
        return None
    try:
        good = msgspec.msgpack.decode(file.payload, type=LastKnownGood)
    except msgspec.MsgspecError as error:
        raise files.StateFileError(f"{path}: {error}") from error
    fingerprint_sum = (
        sum(records.fingerprint(name, body) for name, _, body in good.records) % records.FINGERPRINT_MODULUS
    )
    if fingerprint_sum != good.version.fingerprint_sum:
        raise files.StateFileError(f"{path}: its records do not match the fingerprint sum of its version")
    return good
