"""The state of one replica that its voter, its elections and its client requests share."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.agreement import Acceptor
from hophinge.coordination.chain import ChainReplica
from hophinge.coordination.messages import NO_BALLOT, Heartbeat, StateRecord, VoteRecord
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S, Peers
from hophinge.coordination.quorum_acknowledgements import QuorumView
from hophinge.coordination.view import Replica, View, seed_view
from hophinge.coordination.view_planning import MembershipObservation


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """The settings of one replica.

    Attributes:
        me: the local replica.
        seeds: addresses of the replicas that form the first view.
        bootstrap: the whole system starts for the first time, with empty disks.
        can_vote: this replica has a disk that counts.
        tolerated_losses: replicas that may be lost at once without losing what was acknowledged.

    """

    me: Replica
    seeds: tuple[str, ...]
    bootstrap: bool
    can_vote: bool
    tolerated_losses: int


class ReplicaState:
    """The view, votes, chain and peers of one replica, and what follows from them at a moment."""

    def __init__(self, config: ReplicaConfig, now: float) -> None:
        self.me = config.me
        self.seeds = config.seeds
        self.can_vote = config.can_vote
        self.tolerated_losses = config.tolerated_losses
        self.is_writable = config.can_vote  # the disk takes writes
        self.started_at = now
        self.peers = Peers(self.me, config.tolerated_losses)
        self.chain = ChainReplica(self.me, config.tolerated_losses + 1)
        self.acceptor = Acceptor(VoteRecord(1, NO_BALLOT, NO_BALLOT, None))
        self.view: View | None = None
        if config.bootstrap and self.me.address in config.seeds:
            self.view = seed_view(config.seeds)

    def durable_state(self) -> StateRecord:
        """Return all that has to survive a restart."""
        return StateRecord(
            self.me.identity, self.view, self.acceptor.vote, self.chain.synced_view, self.chain.registers.snapshot()
        )

    def heartbeat(self) -> Heartbeat:
        """Return the heartbeat that describes this replica now."""
        return Heartbeat(
            view_number=self.view.number if self.view is not None else -1,
            synced_view=self.chain.synced_view,
            sequence=self.chain.registers.sequence,
            committed_sequence=self.chain.committed_sequence,
            is_writable=self.is_writable,
            can_vote=self.can_vote,
            is_draining=self.peers.is_draining,
            history_digest=self.chain.registers.history_digest,
        )

    def observe(self, now: float, view: View, is_writable: bool) -> MembershipObservation:
        """Return the group as this replica observes it; `is_writable` says whether it counts itself as live."""
        return self.peers.observe(now, view, is_writable, self.started_at)

    def is_connected(self, now: float) -> bool:
        """Return whether heartbeats came lately from a majority of the voters."""
        view = self.view
        return view is not None and view.number >= 1 and self.peers.has_majority(now, view)

    def is_isolated(self, now: float) -> bool:
        """Return whether no request can be answered here now: too few voters have been heard for some time.

        False while the replica has not run long enough to have heard them, and before there is a first view: a
        response may come yet.
        """
        view = self.view
        has_formed = view is not None and view.number >= 1
        return has_formed and now - self.started_at > SUSPECT_TIMEOUT_S and not self.is_connected(now)

    def quorum_view(self, now: float) -> QuorumView:
        """Return the voters of the view in force and those of them that are live."""
        view = self.view
        if view is None or view.number < 1:
            return QuorumView(0, (), 1, frozenset())
        return QuorumView(view.number, view.voters, view.majority, self.peers.live_identities(now))

    def is_required(self) -> bool:
        """Return whether a draining replica has to wait before it ends.

        It waits while it is in the chain, and while too few of the chain hold the history without it.
        """
        view = self.view
        if not self.can_vote or view is None or len(view.voters) == 1:
            return False
        if view.position(self.me.identity) >= 0:
            return True
        known = self.peers.known
        heartbeats = [known[link.identity].heartbeat for link in view.chain if link.identity in known]
        synced_count = sum(heartbeat.synced_view == view.number for heartbeat in heartbeats)
        return synced_count < min(len(view.voters), self.tolerated_losses + 1)
