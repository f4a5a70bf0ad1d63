"""Drains of bricks: what each head has said for which permit, who still owes its word, and a head's own side of it.

A statement is bound to a permit by its id, so one that comes late, twice or by another's mouth says no more and no
less than it did. Silence is never yes, and neither is what others hold a silent head for: one that was stopped, or cut
off, looks dead and may wake with its requests. A head is let off only when its stream is away and every head that can
tell has heard from it that it left, or when an operator says so.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import msgspec
from msgspec import Struct

from hophinge.cluster.interface import Entry, Member, MemberState, Role, Topic

DRAINED, SERVED = "drained", "served"  # nothing of one's own is there; it answers again, and is warm


class Statement(Struct, frozen=True):
    """What one head says of a brick under one permit."""

    permit: str
    backend: str = msgspec.field(name="brick")
    claim: str = msgspec.field(name="said")

    @property
    def key(self) -> str:
        """Tell the key of its entry on the board."""
        return f"{self.permit}/{self.backend}"


def encode_statement(statement: Statement) -> bytes:
    """Write a statement as an entry's value."""
    return msgspec.msgpack.encode(statement)


def statements_by_owner(entries: Iterable[Entry]) -> dict[str, list[Statement]]:
    """Read statements off the board, by owner; what is none is passed over: others may say what they like."""
    found: dict[str, list[Statement]] = {}
    for entry in entries:
        if entry.topic is Topic.DRAINS:
            try:
                one = msgspec.msgpack.decode(entry.value, type=Statement)
            except msgspec.MsgspecError:
                continue
            if one.key == entry.key:
                found.setdefault(entry.owner, []).append(one)
    return found


class DrainVerdict(Struct, frozen=True):
    """Whether all have said it, and who has not."""

    missing: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Tell whether nothing is missing."""
        return not self.missing


def required_heads(
    known: Iterable[str],
    connected: Collection[str],
    live: Mapping[str, Collection[str]],
    departed: Mapping[str, Collection[str]],
    exempt: Collection[str] = (),
) -> set[str]:
    """Tell whose word is wanted.

    `known` are heads ever heard of, `live` and `gone` what connected heads hold others for, by who says so. One that
    no cluster tells about stays wanted: its silence may be a cut line, with requests behind it.
    """
    required = set(known) | set(connected) | {one for names in live.values() for one in names}
    witnesses = [set(names) for names in departed.values()]
    agreed_departed = set.intersection(*witnesses) if witnesses else set()
    return (
        required - (agreed_departed - set(connected) - {one for names in live.values() for one in names}) - set(exempt)
    )


class DrainStatements:
    """What heads have said, by permit; only those of permits that are held are kept."""

    def __init__(self) -> None:
        self.heads_by_claim: dict[tuple[str, str], set[str]] = {}  # (permit, what) to heads

    def record_statements(
        self, head: str, statements: Iterable[Statement], is_complete: bool, active_permits: Collection[str]
    ) -> None:
        """Take a head's statements; `whole`: these are all that it says now, the rest is taken back."""
        now = {(one.permit, one.claim) for one in statements if one.permit in active_permits}
        if is_complete:
            for place, heads in self.heads_by_claim.items():
                if place not in now:
                    heads.discard(head)
        for place in now:
            self.heads_by_claim.setdefault(place, set()).add(head)

    def verdict(self, permit: str, required: Iterable[str]) -> DrainVerdict:
        """Tell whether each wanted head has said that nothing of it is out there."""
        return DrainVerdict(tuple(sorted(set(required) - self.heads_by_claim.get((permit, DRAINED), set()))))

    def served_count(self, permit: str) -> int:
        """Tell how many heads have said that the brick answers again and is warm."""
        return len(self.heads_by_claim.get((permit, SERVED), ()))

    def retain(self, active_permits: Collection[str]) -> None:
        """Drop what was said under permits that are held no more."""
        self.heads_by_claim = {
            place: heads for place, heads in self.heads_by_claim.items() if place[0] in active_permits
        }


def head_states(members: Iterable[Member]) -> tuple[list[str], list[str]]:
    """Tell the heads whose word is wanted, the dead among them, and those that have left, by one member's sight."""
    heads = [one for one in members if one.role is Role.HEAD]
    left = [one.name for one in heads if one.state is MemberState.LEFT]
    return [one.name for one in heads if one.name not in left], left


class DrainPhase(Enum):
    """A head's own part in one drain."""

    EJECTED = "out"  # taken out, something of it is still there
    DRAINED = "quiet"  # said: drained
    RESTORED = "back"  # taken up again, no answer or not warm yet
    SERVED = "warm"  # said: served


class Eject(Struct, frozen=True):
    """Send the brick nothing new."""

    backend: str


class Restore(Struct, frozen=True):
    """Take the brick back, cold."""

    backend: str


class Announce(Struct, frozen=True):
    """Put a statement on the board."""

    statement: Statement


class Retract(Struct, frozen=True):
    """Take a statement back."""

    statement: Statement


Action = Eject | Restore | Announce | Retract


class LocalDrain(Struct):
    """One drain at one head."""

    permit: str
    backend: str
    phase: DrainPhase


class HeadDrains:
    """One head's side. What it was told stays until the issuer tells otherwise; a cut line changes nothing."""

    def __init__(self, stored: Iterable[tuple[str, str]] = ()) -> None:
        # A head that starts takes out what was out when it ended, before it serves and before anybody can tell it.
        self.drains = {permit: LocalDrain(permit, backend, DrainPhase.EJECTED) for permit, backend in stored}

    def start(self) -> list[Action]:
        """Tell what a head that has just started does about what it kept."""
        return [Eject(one.backend) for one in self.drains.values()]

    def apply_update(self, ejected: Mapping[str, str], restored: Mapping[str, str]) -> list[Action]:
        """Take all drains (permit to brick) that are in force, and the permits whose bricks are to be taken up."""
        actions: list[Action] = []
        for permit, backend in ejected.items():
            if (one := self.drains.get(permit)) is None or one.phase in (DrainPhase.RESTORED, DrainPhase.SERVED):
                self.drains[permit] = LocalDrain(permit, backend, DrainPhase.EJECTED)
                actions.append(Eject(backend))
        for permit, backend in restored.items():
            one = self.drains.setdefault(permit, LocalDrain(permit, backend, DrainPhase.RESTORED))
            if one.phase in (DrainPhase.EJECTED, DrainPhase.DRAINED):
                actions += self._restore(one)
                one.phase = DrainPhase.RESTORED
        for permit in self.drains.keys() - ejected.keys() - restored.keys():
            one = self.drains.pop(permit)
            if one.phase in (DrainPhase.EJECTED, DrainPhase.DRAINED):
                actions += self._restore(one)
            elif one.phase is DrainPhase.SERVED:
                actions.append(Retract(Statement(permit, one.backend, SERVED)))
        return actions

    def _restore(self, one: LocalDrain) -> list[Action]:
        said: list[Action] = (
            [Retract(Statement(one.permit, one.backend, DRAINED))] if one.phase is DrainPhase.DRAINED else []
        )
        return [*said, Restore(one.backend)]

    def observe(self, in_flight: Mapping[str, int], ejected: Collection[str], warm: Collection[str]) -> list[Action]:
        """See how many attempts are at which brick, which are out of rotation, which answer and are warm again."""
        actions: list[Action] = []
        for one in self.drains.values():
            is_drained = one.backend in ejected and not in_flight.get(one.backend)
            drained = Statement(one.permit, one.backend, DRAINED)
            if one.phase is DrainPhase.EJECTED and is_drained:
                one.phase = DrainPhase.DRAINED
                actions.append(Announce(drained))
            elif one.phase is DrainPhase.DRAINED and not is_drained:
                one.phase = DrainPhase.EJECTED  # somebody took it up by hand: what was said is no longer so
                actions.append(Retract(drained))
                if one.backend not in ejected:
                    actions.append(Eject(one.backend))
            elif one.phase is DrainPhase.RESTORED and one.backend in warm:
                one.phase = DrainPhase.SERVED
                actions.append(Announce(Statement(one.permit, one.backend, SERVED)))
        return actions

    def statements(self) -> list[Statement]:
        """Tell all that this head says now."""
        says = {DrainPhase.DRAINED: DRAINED, DrainPhase.SERVED: SERVED}
        return [
            Statement(one.permit, one.backend, says[one.phase]) for one in self.drains.values() if one.phase in says
        ]

    def to_store(self) -> dict[str, str]:
        """Tell what a restart must find: permits and bricks that are out here."""
        return {
            one.permit: one.backend
            for one in self.drains.values()
            if one.phase in (DrainPhase.EJECTED, DrainPhase.DRAINED)
        }
