"""Releases: which head is to come back with which build, wave by wave, what halts that, and the way back.

A release takes no place itself: it names the heads that it wants out, and whoever holds the permits decides. Its
course is stored with the permits that follow from it, so a coordinator that ends anywhere goes on from there.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec
from msgspec import Struct

from hophinge.maintenance.wave_monitor import HeadStatus, WaveMonitor
from hophinge.routing.bounds import Release


class ReleaseStage(Enum):
    """Where a release stands."""

    WAITING = "waiting"
    ROLLING = "rolling"
    HALTED = "halted"
    RETURNING = "going back"
    DONE = "done"
    UNDONE = "taken back"
    DROPPED = "dropped"  # its form is gone


FINAL_STAGES = frozenset({ReleaseStage.DONE, ReleaseStage.UNDONE, ReleaseStage.DROPPED})


class ReleaseProgress(Struct, frozen=True):
    """What outlives the coordinator. `was` is stored before a head is asked to go, and is its way back."""

    name: str
    build: str
    order: int = msgspec.field(name="began")  # the order among releases
    stage: ReleaseStage = ReleaseStage.WAITING
    wave: int = 0  # 0: one head alone
    attempt: int = msgspec.field(default=0, name="again")
    halted_automatically: bool = msgspec.field(default=False, name="by_itself")  # what halted it
    reason: str = ""
    previous_builds: dict[str, str] = msgspec.field(default_factory=dict, name="was")


class RestartRequest(Struct, frozen=True):
    """A head that is to go out and come back with a build."""

    release: str
    head: str
    build: str
    request_key: str


class ReleaseDecision(Struct, frozen=True):
    """What a look led to: courses to store, places wanted, grants to withdraw, permits whose build is another now."""

    progress: tuple[ReleaseProgress, ...] = ()
    requests: tuple[RestartRequest, ...] = ()
    withdrawn: tuple[str, ...] = ()  # releases
    rebuilt: tuple[tuple[str, str], ...] = ()  # permit and build


def rollout_order(names: Iterable[str]) -> list[str]:
    """Tell heads in the order in which releases reach them."""
    return sorted(names, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())


class Releases:
    """All releases of an installation; one runs at a time."""

    def __init__(self, progress: Iterable[ReleaseProgress] = ()) -> None:
        self.progress: dict[str, ReleaseProgress] = {}
        self.apply(progress)
        self.monitor = WaveMonitor(("", 0, 0))
        self.pending_heads: list[str] = []  # heads that the wave waits for

    def apply(self, progress: Iterable[ReleaseProgress]) -> None:
        """Take courses that are stored."""
        for one in progress:
            if one.stage is ReleaseStage.DROPPED:
                self.progress.pop(one.name, None)
            else:
                self.progress[one.name] = one

    def active(self) -> ReleaseProgress | None:
        """Tell the release that runs, or that the others wait for."""
        return min(
            (one for one in self.progress.values() if one.stage not in FINAL_STAGES),
            key=lambda one: one.order,
            default=None,
        )

    def reconcile(self, configured: Mapping[str, Release]) -> tuple[ReleaseProgress, ...]:
        """Make the courses that follow from the forms alone; they are taken before the next `look`."""
        made: list[ReleaseProgress] = []
        for name, course in self.progress.items():
            if name not in configured:
                made.append(msgspec.structs.replace(course, stage=ReleaseStage.DROPPED))
        last = max((one.order for one in self.progress.values()), default=0)
        for name in sorted(configured):
            form, known = configured[name], self.progress.get(name)
            if known is None or (known.build != form.build and known.stage in FINAL_STAGES):
                last += 1
                made.append(ReleaseProgress(name, form.build, last, attempt=form.again))
            elif known.build != form.build and known.stage is not ReleaseStage.HALTED:
                made.append(_halted(known, f"its form has another build, {form.build}; give that a name of its own"))
        return tuple(made)

    def decide(
        self, now_us: int, configured: Mapping[str, Release], heads: Mapping[str, HeadStatus]
    ) -> ReleaseDecision:
        """Judge the release that runs, and tell what follows."""
        undo = next(
            (
                one
                for one in self.progress.values()
                if one.stage is ReleaseStage.DONE and one.name in configured and configured[one.name].word == "back"
            ),
            None,
        )
        course = self.active() or undo
        if course is None or course.name not in configured:
            return ReleaseDecision()
        spoken = self._apply_command(course, configured[course.name])
        if spoken is not course:
            withdrawn = () if spoken.stage is ReleaseStage.ROLLING else (course.name,)
            return ReleaseDecision((spoken,), withdrawn=withdrawn)
        if course.stage is ReleaseStage.ROLLING:
            return self._roll_forward(now_us, course, configured[course.name], heads)
        if course.stage is ReleaseStage.RETURNING:
            return self._roll_back(course, heads)
        return ReleaseDecision()

    def _apply_command(self, course: ReleaseProgress, form: Release) -> ReleaseProgress:
        """Follow the form's word."""
        changed = msgspec.structs.replace
        if form.word == "halt" and course.stage in (ReleaseStage.WAITING, ReleaseStage.ROLLING, ReleaseStage.RETURNING):
            return changed(course, stage=ReleaseStage.HALTED, halted_automatically=False, reason="halted by word")
        if form.word == "back" and course.stage is not ReleaseStage.RETURNING:
            return changed(course, stage=ReleaseStage.RETURNING, reason="", attempt=max(course.attempt, form.again))
        if form.word == "go" and form.build == course.build:
            if course.stage is ReleaseStage.WAITING or (
                course.stage is ReleaseStage.HALTED and not course.halted_automatically
            ):
                return changed(course, stage=ReleaseStage.ROLLING, reason="", attempt=max(course.attempt, form.again))
            if course.stage in (ReleaseStage.HALTED, ReleaseStage.RETURNING) and form.again > course.attempt:
                return changed(course, stage=ReleaseStage.ROLLING, reason="", attempt=form.again)
        return course

    def _roll_forward(
        self, now_us: int, course: ReleaseProgress, form: Release, heads: Mapping[str, HeadStatus]
    ) -> ReleaseDecision:
        watch = self._monitor_for(course, heads)
        targets = rollout_order(form.heads or heads)
        share = form.waves[min(course.wave - 1, len(form.waves) - 1)]
        wave = targets[: 1 if course.wave == 0 else max(1, math.ceil(share * len(targets) - 1e-9))]
        views = {name: heads[name] for name in wave if name in heads}
        if reason := watch.find_problem(now_us, course.build, course.previous_builds, form, views, heads):
            return ReleaseDecision((_halted(course, reason),), withdrawn=(course.name,))
        left = self.pending_heads = [
            name for name in wave if name not in views or not _runs_build(views[name], course.build)
        ]
        if left:
            watch.stable_since_us = 0
            wants = tuple(
                RestartRequest(course.name, name, course.build, f"{course.name}/{course.attempt}/{course.build}")
                for name in left
                if name in views and _needs_restart(views[name], course.build)
            )
            was = {**{one.head: heads[one.head].build for one in wants}, **course.previous_builds}
            return ReleaseDecision(
                (msgspec.structs.replace(course, previous_builds=was),) if was != course.previous_builds else (), wants
            )
        watch.stable_since_us = watch.stable_since_us or now_us
        if now_us - watch.stable_since_us < form.settle_us:
            return ReleaseDecision()
        if course.wave < len(form.waves) and len(wave) < len(targets):
            return ReleaseDecision((msgspec.structs.replace(course, wave=course.wave + 1),))
        return ReleaseDecision((msgspec.structs.replace(course, stage=ReleaseStage.DONE),))

    def _monitor_for(self, course: ReleaseProgress, heads: Mapping[str, HeadStatus]) -> WaveMonitor:
        place = course.name, course.wave, course.attempt
        if self.monitor.wave_id != place:
            self.monitor = WaveMonitor.start(place, heads)
        return self.monitor

    def _roll_back(self, course: ReleaseProgress, heads: Mapping[str, HeadStatus]) -> ReleaseDecision:
        wants, rebuilt, left = [], [], False
        for name in rollout_order(course.previous_builds):
            build, one = course.previous_builds[name], heads.get(name)
            if one is not None and _runs_build(one, build):
                continue
            left = True
            if one is None:
                continue
            if one.permit is not None:
                if one.permit.requester == f"release {course.name}" and one.permit.build != build:
                    rebuilt.append((one.permit.id, build))
            elif _needs_restart(one, build):
                wants.append(RestartRequest(course.name, name, build, f"{course.name}/{course.attempt}/{build}/back"))
        if not left:
            return ReleaseDecision((msgspec.structs.replace(course, stage=ReleaseStage.UNDONE),))
        return ReleaseDecision((), tuple(wants), rebuilt=tuple(rebuilt))


def _halted(course: ReleaseProgress, reason: str) -> ReleaseProgress:
    return msgspec.structs.replace(course, stage=ReleaseStage.HALTED, halted_automatically=True, reason=reason)


def _runs_build(one: HeadStatus, build: str) -> bool:
    return one.is_connected and one.is_ready and one.permit is None and one.build == build


def _needs_restart(one: HeadStatus, build: str) -> bool:
    """Tell whether a head is to be asked to go: one whose build nobody knows yet may have it already."""
    return one.is_connected and one.is_build_known and one.permit is None and one.build != build
