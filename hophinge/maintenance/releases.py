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

from hophinge.maintenance.watch import HeadView, Watch
from hophinge.routing.bounds import Release


class Stage(Enum):
    """Where a release stands."""

    WAITING = "waiting"
    ROLLING = "rolling"
    HALTED = "halted"
    RETURNING = "going back"
    DONE = "done"
    UNDONE = "taken back"
    DROPPED = "dropped"  # its form is gone


ENDED = frozenset({Stage.DONE, Stage.UNDONE, Stage.DROPPED})


class Course(Struct, frozen=True):
    """What outlives the coordinator. `was` is stored before a head is asked to go, and is its way back."""

    name: str
    build: str
    began: int  # the order among releases
    stage: Stage = Stage.WAITING
    wave: int = 0  # 0: one head alone
    again: int = 0
    by_itself: bool = False  # what halted it
    reason: str = ""
    was: dict[str, str] = {}


class Want(Struct, frozen=True):
    """A head that is to go out and come back with a build."""

    release: str
    head: str
    build: str
    key: str


class Outcome(Struct, frozen=True):
    """What a look led to: courses to store, places wanted, grants to withdraw, permits whose build is another now."""

    courses: tuple[Course, ...] = ()
    wants: tuple[Want, ...] = ()
    withdrawn: tuple[str, ...] = ()  # releases
    rebuilt: tuple[tuple[str, str], ...] = ()  # permit and build


def ranked(names: Iterable[str]) -> list[str]:
    """Tell heads in the order in which releases reach them."""
    return sorted(names, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())


class Releases:
    """All releases of an installation; one runs at a time."""

    def __init__(self, courses: Iterable[Course] = ()) -> None:
        self.courses: dict[str, Course] = {}
        self.take(courses)
        self.watch = Watch(("", 0, 0))
        self.left: list[str] = []  # heads that the wave waits for

    def take(self, courses: Iterable[Course]) -> None:
        """Take courses that are stored."""
        for one in courses:
            if one.stage is Stage.DROPPED:
                self.courses.pop(one.name, None)
            else:
                self.courses[one.name] = one

    def active(self) -> Course | None:
        """Tell the release that runs, or that the others wait for."""
        return min(
            (one for one in self.courses.values() if one.stage not in ENDED), key=lambda one: one.began, default=None
        )

    def listed(self, forms: Mapping[str, Release]) -> tuple[Course, ...]:
        """Make the courses that follow from the forms alone; they are taken before the next `look`."""
        made: list[Course] = []
        for name, course in self.courses.items():
            if name not in forms:
                made.append(msgspec.structs.replace(course, stage=Stage.DROPPED))
        last = max((one.began for one in self.courses.values()), default=0)
        for name in sorted(forms):
            form, known = forms[name], self.courses.get(name)
            if known is None or (known.build != form.build and known.stage in ENDED):
                last += 1
                made.append(Course(name, form.build, last, again=form.again))
            elif known.build != form.build and known.stage is not Stage.HALTED:
                made.append(_halted(known, f"its form has another build, {form.build}; give that a name of its own"))
        return tuple(made)

    def look(self, now_us: int, forms: Mapping[str, Release], heads: Mapping[str, HeadView]) -> Outcome:
        """Judge the release that runs, and tell what follows."""
        undo = next(
            (
                one
                for one in self.courses.values()
                if one.stage is Stage.DONE and one.name in forms and forms[one.name].word == "back"
            ),
            None,
        )
        course = self.active() or undo
        if course is None or course.name not in forms:
            return Outcome()
        spoken = self._spoken(course, forms[course.name])
        if spoken is not course:
            withdrawn = () if spoken.stage is Stage.ROLLING else (course.name,)
            return Outcome((spoken,), withdrawn=withdrawn)
        if course.stage is Stage.ROLLING:
            return self._roll(now_us, course, forms[course.name], heads)
        if course.stage is Stage.RETURNING:
            return self._return(course, heads)
        return Outcome()

    def _spoken(self, course: Course, form: Release) -> Course:
        """Follow the form's word."""
        changed = msgspec.structs.replace
        if form.word == "halt" and course.stage in (Stage.WAITING, Stage.ROLLING, Stage.RETURNING):
            return changed(course, stage=Stage.HALTED, by_itself=False, reason="halted by word")
        if form.word == "back" and course.stage is not Stage.RETURNING:
            return changed(course, stage=Stage.RETURNING, reason="", again=max(course.again, form.again))
        if form.word == "go" and form.build == course.build:
            if course.stage is Stage.WAITING or (course.stage is Stage.HALTED and not course.by_itself):
                return changed(course, stage=Stage.ROLLING, reason="", again=max(course.again, form.again))
            if course.stage in (Stage.HALTED, Stage.RETURNING) and form.again > course.again:
                return changed(course, stage=Stage.ROLLING, reason="", again=form.again)
        return course

    def _roll(self, now_us: int, course: Course, form: Release, heads: Mapping[str, HeadView]) -> Outcome:
        watch = self._watched(course, heads)
        targets = ranked(form.heads or heads)
        share = form.waves[min(course.wave - 1, len(form.waves) - 1)]
        wave = targets[: 1 if course.wave == 0 else max(1, math.ceil(share * len(targets) - 1e-9))]
        views = {name: heads[name] for name in wave if name in heads}
        if reason := watch.trouble(now_us, course.build, course.was, form, views, heads):
            return Outcome((_halted(course, reason),), withdrawn=(course.name,))
        left = self.left = [name for name in wave if name not in views or not _settled(views[name], course.build)]
        if left:
            watch.quiet_since = 0
            wants = tuple(
                Want(course.name, name, course.build, f"{course.name}/{course.again}/{course.build}")
                for name in left
                if name in views and _asks(views[name], course.build)
            )
            was = {**{one.head: heads[one.head].build for one in wants}, **course.was}
            return Outcome((msgspec.structs.replace(course, was=was),) if was != course.was else (), wants)
        watch.quiet_since = watch.quiet_since or now_us
        if now_us - watch.quiet_since < form.settle_us:
            return Outcome()
        if course.wave < len(form.waves) and len(wave) < len(targets):
            return Outcome((msgspec.structs.replace(course, wave=course.wave + 1),))
        return Outcome((msgspec.structs.replace(course, stage=Stage.DONE),))

    def _watched(self, course: Course, heads: Mapping[str, HeadView]) -> Watch:
        place = course.name, course.wave, course.again
        if self.watch.place != place:
            self.watch = Watch.began(place, heads)
        return self.watch

    def _return(self, course: Course, heads: Mapping[str, HeadView]) -> Outcome:
        wants, rebuilt, left = [], [], False
        for name in ranked(course.was):
            build, one = course.was[name], heads.get(name)
            if one is not None and _settled(one, build):
                continue
            left = True
            if one is None:
                continue
            if one.permit is not None:
                if one.permit.by == f"release {course.name}" and one.permit.build != build:
                    rebuilt.append((one.permit.id, build))
            elif _asks(one, build):
                wants.append(Want(course.name, name, build, f"{course.name}/{course.again}/{build}/back"))
        if not left:
            return Outcome((msgspec.structs.replace(course, stage=Stage.UNDONE),))
        return Outcome((), tuple(wants), rebuilt=tuple(rebuilt))


def _halted(course: Course, reason: str) -> Course:
    return msgspec.structs.replace(course, stage=Stage.HALTED, by_itself=True, reason=reason)


def _settled(one: HeadView, build: str) -> bool:
    return one.connected and one.ready and one.permit is None and one.build == build


def _asks(one: HeadView, build: str) -> bool:
    """Tell whether a head is to be asked to go: one whose build nobody knows yet may have it already."""
    return one.connected and one.known and one.permit is None and one.build != build
