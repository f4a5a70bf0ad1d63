"""Inputs of the state machine of shared counters, and the outputs of each of its steps."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from hophinge.coordination.addressed import AddressedMessage
from hophinge.coordination.counter_messages import CounterMessage
from hophinge.coordination.counters import Increment
from hophinge.coordination.view import Replica, View


@dataclass(frozen=True, slots=True)
class AddRequest:
    """A caller's increment."""

    request_id: int
    increment: Increment


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """A caller's read of a total."""

    request_id: int
    counter: str


@dataclass(frozen=True, slots=True)
class CounterMessageReceived:
    """A message of another member; one whose type is not of the counters is ignored."""

    source: Replica
    message: object


@dataclass(frozen=True, slots=True)
class RecordsSynced:
    """The disk holds all records up to this number, counted from 1 as the machine gave them out."""

    through: int


@dataclass(frozen=True, slots=True)
class CounterDiskStatus:
    """Whether the local disk takes writes."""

    is_writable: bool


@dataclass(frozen=True, slots=True)
class CounterTick:
    """Time has passed.

    Attributes:
        members: the other members with a disk that have announced that they know these messages.
        view: the view in force, whose voters are the members with a disk that should be there.

    """

    members: tuple[Replica, ...]
    view: View | None


@dataclass(frozen=True, slots=True)
class BeginDrain:
    """The process is about to end: new increments are rejected."""


CounterInput = (
    AddRequest | ReadRequest | CounterMessageReceived | RecordsSynced | CounterDiskStatus | CounterTick | BeginDrain
)


class CounterOutcome(enum.Enum):
    """The outcome of a caller's request."""

    ADDED = "added"
    TOTAL = "total"
    REJECTED = "rejected"  # nothing was stored or sent
    UNKNOWN = "unknown"  # stored, and perhaps not on enough disks


@dataclass(frozen=True, slots=True)
class CounterResponse:
    """The answer to a caller's request."""

    request_id: int
    outcome: CounterOutcome
    total: int = 0
    reason: str = ""


@dataclass
class CounterOutputs:
    """The outputs of one step.

    The host writes the records in order and reports them with `RecordsSynced`; the rest it sends and answers at once.
    """

    records: list[Increment] = field(default_factory=list)
    messages: list[AddressedMessage[CounterMessage]] = field(default_factory=list)
    responses: list[CounterResponse] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    def send(self, address: str, message: CounterMessage) -> None:
        """Add a message to an address."""
        self.messages.append(AddressedMessage(address, message))
