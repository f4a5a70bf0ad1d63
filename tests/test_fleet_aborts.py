"""The causes of aborted responses on a simulated day, from its report with the heads' logs."""

from __future__ import annotations

import pytest

from hophinge.fleet.analysis.aborts import AbortCause, count_causes, aborted_responses, read_day

HEAD = "  {at:.4f} {machine}/data-plane 18:01:42.600 INFO {text}\n"
CUT = (
    "response aborted request={request} route=r-1 side={side} phase={phase} instance=i-1 state=ready connections=0 "
    "version=3 version_age_s=0.100 deadline_in_s=5.200{error}"
)
OLD_CUT = (
    "cut: request {request} (r-1) by {reason}; instance i-1 (ready, 0 connections); version 3 for 0.1 s, 5.2 s left"
)
STARTED = "head started identity={identity} address=10.0.0.1:80"
CASE = """not served, last try 'cut in the answer': 5; the first:
    13.540 s  request aa11 (log-ruling, one.example/a/) sent to edge-one
    15.600 s  its run ends: 200 cut
    15.604 s  the connection is closed in the middle of the answer (200)
not served, last try '503': 1; the first:
     1.000 s  request bb22 (log-ruling, one.example/a/) sent to edge-two
"""


def log_entry(at: float, text: str, machine: str = "edge-one") -> str:
    """Return a log entry of a head in a report."""
    return HEAD.format(at=at, machine=machine, text=text)


def abort(reason: str, at: float = 15.6, request: str = "aa11") -> str:
    """Return the entry of an aborted response; `reason` is "SIDE while PHASE; after ERROR", the error is optional."""
    ended, _, error = reason.partition("; after ")
    side, _, phase = ended.partition(" while ")
    text = CUT.format(request=request, side=side, phase=phase, error=f" error={error}" if error else "")
    return log_entry(at, text)


def old_abort(reason: str) -> str:
    """Return the same entry as heads wrote it before events had fields."""
    return log_entry(15.6, OLD_CUT.format(request="aa11", reason=reason))


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("instance while answering; after ReadError()", AbortCause.CONNECTION),
        ("instance while answering; after RemoteProtocolError(x)", AbortCause.INSTANCE),
        ("client while reading", AbortCause.CLIENT),
        ("time while waiting; after TimeoutError()", AbortCause.TIMEOUT),
        ("head while answering; after KeyError('i-1')", AbortCause.HEAD),
        ("process while answering", AbortCause.HEAD),
        ("nobody while answering", AbortCause.UNKNOWN),
    ],
)
def test_a_log_entry_of_a_head_gives_the_cause_of_an_abort(reason: str, cause: AbortCause) -> None:
    old_started = log_entry(-2.0, "head 5a at 10.0.0.1:80")
    new_day = log_entry(-2.0, STARTED.format(identity="5a")) + abort(reason) + CASE
    for day in (new_day, old_started + old_abort(reason) + CASE):
        (found,) = aborted_responses(read_day(day))
        assert (found.request, found.machine, found.cause) == ("aa11", "edge-one", cause)


def test_a_head_may_abort_at_its_drain_timeout_and_not_after_a_failure() -> None:
    log = log_entry(-2.0, STARTED.format(identity="5a")) + log_entry(8.0, "draining") + abort("process while answering")
    assert aborted_responses(read_day(log))[0].cause is AbortCause.DRAIN_TIMEOUT
    restarted = (
        log_entry(8.0, "draining") + log_entry(9.0, STARTED.format(identity="5b")) + abort("process while answering")
    )
    assert aborted_responses(read_day(restarted))[0].cause is AbortCause.HEAD
    old_start = log_entry(-2.0, "head 5a at 10.0.0.1:80")
    old_report = old_start + log_entry(8.0, "ending") + old_abort("process while answering")
    assert aborted_responses(read_day(old_report))[0].cause is AbortCause.DRAIN_TIMEOUT
    failed = read_day(log_entry(7.9, "task failed") + log)
    assert aborted_responses(failed)[0].cause is AbortCause.HEAD and len(failed.failures()) == 1


def test_a_case_without_an_entry_is_of_a_killed_head_or_a_finding() -> None:
    before = log_entry(-2.0, STARTED.format(identity="5a"))
    start = log_entry(19.0, STARTED.format(identity="5b"))
    assert aborted_responses(read_day(before + start + CASE))[0].cause is AbortCause.KILLED
    assert aborted_responses(read_day(before + CASE))[0].cause is AbortCause.UNKNOWN
    lived_on = before + log_entry(16.0, "configuration applied version=3") + start
    assert aborted_responses(read_day(lived_on + CASE))[0].cause is AbortCause.UNKNOWN
    other = before + log_entry(19.0, STARTED.format(identity="5b"), "edge-two")
    assert aborted_responses(read_day(other + CASE))[0].cause is AbortCause.UNKNOWN


def test_a_machine_may_lack_its_role_and_entries_of_control_members_are_ignored() -> None:
    """A regression of three days: a head had logged the abort, and the case counted as one without an entry."""
    lines = (log_entry(-2.0, STARTED.format(identity="5a")) + abort("client while reading")).replace("/data-plane", "")
    assert aborted_responses(read_day(lines + CASE))[0].cause is AbortCause.CLIENT
    other = lines.replace("edge-one", "edge-one/control-plane")
    assert aborted_responses(read_day(other + CASE))[0].cause is AbortCause.UNKNOWN


@pytest.mark.parametrize(
    "text",
    [
        "periodic step failed consecutive_failures=1",
        "background work failed",
        "task failed",
        "message handling failed peer=10.0.0.2:80 type=Push",
        "request handling failed",
        "a periodic step failed, 1 times in a row",
        "a piece of work failed",
        "a task failed",
        "a message of 10.0.0.2:80 could not be taken: Push",
    ],
)
def test_failures_within_a_head_are_found(text: str) -> None:
    assert [found.text for found in read_day(log_entry(3.0, text) + log_entry(4.0, "draining")).failures()] == [text]


def test_a_day_is_counted_by_cause() -> None:
    clients = abort("client while reading", 3.0, "c1") + abort("client while reading", 4.0, "c2")
    assert count_causes(aborted_responses(read_day(clients + abort("head while waiting") + CASE))) == {
        AbortCause.CLIENT: 2,
        AbortCause.HEAD: 1,
    }
