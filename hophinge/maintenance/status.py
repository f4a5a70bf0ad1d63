"""The status of permits, outages and releases for operators, and the heads whose statements are missing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hophinge.maintenance.issuer import PermitIssuer
from hophinge.maintenance.permits import Permit, PermitKind, PermitState
from hophinge.maintenance.releases import FINAL_STAGES, ReleaseProgress, ReleaseStage
from hophinge.maintenance.retirement import absent_heads

MAX_NAMED = 20  # heads named whose statements are missing for one backend, and absent heads
MAX_PENDING_NAMED = 5  # heads named that a release waits for
BACKEND_STATES = {
    PermitState.BEGUN: "draining",
    PermitState.OUT: "drained",
    PermitState.BACK: "back, cold",
}


def maintenance_status(issuer: PermitIssuer, since_ms: Callable[[str], int] = lambda name: 0) -> dict[str, Any]:
    """Return the status as JSON values.

    Args:
        issuer: The issuer of permits.
        since_ms: Returns when an absent head was connected last, in milliseconds since 1970; 0: unknown.

    """
    heads = issuer.observations.head_availability(issuer.policy.retired_heads)
    return {
        "heads_up": len(heads.up),
        "heads": max(heads.total, len(heads.up) + len(heads.down)),
        "absent": [
            {"name": head.name, "since_ms": head.since_ms, "word": head.remedy}
            for head in absent_heads(
                issuer.observations.heads,
                issuer.observations.connected(),
                issuer.policy.retired_heads,
                since_ms,
                MAX_NAMED,
            )
        ],
        "permits": [_permit(issuer, permit) for kind in PermitKind for permit in issuer.permits.of_kind(kind)],
        "waiting": [
            {"kind": kind.value, "name": name, "why": reason}
            for (kind, name), reason in sorted(
                issuer.waiting_reasons.items(), key=lambda row: (row[0][0].value, row[0][1])
            )
        ],
        "releases": [
            _release(issuer, release)
            for release in sorted(
                issuer.releases.progress.values(), key=lambda row: (row.stage in FINAL_STAGES, row.order)
            )
        ],
    }


def _release(issuer: PermitIssuer, release: ReleaseProgress) -> dict[str, Any]:
    return {
        "name": release.name,
        "build": release.build,
        "stage": release.stage.value,
        "wave": release.wave,
        "again": release.attempt,
        "touched": len(release.previous_builds),
        "reason": release.reason or _waiting_reason(issuer, release),
    }


def _waiting_reason(issuer: PermitIssuer, release: ReleaseProgress) -> str:
    active = issuer.releases.active()
    if active is not None and active is not release and release.stage is ReleaseStage.WAITING:
        return f"waits for {active.name}"
    if active is release and release.stage is ReleaseStage.ROLLING and issuer.releases.pending_heads:
        pending = issuer.releases.pending_heads
        more = len(pending) - MAX_PENDING_NAMED
        return f"waits for {', '.join(pending[:MAX_PENDING_NAMED])}" + (f" and {more} more" if more > 0 else "")
    return ""


def _permit(issuer: PermitIssuer, permit: Permit) -> dict[str, Any]:
    missing: tuple[str, ...] = ()
    if permit.kind is PermitKind.BACKEND and permit.state in (PermitState.BEGUN, PermitState.OUT):
        missing = issuer.verdict(permit).missing
    state = permit.state.value
    if permit.kind is PermitKind.BACKEND:
        state = BACKEND_STATES.get(permit.state, state)
        if permit.state is PermitState.OUT and missing:
            state = "draining again"  # a head that has not drained has connected, or an operator restored the backend
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
        "served": issuer.drain_statements.served_count(permit.id) if permit.state is PermitState.BACK else 0,
    }
