"""A head's replica of the service document: the records that the control service believes it has, valid or not."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hophinge.control.messages import (
    ConfigVersion,
    DiscoveryResponse,
    MalformedMessageError,
    VersionedRecord,
    parse_version_text,
)
from hophinge.control.wire import decode_record
from hophinge.routing import records
from hophinge.routing.capabilities import HeadCapabilities, validate
from hophinge.routing.routing_table import EMPTY_TABLE

MAX_REASON_CHARS = 2000
MAX_REASONS = 5


class AppliedResponse(NamedTuple):
    """Result of applying a response.

    `errors` has a text for each resource that could not be decoded; `replayed` counts the resources that were skipped,
    as they were older than the stored ones.
    """

    errors: list[str]
    replayed: int


class ConfigReplica:
    """Records stored by one head, which may be an incomplete version, and the routing table of the active version."""

    def __init__(self, capabilities: HeadCapabilities) -> None:
        self.capabilities = capabilities
        self.stored: dict[str, VersionedRecord] = {}  # by name
        self.records: dict[str, records.Record] = {}  # the same, decoded
        self.undecodable: dict[str, str] = {}  # by name of a record that cannot be decoded: the reason
        self.fingerprint_sum = 0
        # The active version's record under each name where `records` differs from it; None: that version has none.
        self.replaced: dict[str, records.Record | None] = {}
        self.table = EMPTY_TABLE

    def store(self, name: str, version: str, body: bytes | None) -> None:
        """Store a record; a `body` of None removes it."""
        previous = self.stored.get(name)
        if previous is not None:
            if body == previous.body:
                self.stored[name] = VersionedRecord(version, previous.fingerprint, previous.body)
                return
            self.fingerprint_sum = (self.fingerprint_sum - previous.fingerprint) % records.FINGERPRINT_MODULUS
        elif body is None:
            return
        if name not in self.replaced:
            # A record that could not be decoded was never in the active version.
            self.replaced[name] = self.records.get(name)
        self.records.pop(name, None)
        self.undecodable.pop(name, None)
        if body is None:
            del self.stored[name]
        else:
            self._add(name, version, body)

    def _add(self, name: str, version: str, body: bytes) -> None:
        fingerprint = records.fingerprint(name, body)
        self.stored[name] = VersionedRecord(version, fingerprint, body)
        self.fingerprint_sum = (self.fingerprint_sum + fingerprint) % records.FINGERPRINT_MODULUS
        try:
            record = records.decode(body)
            if record.key != name:
                raise ValueError(f"its content is that of {record.key}")
            self.records[name] = record
        except ValueError as error:
            self.undecodable[name] = f"{name}: this head cannot decode it: {error}"

    def restore(self, version: ConfigVersion, rows: Iterable[tuple[str, str, bytes]]) -> list[str]:
        """Load the last known good version.

        Args:
            version: The version.
            rows: Name, version text and JSON of each record.

        Returns:
            Reasons why this head cannot run the version, empty if it can; if there are any, nothing is stored.

        """
        for name, text, body in rows:
            self.store(name, text, body)
        reasons = self.validation_errors()
        if not self.matches(version):
            reasons = ["its records do not match its record count and fingerprint sum"]
        if reasons:
            self.clear()
        return reasons

    def matches(self, version: ConfigVersion) -> bool:
        """Return whether the stored records are exactly those of a version."""
        return version.fingerprint_sum == self.fingerprint_sum and version.record_count == len(self.stored)

    def apply_response(self, response: DiscoveryResponse) -> AppliedResponse:
        """Store the records of a response; records older than the stored ones (a replayed response) are skipped."""
        errors: list[str] = []
        replayed = 0
        for resource in response.resources:
            try:
                body = decode_record(resource.body)
            except MalformedMessageError as error:
                errors.append(f"{resource.name}: {error}")
                continue
            previous = self.stored.get(resource.name)
            if previous is not None and parse_version_text(resource.version) < parse_version_text(
                previous.version_text
            ):
                replayed += 1
                continue
            self.store(resource.name, resource.version, body)
        for name in response.removed:
            self.store(name, "", None)
        return AppliedResponse(errors, replayed)

    def clear(self) -> None:
        """Remove all stored records."""
        for name in list(self.stored):
            self.store(name, "", None)

    def validation_errors(self) -> list[str]:
        """Return why this head cannot run the stored records.

        Only records that differ from the active version are checked.
        """
        errors = sorted(self.undecodable.values())
        return errors or validate(self.records, self.replaced, self.capabilities)

    def activate(self, version: ConfigVersion) -> None:
        """Make the stored records the active version and build its routing table."""
        changes: dict[str, records.Record | None] = {}
        for name, active_record in self.replaced.items():
            record = self.records.get(name)
            if record is not None or active_record is not None:
                changes[name] = record
        previous = {name: record for name, record in self.replaced.items() if record is not None}
        self.table = self.table.with_changes(version.id, changes, previous)
        self.replaced = {}


def summarize(reasons: Sequence[str]) -> str:
    """Join the first few reasons, with the number of the others."""
    suffix = f" (and {len(reasons) - MAX_REASONS} more)" if len(reasons) > MAX_REASONS else ""
    return ("; ".join(reasons[:MAX_REASONS]) + suffix)[:MAX_REASON_CHARS]
