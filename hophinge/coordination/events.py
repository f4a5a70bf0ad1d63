"""What goes into a replica's state machine, and what comes out of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.coordination.messages import LogRecord
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.view import Replica


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another member."""

    source: Replica
    message: object


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A caller's change of a register; a read of `key` where there is no change."""

    request_id: int
    key: str
    change: Change | None
    timeout_s: float  # seconds until the caller is told that it is unknown


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class DiskStatus:
    """Whether this replica's disk takes writes."""

    is_writable: bool


Input = MessageReceived | ClientRequest | Tick | DiskStatus


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """The outcome of a caller's request; None where it is not known."""

    request_id: int
    outcome: Outcome | None
    version: int = 0
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class CommittedValue:
    """A committed value of a register, newer than any published before."""

    key: str
    sequence: int
    register: Register


@dataclass
class Outputs:
    """Records to sync first, in order; only then the rest may be let out."""

    records: list[LogRecord] = field(default_factory=list)
    messages: list[tuple[str, object]] = field(default_factory=list)  # address, message
    responses: list[ClientResponse] = field(default_factory=list)
    committed_values: list[CommittedValue] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)  # for the operator's log
