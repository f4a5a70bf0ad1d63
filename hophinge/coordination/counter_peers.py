"""The other members with a disk as the shared counters see them: who answers probes, and who has been merged with.

Silence is measured by a clock that runs only while the local process does: while it stands still it hears nobody, which
says nothing about the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hophinge.coordination.counter_messages import CounterProbeReply
from hophinge.coordination.view import Replica, View

MAX_INPUT_GAP_S = 0.15  # between two inputs; what a gap is longer is time in which this process stood still
SUSPECT_TIMEOUT_S = 0.8  # without an answer to a probe, after which a member counts as cut off
STARTUP_WAIT_S = 2.0  # after a start, until a member that was never heard counts as cut off
PEER_RETENTION_S = 60.0  # without an answer, after which a member that announces itself no more is forgotten
REPLACED_S = 5.0  # for which late messages of a member whose address has another disk now are ignored
PROBE_INTERVAL_S = 0.25
SLOW_PROBE_INTERVAL_S = 1.5  # of a member that is no voter and has not answered for PEER_RETENTION_S


class AwakeClock:
    """A clock that does not count the time in which the process stood still."""

    def __init__(self, now: float) -> None:
        self.last_input_at = now
        self.awake_s = 0.0

    def advance(self, now: float) -> float:
        """Return the time awake since the start, at an input."""
        self.awake_s += min(max(0.0, now - self.last_input_at), MAX_INPUT_GAP_S)
        self.last_input_at = now
        return self.awake_s


@dataclass(slots=True)
class Fetch:
    """A fetch of a peer's increments that is under way."""

    number: int
    sent_at: float
    received_indexes: set[int] = field(default_factory=set)


@dataclass(slots=True)
class CounterPeer:
    """Another member with a disk; times are of the awake clock."""

    replica: Replica
    known_since: float
    answered_at: float | None = None
    probed_at: float = float("-inf")
    is_writable: bool = True
    is_reachable: bool = False
    root: int | None = None
    is_merged: bool = False  # in this process, all that the peer had at one moment was merged
    fetch: Fetch | None = None


class CounterPeers:
    """All other members with a disk that know the messages of the counters."""

    def __init__(self, me: Replica) -> None:
        self.me = me
        self.known: dict[str, CounterPeer] = {}
        self.replaced_at: dict[str, float] = {}  # by the identity that another one at its address replaced
        self.voters: frozenset[str] = frozenset()  # identities of all members with a disk that should be there

    def update(self, awake_s: float, members: Iterable[Replica], view: View | None) -> None:
        """Set the members that have announced themselves, and the view.

        The announcement of a disk that was replaced may still be there, so none puts a known peer out of its place.
        """
        has_voters = view is not None and view.number > 0
        self.voters = (
            frozenset(voter.identity for voter in view.voters) if view is not None and has_voters else frozenset()
        )
        announced = {member.identity for member in members}
        addresses = {peer.replica.address for peer in self.known.values()} | {self.me.address}
        for member in members:
            if member.address not in addresses:
                self.known[member.identity] = CounterPeer(member, awake_s)
                addresses.add(member.address)
        for identity, peer in list(self.known.items()):
            if identity not in announced and self._is_long_silent(awake_s, peer):
                del self.known[identity]

    def hear(self, awake_s: float, replica: Replica) -> list[str]:
        """Add a peer that has sent a message; return the identities that it replaces.

        One address has one process, so that the disks of those are gone.
        """
        is_known = replica.identity in self.known or replica.address == self.me.address
        if is_known or awake_s - self.replaced_at.get(replica.identity, float("-inf")) < REPLACED_S:
            return []
        replaced = [name for name, peer in self.known.items() if peer.replica.address == replica.address]
        for identity in replaced:
            del self.known[identity]
            self.replaced_at[identity] = awake_s
        self.known[replica.identity] = CounterPeer(replica, awake_s)
        return replaced

    @staticmethod
    def _is_long_silent(awake_s: float, peer: CounterPeer) -> bool:
        last = peer.answered_at if peer.answered_at is not None else peer.known_since
        return awake_s - last > PEER_RETENTION_S

    def due_for_probe(self, awake_s: float) -> list[CounterPeer]:
        """Return the peers that are to be probed now; one that seems to be gone for good is probed less often."""
        due: list[CounterPeer] = []
        for identity, peer in self.known.items():
            is_gone = identity not in self.voters and self._is_long_silent(awake_s, peer)
            if awake_s - peer.probed_at >= (SLOW_PROBE_INTERVAL_S if is_gone else PROBE_INTERVAL_S):
                peer.probed_at = awake_s
                due.append(peer)
        return due

    def record_reply(self, awake_s: float, peer: CounterPeer, reply: CounterProbeReply) -> None:
        """Record the answer to a probe."""
        peer.answered_at = awake_s
        peer.is_writable = reply.is_writable
        peer.root = reply.root

    def refresh(self, awake_s: float) -> list[CounterPeer]:
        """Judge again who is reachable; return the peers for which that has changed."""
        changed: list[CounterPeer] = []
        for peer in self.known.values():
            is_reachable = peer.answered_at is not None and awake_s - peer.answered_at <= SUSPECT_TIMEOUT_S
            if is_reachable != peer.is_reachable:
                peer.is_reachable = is_reachable
                changed.append(peer)
        return changed

    def reachable(self) -> list[CounterPeer]:
        """Return the peers that answered a probe lately."""
        return [peer for peer in self.known.values() if peer.is_reachable]

    def reachable_identities(self) -> set[str]:
        """Return the identities of the peers that answered a probe lately, whatever their disks do."""
        return {peer.replica.identity for peer in self.reachable()}

    def has_heard_enough(self, awake_s: float) -> bool:
        """Return whether those that are not reachable may count as cut off, rather than as not heard yet."""
        if awake_s >= STARTUP_WAIT_S:
            return True
        return bool(self.voters) and self.voters <= self.reachable_identities() | {self.me.identity}

    def has_merged_enough(self, awake_s: float, is_restored: bool) -> bool:
        """Return whether what was acknowledged before this process began can be read here.

        A majority of the members with a disk has been merged with, the local disk among them where it was restored;
        or, after the wait at a start, all that can be reached.
        """
        merged = {name for name, peer in self.known.items() if peer.is_merged}
        if is_restored:
            merged.add(self.me.identity)
        if self.voters and len(merged & self.voters) >= len(self.voters) // 2 + 1:
            return True
        return awake_s >= STARTUP_WAIT_S and all(peer.is_merged for peer in self.reachable())
