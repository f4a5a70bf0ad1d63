"""The plan of the next view: failed replicas leave, recovered ones join the tail, a new disk replaces a lost one."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from hophinge.coordination.messages import Promise
from hophinge.coordination.view import ChainLink, Replica, View


@dataclass(frozen=True, slots=True)
class MembershipObservation:
    """The group as one replica observes it at one moment.

    Attributes:
        live_replicas: identities heard lately whose disks take writes, the local replica among them.
        steady_replicas: those of them that have been heard without a gap for long enough to join the chain.
        failed_voters: voters that have not been heard for long.
        draining_replicas: replicas that are about to end: they are heard, and join no chain.
        candidates: replicas with a disk that counts which are no voters.
        min_voters: with fewer voters the group would not survive the tolerated losses.

    """

    live_replicas: Set[str]
    steady_replicas: Set[str]
    failed_voters: Set[str]
    draining_replicas: Set[str]
    candidates: tuple[Replica, ...]
    min_voters: int

    @property
    def min_chain_length(self) -> int:
        """The length of a chain whose changes survive the tolerated losses."""
        return self.min_voters // 2 + 1


def needs_change(view: View, observation: MembershipObservation) -> bool:
    """Return whether the view in force should be replaced."""
    members = {link.identity for link in view.chain}
    voters = {voter.identity for voter in view.voters}
    if members - observation.live_replicas - observation.draining_replicas:
        return True
    if members & _removable_replicas(view, observation):
        return True
    if (voters - members) & observation.steady_replicas:
        return True
    if any(candidate.identity in observation.steady_replicas for candidate in observation.candidates):
        return True
    return bool(_voters_to_remove(view, observation))


def _removable_replicas(view: View, observation: MembershipObservation) -> Set[str]:
    """Return the draining replicas that the chain can do without now; others stay in it until they have ended."""
    remaining = {link.identity for link in view.chain} & observation.live_replicas
    return observation.draining_replicas if len(remaining) >= observation.min_chain_length else frozenset()


def _voters_to_remove(view: View, observation: MembershipObservation) -> list[Replica]:
    """Return the failed or draining voters to remove: as many as lower the majority, or none."""
    removable = observation.failed_voters | _removable_replicas(view, observation)
    removable_voters = sorted(
        (voter for voter in view.voters if voter.identity in removable), key=lambda voter: voter.identity
    )
    voter_count = len(view.voters)
    removed_count = 1 if voter_count % 2 == 0 else 2
    if len(removable_voters) < removed_count or voter_count - removed_count < observation.min_voters:
        return []
    return removable_voters[:removed_count]


def next_view(view: View, observation: MembershipObservation, promises: Mapping[str, Promise]) -> View | None:
    """Plan the next view from the promises of its ballot.

    Returns:
        The view, or None where no voter that has promised is complete and so may head it.

    """
    number = view.number + 1
    removable_replicas = _removable_replicas(view, observation)
    voters = _next_voters(view, observation)
    identities = {voter.identity for voter in voters}
    chain = [
        link
        for link in view.chain
        if link.identity in promises
        and link.identity in identities
        and link.identity not in removable_replicas
        and promises[link.identity].synced_view >= link.joined_view
    ]
    if not chain:
        return None
    chain_identities = {link.identity for link in chain}
    joining = [voter.identity for voter in voters if voter.identity not in chain_identities]
    chain += [
        ChainLink(identity, number)
        for identity in sorted(joining)
        if identity in observation.steady_replicas or (identity in promises and identity in observation.live_replicas)
    ]
    return View(number, tuple(voters), tuple(chain))


def first_view(replicas: tuple[Replica, ...]) -> View:
    """Plan the first view of a system whose disks are all empty."""
    voters = tuple(sorted(replicas, key=lambda replica: replica.address))
    return View(1, voters, tuple(ChainLink(replica.identity, 1) for replica in voters))


def _next_voters(view: View, observation: MembershipObservation) -> list[Replica]:
    removed = _voters_to_remove(view, observation)
    voters = [voter for voter in view.voters if voter not in removed]
    for candidate in observation.candidates:
        if candidate.identity in observation.steady_replicas:
            voters = _add_voter(voters, candidate, observation)
    return voters


def _add_voter(voters: list[Replica], candidate: Replica, observation: MembershipObservation) -> list[Replica]:
    """Add a voter: in place of the one with its address, else of one that is not live, else beside them."""
    replaced = next((voter for voter in voters if voter.address == candidate.address), None)
    if replaced is None:
        replaced = next((voter for voter in voters if voter.identity not in observation.live_replicas), None)
    return [voter for voter in voters if voter is not replaced] + [candidate]
