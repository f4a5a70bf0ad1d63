"""Agreement on one view: single-decree Paxos, decided by a majority of the voters of the view before.

There is one instance for each view number. Nothing here is a log and nobody leads: any replica that finds that the view
should change tries a ballot, and the highest ballot with a majority decides. Phases and their rules are those of
L. Lamport, "Paxos Made Simple" (2001), section 2.2.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hophinge.coordination.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Rejection,
    VoteRecord,
)
from hophinge.coordination.view import View


class Acceptor:
    """The promise and the acceptance of one voter for the view after its own."""

    def __init__(self, vote: VoteRecord) -> None:
        self.vote = vote

    def begin_instance(self, view_number: int) -> None:
        """Vote on another view number; votes on the one before no longer count."""
        if self.vote.view_number != view_number:
            self.vote = VoteRecord(view_number, NO_BALLOT, NO_BALLOT, None)

    def prepare(self, request: Prepare, synced_view: int, sequence: int) -> Promise | Rejection:
        """Promise a ballot that is at least as high as any promised before."""
        vote = self.vote
        if request.ballot < vote.promised:
            return Rejection(vote.view_number, vote.promised)
        self.vote = VoteRecord(vote.view_number, request.ballot, vote.accepted, vote.proposal)
        return Promise(vote.view_number, request.ballot, vote.accepted, vote.proposal, synced_view, sequence)

    def accept(self, request: Accept) -> Accepted | Rejection:
        """Accept a proposal unless a higher ballot was promised."""
        vote = self.vote
        if request.ballot < vote.promised:
            return Rejection(vote.view_number, vote.promised)
        self.vote = VoteRecord(vote.view_number, request.ballot, request.ballot, request.proposal)
        return Accepted(vote.view_number, request.ballot)


@dataclass
class BallotAttempt:
    """One ballot that this replica proposes; times are of the replica's clock."""

    view_number: int
    ballot: Ballot
    started_at: float
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    proposal: View | None = None
    last_sent_at: float = 0.0
    majority_promised_at: float | None = None

    def record_promise(self, voter: str, promise: Promise) -> None:
        """Count a promise, where it is for this ballot."""
        if promise.view_number == self.view_number and promise.ballot == self.ballot:
            self.promises[voter] = promise

    def inherited_proposal(self) -> View | None:
        """Return the proposal of the highest earlier ballot that a voter accepted.

        It may have been decided, so this ballot has to propose it again.
        """
        earlier_acceptances = [promise for promise in self.promises.values() if promise.proposal is not None]
        return max(earlier_acceptances, key=lambda promise: promise.accepted).proposal if earlier_acceptances else None

    def record_acceptance(self, voter: str, accepted: Accepted) -> None:
        """Count an acceptance, where it is of this ballot."""
        if accepted.view_number == self.view_number and accepted.ballot == self.ballot:
            self.accepted_by.add(voter)
