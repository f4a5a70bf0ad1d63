"""The replicated state: named registers that change by compare-and-set, and the changes applied to each of them.

The digests of the latest changes are stored, so that a change which is sent again is recognized as applied.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum
from hashlib import blake2b

from hophinge.coordination.codec import encode, wire

MAX_APPLIED_DIGESTS = 4_096  # stored for each register: more changes than operators make in a day
HISTORY_DIGEST_BYTES = 8
APPLIED_DIGEST_BYTES = 24  # that a snapshot takes for each of them


class Outcome(IntEnum):
    """The outcome of a change or a read."""

    APPLIED = 1  # the change is in force, or was and has been replaced since
    CONFLICT = 2  # the change builds on another version than the current one
    OUTDATED = 3  # the change's version is not above the current one
    VALUE = 4  # the register's value, for a read


@wire(4)
@dataclass(frozen=True, slots=True)
class Change:
    """A change of one register that builds on the version `base`."""

    key: str
    base: int
    version: int
    digest: bytes
    payload: bytes

    def is_superseded_at(self, current_version: int) -> bool:
        """Return whether the change can be applied neither on top of a version nor on any later one.

        Versions only rise: a base below the current version never is current again, but a base above it may come yet.
        """
        return current_version > self.base or self.version <= self.base


@wire(5)
@dataclass(frozen=True, slots=True)
class Register:
    """One register's current value."""

    version: int
    digest: bytes
    payload: bytes


@wire(6)
@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change at its position in the chain's history."""

    sequence: int
    change: Change


@wire(7)
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The complete state after the entry `sequence` of the history."""

    sequence: int
    registers: tuple[tuple[str, Register], ...] = ()
    applied_digests: tuple[tuple[str, tuple[tuple[bytes, int], ...]], ...] = ()
    history_digest: bytes = b""  # over the history up to there


EMPTY_REGISTER = Register(0, b"", b"")


@dataclass
class Registers:
    """The state of one replica."""

    sequence: int = 0
    values: dict[str, Register] = field(default_factory=dict)
    applied_digests: dict[str, dict[bytes, int]] = field(default_factory=dict)
    history_digest: bytes = b""  # over all changes in their order: replicas with equal digests have equal histories

    @property
    def estimated_bytes(self) -> int:
        """The estimated size of a snapshot."""
        digest_count = sum(len(digests) for digests in self.applied_digests.values())
        payload_bytes = sum(len(register.payload) for register in self.values.values())
        return payload_bytes + digest_count * APPLIED_DIGEST_BYTES

    def current(self, key: str) -> Register:
        """Return a register; one that was never written has version 0."""
        return self.values.get(key, EMPTY_REGISTER)

    def awaits_base(self, change: Change) -> bool:
        """Return whether the version that a change builds on is still to come, so that no outcome would be final."""
        current_version = self.current(change.key).version
        return change.base > current_version and not change.is_superseded_at(current_version)

    def evaluate(self, change: Change) -> Outcome | None:
        """Return the outcome of a change that is not to be applied now, or None where it is to be applied.

        The outcome is final, also for copies that are evaluated later, unless the change awaits its base.
        """
        if change.digest in self.applied_digests.get(change.key, {}):
            return Outcome.APPLIED
        current = self.current(change.key)
        if change.base != current.version:
            return Outcome.CONFLICT
        if change.version <= current.version:
            return Outcome.OUTDATED
        return None

    def apply(self, entry: HistoryEntry) -> None:
        """Apply the next change of the history."""
        change = entry.change
        self.sequence = entry.sequence
        self.history_digest = blake2b(
            self.history_digest + encode(replace(change, payload=b"")), digest_size=HISTORY_DIGEST_BYTES
        ).digest()
        # A new mapping each time: the history that is not yet published refers to the older ones.
        self.values = {**self.values, change.key: Register(change.version, change.digest, change.payload)}
        digests = self.applied_digests.setdefault(change.key, {})
        digests[change.digest] = change.version
        while len(digests) > MAX_APPLIED_DIGESTS:
            del digests[next(iter(digests))]

    def snapshot(self) -> Snapshot:
        """Return the complete state."""
        applied_digests = tuple((key, tuple(digests.items())) for key, digests in self.applied_digests.items())
        return Snapshot(self.sequence, tuple(self.values.items()), applied_digests, self.history_digest)

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.sequence = snapshot.sequence
        self.history_digest = snapshot.history_digest
        self.values = dict(snapshot.registers)
        self.applied_digests = {key: dict(digests) for key, digests in snapshot.applied_digests}
