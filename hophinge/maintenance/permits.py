"""Permits to be offline: the table of permits, the limits on how many processes may be out, and the transitions.

A permit is requested, granted, begun, out, back and free. Until it begins it is a lease: the requester may begin within
`BEGIN_US` of its request by its own clock, and the issuer keeps the permit for `LEASE_US` from the grant by its own
clock. The grant is later than the request, and its period is longer by more than two clocks can drift apart. A begin
counts once the issuer has stored it, and the requester acts only after the confirmation: the clocks only avoid
rejections, the store provides safety. A permit that has begun is freed only by evidence or by an operator, never by a
timeout.

Every change is computed as rows first. The owner of the table stores the rows, then applies them: a failure in between
leaves nothing half done.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

import msgspec
from msgspec import Struct

from hophinge.core.errors import HophingeError
from hophinge.routing.maintenance_records import DisruptionBudget

BEGIN_US = 20_000_000  # from the request, by the requester's clock
MAX_CLOCK_DRIFT = 0.01  # relative, between two monotonic clocks, as in tenancy/share_leases.py
# From the grant, by the issuer's clock; 10 s for messages in flight.
LEASE_US = int(BEGIN_US * (1 + MAX_CLOCK_DRIFT)) + 10_000_000

MAX_NAMED = 5  # processes that the reason of a rejection names


class PermitError(HophingeError):
    """The permit does not exist or its state does not allow the transition; nothing was changed."""

    code = "permit-unfit"
    remedy = "Read the permit's state in `hophinge control status` and free it by its id if it is out for good."


class PermitKind(Enum):
    """The kind of process that a permit is for."""

    HEAD = "head"
    BACKEND = "brick"


class PermitState(Enum):
    """The state of a permit; a request that has not been granted has no row."""

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
    """The permission for one process to be out."""

    id: str
    kind: PermitKind
    name: str
    zone: str
    # `release NAME`, `outage NAME` or `head NAME`.
    requester: str = msgspec.field(name="by")
    request_key: str = msgspec.field(name="key")  # a repeated request gets the same permit
    state: PermitState = PermitState.GRANTED
    build: str = ""  # that the head is to run when it is back; empty: any
    process: int = 0  # id of the head's process that has begun; 0: unknown


class Availability(Struct, frozen=True):
    """The zones of the processes of one kind, by name (empty: unknown); `total` includes those of unknown name."""

    total: int
    up: Mapping[str, str]
    down: Mapping[str, str]  # known processes that are not certainly up


class CapacityFloor(Struct, frozen=True):
    """A number of processes that must stay up, whatever the limits allow; of all if `members` is empty."""

    name: str
    members: Collection[str]
    min_up: int


class PermitRequest(Struct, frozen=True):
    """A request for a permit."""

    kind: PermitKind
    name: str
    requester: str
    request_key: str
    build: str = ""
    begin_at_once: bool = False  # granted and begun in one step, for an operator
    process: int = 0  # id of the process of the head that is to go offline; 0: unknown


class PermitDecision(Struct, frozen=True):
    """A permit with the rows to store, or the reason of a rejection."""

    rows: tuple[Permit, ...] = ()
    permit: Permit | None = None
    reason: str = ""


class PermitTable:
    """All permits that are not free; the fencing token makes their ids unique among all issuers of the store."""

    def __init__(self, rows: Iterable[Permit], fencing_token: int, now_us: int) -> None:
        self.fencing_token = fencing_token
        self.issued_count = 0
        self.active: dict[str, Permit] = {}  # by id
        self.by_target: dict[tuple[PermitKind, str], str] = {}  # permit ids
        self.lease_ends: dict[str, int] = {}  # of permits that have not begun, in microseconds by id
        # The times of the grants are not stored: their leases begin now.
        self.apply(now_us, tuple(row for row in rows if row.state is not PermitState.FREE))

    def apply(self, now_us: int, rows: Iterable[Permit]) -> None:
        """Apply rows that have been stored."""
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
        """Return the permit of a process, None if it has none."""
        permit_id = self.by_target.get((kind, name))
        return self.active[permit_id] if permit_id is not None else None

    def of_kind(self, kind: PermitKind) -> list[Permit]:
        """Return the permits of one kind, sorted by name."""
        return sorted(
            (permit for permit in self.active.values() if permit.kind is kind), key=lambda permit: permit.name
        )

    def unavailable(self, kind: PermitKind, availability: Availability) -> dict[str, str]:
        """Return the zones of all processes that count as out, by name: with a permit, down, or of unknown name."""
        known = availability.up.keys() | availability.down.keys()
        unknown = {f"#{number}": "" for number in range(availability.total - len(known))}
        return {**unknown, **availability.down, **{permit.name: permit.zone for permit in self.of_kind(kind)}}

    def rejection_reason(
        self,
        kind: PermitKind,
        name: str,
        zone: str,
        availability: Availability,
        limit: DisruptionBudget | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> str:
        """Return why the process may not go out; empty if it may."""
        if limit is None:
            return f"no (maintenance ({kind.value}s ...)) states how many {kind.value}s may be out"
        unavailable = {**self.unavailable(kind, availability), name: zone}
        return (
            _total_rejection(kind, name, unavailable, availability, limit)
            or _zone_rejection(kind, name, zone, unavailable, availability, limit)
            or _floor_rejection(kind, name, unavailable, availability, floors)
        )

    def decide(
        self,
        now_us: int,
        request: PermitRequest,
        availability: Availability,
        limit: DisruptionBudget | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> PermitDecision:
        """Decide on a request; a repeated request gets the same permit."""
        current = self.for_target(request.kind, request.name)
        if current is not None:
            if (current.requester, current.request_key) == (request.requester, request.request_key):
                return PermitDecision((), current)
            return PermitDecision(reason=f"{request.name} already has permit {current.id} of {current.requester}")
        if request.name not in availability.up and request.name not in availability.down:
            return PermitDecision(reason=f"there is no known {request.kind.value} {request.name}")
        zone = availability.up.get(request.name) or availability.down.get(request.name, "")
        if reason := self.rejection_reason(request.kind, request.name, zone, availability, limit, floors):
            return PermitDecision(reason=reason)
        self.issued_count += 1  # an id whose row was not stored is neither sent nor reused
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
        limit: DisruptionBudget | None,
        floors: Iterable[CapacityFloor] = (),
    ) -> PermitDecision:
        """Begin a permit that was granted, unless it has expired or the limits, checked again, now forbid it."""
        permit = self.active.get(permit_id)
        if permit is None:
            return PermitDecision(reason=f"permit {permit_id} has expired, was withdrawn or never existed")
        if permit.state is not PermitState.GRANTED:
            if permit.process == process:
                return PermitDecision((), permit)
            return PermitDecision(reason=f"permit {permit_id} was begun by another process")
        if now_us >= self.lease_ends.get(permit_id, 0):
            return PermitDecision(reason=f"permit {permit_id} has expired")
        if reason := self.rejection_reason(permit.kind, permit.name, permit.zone, availability, limit, floors):
            return PermitDecision(reason=reason)
        row = msgspec.structs.replace(permit, state=PermitState.BEGUN, process=process)
        return PermitDecision((row,), row)

    def transition(self, permit_id: str, state: PermitState, build: str | None = None) -> tuple[Permit, ...]:
        """Return the rows of a transition, empty if nothing changes.

        Raises:
            PermitError: There is no such permit, or its state does not allow the transition.

        """
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
        """Return the rows that free permits whose lease has expired before their begin."""
        return tuple(
            msgspec.structs.replace(self.active[permit_id], state=PermitState.FREE)
            for permit_id, end_us in self.lease_ends.items()
            if now_us >= end_us
        )


def _total_rejection(
    kind: PermitKind, name: str, unavailable: Mapping[str, str], availability: Availability, limit: DisruptionBudget
) -> str:
    total = max(availability.total, len(availability.up.keys() | availability.down.keys()))
    allowed = limit.allowed_out(total)
    if len(unavailable) <= allowed:
        return ""
    return (
        f"{len(unavailable)} {kind.value}s of {total} would be out, "
        f"{allowed} may: {_describe_unavailable(unavailable, name)}"
    )


def _zone_rejection(
    kind: PermitKind,
    name: str,
    zone: str,
    unavailable: Mapping[str, str],
    availability: Availability,
    limit: DisruptionBudget,
) -> str:
    # A process whose zone is unknown may be in any zone.
    in_zone = {
        process: process_zone
        for process, process_zone in unavailable.items()
        if not zone or not process_zone or process_zone == zone
    }
    zones = list({**availability.down, **availability.up}.values())
    zone_sizes = [zones.count(other_zone) for other_zone in set(zones) if other_zone]
    smallest_size = min(zone_sizes, default=max(availability.total, len(zones)))
    size = zones.count(zone) if zone else smallest_size
    allowed = limit.allowed_out_of_zone(size)
    if len(in_zone) <= allowed:
        return ""
    return (
        f"{len(in_zone)} {kind.value}s of {size} would be out in zone {zone or '(unknown)'}, "
        f"{allowed} may: {_describe_unavailable(in_zone, name)}"
    )


def _floor_rejection(
    kind: PermitKind,
    name: str,
    unavailable: Mapping[str, str],
    availability: Availability,
    floors: Iterable[CapacityFloor],
) -> str:
    for floor in floors:
        if name in floor.members or not floor.members:
            members = floor.members or availability.up
            up_count = sum(member in availability.up and member not in unavailable for member in members)
            if up_count < floor.min_up:
                return f"{floor.name} would have {up_count} {kind.value}s, it needs at least {floor.min_up}"
    return ""


def _describe_unavailable(unavailable: Mapping[str, str], name: str) -> str:
    """Return the names of the first few unavailable processes, the number of the others, and the requesting one."""
    unknown = sum(process.startswith("#") for process in unavailable)
    others = sorted(process for process in unavailable if process != name and not process.startswith("#"))
    shown = others[:MAX_NAMED]
    if len(others) > MAX_NAMED:
        shown.append(f"{len(others) - MAX_NAMED} more")
    if unknown:
        shown.append(f"{unknown} of unknown name")
    return ", ".join([*shown, f"and {name} itself"])
