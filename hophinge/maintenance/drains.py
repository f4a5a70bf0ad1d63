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
    said: str

    @property
    def key(self) -> str:
        """Tell the key of its entry on the board."""
        return f"{self.permit}/{self.backend}"


def value(statement: Statement) -> bytes:
    """Write a statement as an entry's value."""
    return msgspec.msgpack.encode(statement)


def heard(entries: Iterable[Entry]) -> dict[str, list[Statement]]:
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


class Verdict(Struct, frozen=True):
    """Whether all have said it, and who has not."""

    missing: tuple[str, ...]

    @property
    def done(self) -> bool:
        """Tell whether nothing is missing."""
        return not self.missing


def owing(
    known: Iterable[str],
    connected: Collection[str],
    live: Mapping[str, Collection[str]],
    gone: Mapping[str, Collection[str]],
    without: Collection[str] = (),
) -> set[str]:
    """Tell whose word is wanted.

    `known` are heads ever heard of, `live` and `gone` what connected heads hold others for, by who says so. One that
    no cluster tells about stays wanted: its silence may be a cut line, with requests behind it.
    """
    wanted = set(known) | set(connected) | {one for names in live.values() for one in names}
    witnesses = [set(names) for names in gone.values()]
    let_off = set.intersection(*witnesses) if witnesses else set()
    return wanted - (let_off - set(connected) - {one for names in live.values() for one in names}) - set(without)


class Drains:
    """What heads have said, by permit; only those of permits that are held are kept."""

    def __init__(self) -> None:
        self.said: dict[tuple[str, str], set[str]] = {}  # (permit, what) to heads

    def take(self, head: str, statements: Iterable[Statement], whole: bool, held: Collection[str]) -> None:
        """Take a head's statements; `whole`: these are all that it says now, the rest is taken back."""
        now = {(one.permit, one.said) for one in statements if one.permit in held}
        if whole:
            for place, heads in self.said.items():
                if place not in now:
                    heads.discard(head)
        for place in now:
            self.said.setdefault(place, set()).add(head)

    def verdict(self, permit: str, wanted: Iterable[str]) -> Verdict:
        """Tell whether each wanted head has said that nothing of it is out there."""
        return Verdict(tuple(sorted(set(wanted) - self.said.get((permit, DRAINED), set()))))

    def served(self, permit: str) -> int:
        """Tell how many heads have said that the brick answers again and is warm."""
        return len(self.said.get((permit, SERVED), ()))

    def forget(self, held: Collection[str]) -> None:
        """Drop what was said under permits that are held no more."""
        self.said = {place: heads for place, heads in self.said.items() if place[0] in held}


def standing(members: Iterable[Member]) -> tuple[list[str], list[str]]:
    """Tell the heads whose word is wanted, the dead among them, and those that have left, by one member's sight."""
    heads = [one for one in members if one.role is Role.HEAD]
    left = [one.name for one in heads if one.state is MemberState.LEFT]
    return [one.name for one in heads if one.name not in left], left


class Phase(Enum):
    """A head's own part in one drain."""

    OUT = "out"  # taken out, something of it is still there
    QUIET = "quiet"  # said: drained
    BACK = "back"  # taken up again, no answer or not warm yet
    WARM = "warm"  # said: served


class TakeOut(Struct, frozen=True):
    """Send the brick nothing new."""

    backend: str


class TakeUp(Struct, frozen=True):
    """Take the brick back, cold."""

    backend: str


class Say(Struct, frozen=True):
    """Put a statement on the board."""

    statement: Statement


class Unsay(Struct, frozen=True):
    """Take a statement back."""

    statement: Statement


Action = TakeOut | TakeUp | Say | Unsay


class Own(Struct):
    """One drain at one head."""

    permit: str
    backend: str
    phase: Phase


class HeadDrains:
    """One head's side. What it was told stays until the issuer tells otherwise; a cut line changes nothing."""

    def __init__(self, kept: Iterable[tuple[str, str]] = ()) -> None:
        # A head that starts takes out what was out when it ended, before it serves and before anybody can tell it.
        self.own = {permit: Own(permit, backend, Phase.OUT) for permit, backend in kept}

    def begin(self) -> list[Action]:
        """Tell what a head that has just started does about what it kept."""
        return [TakeOut(one.backend) for one in self.own.values()]

    def told(self, out: Mapping[str, str], back: Mapping[str, str]) -> list[Action]:
        """Take all drains (permit to brick) that are in force, and the permits whose bricks are to be taken up."""
        actions: list[Action] = []
        for permit, backend in out.items():
            if (one := self.own.get(permit)) is None or one.phase in (Phase.BACK, Phase.WARM):
                self.own[permit] = Own(permit, backend, Phase.OUT)
                actions.append(TakeOut(backend))
        for permit, backend in back.items():
            one = self.own.setdefault(permit, Own(permit, backend, Phase.BACK))
            if one.phase in (Phase.OUT, Phase.QUIET):
                actions += self._up(one)
                one.phase = Phase.BACK
        for permit in self.own.keys() - out.keys() - back.keys():
            one = self.own.pop(permit)
            if one.phase in (Phase.OUT, Phase.QUIET):
                actions += self._up(one)
            elif one.phase is Phase.WARM:
                actions.append(Unsay(Statement(permit, one.backend, SERVED)))
        return actions

    def _up(self, one: Own) -> list[Action]:
        said: list[Action] = [Unsay(Statement(one.permit, one.backend, DRAINED))] if one.phase is Phase.QUIET else []
        return [*said, TakeUp(one.backend)]

    def look(self, out_there: Mapping[str, int], taken_out: Collection[str], warm: Collection[str]) -> list[Action]:
        """See how many attempts are at which brick, which are out of rotation, which answer and are warm again."""
        actions: list[Action] = []
        for one in self.own.values():
            quiet = one.backend in taken_out and not out_there.get(one.backend)
            drained = Statement(one.permit, one.backend, DRAINED)
            if one.phase is Phase.OUT and quiet:
                one.phase = Phase.QUIET
                actions.append(Say(drained))
            elif one.phase is Phase.QUIET and not quiet:
                one.phase = Phase.OUT  # somebody took it up by hand: what was said is no longer so
                actions.append(Unsay(drained))
                if one.backend not in taken_out:
                    actions.append(TakeOut(one.backend))
            elif one.phase is Phase.BACK and one.backend in warm:
                one.phase = Phase.WARM
                actions.append(Say(Statement(one.permit, one.backend, SERVED)))
        return actions

    def statements(self) -> list[Statement]:
        """Tell all that this head says now."""
        says = {Phase.QUIET: DRAINED, Phase.WARM: SERVED}
        return [Statement(one.permit, one.backend, says[one.phase]) for one in self.own.values() if one.phase in says]

    def keeps(self) -> dict[str, str]:
        """Tell what a restart must find: permits and bricks that are out here."""
        return {one.permit: one.backend for one in self.own.values() if one.phase in (Phase.OUT, Phase.QUIET)}
