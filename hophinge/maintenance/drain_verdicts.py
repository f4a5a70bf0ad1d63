"""Whether a backend is drained: what heads have stated, and whose statements are required.

A missing statement is never consent, and neither is the view of other heads that a silent one is dead: one that was
stopped, or cut off, looks dead and may resume with its requests. A head is exempt only if its stream is gone and every
head that can tell has received that it left, or if an operator says so.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from hophinge.cluster.interface import Member, MemberState, Role
from hophinge.maintenance.statements import DRAINED, SERVED, Statement


class DrainVerdict(Struct, frozen=True):
    """The heads whose statements are missing."""

    missing: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether no statement is missing."""
        return not self.missing


def required_heads(
    known: Iterable[str],
    connected: Collection[str],
    live: Mapping[str, Collection[str]],
    departed: Mapping[str, Collection[str]],
    exempt: Collection[str] = (),
) -> set[str]:
    """Return the heads whose statements are required.

    A head that no cluster reports on stays required: its silence may be a network partition, with requests behind it.

    Args:
        known: All heads that were ever observed.
        connected: Heads with a stream to this service.
        live: Heads that connected ones consider live, by the one that reports it.
        departed: Heads that connected ones know to have left, by the one that reports it.
        exempt: Heads that an operator has named as gone.

    """
    reported_live = {head for heads in live.values() for head in heads}
    required = set(known) | set(connected) | reported_live
    witnesses = [set(heads) for heads in departed.values()]
    agreed_departed = set.intersection(*witnesses) if witnesses else set()
    return required - (agreed_departed - set(connected) - reported_live) - set(exempt)


class DrainStatements:
    """What heads have stated, by permit and claim; only for permits that are active."""

    def __init__(self) -> None:
        self.heads_by_claim: dict[tuple[str, str], set[str]] = {}  # by permit id and claim

    def record_statements(
        self, head: str, statements: Iterable[Statement], is_complete: bool, active_permits: Collection[str]
    ) -> None:
        """Record a head's statements; if they are complete, its earlier ones that are missing are withdrawn."""
        current = {(one.permit, one.claim) for one in statements if one.permit in active_permits}
        if is_complete:
            for claim, heads in self.heads_by_claim.items():
                if claim not in current:
                    heads.discard(head)
        for claim in current:
            self.heads_by_claim.setdefault(claim, set()).add(head)

    def verdict(self, permit: str, required: Iterable[str]) -> DrainVerdict:
        """Return which required heads have not stated that they have drained the backend."""
        return DrainVerdict(tuple(sorted(set(required) - self.heads_by_claim.get((permit, DRAINED), set()))))

    def served_count(self, permit: str) -> int:
        """Return how many heads have stated that the backend answers again and is warm."""
        return len(self.heads_by_claim.get((permit, SERVED), ()))

    def retain(self, active_permits: Collection[str]) -> None:
        """Drop the statements under all other permits."""
        self.heads_by_claim = {
            (permit, claim): heads for (permit, claim), heads in self.heads_by_claim.items() if permit in active_permits
        }


class HeadStates(NamedTuple):
    """The heads of a cluster in the view of one member."""

    required: list[str]  # their statements are required, also of those considered dead
    departed: list[str]  # they have left


def head_states(members: Iterable[Member]) -> HeadStates:
    """Divide the heads among members into those whose statements are required and those that have left."""
    heads = [member for member in members if member.role is Role.HEAD]
    departed = [head.name for head in heads if head.state is MemberState.LEFT]
    return HeadStates([head.name for head in heads if head.name not in departed], departed)
