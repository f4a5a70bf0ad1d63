"""The replicated state: named registers that change by compare-and-set, and which changes each of them has taken.

A change is known by its digest for as long as it is remembered, so that one sent again is recognised as taken.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import IntEnum
from hashlib import blake2b

from hophinge.coordination.codec import encode, wire

MAX_TAKEN = 4_096  # changes remembered for each register: more than any day of an operator holds
MARK_BYTES = 8
TAKEN_BYTES = 24  # of a snapshot, for each change remembered


class Outcome(IntEnum):
    """What became of a change or a read."""

    TAKEN = 1  # the change is in force, or was and has been replaced since
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
class Entry:
    """One change at its place in the chain's history."""

    sequence: int
    change: Change


@wire(7)
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole state after the change `sequence`."""

    sequence: int
    registers: tuple[tuple[str, Register], ...] = ()
    taken: tuple[tuple[str, tuple[tuple[bytes, int], ...]], ...] = ()
    mark: bytes = b""  # of the history that led there


EMPTY = Register(0, b"", b"")


@dataclass
class Registers:
    """The state of one replica."""

    sequence: int = 0
    values: dict[str, Register] = field(default_factory=dict)
    taken: dict[str, dict[bytes, int]] = field(default_factory=dict)
    mark: bytes = b""  # of all changes so far in their order: two replicas with one mark hold one history

    @property
    def size(self) -> int:
        """Tell about how many bytes a snapshot takes."""
        digests = sum(len(taken) for taken in self.taken.values())
        return sum(len(register.payload) for register in self.values.values()) + digests * TAKEN_BYTES

    def current(self, key: str) -> Register:
        """Tell a register's value; one never written has version 0."""
        return self.values.get(key, EMPTY)

    def judge(self, change: Change) -> Outcome | None:
        """Tell why a change is not to be applied now, or None where it is."""
        if change.digest in self.taken.get(change.key, {}):
            return Outcome.TAKEN
        current = self.current(change.key)
        if change.base != current.version:
            return Outcome.CONFLICT
        if change.version <= current.version:
            return Outcome.OUTDATED
        return None

    def apply(self, entry: Entry) -> None:
        """Apply the next change of the history."""
        change = entry.change
        self.sequence = entry.sequence
        self.mark = blake2b(self.mark + encode(replace(change, payload=b"")), digest_size=MARK_BYTES).digest()
        # A new mapping each time: views of older states, held by whoever publishes, stay as they were.
        self.values = {**self.values, change.key: Register(change.version, change.digest, change.payload)}
        taken = self.taken.setdefault(change.key, {})
        taken[change.digest] = change.version
        while len(taken) > MAX_TAKEN:
            del taken[next(iter(taken))]

    def snapshot(self) -> Snapshot:
        """Tell the whole state."""
        taken = tuple((key, tuple(digests.items())) for key, digests in self.taken.items())
        return Snapshot(self.sequence, tuple(self.values.items()), taken, self.mark)

    def restore(self, snapshot: Snapshot) -> None:
        """Take a whole state in place of one's own."""
        self.sequence, self.mark = snapshot.sequence, snapshot.mark
        self.values = dict(snapshot.registers)
        self.taken = {key: dict(digests) for key, digests in snapshot.taken}


def advance(change: Change, base: int) -> Change:
    """Rebase a change: only for owners of a register that count its versions themselves."""
    return replace(change, base=base, version=base + 1)
