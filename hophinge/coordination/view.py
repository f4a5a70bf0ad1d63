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
    """A replica's position in a chain.

    `joined_view` is the number of the view since which the replica has been in the chain without a gap.
    """

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
        """The number of voters that decide."""
        return len(self.voters) // 2 + 1

    def voter(self, identity: str) -> Replica | None:
        """Return the voter with an identity."""
        return next((voter for voter in self.voters if voter.identity == identity), None)

    def voting_name(self, replica: Replica) -> str | None:
        """Return the name under which a replica votes, or None where it has no vote.

        The voters of view 0 vote under their addresses, as nobody knows an identity yet.
        """
        name = replica.address if self.number == 0 else replica.identity
        return name if self.voter(name) is not None else None

    def position(self, identity: str) -> int:
        """Return a replica's index in the chain, from 0, or -1."""
        return next((position for position, link in enumerate(self.chain) if link.identity == identity), -1)

    def head(self) -> Replica | None:
        """Return the replica at which writes enter the chain."""
        return self.voter(self.chain[0].identity) if self.chain else None

    def tail(self) -> Replica | None:
        """Return the replica that replies."""
        return self.voter(self.chain[-1].identity) if self.chain else None

    def neighbour(self, identity: str, offset: int) -> Replica | None:
        """Return the replica at an offset from another one: further down the chain where positive, up where not."""
        position = self.position(identity)
        if position < 0 or not 0 <= position + offset < len(self.chain):
            return None
        return self.voter(self.chain[position + offset].identity)


def seed_view(addresses: tuple[str, ...]) -> View:
    """Return view 0 of a first start, in which the seeds vote under their addresses."""
    return View(0, tuple(Replica(address, address, "") for address in sorted(addresses)), ())
