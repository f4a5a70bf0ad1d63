"""The replicated state: named registers that change by compare-and-set, and which changes each of them has taken.

A change is known by its digest for as long as it is remembered, so that one sent again is recognised as taken.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum
from hashlib import blake2b

from hophinge.coordination.codec import encode, wire

MAX_APPLIED_DIGESTS = 4_096  # changes remembered for each register: more than any day of an operator holds
HISTORY_DIGEST_BYTES = 8
APPLIED_DIGEST_BYTES = 24  # of a snapshot, for each change remembered


class Outcome(IntEnum):
    """What became of a change or a read."""

    APPLIED = 1  # the change is in force, or was and has been replaced since
    CONFLICT = 2  # another version is current than the one that the change builds on
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
    """One change at its place in the chain's history."""

    sequence: int
    change: Change


@wire(7)
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole state after the change `sequence`."""

    sequence: int
    registers: tuple[tuple[str, Register], ...] = ()
    applied_digests: tuple[tuple[str, tuple[tuple[bytes, int], ...]], ...] = ()
    history_digest: bytes = b""  # of the history that led there


EMPTY_REGISTER = Register(0, b"", b"")


@dataclass
class Registers:
    """The state of one replica."""

    sequence: int = 0
    values: dict[str, Register] = field(default_factory=dict)
    applied_digests: dict[str, dict[bytes, int]] = field(default_factory=dict)
    history_digest: bytes = b""  # of all changes so far in their order: two replicas with one mark hold one history

    @property
    def estimated_bytes(self) -> int:
        """Tell about how many bytes a snapshot takes."""
        digests = sum(len(taken) for taken in self.applied_digests.values())
        return sum(len(register.payload) for register in self.values.values()) + digests * APPLIED_DIGEST_BYTES

    def current(self, key: str) -> Register:
        """Tell a register's value; one never written has version 0."""
        return self.values.get(key, EMPTY_REGISTER)

    def evaluate(self, change: Change) -> Outcome | None:
        """Tell why a change is not to be applied now, or None where it is."""
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
        # A new mapping each time: views of older states, held by whoever publishes, stay as they were.
        self.values = {**self.values, change.key: Register(change.version, change.digest, change.payload)}
        digests = self.applied_digests.setdefault(change.key, {})
        digests[change.digest] = change.version
        while len(digests) > MAX_APPLIED_DIGESTS:
            del digests[next(iter(digests))]

    def snapshot(self) -> Snapshot:
        """Tell the whole state."""
        taken = tuple((key, tuple(digests.items())) for key, digests in self.applied_digests.items())
        return Snapshot(self.sequence, tuple(self.values.items()), taken, self.history_digest)

    def restore(self, snapshot: Snapshot) -> None:
        """Take a whole state in place of one's own."""
        self.sequence, self.history_digest = snapshot.sequence, snapshot.history_digest
        self.values = dict(snapshot.registers)
        self.applied_digests = {key: dict(digests) for key, digests in snapshot.applied_digests}


def rebase(change: Change, base: int) -> Change:
    """Rebase a change: only for owners of a register that count its versions themselves."""
    return replace(change, base=base, version=base + 1)
