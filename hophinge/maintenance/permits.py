"""Who may be out: the table of permits, what uses up the room for them, and what frees a place.

A permit is asked for, granted, begun, out, back, free. Not begun, it lapses by a lease; the asker may begin for
`BEGIN_US` by its own clock from its asking, the issuer keeps the place for `LEASE_US` by its own from the granting,
which came later and is longer by more than two clocks differ. A begin counts once the issuer has stored it, and the
asker acts only when told so: clocks save refusals, the store keeps the promise. Once begun only evidence or an
operator's word frees a place; no time does.

Every change is made as rows first. Whoever drives the table stores them, then has them taken: a failure or an end in
between leaves nothing half done.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import msgspec
from msgspec import Struct

from hophinge.core.errors import HophingeError
from hophinge.routing.bounds import Most

BEGIN_US = 20_000_000  # by the asker's clock, from its asking
DRIFT = 0.01  # part by which two steady clocks may differ in speed, as in tenancy/share_leases.py
LEASE_US = int(BEGIN_US * (1 + DRIFT)) + 10_000_000  # by the issuer's; the ten seconds are for what is on its way


class PermitError(HophingeError):
    """A step that the table of states does not have; nothing was changed."""

    code = "permit-unfit"
    remedy = "Read the permit's state in `hophinge control status` and free it by its id if it is out for good."


class Kind(Enum):
    """What may be out."""

    HEAD = "head"
    BACKEND = "brick"


class State(Enum):
    """Where a permit stands; asked for is what has no row yet."""

    GRANTED = "granted"
    BEGUN = "begun"
    OUT = "out"
    BACK = "back"
    FREE = "free"


STEPS = {
    State.GRANTED: {State.BEGUN, State.FREE},
    State.BEGUN: {State.OUT, State.BACK, State.FREE},
    State.OUT: {State.BACK, State.FREE},
    State.BACK: {State.OUT, State.FREE},
    State.FREE: frozenset[State](),
}


class Permit(Struct, frozen=True):
    """A place that is taken, and by whom; `process` is the head's that began, `build` the one wanted back."""

    id: str
    kind: Kind
    name: str
    zone: str
    by: str
    key: str  # of the ask: the same ask is answered with the same permit
    state: State = State.GRANTED
    build: str = ""
    process: int = 0


class Sighting(Struct, frozen=True):
    """What there is of one kind, each with its zone (empty: unknown); `total` may be more than both know by name."""

    total: int
    up: Mapping[str, str]
    down: Mapping[str, str]  # known, and out unplanned or not to be told about


class Floor(Struct, frozen=True):
    """Members of which so many must stay up, whatever `most` says."""

    name: str
    members: Collection[str]
    need: int


class Ask(Struct, frozen=True):
    """A wish for a place."""

    kind: Kind
    name: str
    by: str
    key: str
    build: str = ""
    begun: bool = False  # an operator's word: the place is taken and begun in one step
    process: int = 0  # of the head that is to go, where that is known


class Answer(Struct, frozen=True):
    """A permit with the rows to store, or why there is none."""

    rows: tuple[Permit, ...] = ()
    permit: Permit | None = None
    reason: str = ""


class Permits:
    """The table; `serial` and `fence` make ids that no other process on this store ever gives."""

    def __init__(self, rows: Iterable[Permit], fence: int, now_us: int) -> None:
        self.fence, self.count = fence, 0
        self.held: dict[str, Permit] = {}
        self.places: dict[tuple[Kind, str], str] = {}
        self.lapses: dict[str, int] = {}
        # Whoever has just started does not know when these were granted: they last a whole lease from now.
        self.take(now_us, tuple(row for row in rows if row.state is not State.FREE))

    def take(self, now_us: int, rows: Iterable[Permit]) -> None:
        """Take rows that are stored."""
        for row in rows:
            if row.state is State.FREE:
                self.held.pop(row.id, None)
                self.lapses.pop(row.id, None)
                if self.places.get((row.kind, row.name)) == row.id:
                    del self.places[row.kind, row.name]
                continue
            self.held[row.id] = row
            self.places[row.kind, row.name] = row.id
            if row.state is State.GRANTED:
                self.lapses.setdefault(row.id, now_us + LEASE_US)
            else:
                self.lapses.pop(row.id, None)

    def of(self, kind: Kind, name: str) -> Permit | None:
        """Tell the permit that holds a place."""
        found = self.places.get((kind, name))
        return self.held[found] if found is not None else None

    def all(self, kind: Kind) -> list[Permit]:
        """Tell the permits of one kind, by name."""
        return sorted((one for one in self.held.values() if one.kind is kind), key=lambda one: one.name)

    def out(self, kind: Kind, sight: Sighting) -> dict[str, str]:
        """Tell what counts as out: places taken, what is out unplanned, what nobody can tell about; with zones."""
        unknown = {f"#{at}": "" for at in range(sight.total - len(sight.up.keys() | sight.down.keys()))}
        return {**unknown, **sight.down, **{one.name: one.zone for one in self.all(kind)}}

    def lacks(
        self, kind: Kind, name: str, zone: str, sight: Sighting, most: Most | None, floors: Iterable[Floor] = ()
    ) -> str:
        """Tell why there is no room for one more to be out, or nothing."""
        if most is None:
            return f"no (maintenance ({kind.value}s ...)) states how many {kind.value}s may be out"
        out = {**self.out(kind, sight), name: zone}
        total = max(sight.total, len(sight.up.keys() | sight.down.keys()))
        if len(out) > (allowed := most.allowed(total)):
            return f"{len(out)} {kind.value}s of {total} would be out, {allowed} may: {_some(out, name)}"
        # A member whose zone is unknown may be of any; so may one that nobody has heard of.
        here = {one: where for one, where in out.items() if not zone or not where or where == zone}
        known = {**sight.down, **sight.up}
        sizes = [list(known.values()).count(one) for one in set(known.values()) if one]
        size = list(known.values()).count(zone) if zone else min(sizes, default=total)
        if len(here) > (allowed := most.allowed_zone(size)):
            return (
                f"{len(here)} {kind.value}s of {size} would be out in zone {zone or '(unknown)'}, "
                f"{allowed} may: {_some(here, name)}"
            )
        for floor in floors:
            if name in floor.members or not floor.members:
                up = len([one for one in (floor.members or sight.up) if one in sight.up and one not in out])
                if up < floor.need:
                    return f"{floor.name} would have {up} {kind.value}s, its reserves need {floor.need}"
        return ""

    def ask(self, now_us: int, ask: Ask, sight: Sighting, most: Most | None, floors: Iterable[Floor] = ()) -> Answer:
        """Answer an ask; the same one again gets the same permit."""
        held = self.of(ask.kind, ask.name)
        if held is not None:
            if (held.by, held.key) == (ask.by, ask.key):
                return Answer((), held)
            return Answer(reason=f"{ask.name} is out under permit {held.id} of {held.by} already")
        if ask.name not in sight.up and ask.name not in sight.down:
            return Answer(reason=f"nobody knows a {ask.kind.value} {ask.name}")
        zone = sight.up.get(ask.name) or sight.down.get(ask.name, "")
        if reason := self.lacks(ask.kind, ask.name, zone, sight, most, floors):
            return Answer(reason=reason)
        self.count += 1  # an id that is not stored is never told, and never given again
        made = Permit(
            f"{self.fence}.{self.count}",
            ask.kind,
            ask.name,
            zone,
            ask.by,
            ask.key,
            State.BEGUN if ask.begun else State.GRANTED,
            ask.build,
            ask.process,
        )
        return Answer((made,), made)

    def begin(
        self, now_us: int, permit: str, process: int, sight: Sighting, most: Most | None, floors: Iterable[Floor] = ()
    ) -> Answer:
        """Begin what was granted, if there is still room: what went out unplanned since then has taken it."""
        held = self.held.get(permit)
        if held is None:
            return Answer(reason=f"permit {permit} has lapsed, was withdrawn or never was")
        if held.state is not State.GRANTED:
            same = held.process == process
            return Answer((), held) if same else Answer(reason=f"permit {permit} was begun by another process")
        if now_us >= self.lapses.get(permit, 0):
            return Answer(reason=f"permit {permit} has lapsed")
        if reason := self.lacks(held.kind, held.name, held.zone, sight, most, floors):
            return Answer(reason=reason)
        row = msgspec.structs.replace(held, state=State.BEGUN, process=process)
        return Answer((row,), row)

    def step(self, permit: str, state: State, build: str | None = None) -> tuple[Permit, ...]:
        """Make the rows of a step; raises PermitError where the table has none such."""
        held = self.held.get(permit)
        if held is None:
            raise PermitError(f"there is no permit {permit}")
        if held.state is not state and state not in STEPS[held.state]:
            raise PermitError(f"permit {permit} of {held.name} is {held.state.value}, and cannot be {state.value} next")
        row = msgspec.structs.replace(held, state=state, build=held.build if build is None else build)
        return () if row == held else (row,)

    def lapsed(self, now_us: int) -> tuple[Permit, ...]:
        """Make the rows of what was granted, never begun, and has lapsed."""
        return tuple(
            msgspec.structs.replace(self.held[one], state=State.FREE)
            for one, until in self.lapses.items()
            if now_us >= until
        )


def _some(out: Mapping[str, str], name: str) -> str:
    unknown = sum(one.startswith("#") for one in out)
    rows = sorted(one for one in out if one != name and not one.startswith("#"))
    told = [
        *rows[:5],
        *([f"{len(rows) - 5} more"] if len(rows) > 5 else []),
        *([f"{unknown} that nobody can tell about"] if unknown else []),
        f"and {name} itself",
    ]
    return ", ".join(told)
