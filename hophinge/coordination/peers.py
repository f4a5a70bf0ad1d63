"""Whom a replica has heard of, when last, and for how long without a gap."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.messages import Heartbeat
from hophinge.coordination.view_planning import Sight
from hophinge.coordination.view import Replica, View

SUSPECT_S = 1.0  # silence after which a member is taken to be gone for now
STEADY_S = 0.6  # heard without a gap for so long before it is taken into a chain
SETTLE_S = 0.6  # after a cut or a change of view, until all others could have been heard
GONE_S = 2.5  # silence after which an even group of voters does without it
FORGET_S = 60.0  # silence after which a member outside the view is forgotten


@dataclass
class Peer:
    """Another member."""

    replica: Replica
    since: float
    heard: float
    heartbeat: Heartbeat


class Peers:
    """All other members that were heard."""

    def __init__(self, me: Replica, losses: int) -> None:
        self.me = me
        self.least_voters = 2 * losses + 1
        self.leaving = False  # this replica itself was told to end
        self.known: dict[str, Peer] = {}
        self.settling_since = float("-inf")  # a new view, or the end of a time without contact to most voters

    def heard(self, now: float, source: Replica, heartbeat: Heartbeat) -> None:
        """Take a sign of life; a gap or a disk that takes no writes begins the steady time anew."""
        peer = self.known.get(source.identity)
        if peer is None:
            for other in [one for one in self.known.values() if one.replica.address == source.address]:
                del self.known[other.replica.identity]  # one address, one process: the disk before is gone
            self.known[source.identity] = Peer(source, now, now, heartbeat)
            return
        if now - peer.heard > SUSPECT_S or not heartbeat.writable:
            peer.since = now
        peer.replica, peer.heard, peer.heartbeat = source, now, heartbeat

    def excuse(self, now: float, stalled_since: float) -> None:
        """After this process stood still: what was not heard meanwhile accuses nobody, and speaks for nobody."""
        for peer in self.known.values():
            if peer.heard >= stalled_since - SUSPECT_S:
                peer.heard = max(peer.heard, now - SUSPECT_S / 2)
                peer.since = now

    def forget(self, now: float, view: View | None) -> None:
        """Drop members outside the view that were not heard for long."""
        old = [
            identity
            for identity, peer in self.known.items()
            if now - peer.heard > FORGET_S and (view is None or view.voter(identity) is None)
        ]
        for identity in old:
            del self.known[identity]

    def sight(self, now: float, view: View, writable: bool, started: float) -> Sight:
        """Tell the group as it is seen now."""
        fresh = {name: peer for name, peer in self.known.items() if now - peer.heard <= SUSPECT_S}
        leaving = {name for name, peer in fresh.items() if peer.heartbeat.leaving}
        alive = {name for name, peer in fresh.items() if peer.heartbeat.writable} - leaving
        steady = {name for name in alive if now - fresh[name].since >= STEADY_S}
        if now - started < SUSPECT_S:
            # At its start a replica has heard nobody: until it could have, it takes nobody of the view to be gone.
            alive |= {voter.identity for voter in view.voters if voter.identity not in self.known}
        if now - self.settling_since < SETTLE_S:
            alive |= {voter.identity for voter in view.voters if voter.identity not in fresh}
        if self.leaving:
            leaving.add(self.me.identity)
            alive.discard(self.me.identity)
        elif writable:
            alive.add(self.me.identity)
            steady.add(self.me.identity)
        candidates = tuple(
            peer.replica for name, peer in sorted(fresh.items()) if peer.heartbeat.votes and view.voter(name) is None
        )
        gone = {
            voter.identity
            for voter in view.voters
            if voter.identity not in alive | {self.me.identity} and now - self._last(voter.identity, started) > GONE_S
        }
        return Sight(alive, steady, gone, leaving, candidates, self.least_voters)

    def settle(self, now: float) -> None:
        """Take nobody to be gone until all could have been heard."""
        self.settling_since = now

    def in_contact(self, now: float, view: View) -> bool:
        """Tell whether more than half of a view's voters were heard lately, this replica among them where it votes.

        Unlike `sight`, a process that has just started is in contact with nobody until it has heard them.
        """
        heard = self.heard_lately(now)
        return sum(voter.identity in heard for voter in view.voters) >= view.majority

    def heard_lately(self, now: float) -> set[str]:
        """Tell the identities of those heard lately, this replica among them."""
        heard = {name for name, peer in self.known.items() if now - peer.heard <= SUSPECT_S}
        return heard | {self.me.identity}

    def _last(self, identity: str, started: float) -> float:
        peer = self.known.get(identity)
        return peer.heard if peer is not None else started

    def addresses(self, view: View | None, seeds: tuple[str, ...]) -> set[str]:
        """Tell whom to greet: the voters, members heard, and the seeds where those are not members yet."""
        found = {peer.replica.address for peer in self.known.values()}
        found |= {voter.address for voter in view.voters} if view is not None else set()
        return (found | set(seeds)) - {self.me.address}
