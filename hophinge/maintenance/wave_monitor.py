"""What is seen of a wave while it runs, and what in it is trouble."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from hophinge.maintenance.permits import Permit, PermitState
from hophinge.routing.bounds import Release

MIN_REQUESTS = 50  # requests before a share of failures tells anything
DISCONNECT_TIMEOUT_US = (
    10_000_000  # without a stream before a head is lost: a service that starts has all back within five seconds
)
SIGNIFICANCE = 3.0  # standard errors by which a share has to be over what is allowed


class HeadStatus(Struct, frozen=True):
    """One head as a release sees it."""

    is_connected: bool
    is_ready: bool
    build: str
    process: int
    permit: Permit | None
    accepted_requests: float
    failed_requests: float
    is_build_known: bool = True  # False: it will tell what it runs and has not yet


class WaveMonitor(Struct):
    """One wave; a coordinator that starts sees it anew, which only makes it wait longer."""

    wave_id: tuple[str, int, int]  # release, wave, again
    baseline: dict[str, tuple[int, float, float]] = {}  # process, taken and failed of each head when it began
    began_us: dict[str, int] = {}
    disconnected_us: dict[str, int] = {}
    stable_since_us: int = 0

    @classmethod
    def start(cls, wave_id: tuple[str, int, int], heads: Mapping[str, HeadStatus]) -> WaveMonitor:
        """Begin to watch a wave."""
        return cls(
            wave_id, {name: (one.process, one.accepted_requests, one.failed_requests) for name, one in heads.items()}
        )

    def find_problem(
        self,
        now_us: int,
        build: str,
        touched: Collection[str],
        release: Release,
        wave: Mapping[str, HeadStatus],
        heads: Mapping[str, HeadStatus],
    ) -> str:
        """Tell why the release must not go on, or nothing; `touched` are heads that it has wanted out."""
        for name, one in wave.items():
            if one.is_connected or one.permit is not None or name not in touched:
                self.disconnected_us.pop(name, None)
            elif now_us - self.disconnected_us.setdefault(name, now_us) > DISCONNECT_TIMEOUT_US:
                return f"{name} was lost while no permit let it go"
            if one.permit is not None and one.permit.state in (PermitState.BEGUN, PermitState.OUT, PermitState.BACK):
                since = self.began_us.setdefault(name, now_us)
                if now_us - since > release.patience_us:
                    return f"{name} is not back after {release.patience_us / 1e6:g} s (permit {one.permit.id})"
            else:
                self.began_us.pop(name, None)
        there = {name: one for name, one in wave.items() if one.build == build}
        taken, failed = self.count_requests((name, one) for name, one in heads.items() if name not in there)
        if not taken:  # all are in the wave: what was usual before it has to do
            taken, failed = (sum(row[at] for row in self.baseline.values()) for at in (1, 2))
        allowed = (failed / taken if taken else 0.0) + release.refused
        for told, names in [
            (f"the wave's {len(there)} heads", sorted(there)),
            *((name, [name]) for name in sorted(there)),
        ]:
            taken, failed = self.count_requests((name, there[name]) for name in names)
            error = math.sqrt(max(allowed * (1 - allowed), 1e-4) / taken) if taken else 0.0
            if taken >= MIN_REQUESTS and failed / taken > allowed + SIGNIFICANCE * error:
                return (
                    f"{told}: {failed:g} of {taken:g} requests were refused or failed; "
                    f"{100 * allowed:.1f} % may, {100 * release.refused:g} % more than elsewhere"
                )
        return ""

    def count_requests(self, views: Iterable[tuple[str, HeadStatus]]) -> tuple[float, float]:
        """Sum what was taken and failed since the wave began, or since a process that began later did."""
        taken = failed = 0.0
        for name, one in views:
            process, was_taken, was_failed = self.baseline.get(name, (0, 0.0, 0.0))
            same = process == one.process and was_taken <= one.accepted_requests
            taken += one.accepted_requests - (was_taken if same else 0.0)
            failed += one.failed_requests - (was_failed if same else 0.0)
        return taken, failed
