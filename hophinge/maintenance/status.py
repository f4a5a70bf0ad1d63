"""What staff are told of permits, outages and releases, and of who still owes its word."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.permits import Permit, PermitKind, PermitState
from hophinge.maintenance.releases import FINAL_STAGES, ReleaseProgress, ReleaseStage
from hophinge.maintenance.retirement import absent_heads

MAX_NAMED = 20  # heads whose word is missing, named for one brick, and heads that are away


def maintenance_status(one: PermitIssuer, since_ms: Callable[[str], int] = lambda name: 0) -> dict[str, Any]:
    """Tell it as plain rows; `since_ms` tells when a head that is away was here last, since 1970."""
    heads = one.observations.head_availability(one.policy.retired)
    return {
        "heads_up": len(heads.up),
        "heads": max(heads.total, len(heads.up) + len(heads.down)),
        "absent": absent_heads(
            one.observations.heads, one.observations.connected(), one.policy.retired, since_ms, MAX_NAMED
        ),
        "permits": [_permit(one, permit) for kind in PermitKind for permit in one.permits.of_kind(kind)],
        "waiting": [
            {"kind": kind.value, "name": name, "why": why}
            for (kind, name), why in sorted(one.waiting_reasons.items(), key=lambda row: (row[0][0].value, row[0][1]))
        ],
        "releases": [
            {
                "name": course.name,
                "build": course.build,
                "stage": course.stage.value,
                "wave": course.wave,
                "again": course.attempt,
                "touched": len(course.previous_builds),
                "reason": course.reason or _waits(one, course),
            }
            for course in sorted(one.releases.progress.values(), key=lambda row: (row.stage in FINAL_STAGES, row.order))
        ],
    }


def _waits(one: PermitIssuer, course: ReleaseProgress) -> str:
    active = one.releases.active()
    if active is not None and active is not course and course.stage is ReleaseStage.WAITING:
        return f"waits for {active.name}"
    if active is course and course.stage is ReleaseStage.ROLLING and one.releases.pending_heads:
        left = one.releases.pending_heads
        return f"waits for {', '.join(left[:5])}" + (f" and {len(left) - 5} more" if len(left) > 5 else "")
    return ""


def _permit(one: PermitIssuer, permit: Permit) -> dict[str, Any]:
    missing: tuple[str, ...] = ()
    if permit.kind is PermitKind.BACKEND and permit.state in (PermitState.BEGUN, PermitState.OUT):
        missing = one.verdict(permit).missing
    state = permit.state.value
    if permit.kind is PermitKind.BACKEND:
        state = {PermitState.BEGUN: "draining", PermitState.OUT: "drained", PermitState.BACK: "back, cold"}.get(
            permit.state, state
        )
        if permit.state is PermitState.OUT and missing:
            state = "draining again"  # a head is here that had not heard of it, or somebody took the brick up
    return {
        "id": permit.id,
        "kind": permit.kind.value,
        "name": permit.name,
        "zone": permit.zone,
        "by": permit.requester,
        "state": state,
        "build": permit.build,
        "missing": list(missing[:MAX_NAMED]),
        "missing_count": len(missing),
        "served": one.drain_statements.served_count(permit.id) if permit.state is PermitState.BACK else 0,
    }
