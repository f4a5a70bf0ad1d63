"""What replicas say to each other, and what they write to disk."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.coordination.registers import Change, HistoryEntry, Snapshot
from hophinge.coordination.view import Replica, View


@wire(10)
@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """An attempt to decide a view; ordered by round, then by who proposes."""

    round_number: int
    proposer: str


NO_BALLOT = Ballot(0, "")


@wire(11)
@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask voters to promise a ballot for the view with the number `target`."""

    target: int
    ballot: Ballot


@wire(12)
@dataclass(frozen=True, slots=True)
class Promise:
    """Promise a ballot; tells the proposal accepted before, if any, and how much of the history is held."""

    target: int
    ballot: Ballot
    accepted: Ballot
    proposal: View | None
    synced_view: int
    sequence: int


@wire(13)
@dataclass(frozen=True, slots=True)
class Rejection:
    """A higher ballot was promised."""

    target: int
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

    target: int
    ballot: Ballot


@wire(16)
@dataclass(frozen=True, slots=True)
class Decided:
    """A view that a majority of the view before has accepted."""

    view: View


@wire(17)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life: view, history held, history known to be committed, and whether the disk takes writes."""

    view: int
    synced_view: int
    sequence: int
    committed_sequence: int
    is_writable: bool
    can_vote: bool  # this replica has a disk that counts
    is_draining: bool  # it was told to end: the next view is to do without it
    history_digest: bytes  # of the history up to `sequence`


@wire(18)
@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """The member that a caller asked, and its name for the request."""

    replica: Replica
    request_id: int


@wire(19)
@dataclass(frozen=True, slots=True)
class Submit:
    """A member passes a change (or a read of `key`, where there is no change) to the head of the chain."""

    origin: RequestOrigin
    key: str
    change: Change | None


@wire(20)
@dataclass(frozen=True, slots=True)
class Forward:
    """The head's decision goes down the chain: a new entry, or an outcome that needs none."""

    view: int
    sequence: int
    origin: RequestOrigin
    key: str
    outcome: int
    entry: HistoryEntry | None


@wire(21)
@dataclass(frozen=True, slots=True)
class Sync:
    """The whole state of a replica's predecessor."""

    view: int
    snapshot: Snapshot


@wire(22)
@dataclass(frozen=True, slots=True)
class Reply:
    """The tail's answer to the member that was asked."""

    request_id: int
    outcome: int
    version: int
    payload: bytes


@wire(23)
@dataclass(frozen=True, slots=True)
class Committed:
    """All of the history up to `sequence` is on every replica of the chain of `view`."""

    view: int
    sequence: int


@wire(31)
@dataclass(frozen=True, slots=True)
class ViewRecord:
    """A decided view was adopted."""

    view: View


@wire(32)
@dataclass(frozen=True, slots=True)
class VoteRecord:
    """What this replica promised and accepted for the view after its own."""

    target: int
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
    """The history is complete for a view; a snapshot replaces what was held, where there is one."""

    view: int
    snapshot: Snapshot | None


@wire(35)
@dataclass(frozen=True, slots=True)
class StateRecord:
    """All that a replica holds: the content of a slot."""

    identity: str
    view: View | None
    vote: VoteRecord
    synced_view: int
    snapshot: Snapshot


LogRecord = ViewRecord | VoteRecord | EntryRecord | SyncedRecord
