"""Agreement on one view: single-decree, by ballots; a majority of the view before decides.

There is one instance for each view number. Nothing here is a log and nobody leads: whoever finds that the view should
change tries a ballot, and the highest ballot with a majority decides.
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
    """What one voter promised and accepted for the view after its own."""

    def __init__(self, vote: VoteRecord) -> None:
        self.vote = vote

    def begin_instance(self, target: int) -> None:
        """Vote on another view number; votes on the one before are done with."""
        if self.vote.target != target:
            self.vote = VoteRecord(target, NO_BALLOT, NO_BALLOT, None)

    def prepare(self, request: Prepare, synced: int, sequence: int) -> Promise | Rejection:
        """Promise a ballot that is at least as high as any promised before."""
        vote = self.vote
        if request.ballot < vote.promised:
            return Rejection(vote.target, vote.promised)
        self.vote = VoteRecord(vote.target, request.ballot, vote.accepted, vote.proposal)
        return Promise(vote.target, request.ballot, vote.accepted, vote.proposal, synced, sequence)

    def accept(self, request: Accept) -> Accepted | Rejection:
        """Accept a proposal unless a higher ballot was promised."""
        vote = self.vote
        if request.ballot < vote.promised:
            return Rejection(vote.target, vote.promised)
        self.vote = VoteRecord(vote.target, request.ballot, request.ballot, request.proposal)
        return Accepted(vote.target, request.ballot)


@dataclass
class BallotAttempt:
    """One ballot of this replica's own."""

    target: int
    ballot: Ballot
    started_at: float
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    proposal: View | None = None
    last_sent_at: float = 0.0  # when voters were last asked
    majority_promised_at: float | None = None  # when more than half of them had promised

    def record_promise(self, voter: str, promise: Promise) -> None:
        """Count a promise for this ballot."""
        if promise.target == self.target and promise.ballot == self.ballot:
            self.promises[voter] = promise

    def inherited_proposal(self) -> View | None:
        """Tell the proposal that earlier ballots may have decided: it has to be proposed again."""
        earlier_acceptances = [promise for promise in self.promises.values() if promise.proposal is not None]
        return max(earlier_acceptances, key=lambda promise: promise.accepted).proposal if earlier_acceptances else None

    def record_acceptance(self, voter: str, accepted: Accepted) -> None:
        """Count an acceptance of this ballot."""
        if accepted.target == self.target and accepted.ballot == self.ballot:
            self.accepted_by.add(voter)
