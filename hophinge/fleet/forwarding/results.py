"""How an attempt ended, and what its answer says of whether the request ran."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from hophinge.fleet.forwarding.headers import NOT_EXECUTED, REQUEST_ID, SIGNATURE, Fields, find

MISDIRECTED = 421
PROMISES = (408, 429, 503)  # and 421: to a client they say that its request has not run and never will


class Ending(Enum):
    """How an attempt ended."""

    UNSENT = auto()  # no connection came up: nothing was sent
    REFUSED = auto()  # the instance says that it did not run the request
    MISPLACED = auto()  # another instance, or another stage, answers at that address
    READ = auto()  # the prompt was read, and its handle is known
    ANSWERED = auto()  # the answer went to the client
    FAILED = auto()  # an answer that is the instance's own failure, for the client to see
    UNKNOWN = auto()  # sent, and nothing tells whether it ran
    BROKEN = auto()  # the answer broke off after some of it went to the client


@dataclass(frozen=True, slots=True)
class Handle:
    """Memory of a prompt that was read: where it is, and under which name."""

    instance: str
    address: str
    identity: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Result:
    """The end of one attempt."""

    ending: Ending
    handle: Handle | None = None
    event_id: str | None = None  # the newest event that went to the client


def unexecuted(status: int, fields: Fields) -> Ending | None:
    """Tell whether an answer says that the request did not run.

    Only `Hophinge-Not-Executed` says so, and 421, which another instance at that address gives.
    """
    if status == MISDIRECTED:
        return Ending.MISPLACED
    if status in PROMISES and find(fields, NOT_EXECUTED) is not None:
        return Ending.REFUSED
    return None


def may_be_passed_on(status: int) -> bool:
    """Tell whether a client may see this status of an instance that may have run the request.

    To a client some statuses promise that the request has not run and never will.
    """
    return status not in PROMISES


def belongs(fields: Fields, request_id: str | None) -> bool:
    """Tell whether an answer is this request's: a surplus one bears another's id."""
    return request_id is None or find(fields, REQUEST_ID) == request_id


def stamped(fields: Fields) -> bool:
    """Tell whether a success bears the instance's signature."""
    return find(fields, SIGNATURE) is not None
