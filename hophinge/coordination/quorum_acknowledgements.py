"""Acknowledgement of soft records by a quorum of voters, without I/O; each member runs one machine.

An acknowledgement binds wherever its giver stands. So it is given only once a majority of the voters of the view in
force has the record, each of them in that same view, and every other live voter has it as well: two members that are
cut off together are no majority, and any member that grants leases to members that are connected passes the record on.
What a majority has survives the tolerated losses, as there are at least `2 * losses + 1` voters.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from typing import NamedTuple

from hophinge.coordination.addressed import AddressedMessage
from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.view import Replica

ACKNOWLEDGEMENT_TIMEOUT_S = 0.6  # below the second for which an instance waits for its response
REPLICATION_RETRY_INTERVAL_S = 0.2  # after which voters that have not acknowledged are sent the record again


@wire(73)
@dataclass(frozen=True, slots=True)
class ReplicateRecord:
    """Ask a member to store a record, and to disseminate it, before it is acknowledged to its caller."""

    token: int
    record: GossipRecord


@wire(74)
@dataclass(frozen=True, slots=True)
class RecordReplicated:
    """Confirm that the record of a token is stored, by a member whose newest view has this number."""

    token: int
    view_number: int


@dataclass(frozen=True, slots=True)
class QuorumView:
    """The voters of the view in force, and the live ones among all replicas, as a member observes them.

    `view_number` is below 1 where no view is known; `live_replicas` are identities, with the member's own.
    """

    view_number: int
    voters: tuple[Replica, ...]
    majority: int
    live_replicas: Set[str]

    def is_quorum(self, replicas: Set[str]) -> bool:
        """Return whether these replicas are a majority of the voters and include every live voter."""
        voters = {voter.identity for voter in self.voters}
        has_majority = self.view_number >= 1 and len(voters & replicas) >= self.majority
        return has_majority and voters & self.live_replicas <= replicas


@dataclass(slots=True)
class PendingAcknowledgement:
    """A record that has been sent to the voters and is not yet acknowledged to its caller."""

    record: GossipRecord
    expires_at: float
    last_sent_at: float
    is_stored_here: bool = True
    acknowledged_views: dict[str, int] = field(default_factory=dict)  # by identity: the view it acknowledged in


class AcknowledgementResult(NamedTuple):
    """The end of a pending acknowledgement: acknowledged by a quorum, or expired."""

    token: int
    is_acknowledged: bool


@dataclass(slots=True)
class AcknowledgementStep:
    """The outputs of one step: messages to send, and the results that are known now."""

    messages: list[AddressedMessage[ReplicateRecord]] = field(default_factory=list)
    resolved: list[AcknowledgementResult] = field(default_factory=list)


class QuorumAcknowledgements:
    """The pending acknowledgements of one member."""

    def __init__(self, me: Replica) -> None:
        self.me = me
        self.pending: dict[int, PendingAcknowledgement] = {}

    def begin(
        self, now: float, quorum_view: QuorumView, token: int, record: GossipRecord, is_stored_here: bool = True
    ) -> AcknowledgementStep:
        """Replicate a record under a token that is new here.

        Where `is_stored_here` is false, this member counts from when `record_stored_here` is called.
        """
        step = AcknowledgementStep()
        self.pending[token] = PendingAcknowledgement(record, now + ACKNOWLEDGEMENT_TIMEOUT_S, now, is_stored_here)
        self._send_record(quorum_view, token, step)
        self._resolve(now, quorum_view, token, step)
        return step

    def record_stored_here(self, now: float, quorum_view: QuorumView, token: int) -> AcknowledgementStep:
        """Count this member, whose disk holds the record by now."""
        step = AcknowledgementStep()
        acknowledgement = self.pending.get(token)
        if acknowledgement is not None:
            acknowledgement.is_stored_here = True
            self._resolve(now, quorum_view, token, step)
        return step

    def handle_replicated(
        self, now: float, quorum_view: QuorumView, source: str, message: RecordReplicated
    ) -> AcknowledgementStep:
        """Count the confirmation of a member, named by its identity."""
        step = AcknowledgementStep()
        acknowledgement = self.pending.get(message.token)
        if acknowledgement is not None:
            acknowledgement.acknowledged_views[source] = message.view_number
            self._resolve(now, quorum_view, message.token, step)
        return step

    def tick(self, now: float, quorum_view: QuorumView) -> AcknowledgementStep:
        """Send records again to voters that have not confirmed them, and give up those that have expired."""
        step = AcknowledgementStep()
        for token, acknowledgement in list(self.pending.items()):
            if now - acknowledgement.last_sent_at >= REPLICATION_RETRY_INTERVAL_S:
                acknowledgement.last_sent_at = now
                self._send_record(quorum_view, token, step)
            self._resolve(now, quorum_view, token, step)
        return step

    def _acknowledged_by(self, quorum_view: QuorumView, acknowledgement: PendingAcknowledgement) -> set[str]:
        """Return who has the record in the view in force; a confirmation in another view does not count in this one."""
        acknowledged_views = acknowledgement.acknowledged_views
        confirmed = {name for name, number in acknowledged_views.items() if number == quorum_view.view_number}
        return confirmed | {self.me.identity} if acknowledgement.is_stored_here else confirmed

    def _send_record(self, quorum_view: QuorumView, token: int, step: AcknowledgementStep) -> None:
        acknowledgement = self.pending[token]
        acknowledged_by = self._acknowledged_by(quorum_view, acknowledgement)
        message = ReplicateRecord(token, acknowledgement.record)
        for voter in quorum_view.voters:
            if voter.identity not in acknowledged_by | {self.me.identity}:
                step.messages.append(AddressedMessage(voter.address, message))

    def _resolve(self, now: float, quorum_view: QuorumView, token: int, step: AcknowledgementStep) -> None:
        acknowledgement = self.pending[token]
        is_acknowledged = quorum_view.is_quorum(self._acknowledged_by(quorum_view, acknowledgement))
        if is_acknowledged or now >= acknowledgement.expires_at:
            del self.pending[token]
            step.resolved.append(AcknowledgementResult(token, is_acknowledged))
