"""Determines whether a backend is drained, by the statements of heads and by whose statements are required.

A missing statement never counts as consent, nor does the view of other heads that a silent head is dead: a head that is
stopped or partitioned looks dead, and may resume with its requests. A head is exempt only if it has no stream and every
connected head with a view of the cluster has received that it left, or if an operator exempts it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from hophinge.cluster.interface import Member, MemberState, Role
from hophinge.maintenance.statements import DRAINED, SERVED, Statement


class DrainVerdict(Struct, frozen=True):
    """The required heads whose statements are missing."""

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

    A head that is not departed in all reported views stays required: it may be partitioned, with requests in flight.

    Args:
        known: All heads that were ever observed.
        connected: Heads with a stream to this service.
        live: The heads that are live in the view of each connected head, by the name of the latter.
        departed: The heads that have left in the view of each connected head, by the name of the latter.
        exempt: Heads that an operator has exempted.

    """
    reported_live = {head for heads in live.values() for head in heads}
    required = set(known) | set(connected) | reported_live
    departure_reports = [set(heads) for heads in departed.values()]
    agreed_departed = set.intersection(*departure_reports) if departure_reports else set()
    return required - (agreed_departed - set(connected) - reported_live) - set(exempt)


class DrainStatements:
    """The statements of heads, by permit and claim; only for active permits."""

    def __init__(self) -> None:
        self.heads_by_claim: dict[tuple[str, str], set[str]] = {}  # by permit id and claim

    def record_statements(
        self, head: str, statements: Iterable[Statement], is_complete: bool, active_permits: Collection[str]
    ) -> None:
        """Record a head's statements; if they are complete, they replace all its earlier ones."""
        current = {
            (statement.permit, statement.claim) for statement in statements if statement.permit in active_permits
        }
        if is_complete:
            for claim, heads in self.heads_by_claim.items():
                if claim not in current:
                    heads.discard(head)
        for claim in current:
            self.heads_by_claim.setdefault(claim, set()).add(head)

    def verdict(self, permit: str, required: Iterable[str]) -> DrainVerdict:
        """Return the required heads that have not stated that they have drained the backend."""
        return DrainVerdict(tuple(sorted(set(required) - self.heads_by_claim.get((permit, DRAINED), set()))))

    def served_count(self, permit: str) -> int:
        """Return the number of heads that have stated that the backend answers again and is warm."""
        return len(self.heads_by_claim.get((permit, SERVED), ()))

    def retain(self, active_permits: Collection[str]) -> None:
        """Remove the statements under permits that are not active."""
        self.heads_by_claim = {
            (permit, claim): heads for (permit, claim), heads in self.heads_by_claim.items() if permit in active_permits
        }


class HeadStates(NamedTuple):
    """The heads of a cluster in the view of one member."""

    required: list[str]  # whose statements are required, including heads considered dead
    departed: list[str]  # that have left


def head_states(members: Iterable[Member]) -> HeadStates:
    """Divide the heads among members into those whose statements are required and those that have left."""
    heads = [member for member in members if member.role is Role.HEAD]
    departed = [head.name for head in heads if head.state is MemberState.LEFT]
    return HeadStates([head.name for head in heads if head.name not in departed], departed)
