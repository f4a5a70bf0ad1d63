"""Ownership of singleton roles: one register of the chain for each, whose version is the fencing token.

Roles are sharded by key: of the live replicas, the one of the highest rendezvous weight claims a role that has no live
owner, by compare-and-set. A new owner first waits for the duration of a lease, so that the acts of the old one are
over; an owner confirms its ownership through the chain right before it acts. So clocks are trusted for the duration of
a lease only, and tokens never decrease, also over losses of power and of disks.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.coordination.codec import CodecError, decode, encode, wire
from hophinge.coordination.registers import Change, Register

ROLE_PREFIX = "role/"
TAKEOVER_MARGIN_S = 0.5  # that a new owner waits beyond the lease


@wire(65)
@dataclass(frozen=True, slots=True)
class RoleOwner:
    """The value of a role's register: the replica that owns the role."""

    identity: str


def rendezvous(key: str, identities: Set[str]) -> str | None:
    """Return the identity with the highest weight for a key (rendezvous hashing), or None where there is none."""

    def weight(identity: str) -> bytes:
        return blake2b(f"{key}\0{identity}".encode(), digest_size=8).digest()

    return max(identities, key=weight, default=None)


class Role:
    """One singleton role as one replica observes it.

    The role's token is the version of its register; it is a fencing token for the acts of its owner.
    """

    def __init__(self, name: str, me: str, lease_s: float) -> None:
        self.key = ROLE_PREFIX + name
        self.me = me
        self.lease_s = lease_s
        self.owner: str | None = None
        self.token = 0
        self.owned_since: float | None = None
        self.rejected_token = 0  # an instance rejected it, so it is not used again

    def handle_committed_owner(self, now: float, register: Register) -> None:
        """Record the committed owner; a value that is no owner, or an older one, is ignored."""
        try:
            owner = decode(register.payload)
        except CodecError:
            return
        if not isinstance(owner, RoleOwner) or register.version <= self.token:
            return
        self.owner = owner.identity
        self.token = register.version
        self.owned_since = now if self.owner == self.me else None

    def claim(self, live_replicas: Set[str]) -> Change | None:
        """Return the change by which this replica claims the role, or None where the role is not its to claim."""
        is_token_rejected = self.owner == self.me and self.rejected_token == self.token
        if not is_token_rejected and (self.owner in live_replicas or rendezvous(self.key, live_replicas) != self.me):
            return None
        payload = encode(RoleOwner(self.me))
        version = self.token + 1
        digest = blake2b(payload + str(version).encode(), digest_size=16).digest()
        return Change(self.key, self.token, version, digest, payload)

    def may_act(self, now: float) -> bool:
        """Return whether this replica has owned the role for long enough; it still has to confirm that it does."""
        if self.owned_since is None or self.rejected_token == self.token:
            return False
        return now - self.owned_since >= self.lease_s + TAKEOVER_MARGIN_S

    def reject_token(self, token: int) -> None:
        """Stop using a token that an instance rejected for a higher one; the next claim takes one above it."""
        self.rejected_token = max(self.rejected_token, token)

    def is_confirmed(self, version: int) -> bool:
        """Return whether a version that was read through the chain confirms the ownership."""
        return self.owned_since is not None and version == self.token
