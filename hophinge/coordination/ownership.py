"""Ownership of singleton roles: one register of the chain for each, whose version is the fencing token.

Roles are sharded by key: of the replicas alive, the one of the highest rendezvous rank takes a role that has no live
owner, by compare-and-set. A new owner first waits for a lease's length, so that whatever the old one did is over; an
owner confirms its ownership through the chain right before it acts. So no clock but the length of a lease is trusted,
and tokens only rise, also over losses of power and of disks.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from hashlib import blake2b

from hophinge.coordination.codec import CodecError, decode, encode, wire
from hophinge.coordination.registers import Change, Register

ROLE_PREFIX = "role/"
TAKEOVER_MARGIN_S = 0.5  # waited beyond the lease by a new owner


@wire(65)
@dataclass(frozen=True, slots=True)
class RoleOwner:
    """Who owns a role."""

    identity: str


def rendezvous(key: str, identities: Set[str]) -> str | None:
    """Tell who of some replicas a key falls to."""
    return max(identities, key=lambda one: blake2b(f"{key}\0{one}".encode(), digest_size=8).digest(), default=None)


class Role:
    """One role as one replica sees it."""

    def __init__(self, name: str, me: str, lease_s: float) -> None:
        self.key = ROLE_PREFIX + name
        self.me, self.lease_s = me, lease_s
        self.owner: str | None = None
        self.token = 0
        self.owned_since: float | None = None
        self.rejected_token = 0  # a token that an instance refused: it is not used again

    def handle_committed_owner(self, now: float, register: Register) -> None:
        """Take the committed owner."""
        try:
            owner = decode(register.payload)
        except CodecError:
            return
        if not isinstance(owner, RoleOwner) or register.version <= self.token:
            return
        self.owner, self.token = owner.identity, register.version
        self.owned_since = now if self.owner == self.me else None

    def claim(self, live_replicas: Set[str]) -> Change | None:
        """Tell the change by which this replica would take the role, where it falls to it now."""
        is_token_rejected = self.owner == self.me and self.rejected_token == self.token
        if not is_token_rejected and (self.owner in live_replicas or rendezvous(self.key, live_replicas) != self.me):
            return None
        payload = encode(RoleOwner(self.me))
        version = self.token + 1
        digest = blake2b(payload + str(version).encode(), digest_size=16).digest()
        return Change(self.key, self.token, version, digest, payload)

    def may_act(self, now: float) -> bool:
        """Tell whether this replica owns the role for long enough; it still has to confirm that it does."""
        if self.owned_since is None or self.rejected_token == self.token:
            return False
        return now - self.owned_since >= self.lease_s + TAKEOVER_MARGIN_S

    def reject_token(self, token: int) -> None:
        """An instance has seen a higher token: this one is done with, and the next claim takes one above it."""
        self.rejected_token = max(self.rejected_token, token)

    def is_confirmed(self, version: int) -> bool:
        """Tell whether a read through the chain confirms the ownership."""
        return self.owned_since is not None and version == self.token
