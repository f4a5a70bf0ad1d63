"""Ballots of one replica: when it tries to have the next view decided, and how it counts the votes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hophinge.coordination.agreement import BallotAttempt
from hophinge.coordination.events import Outputs
from hophinge.coordination.message_router import MessageRouter
from hophinge.coordination.messages import Accept, Accepted, Ballot, Decided, Prepare, Promise, Rejection
from hophinge.coordination.replica_state import ReplicaState
from hophinge.coordination.view import Replica, View
from hophinge.coordination.view_planning import first_view, needs_change, next_view

RANK_DELAY_S = 0.3  # each replica waits so much longer than the one before it, so that ballots do not collide
PROMISE_GATHER_S = 0.2  # wait for promises beyond a majority: a voter that does not promise in time leaves the chain
BALLOT_RETRY_INTERVAL_S = 0.2  # after which voters that have not answered are sent the message again
BALLOT_TIMEOUT_S = 1.0
MAX_BACKOFF_S = 0.4  # drawn up to this after a ballot that lost
FORMATION_TIMEOUT_S = 1.5  # wait for all seeds at the first start


class Elections:
    """The ballots of one replica: at most one at a time."""

    def __init__(
        self,
        state: ReplicaState,
        router: MessageRouter,
        adopt_view: Callable[[float, View, Outputs], None],
        random: Random,
        now: float,
    ) -> None:
        self.state = state
        self.router = router
        self.adopt_view = adopt_view
        self.random = random
        self.attempt: BallotAttempt | None = None
        self.round_number = 0
        self.change_desired_since: float | None = None
        self.next_attempt_at = now

    def abandon(self) -> None:
        """Give up the ballot in progress."""
        self.attempt = None
        self.change_desired_since = None

    def tick(self, now: float, outputs: Outputs) -> None:
        """Begin a ballot where the view should change, or continue or give up the one in progress."""
        state = self.state
        view = state.view
        if view is None or view.voting_name(state.me) is None or not state.is_writable:
            self.abandon()
            return
        if self.attempt is not None:
            self._continue(now, view, outputs)
            return
        if not self._is_change_desired(now, view):
            self.change_desired_since = None
            return
        if self.change_desired_since is None:
            self.change_desired_since = now
        begin_at = self.change_desired_since + RANK_DELAY_S * self._rank(now, view)
        if now >= begin_at and now >= self.next_attempt_at:
            self._begin_ballot(now, view, outputs)

    def _is_change_desired(self, now: float, view: View) -> bool:
        state = self.state
        if view.number != 0:
            return needs_change(view, state.observe(now, view, state.is_writable))
        reachable_seeds = 1 + sum(peer.replica.address in state.seeds for peer in state.peers.known.values())
        if reachable_seeds == len(view.voters):
            return True
        return reachable_seeds >= view.majority and now - state.started_at > FORMATION_TIMEOUT_S

    def _rank(self, now: float, view: View) -> int:
        """Return the position of this replica among the live voters in the order of their addresses."""
        own_address = self.state.me.address
        live_replicas = self.state.observe(now, view, True).live_replicas
        candidates = [voter.address for voter in view.voters if view.number == 0 or voter.identity in live_replicas]
        return sorted(candidates).index(own_address) if own_address in candidates else len(candidates)

    def _begin_ballot(self, now: float, view: View, outputs: Outputs) -> None:
        state = self.state
        self.round_number = max(self.round_number, state.acceptor.vote.promised.round_number) + 1
        ballot = Ballot(self.round_number, state.me.identity)
        self.attempt = BallotAttempt(view.number + 1, ballot, now, last_sent_at=now)
        self.router.broadcast(now, view, Prepare(view.number + 1, ballot), outputs)

    def _continue(self, now: float, view: View, outputs: Outputs) -> None:
        self._propose(now, view, outputs)
        self._retry(now, view, outputs)
        if self.attempt is not None and now - self.attempt.started_at > BALLOT_TIMEOUT_S:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        self.attempt = None
        self.next_attempt_at = now + self.random.uniform(0, MAX_BACKOFF_S)

    def _retry(self, now: float, view: View, outputs: Outputs) -> None:
        """Send the message again to voters that have not answered: it may be lost with its connection."""
        attempt = self.attempt
        if attempt is None or now - attempt.last_sent_at < BALLOT_RETRY_INTERVAL_S:
            return
        attempt.last_sent_at = now
        proposal = attempt.proposal
        answered = attempt.accepted_by if proposal is not None else set(attempt.promises)
        message = Prepare(attempt.view_number, attempt.ballot) if proposal is None else Accept(attempt.ballot, proposal)
        for voter in view.voters:
            if voter.identity not in answered and voter.address != self.state.me.address:
                outputs.send(voter.address, message)

    def handle_promise(self, now: float, source: Replica, promise: Promise, outputs: Outputs) -> None:
        """Count a promise."""
        view = self.state.view
        if self.attempt is None or view is None:
            return
        name = view.voting_name(source)
        if name is not None:
            self.attempt.record_promise(name, promise)
            self._propose(now, view, outputs)

    def _propose(self, now: float, view: View, outputs: Outputs) -> None:
        """Propose a view once a majority has promised and the others have promised too or had time to."""
        attempt = self.attempt
        if attempt is None or attempt.proposal is not None or len(attempt.promises) < view.majority:
            return
        if attempt.majority_promised_at is None:
            attempt.majority_promised_at = now
        if len(attempt.promises) < len(view.voters) and now - attempt.majority_promised_at < PROMISE_GATHER_S:
            return
        proposal = attempt.inherited_proposal() or self._plan_view(now, view, attempt)
        if proposal is None or proposal.chain == () or proposal.number != attempt.view_number:
            return
        attempt.proposal = proposal
        attempt.last_sent_at = now
        self.router.broadcast(now, view, Accept(attempt.ballot, proposal), outputs)

    def _plan_view(self, now: float, view: View, attempt: BallotAttempt) -> View | None:
        state = self.state
        if view.number != 0:
            return next_view(view, state.observe(now, view, state.is_writable), attempt.promises)
        replicas = [
            peer.replica
            for peer in state.peers.known.values()
            if peer.heartbeat.can_vote and peer.replica.address in state.seeds
        ]
        if state.can_vote:
            replicas.append(state.me)
        return first_view(tuple(replicas))

    def handle_accepted(self, now: float, source: Replica, accepted: Accepted, outputs: Outputs) -> None:
        """Count an acceptance; those of a majority decide the view, which is sent to all and put in force."""
        view = self.state.view
        attempt = self.attempt
        if attempt is None or view is None or attempt.proposal is None:
            return
        name = view.voting_name(source)
        if name is None:
            return
        attempt.record_acceptance(name, accepted)
        if len(attempt.accepted_by) < view.majority:
            return
        decided = attempt.proposal
        recipients = self.state.peers.addresses(view, ()) | {voter.address for voter in decided.voters}
        for address in sorted(recipients - {self.state.me.address}):
            outputs.send(address, Decided(decided))
        self.adopt_view(now, decided, outputs)

    def handle_rejection(self, now: float, source: Replica, rejection: Rejection, outputs: Outputs) -> None:
        """Give up the ballot in favour of a higher one, and back off."""
        if self.attempt is not None and rejection.view_number == self.attempt.view_number:
            self.round_number = max(self.round_number, rejection.promised.round_number)
            self._back_off(now)
