"""When a replica tries to have the next view decided, and what it does with the answers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hophinge.coordination.agreement import BallotAttempt
from hophinge.coordination.messages import Accept, Accepted, Ballot, Decided, Prepare, Promise, Rejection
from hophinge.coordination.events import Outputs
from hophinge.coordination.view_planning import first_view, needs_change, next_view
from hophinge.coordination.view import Replica, View
from hophinge.coordination.voting import voter_identity

if TYPE_CHECKING:
    from hophinge.coordination.replica import ReplicaStateMachine

RANK_DELAY_S = 0.3  # what each replica waits longer than the one before it, so that ballots do not collide
PROMISE_GATHER_S = 0.2  # waited for promises beyond a majority: who does not promise in time leaves the chain
BALLOT_RETRY_INTERVAL_S = 0.2  # after which voters who have not answered are asked again
BALLOT_TIMEOUT_S = 1.0  # after which a ballot is given up
MAX_BACKOFF_S = 0.4  # at most, after a ballot that lost
FORMATION_TIMEOUT_S = 1.5  # waited for all seeds at the first start


class Elections:
    """The ballots that one replica tries."""

    def __init__(self, machine: ReplicaStateMachine, random: Random, now: float) -> None:
        self.machine, self.random = machine, random
        self.attempt: BallotAttempt | None = None
        self.round_number = 0
        self.change_desired_since: float | None = None
        self.next_attempt_at = now

    def abandon(self, now: float) -> None:
        """Give up the ballot under way."""
        self.attempt, self.change_desired_since = None, None

    def tick(self, now: float, outputs: Outputs) -> None:
        """Begin, go on with or give up a ballot."""
        machine = self.machine
        view = machine.view
        if view is None or voter_identity(view, machine.me) is None or not machine.is_writable:
            self.abandon(now)
            return
        if self.attempt is not None:
            self._propose(now, view, outputs)
            self._retry(now, view, outputs)
            if self.attempt is not None and now - self.attempt.started_at > BALLOT_TIMEOUT_S:
                self.attempt = None
                self.next_attempt_at = now + self.random.uniform(0, MAX_BACKOFF_S)
            return
        if not self._is_change_desired(now, view):
            self.change_desired_since = None
            return
        if self.change_desired_since is None:
            self.change_desired_since = now
        if now >= self.change_desired_since + RANK_DELAY_S * self._rank(now, view) and now >= self.next_attempt_at:
            self._begin_ballot(now, view, outputs)

    def _is_change_desired(self, now: float, view: View) -> bool:
        machine = self.machine
        if view.number == 0:
            reachable_seeds = 1 + sum(peer.replica.address in machine.seeds for peer in machine.peers.known.values())
            return reachable_seeds == len(view.voters) or (
                reachable_seeds >= view.majority and now - machine.started_at > FORMATION_TIMEOUT_S
            )
        return needs_change(view, machine.peers.observe(now, view, machine.is_writable, machine.started_at))

    def _rank(self, now: float, view: View) -> int:
        machine = self.machine
        live_replicas = machine.peers.observe(now, view, True, machine.started_at).live_replicas
        candidates = [voter.address for voter in view.voters if view.number == 0 or voter.identity in live_replicas]
        return sorted(candidates).index(machine.me.address) if machine.me.address in candidates else len(candidates)

    def _begin_ballot(self, now: float, view: View, outputs: Outputs) -> None:
        machine = self.machine
        self.round_number = max(self.round_number, machine.acceptor.vote.promised.round_number) + 1
        ballot = Ballot(self.round_number, machine.me.identity)
        self.attempt = BallotAttempt(view.number + 1, ballot, now, last_sent_at=now)
        machine.broadcast(now, view, Prepare(view.number + 1, ballot), outputs)

    def _retry(self, now: float, view: View, outputs: Outputs) -> None:
        """Ask voters who have not answered: a message may be lost with its connection."""
        attempt = self.attempt
        if attempt is None or now - attempt.last_sent_at < BALLOT_RETRY_INTERVAL_S:
            return
        attempt.last_sent_at = now
        proposal = attempt.proposal
        answered = attempt.accepted_by if proposal is not None else set(attempt.promises)
        message = Prepare(attempt.target, attempt.ballot) if proposal is None else Accept(attempt.ballot, proposal)
        for voter in view.voters:
            if voter.identity not in answered and voter.address != self.machine.me.address:
                outputs.messages.append((voter.address, message))

    def handle_promise(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Count a promise."""
        assert isinstance(message, Promise)
        view = self.machine.view
        if self.attempt is None or view is None:
            return
        name = voter_identity(view, source)
        if name is not None:
            self.attempt.record_promise(name, message)
            self._propose(now, view, outputs)

    def _propose(self, now: float, view: View, outputs: Outputs) -> None:
        """Propose once a majority has promised, and everybody has or the others had their time."""
        attempt = self.attempt
        if attempt is None or attempt.proposal is not None or len(attempt.promises) < view.majority:
            return
        if attempt.majority_promised_at is None:
            attempt.majority_promised_at = now
        if len(attempt.promises) < len(view.voters) and now - attempt.majority_promised_at < PROMISE_GATHER_S:
            return
        proposal = attempt.inherited_proposal() or self._plan_view(now, view, attempt)
        if proposal is None or proposal.chain == () or proposal.number != attempt.target:
            return
        attempt.proposal, attempt.last_sent_at = proposal, now
        self.machine.broadcast(now, view, Accept(attempt.ballot, proposal), outputs)

    def _plan_view(self, now: float, view: View, attempt: BallotAttempt) -> View | None:
        machine = self.machine
        if view.number == 0:
            known = [
                peer.replica
                for peer in machine.peers.known.values()
                if peer.heartbeat.can_vote and peer.replica.address in machine.seeds
            ]
            own = [machine.me] if machine.can_vote else []
            return first_view(tuple(known + own))
        observation = machine.peers.observe(now, view, machine.is_writable, machine.started_at)
        return next_view(view, observation, attempt.promises)

    def handle_accepted(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Count an acceptance; a majority decides."""
        assert isinstance(message, Accepted)
        machine, view, attempt = self.machine, self.machine.view, self.attempt
        if attempt is None or view is None or attempt.proposal is None:
            return
        name = voter_identity(view, source)
        if name is None:
            return
        attempt.record_acceptance(name, message)
        if len(attempt.accepted_by) < view.majority:
            return
        decided = attempt.proposal
        recipients = machine.peers.addresses(view, ()) | {voter.address for voter in decided.voters}
        outputs.messages += [(address, Decided(decided)) for address in sorted(recipients - {machine.me.address})]
        machine.adopt_view(now, decided, outputs)

    def handle_rejection(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Make room for the higher ballot, for a while."""
        assert isinstance(message, Rejection)
        if self.attempt is not None and message.target == self.attempt.target:
            self.round_number = max(self.round_number, message.promised.round_number)
            self.attempt = None
            self.next_attempt_at = now + self.random.uniform(0, MAX_BACKOFF_S)
