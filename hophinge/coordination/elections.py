"""When a replica tries to have the next view decided, and what it does with the answers."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from hophinge.coordination.agreement import Attempt
from hophinge.coordination.messages import Accept, Accepted, Ballot, Decided, Prepare, Promise, Rejection
from hophinge.coordination.events import Outputs
from hophinge.coordination.view_planning import first_view, needs_change, next_view
from hophinge.coordination.view import Replica, View
from hophinge.coordination.voting import voter_name

if TYPE_CHECKING:
    from hophinge.coordination.replica import ReplicaMachine

RANK_S = 0.3  # what each replica waits longer than the one before it, so that ballots do not collide
GATHER_S = 0.2  # waited for promises beyond a majority: who does not promise in time leaves the chain
ASK_RETRY_INTERVAL_S = 0.2  # after which voters who have not answered are asked again
ATTEMPT_S = 1.0  # after which a ballot is given up
BACKOFF_S = 0.4  # at most, after a ballot that lost
FORMING_S = 1.5  # waited for all seeds at the first start


class Elections:
    """The ballots that one replica tries."""

    def __init__(self, machine: ReplicaMachine, random: Random, now: float) -> None:
        self.machine, self.random = machine, random
        self.attempt: Attempt | None = None
        self.round = 0
        self.wanted_since: float | None = None
        self.not_before = now

    def abandon(self, now: float) -> None:
        """Give up the ballot under way."""
        self.attempt, self.wanted_since = None, None

    def tick(self, now: float, outputs: Outputs) -> None:
        """Begin, go on with or give up a ballot."""
        machine = self.machine
        view = machine.view
        if view is None or voter_name(view, machine.me) is None or not machine.writable:
            self.abandon(now)
            return
        if self.attempt is not None:
            self._propose(now, view, outputs)
            self._ask_again(now, view, outputs)
            if self.attempt is not None and now - self.attempt.began > ATTEMPT_S:
                self.attempt = None
                self.not_before = now + self.random.uniform(0, BACKOFF_S)
            return
        if not self._wanted(now, view):
            self.wanted_since = None
            return
        if self.wanted_since is None:
            self.wanted_since = now
        if now >= self.wanted_since + RANK_S * self._rank(now, view) and now >= self.not_before:
            self._begin(now, view, outputs)

    def _wanted(self, now: float, view: View) -> bool:
        machine = self.machine
        if view.number == 0:
            heard = 1 + sum(peer.replica.address in machine.seeds for peer in machine.peers.known.values())
            return heard == len(view.voters) or (heard >= view.majority and now - machine.started > FORMING_S)
        return needs_change(view, machine.peers.sight(now, view, machine.writable, machine.started))

    def _rank(self, now: float, view: View) -> int:
        machine = self.machine
        alive = machine.peers.sight(now, view, True, machine.started).alive
        names = [voter.address for voter in view.voters if view.number == 0 or voter.identity in alive]
        return sorted(names).index(machine.me.address) if machine.me.address in names else len(names)

    def _begin(self, now: float, view: View, outputs: Outputs) -> None:
        machine = self.machine
        self.round = max(self.round, machine.acceptor.vote.promised.round) + 1
        ballot = Ballot(self.round, machine.me.identity)
        self.attempt = Attempt(view.number + 1, ballot, now, asked=now)
        machine.broadcast(now, view, Prepare(view.number + 1, ballot), outputs)

    def _ask_again(self, now: float, view: View, outputs: Outputs) -> None:
        """Ask voters who have not answered: a message may be lost with its connection."""
        attempt = self.attempt
        if attempt is None or now - attempt.asked < ASK_RETRY_INTERVAL_S:
            return
        attempt.asked = now
        proposal = attempt.proposal
        answered = attempt.accepted if proposal is not None else set(attempt.promises)
        message = Prepare(attempt.target, attempt.ballot) if proposal is None else Accept(attempt.ballot, proposal)
        for voter in view.voters:
            if voter.identity not in answered and voter.address != self.machine.me.address:
                outputs.messages.append((voter.address, message))

    def promise(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Count a promise."""
        assert isinstance(message, Promise)
        view = self.machine.view
        if self.attempt is None or view is None:
            return
        name = voter_name(view, source)
        if name is not None:
            self.attempt.promised(name, message)
            self._propose(now, view, outputs)

    def _propose(self, now: float, view: View, outputs: Outputs) -> None:
        """Propose once a majority has promised, and everybody has or the others had their time."""
        attempt = self.attempt
        if attempt is None or attempt.proposal is not None or len(attempt.promises) < view.majority:
            return
        if attempt.majority_at is None:
            attempt.majority_at = now
        if len(attempt.promises) < len(view.voters) and now - attempt.majority_at < GATHER_S:
            return
        proposal = attempt.bound() or self._plan(now, view, attempt)
        if proposal is None or proposal.chain == () or proposal.number != attempt.target:
            return
        attempt.proposal, attempt.asked = proposal, now
        self.machine.broadcast(now, view, Accept(attempt.ballot, proposal), outputs)

    def _plan(self, now: float, view: View, attempt: Attempt) -> View | None:
        machine = self.machine
        if view.number == 0:
            known = [
                peer.replica
                for peer in machine.peers.known.values()
                if peer.heartbeat.votes and peer.replica.address in machine.seeds
            ]
            own = [machine.me] if machine.votes else []
            return first_view(tuple(known + own))
        sight = machine.peers.sight(now, view, machine.writable, machine.started)
        return next_view(view, sight, attempt.promises)

    def accepted(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Count an acceptance; a majority decides."""
        assert isinstance(message, Accepted)
        machine, view, attempt = self.machine, self.machine.view, self.attempt
        if attempt is None or view is None or attempt.proposal is None:
            return
        name = voter_name(view, source)
        if name is None:
            return
        attempt.count(name, message)
        if len(attempt.accepted) < view.majority:
            return
        decided = attempt.proposal
        told = machine.peers.addresses(view, ()) | {voter.address for voter in decided.voters}
        outputs.messages += [(address, Decided(decided)) for address in sorted(told - {machine.me.address})]
        machine.adopt(now, decided, outputs)

    def rejection(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Make room for the higher ballot, for a while."""
        assert isinstance(message, Rejection)
        if self.attempt is not None and message.target == self.attempt.target:
            self.round = max(self.round, message.promised.round)
            self.attempt = None
            self.not_before = now + self.random.uniform(0, BACKOFF_S)
