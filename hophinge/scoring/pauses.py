"""When a scorer that did wrong may be asked again: growing pauses, probation, and off until told.

A call over its time by the wall clock proves nothing: the process may have been preempted (up to 107 ms were seen
beside a load on all cores), or the collector of garbage ran in it. It costs that choice alone, and puts the scorer
under watch: its next calls are measured, and it is judged by what they used themselves.
"""

from __future__ import annotations

from msgspec import Struct

FIRST_PAUSE_US = 1_000_000  # after the first mistake: long against a request, short against a repair
LONGEST_PAUSE_US = 300_000_000  # so a scorer that is mended by itself is back within five minutes
PROBATION = 200  # calls in a row without a mistake after which former ones are forgotten
OFF_AFTER_SLOW = 5  # pauses for slowness without a probation passed between them
WATCHED = 1_000  # calls that are measured from the start, and after each that took too long
EXCUSED = 3  # of these, that a collection excuses: one that makes it run each time is slow


class Evidence(Struct, frozen=True, gc=False):
    """What a call that took too long used itself."""

    cpu_ns: int  # of its thread
    waits: int  # times that it gave its core up of itself: sleep, a lock, a socket, a file
    collected: bool  # whether the collector looked at more than the youngest objects meanwhile


class Pauses:
    """The standing of one scorer."""

    def __init__(self) -> None:
        self.until_us = 0
        self.mistakes = 0  # since the last probation that was passed
        self.slow = 0  # of these, pauses for calls that took too long
        self.good = 0  # calls in a row without a mistake
        self.watched = WATCHED  # calls that are still to be measured
        self.blamed = 0  # calls for which a first proof of slowness still counts
        self.excused = 0
        self.off = False

    def may(self, now_us: int) -> bool:
        """Tell whether it may be asked now."""
        return not self.off and now_us >= self.until_us

    def went_well(self) -> None:
        """Count a call without a mistake."""
        if self.watched:
            self.watched -= 1
            self.blamed = max(0, self.blamed - 1)
            if not self.watched:
                self.excused = 0
        if self.mistakes:
            self.good += 1
            if self.good >= PROBATION:
                self.mistakes = self.slow = self.good = 0

    def went_wrong(self, now_us: int, slow: bool = False) -> None:
        """Count a mistake: the pause doubles with each one, and too many that held requests up end it."""
        self.until_us = now_us + min(LONGEST_PAUSE_US, FIRST_PAUSE_US << min(self.mistakes, 20))
        self.mistakes += 1
        self.slow += slow
        self.good = self.blamed = 0
        self.off = self.off or self.slow >= OFF_AFTER_SLOW

    def took_too_long(self, now_us: int, evidence: Evidence | None, budget_ns: int) -> bool:
        """Judge a call that took too long, None where it was not measured; tells whether a pause begins.

        The second proof within WATCHED calls brings one, as one may still be chance (a page read from disk, a thread
        that held the interpreter); of a scorer that was paused and has not passed its probation the first one does.
        """
        self.watched = WATCHED
        if evidence is None or not (evidence.waits or evidence.cpu_ns > budget_ns):
            return False
        if evidence.collected and not evidence.waits and self.excused < EXCUSED:
            self.excused += 1
            return False
        if self.blamed or self.mistakes:
            self.went_wrong(now_us, slow=True)
            return True
        self.blamed = WATCHED
        return False

    def told_on(self) -> None:
        """Take an operator's word that it may be asked again."""
        self.until_us = self.mistakes = self.slow = self.good = self.blamed = self.excused = 0
        self.watched = WATCHED
        self.off = False
