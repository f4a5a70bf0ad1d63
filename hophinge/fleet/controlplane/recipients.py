"""Selects the recipients of a control member's messages."""

from __future__ import annotations

from random import Random

from hophinge.coordination.leases import LeaseTable
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.view import Replica
from hophinge.fleet.registry.service import RegistryContext

MAX_DIRECT_HEADS = 32  # heads that this member updates directly; they pass updates on to the other heads


class Recipients:
    """Addresses of other members, taken from the replica's peers and view and from the leases of the heads."""

    def __init__(self, machine: ReplicaStateMachine, leases: LeaseTable, random: Random) -> None:
        self.machine = machine
        self.leases = leases
        self.random = random

    def control_members(self) -> list[str]:
        """Return the other control members known from recent heartbeats, and the voters of the view."""
        view = self.machine.view
        addresses = {peer.replica.address for peer in self.machine.peers.known.values()}
        if view is not None:
            addresses |= {voter.address for voter in view.voters}
        return sorted(addresses - {self.machine.me.address})

    def registry_context(self, now: float) -> RegistryContext:
        """Return the members with which the instance service communicates now."""
        core = self.machine.quorum_view(now)
        return RegistryContext(core, tuple(self.direct_heads()), tuple(self.control_members()))

    def lease_granters(self, now: float) -> tuple[Replica, ...]:
        """Return the control members that grant leases: the voting ones with recent heartbeats.

        If no voting member is known, this member grants leases although it may not vote.
        """
        peers = self.machine.peers.known.values()
        granters = [
            peer.replica
            for peer in peers
            if now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S and peer.heartbeat.can_vote
        ]
        if self.machine.can_vote or not granters:
            granters.insert(0, self.machine.me)
        return tuple(granters)

    def voting_members(self) -> list[str]:
        """Return the other voting control members, which grant leases and therefore relay hints to the heads."""
        voting = {peer.replica.address for peer in self.machine.peers.known.values() if peer.heartbeat.can_vote}
        return sorted(voting - {self.machine.me.address})

    def leased_heads(self) -> list[str]:
        """Return the heads whose leases this member granted."""
        return [holder.address for holder in self.leases.local_holders()]

    def direct_heads(self) -> list[str]:
        """Return the heads to update directly: those with a lease from this member, or a random sample of them."""
        addresses = self.leased_heads()
        return addresses if len(addresses) <= MAX_DIRECT_HEADS else self.random.sample(addresses, MAX_DIRECT_HEADS)

    def members_outside_chain(self) -> list[str]:
        """Return the other control members outside the chain, which does not deliver committed values to them."""
        view = self.machine.view
        inside = {voter.address for link in view.chain if (voter := view.voter(link.identity))} if view else set()
        return [address for address in self.control_members() if address not in inside]
