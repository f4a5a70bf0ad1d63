"""What goes into a replica's state machine, and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.coordination.messages import Record
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.view import Replica


@dataclass(frozen=True, slots=True)
class Received:
    """A message from another member."""

    source: Replica
    message: object


@dataclass(frozen=True, slots=True)
class Requested:
    """A caller's change of a register; a read of `key` where there is no change."""

    request: int
    key: str
    change: Change | None
    patience: float  # seconds until the caller is told that it is unknown


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class DiskState:
    """Whether this replica's disk takes writes."""

    writable: bool


Input = Received | Requested | Tick | DiskState


@dataclass(frozen=True, slots=True)
class Answer:
    """The outcome of a caller's request; None where it is not known."""

    request: int
    outcome: Outcome | None
    version: int = 0
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class Published:
    """A committed value of a register, newer than any published before."""

    key: str
    sequence: int
    register: Register


@dataclass
class Outputs:
    """Records to sync first, in order; only then the rest may be let out."""

    records: list[Record] = field(default_factory=list)
    messages: list[tuple[str, object]] = field(default_factory=list)  # address, message
    answers: list[Answer] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)  # for the operator's log
