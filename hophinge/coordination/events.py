"""Inputs of a replica's state machine, and the outputs of each of its steps."""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.coordination.addressed import AddressedMessage
from hophinge.coordination.messages import LogRecord, ReplicaMessage
from hophinge.coordination.registers import Change, Outcome, Register
from hophinge.coordination.view import Replica


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another replica; one whose type has no handler is ignored."""

    source: Replica
    message: object  # as decoded: any registered message


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A caller's change of a register; a read of `key` where there is no change."""

    request_id: int
    key: str
    change: Change | None
    timeout_s: float  # after which the outcome is reported as unknown


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
    """The outputs of one step.

    The host syncs the records first, in order; only then it may send, answer or publish the rest.
    """

    records: list[LogRecord] = field(default_factory=list)
    messages: list[AddressedMessage[ReplicaMessage]] = field(default_factory=list)
    responses: list[ClientResponse] = field(default_factory=list)
    committed_values: list[CommittedValue] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    def send(self, address: str, message: ReplicaMessage) -> None:
        """Add a message to an address."""
        self.messages.append(AddressedMessage(address, message))
