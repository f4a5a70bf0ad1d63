"""What the next view should be: who is gone leaves, who is back joins the tail, a new disk replaces a lost one."""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from hophinge.coordination.messages import Promise
from hophinge.coordination.view import Link, Replica, View


@dataclass(frozen=True, slots=True)
class Sight:
    """The group as one replica sees it at one moment."""

    alive: Set[str]  # identities heard lately whose disks take writes, this replica among them
    steady: Set[str]  # of these, heard without a gap for long enough to be taken (back) in
    gone: Set[str]  # voters that were not heard for long
    leaving: Set[str]  # replicas that were told to end: they are heard, and take no new place
    candidates: tuple[Replica, ...]  # replicas with a disk that counts, outside the view
    least_voters: int  # fewer would not bear the losses that are to be borne

    @property
    def least_chain(self) -> int:
        """Tell the length of a chain whose changes outlive the losses to be borne."""
        return self.least_voters // 2 + 1


def needs_change(view: View, sight: Sight) -> bool:
    """Tell whether the view in force should be replaced."""
    members = {link.identity for link in view.chain}
    voters = {voter.identity for voter in view.voters}
    if members - sight.alive - sight.leaving or members & _dispensable(view, sight):
        return True
    if (voters - members) & sight.steady:
        return True
    if any(candidate.identity in sight.steady for candidate in sight.candidates):
        return True
    return bool(_superfluous(view, sight))


def _dispensable(view: View, sight: Sight) -> Set[str]:
    """Tell the leaving replicas that the chain can do without now; others are kept in it until they have ended."""
    staying = {link.identity for link in view.chain} & sight.alive
    return sight.leaving if len(staying) >= sight.least_chain else frozenset()


def _superfluous(view: View, sight: Sight) -> list[Replica]:
    """Tell the voters to do without: gone or leaving ones, as many as lower the majority."""
    unneeded = sight.gone | _dispensable(view, sight)
    gone = sorted((voter for voter in view.voters if voter.identity in unneeded), key=lambda voter: voter.identity)
    count = len(view.voters)
    dropped = 1 if count % 2 == 0 else 2
    return gone[:dropped] if len(gone) >= dropped and count - dropped >= sight.least_voters else []


def next_view(view: View, sight: Sight, promises: Mapping[str, Promise]) -> View | None:
    """Plan the next view from those who promised; None where none of them may head it."""
    number = view.number + 1
    dispensable = _dispensable(view, sight)
    voters = _next_voters(view, sight)
    identities = {voter.identity for voter in voters}
    chain = [
        link
        for link in view.chain
        if link.identity in promises
        and link.identity in identities
        and link.identity not in dispensable
        and promises[link.identity].synced >= link.joined
    ]
    if not chain:
        return None
    placed = {link.identity for link in chain}
    joining = [voter.identity for voter in voters if voter.identity not in placed]
    chain += [
        Link(identity, number)
        for identity in sorted(joining)
        if identity in sight.steady or (identity in promises and identity in sight.alive)
    ]
    return View(number, tuple(voters), tuple(chain))


def first_view(known: tuple[Replica, ...]) -> View:
    """Form the first view of a system whose disks are all empty."""
    voters = tuple(sorted(known, key=lambda replica: replica.address))
    return View(1, voters, tuple(Link(replica.identity, 1) for replica in voters))


def _next_voters(view: View, sight: Sight) -> list[Replica]:
    superfluous = _superfluous(view, sight)
    voters = [voter for voter in view.voters if voter not in superfluous]
    for candidate in sight.candidates:
        if candidate.identity in sight.steady:
            voters = _with(voters, candidate, sight)
    return voters


def _with(voters: list[Replica], candidate: Replica, sight: Sight) -> list[Replica]:
    """Take in a replica: in place of the one whose address it has, else of one that is not heard, else beside them."""
    replaced = next((voter for voter in voters if voter.address == candidate.address), None)
    if replaced is None:
        replaced = next((voter for voter in voters if voter.identity not in sight.alive), None)
    return [voter for voter in voters if voter is not replaced] + [candidate]
