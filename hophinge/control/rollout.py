"""Which head is to run which version: waves, what holds them, what rolls them back. No I/O; time is an argument.

Heads only ever go forward: a head that a version was aimed at is aimed at it, or at a later one, from then on.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from hophinge.control.wire import Order
from hophinge.routing.records import Rollout as Rule

MIN_TAKEN = 20  # requests of a wave before its failures tell anything
FORGET_US = 7 * 24 * 3600 * 1_000_000  # a head unheard of for a week counts no more in a wave's share


class Stage(Enum):
    """Where a rollout stands."""

    IDLE = "done"
    ROLLING = "rolling"
    HELD = "held"


class Head(msgspec.Struct):
    """One head as the control service knows it."""

    name: str
    seen_us: int
    connected: bool = False
    runs: Order = (0, 0)
    refused: Order = (0, 0)  # the last version that it turned down
    reason: str = ""
    taken: float = 0.0  # requests, by its own count
    failed: float = 0.0
    since_taken: float = 0.0  # the same when it took up the version that is rolled out
    since_failed: float = 0.0
    usual: float = 0.0  # part of its requests that failed before it took up the version


class Course(msgspec.Struct):
    """What outlives a restart of the control service."""

    stable: Order = (0, 0)  # what heads run that no wave has reached; (0, 0): nothing yet
    target: Order = (0, 0)  # what is rolled out; as stable when it is done
    stage: Stage = Stage.IDLE
    wave: int = 0
    reached: set[str] = msgspec.field(default_factory=set)
    reason: str = ""
    undoes: bool = False  # the target takes a former one back


class Decision(msgspec.Struct, frozen=True):
    """What a step led to: the course is to be stored before heads hear of it; a version may be taken back."""

    changed: bool = False
    roll_back: str = ""  # the reason; the content of the stable version is wanted as a new one


class Rollout:
    """The course of versions over heads."""

    def __init__(self, course: Course, rule: Rule, names: Iterable[tuple[str, int]] = ()) -> None:
        self.course, self.rule = course, rule
        self.heads = {name: Head(name, seen) for name, seen in names}
        self.quiet_since = 0  # when the last head of the wave acknowledged; 0: some are missing
        self.missing: dict[str, int] = {}  # heads that are aimed at and do not run it yet, and since when

    # --- who is to run what

    def aim(self, name: str) -> Order:
        """Tell what a head is to run; (0, 0): nothing yet."""
        course = self.course
        return course.target if course.stage is Stage.IDLE or name in course.reached else course.stable

    def covered(self, wave: int, now_us: int) -> set[str]:
        """Tell the known heads that waves up to this one reach."""
        known = [head.name for head in self.heads.values() if head.connected or now_us - head.seen_us < FORGET_US]
        first = {name for name in self.rule.first if name in known}
        if wave == 0 and self.rule.first:
            return first
        share = self.rule.waves[min(wave - bool(self.rule.first), len(self.rule.waves) - 1)]
        ranked = sorted(known, key=lambda name: hashlib.blake2b(name.encode(), digest_size=8).digest())
        return first | set(ranked[: math.ceil(share * len(ranked) - 1e-9)])

    @property
    def last_wave(self) -> int:
        """Tell the number of the wave that reaches all."""
        return len(self.rule.waves) - 1 + bool(self.rule.first)

    # --- what happens

    def planned(self, order: Order, undoes: bool = False) -> Course:
        """Tell the course of a new version; who has reached an unfinished one goes on to this one at once."""
        course = self.course
        reached = set(course.reached) if course.stage is not Stage.IDLE else set()
        return Course(course.stable, order, Stage.ROLLING, 0, reached, "", undoes)

    def push(self, course: Course, rule: Rule, now_us: int) -> None:
        """Begin a planned course, once it is stored."""
        self.course, self.rule = course, rule
        self._begin_wave(now_us)

    def _begin_wave(self, now_us: int) -> None:
        self.quiet_since = 0
        self.missing = {}
        for head in self.heads.values():
            head.since_taken, head.since_failed = head.taken, head.failed

    def connected(self, name: str, runs: Order, now_us: int) -> None:
        """Note a head that is there; it joins the wave that covers it at the next `tick`."""
        head = self.heads.setdefault(name, Head(name, now_us))
        head.connected, head.runs, head.seen_us = True, runs, now_us
        head.taken = head.failed = head.since_taken = head.since_failed = 0.0
        self.quiet_since = 0

    def gone(self, name: str, now_us: int) -> None:
        """Note a head whose stream has ended."""
        if (head := self.heads.get(name)) is not None:
            head.connected, head.seen_us = False, now_us

    def acked(self, name: str, order: Order, now_us: int) -> None:
        """Note what a head has in force."""
        head = self.heads[name]
        head.runs, head.seen_us, head.reason = order, now_us, ""
        head.usual = head.failed / head.taken if head.taken >= MIN_TAKEN else 0.0
        head.since_taken, head.since_failed = head.taken, head.failed

    def counted(self, name: str, taken: float, failed: float, now_us: int) -> None:
        """Take a head's own counts of its requests; counts that fell are those of a new process."""
        head = self.heads[name]
        head.seen_us = now_us
        if taken < head.since_taken or failed < head.since_failed:
            head.since_taken = head.since_failed = 0.0
        head.taken, head.failed = taken, failed

    def turned_down(self, name: str, order: Order, reason: str, now_us: int) -> Decision:
        """Note a head that keeps what it has; the rollout of what it turned down goes no further."""
        head = self.heads[name]
        head.refused, head.reason, head.seen_us = order, reason, now_us
        if order == self.course.target and self.course.stage is Stage.ROLLING:
            return self._trouble(f"{name} turned it down: {reason}")
        return Decision()

    def _trouble(self, reason: str) -> Decision:
        course = self.course
        course.reason = reason
        course.stage = Stage.HELD
        # What takes a version back is not taken back itself: that would go on for ever.
        if self.rule.on_trouble == "rollback" and any(course.stable) and not course.undoes:
            return Decision(True, reason)
        return Decision(True)

    def resume(self, now_us: int) -> bool:
        """Go on with a held rollout, by hand."""
        if self.course.stage is not Stage.HELD:
            return False
        self.course.stage, self.course.reason = Stage.ROLLING, ""
        self._begin_wave(now_us)
        return True

    def tick(self, now_us: int) -> Decision:
        """Let new heads join, judge the wave, begin the next."""
        course = self.course
        if course.stage is not Stage.ROLLING:
            return Decision()
        reached = course.reached | self.covered(course.wave, now_us)
        changed = reached != course.reached
        course.reached = reached
        members = [self.heads[name] for name in reached if name in self.heads and self.heads[name].connected]
        self.missing = {
            head.name: self.missing.get(head.name, now_us) for head in members if head.runs != course.target
        }
        if reason := self._failures(members):
            return self._trouble(reason)
        if self.missing:
            self.quiet_since = 0
            late = sorted(name for name, since in self.missing.items() if now_us - since > self.rule.patience_us)
            if late:
                return self._trouble(f"{', '.join(late[:5])} gave no answer for {self.rule.patience_us / 1e6:g} s")
            return Decision(changed)
        if not members and not (course.wave == 0 and self.rule.first):
            return Decision(changed)  # nobody is there to tell whether it is good
        self.quiet_since = self.quiet_since or now_us
        if members and now_us - self.quiet_since < self.rule.hold_us:
            return Decision(changed)
        if course.wave < self.last_wave:
            course.wave += 1
            self._begin_wave(now_us)
        else:
            self.course = Course(course.target, course.target)
        return Decision(True)

    def _failures(self, members: list[Head]) -> str:
        there = [head for head in members if head.runs == self.course.target]
        taken = sum(head.taken - head.since_taken for head in there)
        failed = sum(head.failed - head.since_failed for head in there)
        usual = sum(head.usual * (head.taken - head.since_taken) for head in there)
        if taken >= MIN_TAKEN and failed > usual + self.rule.failures * taken:
            return (
                f"{failed:g} of {taken:g} requests failed where it runs, {usual:.0f} by what was usual there; "
                f"over the stated {100 * self.rule.failures:g} % more"
            )
        return ""
