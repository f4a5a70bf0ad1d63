"""Exhaustive search of the agreement on one view: every order of messages among some voters and ballots.

Messages are never taken off the network, so each may come late, twice, out of order or, where no step takes it, never.
A voter or proposer is the library's own; only the network is the model's.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations

from hophinge.coordination.agreement import Acceptor, BallotAttempt
from hophinge.coordination.messages import NO_BALLOT, Accept, Accepted, Ballot, Prepare, Promise, VoteRecord
from hophinge.coordination.view import ChainLink, Replica, View

TARGET = 2


@dataclass(frozen=True, slots=True)
class AgreementState:
    """The voters' records, and all messages ever sent: promises and acceptances by voter, proposals by ballot."""

    votes: tuple[VoteRecord, ...]
    begun: frozenset[Ballot]
    promises: frozenset[tuple[int, Promise]]
    proposals: frozenset[tuple[Ballot, View]]
    accepted: frozenset[tuple[int, Ballot]]


@dataclass(frozen=True, slots=True)
class AgreementModel:
    """The bounds of the search: numbers of voters and of ballots."""

    voters: int
    ballots: int

    def view(self) -> View:
        """Return the view whose voters decide."""
        replicas = tuple(Replica(f"v{number}", f"v{number}", "z") for number in range(self.voters))
        return View(TARGET - 1, replicas, tuple(ChainLink(replica.identity, 1) for replica in replicas))

    def proposal(self, ballot: Ballot) -> View:
        """Return the view that a ballot proposes where it inherits none: another for each ballot."""
        return View(TARGET, self.view().voters, (ChainLink(f"chosen by {ballot.round_number}", TARGET),))

    def initial_state(self) -> AgreementState:
        """Return the state before any step."""
        vote = VoteRecord(TARGET, NO_BALLOT, NO_BALLOT, None)
        nothing: frozenset[Ballot] = frozenset()
        return AgreementState((vote,) * self.voters, nothing, frozenset(), frozenset(), frozenset())

    def successors(self, state: AgreementState) -> Iterator[AgreementState]:
        """Yield all states that one step leads to."""
        yield from self._begin(state)
        yield from self._promise(state)
        yield from self._propose(state)
        yield from self._accept(state)

    def _begin(self, state: AgreementState) -> Iterator[AgreementState]:
        for number in range(1, self.ballots + 1):
            ballot = Ballot(number, f"v{number % self.voters}")
            if ballot not in state.begun:
                yield AgreementState(
                    state.votes, state.begun | {ballot}, state.promises, state.proposals, state.accepted
                )

    def _promise(self, state: AgreementState) -> Iterator[AgreementState]:
        for voter, vote in enumerate(state.votes):
            for ballot in state.begun:
                acceptor = Acceptor(vote)
                answer = acceptor.prepare(Prepare(TARGET, ballot), 0, 0)
                if isinstance(answer, Promise):
                    votes = _replace_vote(state.votes, voter, acceptor.vote)
                    promises = state.promises | {(voter, answer)}
                    yield AgreementState(votes, state.begun, promises, state.proposals, state.accepted)

    def _propose(self, state: AgreementState) -> Iterator[AgreementState]:
        proposed = {ballot for ballot, _ in state.proposals}
        majority = self.view().majority
        for ballot in state.begun - proposed:
            received = [(voter, promise) for voter, promise in state.promises if promise.ballot == ballot]
            for quorum in combinations(sorted(received, key=lambda item: item[0]), majority):
                if len({voter for voter, _ in quorum}) == majority:
                    proposal = self._proposal_of(ballot, quorum)
                    proposals = state.proposals | {(ballot, proposal)}
                    yield AgreementState(state.votes, state.begun, state.promises, proposals, state.accepted)

    def _proposal_of(self, ballot: Ballot, promises: tuple[tuple[int, Promise], ...]) -> View:
        attempt = BallotAttempt(TARGET, ballot, 0.0)
        for voter, promise in promises:
            attempt.record_promise(f"v{voter}", promise)
        return attempt.inherited_proposal() or self.proposal(ballot)

    def _accept(self, state: AgreementState) -> Iterator[AgreementState]:
        for voter, vote in enumerate(state.votes):
            for ballot, proposal in state.proposals:
                acceptor = Acceptor(vote)
                answer = acceptor.accept(Accept(ballot, proposal))
                if isinstance(answer, Accepted):
                    votes = _replace_vote(state.votes, voter, acceptor.vote)
                    accepted = state.accepted | {(voter, ballot)}
                    yield AgreementState(votes, state.begun, state.promises, state.proposals, accepted)

    def decided(self, state: AgreementState) -> set[View]:
        """Return the views that some proposer would find decided."""
        views = set()
        for ballot, proposal in state.proposals:
            attempt = BallotAttempt(TARGET, ballot, 0.0, proposal=proposal)
            for voter, accepted in state.accepted:
                attempt.record_acceptance(f"v{voter}", Accepted(TARGET, accepted))
            if len(attempt.accepted_by) >= self.view().majority:
                views.add(proposal)
        return views


def _replace_vote(votes: tuple[VoteRecord, ...], voter: int, vote: VoteRecord) -> tuple[VoteRecord, ...]:
    return (*votes[:voter], vote, *votes[voter + 1 :])


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The number of states, and of those in which a view is decided."""

    states: int
    decided: int


def search(model: AgreementModel, max_states: int) -> SearchResult:
    """Search at most `max_states` states.

    Raises:
        AssertionError: two views are decided in one of them.
    """
    first = model.initial_state()
    seen, unexplored, decided = {first}, [first], 0
    while unexplored and len(seen) < max_states:
        state = unexplored.pop()
        views = model.decided(state)
        assert len(views) <= 1, f"two views are decided: {views}"
        decided += len(views)
        for successor in model.successors(state):
            if successor not in seen:
                seen.add(successor)
                unexplored.append(successor)
    return SearchResult(len(seen), decided)
