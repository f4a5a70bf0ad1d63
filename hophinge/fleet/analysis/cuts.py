"""What cut each answer of a played day: reads a report of the operators' bench with the heads' logs in it.

A report shows one request for each way in which tries ended; the heads' own lines are the whole list. Times are seconds
of the day.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# A machine with one role is named without it.
LOG_LINE = re.compile(r"^ *(-?\d+\.\d+) ([^\s/]+)(?:/data-plane)? \d+:\S+ \w+ (.*)$")
CUT_LINE = re.compile(r"^response aborted request=(\S+) route=.*? side=(\w+) phase=(\w+) (?:.*? error=(.*))?")
# Lines as heads wrote them before events had fields; reports of those days are still read.
OLD_CUT_LINE = re.compile(r"^cut: request (\S+) \(.*?\) by (\w+) while (\w+)(?:; after ([^;]*))?")
CASE_BEGIN = re.compile(r"^not served, last try '(cut in the answer|cut, no answer)'")
CASE_LINE = re.compile(r"^ +(\d+\.\d+) s  (.*)$")
SENT = re.compile(r"^request (\w+) \(.*\) sent to (\S+)$")
STARTED = re.compile(r"^head (?:started identity=|\w+ at )")  # the second form in old reports
SHUTDOWN_LINES = ("draining", "ending")  # the second form in old reports
FAILED_WORK = (
    "task failed",
    "periodic step failed",
    "message handling failed",
    "background work failed",
    "request handling failed",
    "Fatal error",
    # As old reports have them:
    "could not be taken",
    "a piece of work failed",
    "a request failed in the head itself",
)


class Cause(Enum):
    """What cut an answer."""

    CONNECTION = "the instance's connection was reset"
    INSTANCE = "the instance broke off"
    CLIENT = "the client left, or its connection was reset"
    TIME = "the request's time was over"
    GRACE = "the head was told to end, and its grace was over"
    KILLED = "the head was killed"
    HEAD = "the head itself"
    UNKNOWN = "nothing tells of it"


FINDINGS = (Cause.HEAD, Cause.UNKNOWN)  # that an allowed day has none of
SIDES = {"client": Cause.CLIENT, "time": Cause.TIME, "head": Cause.HEAD}


@dataclass(frozen=True, slots=True)
class CutAnswer:
    """One answer that was cut."""

    request: str
    machine: str
    at_s: float
    cause: Cause
    detail: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of a head."""

    at_s: float
    machine: str
    text: str


@dataclass(frozen=True, slots=True)
class ReportedCase:
    """A request that the report shows as cut."""

    request: str
    machine: str
    over_at_s: float


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """What a report tells of cuts."""

    lines: tuple[LogLine, ...]
    cases: tuple[ReportedCase, ...]

    def failures(self) -> list[LogLine]:
        """Tell lines of work that failed in a head, which may end more than itself."""
        return [line for line in self.lines if any(text in line.text for text in FAILED_WORK)]


def read_day(text: str) -> PlayedDay:
    """Read a report of one day, played with the logs of all heads."""
    rows = text.splitlines()
    lines = [LogLine(float(found[1]), found[2], found[3]) for row in rows if (found := LOG_LINE.match(row))]
    return PlayedDay(tuple(lines), tuple(_cases(rows)))


def _cases(rows: list[str]) -> Iterable[ReportedCase]:
    for number, row in enumerate(rows):
        if not CASE_BEGIN.match(row):
            continue
        request, machine, over_at_s = "", "", 0.0
        for later in rows[number + 1 :]:
            found = CASE_LINE.match(later)
            if found is None:
                break
            over_at_s = float(found[1])
            if sent := SENT.match(found[2]):  # of several tries, the last one
                request, machine = sent[1], sent[2]
        yield ReportedCase(request, machine, over_at_s)


def cut_answers(day: PlayedDay) -> list[CutAnswer]:
    """Tell what cut each answer of a day: those that heads tell of, then those that no head tells of."""
    told = [cut for line in day.lines if (cut := _told(day, line)) is not None]
    known = {cut.request for cut in told}
    return told + [_untold(day, case) for case in day.cases if case.request not in known]


def _told(day: PlayedDay, line: LogLine) -> CutAnswer | None:
    found = CUT_LINE.match(line.text) or OLD_CUT_LINE.match(line.text)
    if found is None:
        return None
    request, side, step, error = found[1], found[2], found[3], found[4] or ""
    if side == "instance":
        cause = Cause.CONNECTION if error.startswith(("ReadError", "WriteError")) else Cause.INSTANCE
    elif side == "process":
        cause = Cause.GRACE if _told_to_end(day, line) else Cause.HEAD
    else:
        cause = SIDES.get(side, Cause.UNKNOWN)
    return CutAnswer(request, line.machine, line.at_s, cause, f"{side} while {step} {error}".strip())


def _told_to_end(day: PlayedDay, cut: LogLine) -> bool:
    """Tell whether the newest life of a head had been told to end, and no work of it had failed, before a cut."""
    told = False
    for line in day.lines:
        if line.machine != cut.machine or line.at_s > cut.at_s:
            continue
        if STARTED.match(line.text):
            told = False
        elif line.text in SHUTDOWN_LINES:
            told = True
    failed = any(line.machine == cut.machine and line.at_s <= cut.at_s for line in day.failures())
    return told and not failed


def _untold(day: PlayedDay, case: ReportedCase) -> CutAnswer:
    """Judge a case that no head tells of: a new start of a head that wasn't told to end shows that it was killed."""
    later = [line for line in day.lines if line.machine == case.machine and line.at_s >= case.over_at_s]
    begins = next((line for line in later if STARTED.match(line.text)), None)
    lives_on = any(begins is None or line.at_s < begins.at_s for line in later)
    cause = Cause.KILLED if begins is not None and not lives_on else Cause.UNKNOWN
    return CutAnswer(case.request, case.machine, case.over_at_s, cause, "")


def causes(cuts: Iterable[CutAnswer]) -> Counter[Cause]:
    """Count cut answers by what cut them."""
    return Counter(cut.cause for cut in cuts)
