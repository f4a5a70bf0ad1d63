"""Views: which replicas vote, and in which order the replicas of the chain stand.

A replica's identity is that of its disk, not of its address: a wiped disk is a new replica.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import wire


@wire(1)
@dataclass(frozen=True, slots=True)
class Replica:
    """One disk: a random identity, the address of the process that owns it, and the zone it stands in."""

    identity: str
    address: str
    zone: str


@wire(2)
@dataclass(frozen=True, slots=True)
class ChainLink:
    """A replica's place in a chain, and the number of the view in which it came to that place without a gap since."""

    identity: str
    joined_view: int


@wire(3)
@dataclass(frozen=True, slots=True)
class View:
    """One agreed configuration of the group. The voters of view n decide view n + 1."""

    number: int
    voters: tuple[Replica, ...]
    chain: tuple[ChainLink, ...]

    @property
    def majority(self) -> int:
        """Tell how many voters decide."""
        return len(self.voters) // 2 + 1

    def voter(self, identity: str) -> Replica | None:
        """Find a voter by its identity."""
        return next((voter for voter in self.voters if voter.identity == identity), None)

    def position(self, identity: str) -> int:
        """Tell a replica's place in the chain from 0, or -1."""
        return next((place for place, link in enumerate(self.chain) if link.identity == identity), -1)

    def head(self) -> Replica | None:
        """Tell where writes enter."""
        return self.voter(self.chain[0].identity) if self.chain else None

    def tail(self) -> Replica | None:
        """Tell who replies."""
        return self.voter(self.chain[-1].identity) if self.chain else None

    def neighbour(self, identity: str, offset: int) -> Replica | None:
        """Tell the replica a number of places further down the chain (up, where negative)."""
        position = self.position(identity)
        if position < 0 or not 0 <= position + offset < len(self.chain):
            return None
        return self.voter(self.chain[position + offset].identity)


def seed_view(addresses: tuple[str, ...]) -> View:
    """View 0 of a first start: the seeds vote under their addresses, as nobody knows an identity yet."""
    return View(0, tuple(Replica(address, address, "") for address in sorted(addresses)), ())
