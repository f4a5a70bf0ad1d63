"""Messages between replicas, and the records that a replica writes to its disk.

The codec writes fields in their order and without names: a field may be renamed, never moved.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.coordination.registers import Change, HistoryEntry, Snapshot
from hophinge.coordination.view import Replica, View


@wire(10)
@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The number of an attempt to decide a view; ordered by round, then by proposer."""

    round_number: int
    proposer: str


NO_BALLOT = Ballot(0, "")


@wire(11)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask voters to promise a ballot for the view with this number."""

    view_number: int
    ballot: Ballot


@wire(12)
@dataclass(frozen=True, slots=True)
class Promise:
    """Promise a ballot.

    Carries the proposal accepted before, if any, with its ballot, and how much of the history the voter has.
    """

    view_number: int
    ballot: Ballot
    accepted: Ballot
    proposal: View | None
    synced_view: int
    sequence: int


@wire(13)
@dataclass(frozen=True, slots=True)
class Rejection:
    """Reject a ballot, as a higher one was promised."""

    view_number: int
    promised: Ballot


@wire(14)
@dataclass(frozen=True, slots=True)
class Accept:
    """Ask voters to accept a view."""

    ballot: Ballot
    proposal: View


@wire(15)
@dataclass(frozen=True, slots=True)
class Accepted:
    """A voter has accepted the view that a ballot proposed."""

    view_number: int
    ballot: Ballot


@wire(16)
@dataclass(frozen=True, slots=True)
class Decided:
    """A view that a majority of the view before has accepted."""

    view: View


@wire(17)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent at a fixed interval: the view, the history that is stored and committed, and the state of the disk."""

    view_number: int
    synced_view: int
    sequence: int
    committed_sequence: int
    is_writable: bool
    can_vote: bool  # the replica has a disk that counts
    is_draining: bool  # it is about to end: the next view is to do without it
    history_digest: bytes  # over the history up to `sequence`


@wire(18)
@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """The replica that received a client's request, and its identifier of the request."""

    replica: Replica
    request_id: int


@wire(19)
@dataclass(frozen=True, slots=True)
class Submit:
    """Ask the head of the chain for a change, or for a read of `key` where there is no change."""

    origin: RequestOrigin
    key: str
    change: Change | None


@wire(20)
@dataclass(frozen=True, slots=True)
class Forward:
    """Pass the head's decision down the chain: a new entry, or an outcome that needs none."""

    view_number: int
    sequence: int
    origin: RequestOrigin
    key: str
    outcome: int
    entry: HistoryEntry | None


@wire(21)
@dataclass(frozen=True, slots=True)
class Sync:
    """The complete state of a replica's predecessor."""

    view_number: int
    snapshot: Snapshot


@wire(22)
@dataclass(frozen=True, slots=True)
class Reply:
    """The tail's answer to the replica that received the request."""

    request_id: int
    outcome: int
    version: int
    payload: bytes


@wire(23)
@dataclass(frozen=True, slots=True)
class Committed:
    """All of the history up to `sequence` is on every replica of the chain of this view."""

    view_number: int
    sequence: int


ReplicaMessage = (
    Prepare
    | Promise
    | Rejection
    | Accept
    | Accepted
    | Decided
    | Heartbeat
    | Submit
    | Forward
    | Sync
    | Reply
    | Committed
)


@wire(31)
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A decided view is in force at this replica."""

    view: View


@wire(32)
@dataclass(frozen=True, slots=True)
class VoteRecord:
    """The ballot that this replica promised, and the one it accepted, for the view after its own."""

    view_number: int
    promised: Ballot
    accepted: Ballot
    proposal: View | None


@wire(33)
@dataclass(frozen=True, slots=True)
class EntryRecord:
    """An entry was applied."""

    entry: HistoryEntry


@wire(34)
@dataclass(frozen=True, slots=True)
class SyncedRecord:
    """The history is complete for a view; a snapshot, where there is one, replaces the state before it."""

    view_number: int
    snapshot: Snapshot | None


@wire(35)
@dataclass(frozen=True, slots=True)
class StateRecord:
    """The complete durable state of a replica: the content of a slot."""

    identity: str
    view: View | None
    vote: VoteRecord
    synced_view: int
    snapshot: Snapshot


LogRecord = ViewRecord | VoteRecord | EntryRecord | SyncedRecord
