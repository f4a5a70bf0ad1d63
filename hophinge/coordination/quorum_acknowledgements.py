"""Soft records that a quorum of the core holds before they are acknowledged: no I/O, one machine a member.

An acknowledgement binds wherever its giver stands. So it is given only once a majority of the voters of the view in
force holds the record, each of them in that same view, and every other voter that was heard lately as well: two members
that are cut off together are no majority, and whoever grants leases to members that are in touch passes the record on.
What a majority holds outlives the losses that are to be borne, as there are at least `2 * losses + 1` voters.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field

from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.view import Replica

ACKNOWLEDGEMENT_TIMEOUT_S = (
    0.6  # in seconds, for the others to hold a record; an instance waits a second for its answer
)
REPLICATION_RETRY_INTERVAL_S = 0.2  # in seconds, after which those that have not answered are told again


@wire(73)
@dataclass(frozen=True, slots=True)
class ReplicateRecord:
    """A record that a member has to hold, and to pass on, before it is acknowledged."""

    token: int
    record: GossipRecord


@wire(74)
@dataclass(frozen=True, slots=True)
class RecordReplicated:
    """The record of a token is held, by a member whose newest view has the number `view`."""

    token: int
    view: int


@dataclass(frozen=True, slots=True)
class QuorumView:
    """The voters of the view in force, and whom of them this member heard lately, as it sees them at one moment."""

    view: int  # below 1 where no view is known
    voters: tuple[Replica, ...]
    majority: int
    live_replicas: Set[str]  # identities, this member's among them where it votes

    def is_quorum(self, replicas: Set[str]) -> bool:
        """Tell whether what these members hold cannot be hidden from those that are in touch."""
        voters = {voter.identity for voter in self.voters}
        return self.view >= 1 and len(voters & replicas) >= self.majority and voters & self.live_replicas <= replicas


@dataclass(slots=True)
class PendingAcknowledgement:
    """A record that has been sent to the voters and is not yet acknowledged to its caller."""

    record: GossipRecord
    expires_at: float
    last_sent_at: float
    acknowledged_views: dict[str, int] = field(default_factory=dict)  # identity to the view it holds the record in


@dataclass(slots=True)
class AcknowledgementStep:
    """What one input brings about: messages by address, and tokens that are settled with what became of them."""

    messages: list[tuple[str, ReplicateRecord]] = field(default_factory=list)
    resolved: list[tuple[int, bool]] = field(default_factory=list)


class QuorumAcknowledgements:
    """The records of one member that are on their way to a quorum."""

    def __init__(self, me: Replica) -> None:
        self.me = me
        self.pending: dict[int, PendingAcknowledgement] = {}

    def begin(self, now: float, quorum_view: QuorumView, token: int, record: GossipRecord) -> AcknowledgementStep:
        """Have a record held under a token that is new here."""
        step = AcknowledgementStep()
        self.pending[token] = PendingAcknowledgement(record, now + ACKNOWLEDGEMENT_TIMEOUT_S, now)
        self._send_record(quorum_view, token, step)
        self._resolve(now, quorum_view, token, step)
        return step

    def handle_replicated(
        self, now: float, quorum_view: QuorumView, source: str, message: RecordReplicated
    ) -> AcknowledgementStep:
        """Take a member's word that it holds a record."""
        step = AcknowledgementStep()
        acknowledgement = self.pending.get(message.token)
        if acknowledgement is not None:
            acknowledgement.acknowledged_views[source] = message.view
            self._resolve(now, quorum_view, message.token, step)
        return step

    def tick(self, now: float, quorum_view: QuorumView) -> AcknowledgementStep:
        """Tell again who has not answered, and give up what took too long."""
        step = AcknowledgementStep()
        for token, acknowledgement in list(self.pending.items()):
            if now - acknowledgement.last_sent_at >= REPLICATION_RETRY_INTERVAL_S:
                acknowledgement.last_sent_at = now
                self._send_record(quorum_view, token, step)
            self._resolve(now, quorum_view, token, step)
        return step

    def _acknowledged_by(self, quorum_view: QuorumView, acknowledgement: PendingAcknowledgement) -> set[str]:
        """Tell who holds a record in the view in force; an answer out of another view is no vote in this one."""
        return {name for name, view in acknowledgement.acknowledged_views.items() if view == quorum_view.view} | {
            self.me.identity
        }

    def _send_record(self, quorum_view: QuorumView, token: int, step: AcknowledgementStep) -> None:
        acknowledgement = self.pending[token]
        acknowledged_by = self._acknowledged_by(quorum_view, acknowledgement)
        message = ReplicateRecord(token, acknowledgement.record)
        step.messages += [
            (voter.address, message) for voter in quorum_view.voters if voter.identity not in acknowledged_by
        ]

    def _resolve(self, now: float, quorum_view: QuorumView, token: int, step: AcknowledgementStep) -> None:
        acknowledgement = self.pending[token]
        is_acknowledged = quorum_view.is_quorum(self._acknowledged_by(quorum_view, acknowledgement))
        if is_acknowledged or now >= acknowledgement.expires_at:
            del self.pending[token]
            step.resolved.append((token, is_acknowledged))
