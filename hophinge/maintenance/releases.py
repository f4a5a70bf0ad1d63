"""Releases: restart heads with another build wave by wave, halt on problems, and roll back.

A release only requests restarts of heads; permits decide when each may go out. Its progress is stored together with the
permits that follow from it, so that an issuer continues from there after a restart.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hophinge.maintenance.wave_monitor import HeadStatus, WaveId, WaveMonitor
from hophinge.routing.maintenance_records import Release

# The commands of a `(release ...)` form.
GO = "go"
HALT = "halt"
ROLL_BACK = "back"


class ReleaseStage(Enum):
    """The stage of a release."""

    WAITING = "waiting"
    ROLLING = "rolling"
    HALTED = "halted"
    RETURNING = "going back"
    DONE = "done"
    UNDONE = "taken back"
    DROPPED = "dropped"  # no longer configured


FINAL_STAGES = frozenset({ReleaseStage.DONE, ReleaseStage.UNDONE, ReleaseStage.DROPPED})


class ReleaseProgress(Struct, frozen=True):
    """The durable state of a release; previous builds are stored before a head is asked to restart."""

    name: str
    build: str
    order: int = msgspec.field(name="began")  # releases run in this order
    stage: ReleaseStage = ReleaseStage.WAITING
    wave: int = 0  # 0: the first wave, a single head
    attempt: int = msgspec.field(default=0, name="again")
    halted_automatically: bool = msgspec.field(default=False, name="by_itself")
    reason: str = ""  # why it is halted
    previous_builds: dict[str, str] = msgspec.field(default_factory=dict, name="was")  # by head, for the rollback


class RestartRequest(Struct, frozen=True):
    """A request to restart a head with a build."""

    release: str
    head: str
    build: str
    request_key: str


class RebuiltPermit(NamedTuple):
    """A permit whose head is now to come back with another build."""

    permit_id: str
    build: str


class ReleaseDecision(Struct, frozen=True):
    """The changes that follow from the state of a release."""

    progress: tuple[ReleaseProgress, ...] = ()  # to store
    requests: tuple[RestartRequest, ...] = ()
    withdrawn: tuple[str, ...] = ()  # releases whose granted permits are withdrawn
    rebuilt: tuple[RebuiltPermit, ...] = ()


def rollout_order(names: Iterable[str]) -> list[str]:
    """Return heads in the order of their restarts: by a hash of the name, so it is the same for all releases."""
    return sorted(names, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())


class Releases:
    """All releases of an installation; one runs at a time."""

    def __init__(self, progress: Iterable[ReleaseProgress] = ()) -> None:
        self.progress: dict[str, ReleaseProgress] = {}  # by name
        self.apply(progress)
        self.monitor = WaveMonitor(WaveId("", 0, 0))
        self.pending_heads: list[str] = []  # heads that the wave waits for

    def apply(self, progress: Iterable[ReleaseProgress]) -> None:
        """Apply progress that has been stored."""
        for release in progress:
            if release.stage is ReleaseStage.DROPPED:
                self.progress.pop(release.name, None)
            else:
                self.progress[release.name] = release

    def active(self) -> ReleaseProgress | None:
        """Return the release that runs, or that the others wait for; None if all are finished."""
        return min(
            (release for release in self.progress.values() if release.stage not in FINAL_STAGES),
            key=lambda release: release.order,
            default=None,
        )

    def reconcile(self, configured: Mapping[str, Release]) -> tuple[ReleaseProgress, ...]:
        """Return the progress that follows from the configuration alone; the caller applies it before `decide`."""
        changes: list[ReleaseProgress] = []
        for name, release in self.progress.items():
            if name not in configured:
                changes.append(msgspec.structs.replace(release, stage=ReleaseStage.DROPPED))
        last_order = max((release.order for release in self.progress.values()), default=0)
        for name in sorted(configured):
            config = configured[name]
            known = self.progress.get(name)
            if known is None or (known.build != config.build and known.stage in FINAL_STAGES):
                last_order += 1
                changes.append(ReleaseProgress(name, config.build, last_order, attempt=config.resume_count))
            elif known.build != config.build and known.stage is not ReleaseStage.HALTED:
                reason = f"its form has another build, {config.build}; give that a name of its own"
                changes.append(_halted(known, reason))
        return tuple(changes)

    def decide(
        self, now_us: int, configured: Mapping[str, Release], heads: Mapping[str, HeadStatus]
    ) -> ReleaseDecision:
        """Return the changes for the active release, or for one that is done and is to be rolled back."""
        release = self.active() or self._release_to_undo(configured)
        if release is None or release.name not in configured:
            return ReleaseDecision()
        config = configured[release.name]
        commanded = _apply_command(release, config)
        if commanded is not release:
            withdrawn = () if commanded.stage is ReleaseStage.ROLLING else (release.name,)
            return ReleaseDecision((commanded,), withdrawn=withdrawn)
        if release.stage is ReleaseStage.ROLLING:
            return self._roll_forward(now_us, release, config, heads)
        if release.stage is ReleaseStage.RETURNING:
            return self._roll_back(release, heads)
        return ReleaseDecision()

    def _release_to_undo(self, configured: Mapping[str, Release]) -> ReleaseProgress | None:
        for release in self.progress.values():
            config = configured.get(release.name)
            if release.stage is ReleaseStage.DONE and config is not None and config.command == ROLL_BACK:
                return release
        return None

    def _roll_forward(
        self, now_us: int, release: ReleaseProgress, config: Release, heads: Mapping[str, HeadStatus]
    ) -> ReleaseDecision:
        monitor = self._monitor_for(release, heads)
        targets = rollout_order(config.heads or heads)
        wave = targets[: _wave_size(release, config, len(targets))]
        wave_heads = {name: heads[name] for name in wave if name in heads}
        problem = monitor.find_problem(now_us, release.build, release.previous_builds, config, wave_heads, heads)
        if problem:
            return ReleaseDecision((_halted(release, problem),), withdrawn=(release.name,))
        pending = [name for name in wave if name not in heads or not _runs_build(heads[name], release.build)]
        self.pending_heads = pending
        if pending:
            monitor.stable_since_us = 0
            return _request_restarts(release, pending, heads)
        monitor.stable_since_us = monitor.stable_since_us or now_us
        if now_us - monitor.stable_since_us < config.soak_us:
            return ReleaseDecision()
        if release.wave < len(config.waves) and len(wave) < len(targets):
            return ReleaseDecision((msgspec.structs.replace(release, wave=release.wave + 1),))
        return ReleaseDecision((msgspec.structs.replace(release, stage=ReleaseStage.DONE),))

    def _monitor_for(self, release: ReleaseProgress, heads: Mapping[str, HeadStatus]) -> WaveMonitor:
        wave_id = WaveId(release.name, release.wave, release.attempt)
        if self.monitor.wave_id != wave_id:
            self.monitor = WaveMonitor.start(wave_id, heads)
        return self.monitor

    def _roll_back(self, release: ReleaseProgress, heads: Mapping[str, HeadStatus]) -> ReleaseDecision:
        requests: list[RestartRequest] = []
        rebuilt: list[RebuiltPermit] = []
        is_pending = False
        for name in rollout_order(release.previous_builds):
            build = release.previous_builds[name]
            head = heads.get(name)
            if head is not None and _runs_build(head, build):
                continue
            is_pending = True
            if head is None:
                continue
            if head.permit is not None:
                if head.permit.requester == f"release {release.name}" and head.permit.build != build:
                    rebuilt.append(RebuiltPermit(head.permit.id, build))
            elif _needs_restart(head, build):
                key = f"{release.name}/{release.attempt}/{build}/back"
                requests.append(RestartRequest(release.name, name, build, key))
        if not is_pending:
            return ReleaseDecision((msgspec.structs.replace(release, stage=ReleaseStage.UNDONE),))
        return ReleaseDecision((), tuple(requests), rebuilt=tuple(rebuilt))


def _apply_command(release: ReleaseProgress, config: Release) -> ReleaseProgress:
    """Return the release after the command of its configuration; the same object if nothing changes."""
    replace = msgspec.structs.replace
    if config.command == HALT and release.stage in (
        ReleaseStage.WAITING,
        ReleaseStage.ROLLING,
        ReleaseStage.RETURNING,
    ):
        return replace(release, stage=ReleaseStage.HALTED, halted_automatically=False, reason="halted by word")
    if config.command == ROLL_BACK and release.stage is not ReleaseStage.RETURNING:
        attempt = max(release.attempt, config.resume_count)
        return replace(release, stage=ReleaseStage.RETURNING, reason="", attempt=attempt)
    if config.command == GO and config.build == release.build:
        is_halted_by_command = release.stage is ReleaseStage.HALTED and not release.halted_automatically
        if release.stage is ReleaseStage.WAITING or is_halted_by_command:
            attempt = max(release.attempt, config.resume_count)
            return replace(release, stage=ReleaseStage.ROLLING, reason="", attempt=attempt)
        if release.stage in (ReleaseStage.HALTED, ReleaseStage.RETURNING) and config.resume_count > release.attempt:
            return replace(release, stage=ReleaseStage.ROLLING, reason="", attempt=config.resume_count)
    return release


def _wave_size(release: ReleaseProgress, config: Release, target_count: int) -> int:
    if release.wave == 0:
        return 1
    share = config.waves[min(release.wave - 1, len(config.waves) - 1)]
    return max(1, math.ceil(share * target_count - 1e-9))


def _request_restarts(
    release: ReleaseProgress, pending: Iterable[str], heads: Mapping[str, HeadStatus]
) -> ReleaseDecision:
    """Return requests to restart pending heads, and the progress with their current builds for a rollback."""
    key = f"{release.name}/{release.attempt}/{release.build}"
    requests = tuple(
        RestartRequest(release.name, name, release.build, key)
        for name in pending
        if name in heads and _needs_restart(heads[name], release.build)
    )
    previous_builds = {
        **{request.head: heads[request.head].build for request in requests},
        **release.previous_builds,
    }
    if previous_builds == release.previous_builds:
        return ReleaseDecision((), requests)
    return ReleaseDecision((msgspec.structs.replace(release, previous_builds=previous_builds),), requests)


def _halted(release: ReleaseProgress, reason: str) -> ReleaseProgress:
    return msgspec.structs.replace(release, stage=ReleaseStage.HALTED, halted_automatically=True, reason=reason)


def _runs_build(head: HeadStatus, build: str) -> bool:
    return head.is_connected and head.is_ready and head.permit is None and head.build == build


def _needs_restart(head: HeadStatus, build: str) -> bool:
    """Whether a head needs a restart to run a build; a head of unknown build may run it already."""
    return head.is_connected and head.is_build_known and head.permit is None and head.build != build
