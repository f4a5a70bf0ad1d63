"""The outcome of an attempt, and which responses state that the request did not run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from hophinge.fleet.forwarding.headers import NOT_EXECUTED, SIGNATURE, Fields, find_field

MISDIRECTED = 421
# To a client, these and 421 mean that its request has not run and never will.
NOT_EXECUTED_STATUSES = (408, 429, 503)


class AttemptOutcome(Enum):
    """How an attempt ended. The names are part of the request log and of the status."""

    UNSENT = auto()  # no connection was established: nothing was sent
    REFUSED = auto()  # the instance says that it did not run the request
    MISPLACED = auto()  # another instance, or another stage, answers at that address
    READ = auto()  # the prefill is done, and its handle is known
    ANSWERED = auto()  # the response was sent to the client
    FAILED = auto()  # a server error of the instance, sent to the client
    UNKNOWN = auto()  # sent, but unknown whether it ran
    BROKEN = auto()  # the response broke off after part of it was sent to the client


@dataclass(frozen=True, slots=True)
class KvHandle:
    """The KV cache of a prompt after prefill: where it is, and under which name."""

    instance: str
    address: str
    identity: str


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt."""

    outcome: AttemptOutcome
    handle: KvHandle | None = None
    last_event_id: str | None = None  # of the latest event sent to the client
    is_silent: bool = False  # the network gave no reply: connecting timed out, or the host became unreachable
    is_abandoned: bool = False  # ended by this head: the client left, or the time ran out

    @property
    def is_answer(self) -> bool:
        """Whether the outcome proves that the instance, or another one at its address, has responded."""
        return self.outcome not in (AttemptOutcome.UNSENT, AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN)


def unexecuted_outcome(status: int, fields: Fields) -> AttemptOutcome | None:
    """Return the outcome for a response that states that the request did not run; None for any other response.

    `Hophinge-Not-Executed` states it, and so does 421, sent by another instance at that address (RFC 9110, 15.5.20).
    """
    if status == MISDIRECTED:
        return AttemptOutcome.MISPLACED
    if status in NOT_EXECUTED_STATUSES and find_field(fields, NOT_EXECUTED) is not None:
        return AttemptOutcome.REFUSED
    return None


def may_forward_status(status: int) -> bool:
    """Return whether a client may see this status of an instance that may have run the request.

    Some statuses tell the client that the request has not run and never will.
    """
    return status not in NOT_EXECUTED_STATUSES


def is_signed(fields: Fields) -> bool:
    """Return whether a successful response has the instance's signature."""
    return find_field(fields, SIGNATURE) is not None
