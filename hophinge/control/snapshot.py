"""A complete version of the configuration in the control service's memory."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from hophinge.control.messages import ConfigVersion, Resource, VersionedRecord, VersionId, version_text
from hophinge.control.wire import encode_record
from hophinge.routing import records


class Delta(NamedTuple):
    """Difference between stored resources and a version: resources to send, and names to remove."""

    changed: list[Resource]
    removed: list[str]


@dataclass(frozen=True, eq=False)
class Snapshot:
    """A complete version: its records by name."""

    version: ConfigVersion
    records: Mapping[str, VersionedRecord]

    @property
    def id(self) -> VersionId:
        """Epoch and number of the version."""
        return self.version.id

    @classmethod
    def create(
        cls, version_id: VersionId, bodies: Mapping[str, bytes], previous: Snapshot | None, pushed_ms: int
    ) -> Snapshot:
        """Create a new version; unchanged records keep their version text and share their bytes with `previous`."""
        return cls._build(version_id, bodies, previous, pushed_ms, {})

    @classmethod
    def rebuild(
        cls,
        version_id: VersionId,
        bodies: Mapping[str, bytes],
        changed_in: Mapping[str, VersionId],
        previous: Snapshot | None,
        pushed_ms: int,
    ) -> Snapshot:
        """Recreate a stored version; `changed_in` gives the version in which each record last changed."""
        return cls._build(version_id, bodies, previous, pushed_ms, changed_in)

    @classmethod
    def _build(
        cls,
        version_id: VersionId,
        bodies: Mapping[str, bytes],
        previous: Snapshot | None,
        pushed_ms: int,
        changed_in: Mapping[str, VersionId],
    ) -> Snapshot:
        previous_records = previous.records if previous is not None else {}
        built: dict[str, VersionedRecord] = {}
        for name, body in bodies.items():
            record = previous_records.get(name)
            if record is None or record.body != body:
                fingerprint = records.fingerprint(name, body)
                text = version_text(changed_in.get(name, version_id), fingerprint)
                record = VersionedRecord(text, fingerprint, body)
            built[name] = record
        fingerprint_sum = sum(record.fingerprint for record in built.values()) % records.FINGERPRINT_MODULUS
        return cls(ConfigVersion(version_id, len(built), fingerprint_sum, pushed_ms), built)

    def delta_from(self, stored: Mapping[str, str]) -> Delta:
        """Return what to send to and remove from a head; `stored` gives the version texts that it has, by name."""
        changed = [
            Resource(name, record.version_text, encode_record(record.body))
            for name, record in self.records.items()
            if stored.get(name) != record.version_text
        ]
        return Delta(changed, [name for name in stored if name not in self.records])
