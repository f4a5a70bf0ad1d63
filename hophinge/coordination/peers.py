"""The failure detector of one replica: which others it has heard, when last, and for how long without a gap."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.messages import Heartbeat
from hophinge.coordination.view import Replica, View
from hophinge.coordination.view_planning import MembershipObservation

SUSPECT_TIMEOUT_S = 1.0  # silence after which a replica is no longer live
STEADY_AFTER_S = 0.6  # heard without a gap for so long before it joins a chain
STABILIZATION_S = 0.6  # after a cut or a change of view, until all others could have been heard
FAILURE_TIMEOUT_S = 2.5  # silence after which a voter may be removed from the view
PEER_RETENTION_S = 60.0  # silence after which a replica outside the view is forgotten


@dataclass
class Peer:
    """Another replica, with its last heartbeat; times are of the local clock."""

    replica: Replica
    steady_since: float
    last_heartbeat_at: float
    heartbeat: Heartbeat


class Peers:
    """All other replicas that sent heartbeats."""

    def __init__(self, me: Replica, tolerated_losses: int) -> None:
        self.me = me
        self.min_voters = 2 * tolerated_losses + 1
        self.is_draining = False  # the local replica itself is about to end
        self.known: dict[str, Peer] = {}
        self.stabilizing_since = float("-inf")  # a new view, or the last moment without contact to a majority

    def record_heartbeat(self, now: float, source: Replica, heartbeat: Heartbeat) -> None:
        """Record a heartbeat; a gap or a disk that takes no writes begins the steady time anew."""
        peer = self.known.get(source.identity)
        if peer is None:
            self._remove_predecessors(source)
            self.known[source.identity] = Peer(source, now, now, heartbeat)
            return
        if now - peer.last_heartbeat_at > SUSPECT_TIMEOUT_S or not heartbeat.is_writable:
            peer.steady_since = now
        peer.replica = source
        peer.last_heartbeat_at = now
        peer.heartbeat = heartbeat

    def _remove_predecessors(self, source: Replica) -> None:
        """Remove the replicas that a new one replaces: one address has one process, so their disks are gone."""
        replaced = [peer for peer in self.known.values() if peer.replica.address == source.address]
        for peer in replaced:
            del self.known[peer.replica.identity]

    def extend_after_stall(self, now: float, stalled_since: float) -> None:
        """Excuse the silence of others while the local process stood still.

        Heartbeats of that time were not received: their absence makes nobody suspect, and nobody steady.
        """
        for peer in self.known.values():
            if peer.last_heartbeat_at >= stalled_since - SUSPECT_TIMEOUT_S:
                peer.last_heartbeat_at = max(peer.last_heartbeat_at, now - SUSPECT_TIMEOUT_S / 2)
                peer.steady_since = now

    def remove_expired(self, now: float, view: View | None) -> None:
        """Remove replicas outside the view that have not been heard for long."""
        expired = [
            identity
            for identity, peer in self.known.items()
            if now - peer.last_heartbeat_at > PEER_RETENTION_S and (view is None or view.voter(identity) is None)
        ]
        for identity in expired:
            del self.known[identity]

    def observe(self, now: float, view: View, is_writable: bool, started_at: float) -> MembershipObservation:
        """Return the group as it is observed now.

        Args:
            now: the time of the local clock.
            view: the view in force.
            is_writable: whether the local replica counts as live.
            started_at: when the local process started.

        """
        recent = {name: peer for name, peer in self.known.items() if self._is_recent(now, peer)}
        draining = {name for name, peer in recent.items() if peer.heartbeat.is_draining}
        live = {name for name, peer in recent.items() if peer.heartbeat.is_writable} - draining
        steady = {name for name in live if now - recent[name].steady_since >= STEADY_AFTER_S}
        live |= self._presumed_live(now, view, set(recent), started_at)
        if self.is_draining:
            draining.add(self.me.identity)
            live.discard(self.me.identity)
        elif is_writable:
            live.add(self.me.identity)
            steady.add(self.me.identity)
        candidates = tuple(
            peer.replica
            for name, peer in sorted(recent.items())
            if peer.heartbeat.can_vote and view.voter(name) is None
        )
        failed = self._failed_voters(now, view, live, started_at)
        return MembershipObservation(live, steady, failed, draining, candidates, self.min_voters)

    def _presumed_live(self, now: float, view: View, recent: set[str], started_at: float) -> set[str]:
        """Return the voters that count as live though they are silent, as they could not have been heard yet."""
        presumed: set[str] = set()
        if now - started_at < SUSPECT_TIMEOUT_S:
            # At its start a replica has heard nobody: until it could have, no voter of the view is suspect.
            presumed |= {voter.identity for voter in view.voters if voter.identity not in self.known}
        if now - self.stabilizing_since < STABILIZATION_S:
            presumed |= {voter.identity for voter in view.voters if voter.identity not in recent}
        return presumed

    def _failed_voters(self, now: float, view: View, live: set[str], started_at: float) -> set[str]:
        return {
            voter.identity
            for voter in view.voters
            if voter.identity not in live | {self.me.identity}
            and now - self._last_heartbeat_at(voter.identity, started_at) > FAILURE_TIMEOUT_S
        }

    def begin_stabilization(self, now: float) -> None:
        """Suspect nobody until all could have been heard."""
        self.stabilizing_since = now

    def has_majority(self, now: float, view: View) -> bool:
        """Return whether a majority of a view's voters is live, the local replica among them where it votes.

        Unlike `observe`, a process that has just started has no majority until it has heard one.
        """
        live = self.live_identities(now)
        return sum(voter.identity in live for voter in view.voters) >= view.majority

    def live_identities(self, now: float) -> set[str]:
        """Return the identities heard lately, the local one among them."""
        recent = {name for name, peer in self.known.items() if self._is_recent(now, peer)}
        return recent | {self.me.identity}

    @staticmethod
    def _is_recent(now: float, peer: Peer) -> bool:
        return now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S

    def _last_heartbeat_at(self, identity: str, started_at: float) -> float:
        peer = self.known.get(identity)
        return peer.last_heartbeat_at if peer is not None else started_at

    def addresses(self, view: View | None, seeds: tuple[str, ...]) -> set[str]:
        """Return the addresses that heartbeats go to: voters, replicas that were heard, and the seeds."""
        addresses = {peer.replica.address for peer in self.known.values()}
        addresses |= {voter.address for voter in view.voters} if view is not None else set()
        return (addresses | set(seeds)) - {self.me.address}
