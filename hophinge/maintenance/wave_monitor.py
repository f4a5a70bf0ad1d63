"""Monitors a wave of a release, and finds the problems that halt it."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from hophinge.maintenance.permits import Permit, PermitState
from hophinge.routing.maintenance_records import Release

MIN_REQUESTS = 50  # below this a failure rate is not significant
DISCONNECT_TIMEOUT_US = 10_000_000  # all heads reconnect to a restarted service within five seconds
SIGNIFICANCE = 3.0  # standard errors by which a failure rate has to exceed the allowed rate
MIN_VARIANCE = 1e-4  # of a request's outcome: a lower limit where the allowed rate is near 0


class HeadStatus(Struct, frozen=True):
    """The state of one head as far as releases need it."""

    is_connected: bool
    is_ready: bool
    build: str
    process: int
    permit: Permit | None
    accepted_requests: float
    failed_requests: float
    is_build_known: bool = True  # False: it has not sent its first report yet


class RequestCounts(NamedTuple):
    """Numbers of requests; failed requests were rejected or got no answer."""

    accepted: float
    failed: float


class Baseline(NamedTuple):
    """The process of a head and its request counts at the begin of the wave."""

    process: int
    accepted: float
    failed: float


class WaveId(NamedTuple):
    """Identifies a wave of an attempt of a release."""

    release: str
    wave: int
    attempt: int


class WaveMonitor(Struct):
    """The state of one wave; an issuer that restarts monitors it from the beginning, which only prolongs it."""

    wave_id: WaveId
    baseline: dict[str, Baseline] = {}
    began_us: dict[str, int] = {}  # when a head's permit was first observed as begun
    disconnected_us: dict[str, int] = {}  # when a restarted head was first observed without stream and permit
    stable_since_us: int = 0  # since when all heads of the wave run the build; 0: some do not

    @classmethod
    def start(cls, wave_id: WaveId, heads: Mapping[str, HeadStatus]) -> WaveMonitor:
        """Start to monitor a wave."""
        return cls(
            wave_id,
            {
                name: Baseline(head.process, head.accepted_requests, head.failed_requests)
                for name, head in heads.items()
            },
        )

    def find_problem(
        self,
        now_us: int,
        build: str,
        restarted: Collection[str],
        release: Release,
        wave: Mapping[str, HeadStatus],
        heads: Mapping[str, HeadStatus],
    ) -> str:
        """Return why the release must not continue; empty if it may.

        Args:
            now_us: The current time.
            build: The build of the release.
            restarted: Heads for which the release has requested a restart.
            release: The configuration of the release.
            wave: The heads of the wave.
            heads: All heads.

        """
        return self._find_lost_head(now_us, restarted, release, wave) or self._find_failures(
            build, release, wave, heads
        )

    def _find_lost_head(
        self, now_us: int, restarted: Collection[str], release: Release, wave: Mapping[str, HeadStatus]
    ) -> str:
        for name, head in wave.items():
            if head.is_connected or head.permit is not None or name not in restarted:
                self.disconnected_us.pop(name, None)
            elif now_us - self.disconnected_us.setdefault(name, now_us) > DISCONNECT_TIMEOUT_US:
                return f"{name} was lost while no permit let it go"
            permit = head.permit
            if permit is not None and permit.state in (PermitState.BEGUN, PermitState.OUT, PermitState.BACK):
                since_us = self.began_us.setdefault(name, now_us)
                if now_us - since_us > release.return_timeout_us:
                    return f"{name} is not back after {release.return_timeout_us / 1e6:g} s (permit {permit.id})"
            else:
                self.began_us.pop(name, None)
        return ""

    def _find_failures(
        self, build: str, release: Release, wave: Mapping[str, HeadStatus], heads: Mapping[str, HeadStatus]
    ) -> str:
        """Compare the failure rate of the wave's updated heads, together and each alone, with that of all others."""
        updated = {name: head for name, head in wave.items() if head.build == build}
        others = self.count_requests((name, head) for name, head in heads.items() if name not in updated)
        if not others.accepted:  # all heads are in the wave: compare with the rate before it
            others = RequestCounts(
                sum(row.accepted for row in self.baseline.values()), sum(row.failed for row in self.baseline.values())
            )
        allowed = (others.failed / others.accepted if others.accepted else 0.0) + release.max_failure_share
        groups = [(f"the wave's {len(updated)} heads", sorted(updated)), *((name, [name]) for name in sorted(updated))]
        for label, names in groups:
            accepted, failed = self.count_requests((name, updated[name]) for name in names)
            error = math.sqrt(max(allowed * (1 - allowed), MIN_VARIANCE) / accepted) if accepted else 0.0
            if accepted >= MIN_REQUESTS and failed / accepted > allowed + SIGNIFICANCE * error:
                return (
                    f"{label}: {failed:g} of {accepted:g} requests were refused or failed; "
                    f"{100 * allowed:.1f} % may, {100 * release.max_failure_share:g} % more than elsewhere"
                )
        return ""

    def count_requests(self, heads: Iterable[tuple[str, HeadStatus]]) -> RequestCounts:
        """Return the sums of the heads' requests since the begin of the wave, or since a later start of a head."""
        accepted = failed = 0.0
        for name, head in heads:
            baseline = self.baseline.get(name, Baseline(0, 0.0, 0.0))
            is_same_process = baseline.process == head.process and baseline.accepted <= head.accepted_requests
            accepted += head.accepted_requests - (baseline.accepted if is_same_process else 0.0)
            failed += head.failed_requests - (baseline.failed if is_same_process else 0.0)
        return RequestCounts(accepted, failed)
