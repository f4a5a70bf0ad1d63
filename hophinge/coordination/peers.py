"""Whom a replica has heard of, when last, and for how long without a gap."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.messages import Heartbeat
from hophinge.coordination.view_planning import MembershipObservation
from hophinge.coordination.view import Replica, View

SUSPECT_TIMEOUT_S = 1.0  # silence after which a member is taken to be gone for now
STEADY_AFTER_S = 0.6  # heard without a gap for so long before it is taken into a chain
STABILIZATION_S = 0.6  # after a cut or a change of view, until all others could have been heard
FAILURE_TIMEOUT_S = 2.5  # silence after which an even group of voters does without it
PEER_RETENTION_S = 60.0  # silence after which a member outside the view is forgotten


@dataclass
class Peer:
    """Another member."""

    replica: Replica
    steady_since: float
    last_heartbeat_at: float
    heartbeat: Heartbeat


class Peers:
    """All other members that were heard."""

    def __init__(self, me: Replica, losses: int) -> None:
        self.me = me
        self.min_voters = 2 * losses + 1
        self.is_draining = False  # this replica itself was told to end
        self.known: dict[str, Peer] = {}
        self.stabilizing_since = float("-inf")  # a new view, or the end of a time without contact to most voters

    def record_heartbeat(self, now: float, source: Replica, heartbeat: Heartbeat) -> None:
        """Take a sign of life; a gap or a disk that takes no writes begins the steady time anew."""
        peer = self.known.get(source.identity)
        if peer is None:
            for other in [one for one in self.known.values() if one.replica.address == source.address]:
                del self.known[other.replica.identity]  # one address, one process: the disk before is gone
            self.known[source.identity] = Peer(source, now, now, heartbeat)
            return
        if now - peer.last_heartbeat_at > SUSPECT_TIMEOUT_S or not heartbeat.is_writable:
            peer.steady_since = now
        peer.replica, peer.last_heartbeat_at, peer.heartbeat = source, now, heartbeat

    def extend_after_stall(self, now: float, stalled_since: float) -> None:
        """After this process stood still: what was not heard meanwhile accuses nobody, and speaks for nobody."""
        for peer in self.known.values():
            if peer.last_heartbeat_at >= stalled_since - SUSPECT_TIMEOUT_S:
                peer.last_heartbeat_at = max(peer.last_heartbeat_at, now - SUSPECT_TIMEOUT_S / 2)
                peer.steady_since = now

    def remove_expired(self, now: float, view: View | None) -> None:
        """Drop members outside the view that were not heard for long."""
        expired = [
            identity
            for identity, peer in self.known.items()
            if now - peer.last_heartbeat_at > PEER_RETENTION_S and (view is None or view.voter(identity) is None)
        ]
        for identity in expired:
            del self.known[identity]

    def observe(self, now: float, view: View, writable: bool, started: float) -> MembershipObservation:
        """Tell the group as it is seen now."""
        recent_peers = {
            name: peer for name, peer in self.known.items() if now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S
        }
        draining = {name for name, peer in recent_peers.items() if peer.heartbeat.is_draining}
        live = {name for name, peer in recent_peers.items() if peer.heartbeat.is_writable} - draining
        steady = {name for name in live if now - recent_peers[name].steady_since >= STEADY_AFTER_S}
        if now - started < SUSPECT_TIMEOUT_S:
            # At its start a replica has heard nobody: until it could have, it takes nobody of the view to be gone.
            live |= {voter.identity for voter in view.voters if voter.identity not in self.known}
        if now - self.stabilizing_since < STABILIZATION_S:
            live |= {voter.identity for voter in view.voters if voter.identity not in recent_peers}
        if self.is_draining:
            draining.add(self.me.identity)
            live.discard(self.me.identity)
        elif writable:
            live.add(self.me.identity)
            steady.add(self.me.identity)
        candidates = tuple(
            peer.replica
            for name, peer in sorted(recent_peers.items())
            if peer.heartbeat.can_vote and view.voter(name) is None
        )
        failed = {
            voter.identity
            for voter in view.voters
            if voter.identity not in live | {self.me.identity}
            and now - self._last_heartbeat_at(voter.identity, started) > FAILURE_TIMEOUT_S
        }
        return MembershipObservation(live, steady, failed, draining, candidates, self.min_voters)

    def begin_stabilization(self, now: float) -> None:
        """Take nobody to be gone until all could have been heard."""
        self.stabilizing_since = now

    def has_majority(self, now: float, view: View) -> bool:
        """Tell whether more than half of a view's voters were heard lately, this replica among them where it votes.

        Unlike `sight`, a process that has just started is in contact with nobody until it has heard them.
        """
        live = self.live_identities(now)
        return sum(voter.identity in live for voter in view.voters) >= view.majority

    def live_identities(self, now: float) -> set[str]:
        """Tell the identities of those heard lately, this replica among them."""
        recent = {name for name, peer in self.known.items() if now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S}
        return recent | {self.me.identity}

    def _last_heartbeat_at(self, identity: str, started: float) -> float:
        peer = self.known.get(identity)
        return peer.last_heartbeat_at if peer is not None else started

    def addresses(self, view: View | None, seeds: tuple[str, ...]) -> set[str]:
        """Tell whom to greet: the voters, members heard, and the seeds where those are not members yet."""
        addresses = {peer.replica.address for peer in self.known.values()}
        addresses |= {voter.address for voter in view.voters} if view is not None else set()
        return (addresses | set(seeds)) - {self.me.address}
