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
class ModelState:
    """The voters' records, and what was ever sent: promises and acceptances by voter, proposals by ballot."""

    votes: tuple[VoteRecord, ...]
    begun: frozenset[Ballot]
    promises: frozenset[tuple[int, Promise]]
    proposals: frozenset[tuple[Ballot, View]]
    accepted: frozenset[tuple[int, Ballot]]


@dataclass(frozen=True, slots=True)
class Model:
    """So many voters, and rounds that each may begin once."""

    voters: int
    ballots: int

    def view(self) -> View:
        """Tell the view whose voters decide."""
        replicas = tuple(Replica(f"v{number}", f"v{number}", "z") for number in range(self.voters))
        return View(TARGET - 1, replicas, tuple(ChainLink(replica.identity, 1) for replica in replicas))

    def proposal(self, ballot: Ballot) -> View:
        """Tell the view that a ballot would propose of itself: another for each."""
        return View(TARGET, self.view().voters, (ChainLink(f"chosen by {ballot.round_number}", TARGET),))

    def first(self) -> ModelState:
        """Tell the state before anything has happened."""
        vote = VoteRecord(TARGET, NO_BALLOT, NO_BALLOT, None)
        nothing: frozenset[Ballot] = frozenset()
        return ModelState((vote,) * self.voters, nothing, frozenset(), frozenset(), frozenset())

    def steps(self, state: ModelState) -> Iterator[ModelState]:
        """Tell all states that one step leads to."""
        yield from self._begin(state)
        yield from self._promise(state)
        yield from self._propose(state)
        yield from self._accept(state)

    def _begin(self, state: ModelState) -> Iterator[ModelState]:
        for number in range(1, self.ballots + 1):
            ballot = Ballot(number, f"v{number % self.voters}")
            if ballot not in state.begun:
                yield ModelState(state.votes, state.begun | {ballot}, state.promises, state.proposals, state.accepted)

    def _promise(self, state: ModelState) -> Iterator[ModelState]:
        for voter, vote in enumerate(state.votes):
            for ballot in state.begun:
                acceptor = Acceptor(vote)
                answer = acceptor.prepare(Prepare(TARGET, ballot), 0, 0)
                if isinstance(answer, Promise):
                    votes = _with(state.votes, voter, acceptor.vote)
                    promises = state.promises | {(voter, answer)}
                    yield ModelState(votes, state.begun, promises, state.proposals, state.accepted)

    def _propose(self, state: ModelState) -> Iterator[ModelState]:
        proposed = {ballot for ballot, _ in state.proposals}
        majority = self.view().majority
        for ballot in state.begun - proposed:
            heard = [(voter, promise) for voter, promise in state.promises if promise.ballot == ballot]
            for some in combinations(sorted(heard, key=lambda one: one[0]), majority):
                if len({voter for voter, _ in some}) == majority:
                    proposal = self._chosen(ballot, some)
                    proposals = state.proposals | {(ballot, proposal)}
                    yield ModelState(state.votes, state.begun, state.promises, proposals, state.accepted)

    def _chosen(self, ballot: Ballot, promises: tuple[tuple[int, Promise], ...]) -> View:
        attempt = BallotAttempt(TARGET, ballot, 0.0)
        for voter, promise in promises:
            attempt.record_promise(f"v{voter}", promise)
        return attempt.inherited_proposal() or self.proposal(ballot)

    def _accept(self, state: ModelState) -> Iterator[ModelState]:
        for voter, vote in enumerate(state.votes):
            for ballot, proposal in state.proposals:
                acceptor = Acceptor(vote)
                answer = acceptor.accept(Accept(ballot, proposal))
                if isinstance(answer, Accepted):
                    votes = _with(state.votes, voter, acceptor.vote)
                    accepted = state.accepted | {(voter, ballot)}
                    yield ModelState(votes, state.begun, state.promises, state.proposals, accepted)

    def decided(self, state: ModelState) -> set[View]:
        """Tell the views that some proposer would take to be decided."""
        found = set()
        for ballot, proposal in state.proposals:
            attempt = BallotAttempt(TARGET, ballot, 0.0, proposal=proposal)
            for voter, accepted in state.accepted:
                attempt.record_acceptance(f"v{voter}", Accepted(TARGET, accepted))
            if len(attempt.accepted_by) >= self.view().majority:
                found.add(proposal)
        return found


def _with(votes: tuple[VoteRecord, ...], voter: int, vote: VoteRecord) -> tuple[VoteRecord, ...]:
    return (*votes[:voter], vote, *votes[voter + 1 :])


@dataclass(frozen=True, slots=True)
class Found:
    """How many states there are, in how many of them a view is decided."""

    states: int
    decided: int


def search(model: Model, most: int) -> Found:
    """Look through all states, `most` at most; raises AssertionError where two views are decided in one."""
    first = model.first()
    seen, left, decided = {first}, [first], 0
    while left and len(seen) < most:
        state = left.pop()
        views = model.decided(state)
        assert len(views) <= 1, f"two views are decided: {views}"
        decided += len(views)
        for after in model.steps(state):
            if after not in seen:
                seen.add(after)
                left.append(after)
    return Found(len(seen), decided)
