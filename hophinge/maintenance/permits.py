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
MAX_CLOCK_DRIFT = 0.01  # part by which two steady clocks may differ in speed, as in tenancy/share_leases.py
LEASE_US = (
    int(BEGIN_US * (1 + MAX_CLOCK_DRIFT)) + 10_000_000
)  # by the issuer's; the ten seconds are for what is on its way


class PermitError(HophingeError):
    """A step that the table of states does not have; nothing was changed."""

    code = "permit-unfit"
    remedy = "Read the permit's state in `hophinge control status` and free it by its id if it is out for good."


class PermitKind(Enum):
    """What may be out."""

    HEAD = "head"
    BACKEND = "brick"


class PermitState(Enum):
    """Where a permit stands; asked for is what has no row yet."""

    GRANTED = "granted"
    BEGUN = "begun"
    OUT = "out"
    BACK = "back"
    FREE = "free"


TRANSITIONS = {
    PermitState.GRANTED: {PermitState.BEGUN, PermitState.FREE},
    PermitState.BEGUN: {PermitState.OUT, PermitState.BACK, PermitState.FREE},
    PermitState.OUT: {PermitState.BACK, PermitState.FREE},
    PermitState.BACK: {PermitState.OUT, PermitState.FREE},
    PermitState.FREE: frozenset[PermitState](),
}


class Permit(Struct, frozen=True):
    """A place that is taken, and by whom; `process` is the head's that began, `build` the one wanted back."""

    id: str
    kind: PermitKind
    name: str
    zone: str
    requester: str = msgspec.field(name="by")
    request_key: str = msgspec.field(name="key")  # a repeated request gets the same permit
    state: PermitState = PermitState.GRANTED
    build: str = ""
    process: int = 0


class Availability(Struct, frozen=True):
    """What there is of one kind, each with its zone (empty: unknown); `total` may be more than both know by name."""

    total: int
    up: Mapping[str, str]
    down: Mapping[str, str]  # known, and out unplanned or not to be told about


class CapacityFloor(Struct, frozen=True):
    """Members of which so many must stay up, whatever `most` says."""

    name: str
    members: Collection[str]
    min_up: int


class PermitRequest(Struct, frozen=True):
    """A wish for a place."""

    kind: PermitKind
    name: str
    requester: str
    request_key: str
    build: str = ""
    begin_at_once: bool = False  # an operator's word: the place is taken and begun in one step
    process: int = 0  # of the head that is to go, where that is known


class PermitDecision(Struct, frozen=True):
    """A permit with the rows to store, or why there is none."""

    rows: tuple[Permit, ...] = ()
    permit: Permit | None = None
    reason: str = ""


class PermitTable:
    """The table; `serial` and `fence` make ids that no other process on this store ever gives."""

    def __init__(self, rows: Iterable[Permit], fencing_token: int, now_us: int) -> None:
        self.fencing_token, self.issued_count = fencing_token, 0
        self.active: dict[str, Permit] = {}
        self.by_target: dict[tuple[PermitKind, str], str] = {}
        self.lease_ends: dict[str, int] = {}
        # Whoever has just started does not know when these were granted: they last a whole lease from now.
        self.apply(now_us, tuple(row for row in rows if row.state is not PermitState.FREE))

    def apply(self, now_us: int, rows: Iterable[Permit]) -> None:
        """Take rows that are stored."""
        for row in rows:
            if row.state is PermitState.FREE:
                self.active.pop(row.id, None)
                self.lease_ends.pop(row.id, None)
                if self.by_target.get((row.kind, row.name)) == row.id:
                    del self.by_target[row.kind, row.name]
                continue
            self.active[row.id] = row
            self.by_target[row.kind, row.name] = row.id
            if row.state is PermitState.GRANTED:
                self.lease_ends.setdefault(row.id, now_us + LEASE_US)
            else:
                self.lease_ends.pop(row.id, None)

    def for_target(self, kind: PermitKind, name: str) -> Permit | None:
        """Tell the permit that holds a place."""
        permit_id = self.by_target.get((kind, name))
        return self.active[permit_id] if permit_id is not None else None

    def of_kind(self, kind: PermitKind) -> list[Permit]:
        """Tell the permits of one kind, by name."""
        return sorted((one for one in self.active.values() if one.kind is kind), key=lambda one: one.name)

    def unavailable(self, kind: PermitKind, availability: Availability) -> dict[str, str]:
        """Tell what counts as out: places taken, what is out unplanned, what nobody can tell about; with zones."""
        unknown = {
            f"#{at}": "" for at in range(availability.total - len(availability.up.keys() | availability.down.keys()))
        }
        return {**unknown, **availability.down, **{one.name: one.zone for one in self.of_kind(kind)}}

    def rejection_reason(
        self,
        kind: PermitKind,
        name: str,
        zone: str,
        availability: Availability,
        limit: Most | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> str:
        """Tell why there is no room for one more to be out, or nothing."""
        if limit is None:
            return f"no (maintenance ({kind.value}s ...)) states how many {kind.value}s may be out"
        unavailable = {**self.unavailable(kind, availability), name: zone}
        total = max(availability.total, len(availability.up.keys() | availability.down.keys()))
        if len(unavailable) > (allowed := limit.allowed(total)):
            return (
                f"{len(unavailable)} {kind.value}s of {total} would be out, "
                f"{allowed} may: {_describe_unavailable(unavailable, name)}"
            )
        # A member whose zone is unknown may be of any; so may one that nobody has heard of.
        in_zone = {one: where for one, where in unavailable.items() if not zone or not where or where == zone}
        known = {**availability.down, **availability.up}
        sizes = [list(known.values()).count(one) for one in set(known.values()) if one]
        size = list(known.values()).count(zone) if zone else min(sizes, default=total)
        if len(in_zone) > (allowed := limit.allowed_zone(size)):
            return (
                f"{len(in_zone)} {kind.value}s of {size} would be out in zone {zone or '(unknown)'}, "
                f"{allowed} may: {_describe_unavailable(in_zone, name)}"
            )
        for floor in floors:
            if name in floor.members or not floor.members:
                up = len(
                    [
                        one
                        for one in (floor.members or availability.up)
                        if one in availability.up and one not in unavailable
                    ]
                )
                if up < floor.min_up:
                    return f"{floor.name} would have {up} {kind.value}s, its reserves need {floor.min_up}"
        return ""

    def decide(
        self,
        now_us: int,
        request: PermitRequest,
        availability: Availability,
        limit: Most | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> PermitDecision:
        """Answer an ask; the same one again gets the same permit."""
        current = self.for_target(request.kind, request.name)
        if current is not None:
            if (current.requester, current.request_key) == (request.requester, request.request_key):
                return PermitDecision((), current)
            return PermitDecision(
                reason=f"{request.name} is out under permit {current.id} of {current.requester} already"
            )
        if request.name not in availability.up and request.name not in availability.down:
            return PermitDecision(reason=f"nobody knows a {request.kind.value} {request.name}")
        zone = availability.up.get(request.name) or availability.down.get(request.name, "")
        if reason := self.rejection_reason(request.kind, request.name, zone, availability, limit, floors):
            return PermitDecision(reason=reason)
        self.issued_count += 1  # an id that is not stored is never told, and never given again
        permit = Permit(
            f"{self.fencing_token}.{self.issued_count}",
            request.kind,
            request.name,
            zone,
            request.requester,
            request.request_key,
            PermitState.BEGUN if request.begin_at_once else PermitState.GRANTED,
            request.build,
            request.process,
        )
        return PermitDecision((permit,), permit)

    def begin(
        self,
        now_us: int,
        permit_id: str,
        process: int,
        availability: Availability,
        limit: Most | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> PermitDecision:
        """Begin what was granted, if there is still room: what went out unplanned since then has taken it."""
        permit = self.active.get(permit_id)
        if permit is None:
            return PermitDecision(reason=f"permit {permit_id} has lapsed, was withdrawn or never was")
        if permit.state is not PermitState.GRANTED:
            same = permit.process == process
            return (
                PermitDecision((), permit)
                if same
                else PermitDecision(reason=f"permit {permit_id} was begun by another process")
            )
        if now_us >= self.lease_ends.get(permit_id, 0):
            return PermitDecision(reason=f"permit {permit_id} has lapsed")
        if reason := self.rejection_reason(permit.kind, permit.name, permit.zone, availability, limit, floors):
            return PermitDecision(reason=reason)
        row = msgspec.structs.replace(permit, state=PermitState.BEGUN, process=process)
        return PermitDecision((row,), row)

    def transition(self, permit_id: str, state: PermitState, build: str | None = None) -> tuple[Permit, ...]:
        """Make the rows of a step; raises PermitError where the table has none such."""
        permit = self.active.get(permit_id)
        if permit is None:
            raise PermitError(f"there is no permit {permit_id}")
        if permit.state is not state and state not in TRANSITIONS[permit.state]:
            raise PermitError(
                f"permit {permit_id} of {permit.name} is {permit.state.value}, and cannot be {state.value} next"
            )
        row = msgspec.structs.replace(permit, state=state, build=permit.build if build is None else build)
        return () if row == permit else (row,)

    def expired(self, now_us: int) -> tuple[Permit, ...]:
        """Make the rows of what was granted, never begun, and has lapsed."""
        return tuple(
            msgspec.structs.replace(self.active[one], state=PermitState.FREE)
            for one, until in self.lease_ends.items()
            if now_us >= until
        )


def _describe_unavailable(unavailable: Mapping[str, str], name: str) -> str:
    unknown = sum(one.startswith("#") for one in unavailable)
    rows = sorted(one for one in unavailable if one != name and not one.startswith("#"))
    told = [
        *rows[:5],
        *([f"{len(rows) - 5} more"] if len(rows) > 5 else []),
        *([f"{unknown} that nobody can tell about"] if unknown else []),
        f"and {name} itself",
    ]
    return ", ".join(told)
