"""The causes of aborted responses on a simulated day, from a report of the operators' bench with the heads' logs.

A report shows one request for each way in which attempts ended; the heads' own log entries are the complete list. Times
are seconds of the day.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# A machine with one role is named without it.
LOG_LINE_PATTERN = re.compile(r"^ *(-?\d+\.\d+) ([^\s/]+)(?:/data-plane)? \d+:\S+ \w+ (.*)$")
ABORT_PATTERN = re.compile(r"^response aborted request=(\S+) route=.*? side=(\w+) phase=(\w+) (?:.*? error=(.*))?")
# Lines as heads wrote them before events had fields; reports of those days are still read.
OLD_ABORT_PATTERN = re.compile(r"^cut: request (\S+) \(.*?\) by (\w+) while (\w+)(?:; after ([^;]*))?")
CASE_START_PATTERN = re.compile(r"^not served, last try '(cut in the answer|cut, no answer)'")
CASE_EVENT_PATTERN = re.compile(r"^ +(\d+\.\d+) s  (.*)$")
SENT_PATTERN = re.compile(r"^request (\w+) \(.*\) sent to (\S+)$")
START_PATTERN = re.compile(r"^head (?:started identity=|\w+ at )")  # the second form in old reports
SHUTDOWN_LINES = ("draining", "ending")  # the second form in old reports
FAILURE_TEXTS = (
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


class AbortCause(Enum):
    """The cause of an aborted response."""

    CONNECTION = "the instance's connection was reset"
    INSTANCE = "the instance broke off"
    CLIENT = "the client left, or its connection was reset"
    TIMEOUT = "the request's time was over"
    DRAIN_TIMEOUT = "the head was told to end, and its grace was over"
    KILLED = "the head was killed"
    HEAD = "the head itself"
    UNKNOWN = "nothing tells of it"


FINDINGS = (AbortCause.HEAD, AbortCause.UNKNOWN)  # a day without defects has none of these
CAUSE_BY_SIDE = {"client": AbortCause.CLIENT, "time": AbortCause.TIMEOUT, "head": AbortCause.HEAD}


@dataclass(frozen=True, slots=True)
class AbortedResponse:
    """One aborted response."""

    request: str
    machine: str
    at_s: float
    cause: AbortCause
    detail: str


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of a head's log."""

    at_s: float
    machine: str
    text: str


@dataclass(frozen=True, slots=True)
class ReportedCase:
    """A request that the report shows as aborted."""

    request: str
    machine: str
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class SimulatedDay:
    """The log entries and aborted requests of a report."""

    entries: tuple[LogEntry, ...]
    cases: tuple[ReportedCase, ...]

    def failures(self) -> list[LogEntry]:
        """Return the entries of failures within a head, which may have aborted other responses."""
        return [entry for entry in self.entries if any(text in entry.text for text in FAILURE_TEXTS)]


def read_day(text: str) -> SimulatedDay:
    """Parse a report of one day that contains the logs of all heads."""
    rows = text.splitlines()
    entries = [LogEntry(float(match[1]), match[2], match[3]) for row in rows if (match := LOG_LINE_PATTERN.match(row))]
    return SimulatedDay(tuple(entries), tuple(_cases(rows)))


def _cases(rows: list[str]) -> Iterable[ReportedCase]:
    for number, row in enumerate(rows):
        if not CASE_START_PATTERN.match(row):
            continue
        yield _case(rows[number + 1 :])


def _case(rows: Iterable[str]) -> ReportedCase:
    request, machine, ended_at_s = "", "", 0.0
    for row in rows:
        event = CASE_EVENT_PATTERN.match(row)
        if event is None:
            break
        ended_at_s = float(event[1])
        if sent := SENT_PATTERN.match(event[2]):  # of several attempts, the last one
            request, machine = sent[1], sent[2]
    return ReportedCase(request, machine, ended_at_s)


def aborted_responses(day: SimulatedDay) -> list[AbortedResponse]:
    """Return the aborted responses of a day: those that heads logged, then those that no head logged."""
    logged = [response for entry in day.entries if (response := _logged_abort(day, entry)) is not None]
    logged_requests = {response.request for response in logged}
    return logged + [_unlogged_abort(day, case) for case in day.cases if case.request not in logged_requests]


def _logged_abort(day: SimulatedDay, entry: LogEntry) -> AbortedResponse | None:
    match = ABORT_PATTERN.match(entry.text) or OLD_ABORT_PATTERN.match(entry.text)
    if match is None:
        return None
    request, side, phase, error = match[1], match[2], match[3], match[4] or ""
    if side == "instance":
        cause = AbortCause.CONNECTION if error.startswith(("ReadError", "WriteError")) else AbortCause.INSTANCE
    elif side == "process":
        cause = AbortCause.DRAIN_TIMEOUT if _is_draining(day, entry) else AbortCause.HEAD
    else:
        cause = CAUSE_BY_SIDE.get(side, AbortCause.UNKNOWN)
    return AbortedResponse(request, entry.machine, entry.at_s, cause, f"{side} while {phase} {error}".strip())


def _is_draining(day: SimulatedDay, abort: LogEntry) -> bool:
    """Return whether a head was shutting down, without a failure of its own, when a response was aborted."""
    is_draining = False
    for entry in day.entries:
        if entry.machine != abort.machine or entry.at_s > abort.at_s:
            continue
        if START_PATTERN.match(entry.text):
            is_draining = False
        elif entry.text in SHUTDOWN_LINES:
            is_draining = True
    has_failed = any(entry.machine == abort.machine and entry.at_s <= abort.at_s for entry in day.failures())
    return is_draining and not has_failed


def _unlogged_abort(day: SimulatedDay, case: ReportedCase) -> AbortedResponse:
    """Return the abort of a request that no head logged: a restart without shutdown shows that the head was killed."""
    later = [entry for entry in day.entries if entry.machine == case.machine and entry.at_s >= case.ended_at_s]
    restart = next((entry for entry in later if START_PATTERN.match(entry.text)), None)
    is_still_running = any(restart is None or entry.at_s < restart.at_s for entry in later)
    cause = AbortCause.KILLED if restart is not None and not is_still_running else AbortCause.UNKNOWN
    return AbortedResponse(case.request, case.machine, case.ended_at_s, cause, "")


def count_causes(responses: Iterable[AbortedResponse]) -> Counter[AbortCause]:
    """Count aborted responses by cause."""
    return Counter(response.cause for response in responses)
