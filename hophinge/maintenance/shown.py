"""What staff are told of permits, outages and releases, and of who still owes its word."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hophinge.maintenance.coordinator import Coordinator
from hophinge.maintenance.naming import absent
from hophinge.maintenance.permits import Kind, Permit, State
from hophinge.maintenance.releases import ENDED, Course, Stage

MAX_NAMED = 20  # heads whose word is missing, named for one brick, and heads that are away


def shown(one: Coordinator, since_ms: Callable[[str], int] = lambda name: 0) -> dict[str, Any]:
    """Tell it as plain rows; `since_ms` tells when a head that is away was here last, since 1970."""
    heads = one.observations.of_heads(one.rule.retired)
    return {
        "heads_up": len(heads.up),
        "heads": max(heads.total, len(heads.up) + len(heads.down)),
        "absent": absent(one.observations.heads, one.observations.connected(), one.rule.retired, since_ms, MAX_NAMED),
        "permits": [_permit(one, permit) for kind in Kind for permit in one.permits.all(kind)],
        "waiting": [
            {"kind": kind.value, "name": name, "why": why}
            for (kind, name), why in sorted(one.reasons.items(), key=lambda row: (row[0][0].value, row[0][1]))
        ],
        "releases": [
            {
                "name": course.name,
                "build": course.build,
                "stage": course.stage.value,
                "wave": course.wave,
                "again": course.again,
                "touched": len(course.was),
                "reason": course.reason or _waits(one, course),
            }
            for course in sorted(one.releases.courses.values(), key=lambda row: (row.stage in ENDED, row.began))
        ],
    }


def _waits(one: Coordinator, course: Course) -> str:
    active = one.releases.active()
    if active is not None and active is not course and course.stage is Stage.WAITING:
        return f"waits for {active.name}"
    if active is course and course.stage is Stage.ROLLING and one.releases.left:
        left = one.releases.left
        return f"waits for {', '.join(left[:5])}" + (f" and {len(left) - 5} more" if len(left) > 5 else "")
    return ""


def _permit(one: Coordinator, permit: Permit) -> dict[str, Any]:
    missing: tuple[str, ...] = ()
    if permit.kind is Kind.BACKEND and permit.state in (State.BEGUN, State.OUT):
        missing = one.verdict(permit).missing
    state = permit.state.value
    if permit.kind is Kind.BACKEND:
        state = {State.BEGUN: "draining", State.OUT: "drained", State.BACK: "back, cold"}.get(permit.state, state)
        if permit.state is State.OUT and missing:
            state = "draining again"  # a head is here that had not heard of it, or somebody took the brick up
    return {
        "id": permit.id,
        "kind": permit.kind.value,
        "name": permit.name,
        "zone": permit.zone,
        "by": permit.by,
        "state": state,
        "build": permit.build,
        "missing": list(missing[:MAX_NAMED]),
        "missing_count": len(missing),
        "served": one.drains.served(permit.id) if permit.state is State.BACK else 0,
    }
