"""What cut the answers of a played day, from its report with the heads' logs."""

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


def line(at: float, text: str, machine: str = "edge-one") -> str:
    """A line of a head in a report."""
    return HEAD.format(at=at, machine=machine, text=text)


def cut(reason: str, at: float = 15.6, request: str = "aa11") -> str:
    """A head's line of an aborted response; `reason` is "SIDE while PHASE; after ERROR", the last part as needed."""
    ended, _, error = reason.partition("; after ")
    side, _, phase = ended.partition(" while ")
    text = CUT.format(request=request, side=side, phase=phase, error=f" error={error}" if error else "")
    return line(at, text)


def old_cut(reason: str) -> str:
    """The same as heads wrote it before events had fields."""
    return line(15.6, OLD_CUT.format(request="aa11", reason=reason))


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
def test_a_head_s_line_tells_what_cut_an_answer(reason: str, cause: AbortCause) -> None:
    old_started = line(-2.0, "head 5a at 10.0.0.1:80")
    new_day = line(-2.0, STARTED.format(identity="5a")) + cut(reason) + CASE
    for day in (new_day, old_started + old_cut(reason) + CASE):
        (found,) = aborted_responses(read_day(day))
        assert (found.request, found.machine, found.cause) == ("aa11", "edge-one", cause)


def test_a_head_may_cut_at_the_end_of_its_grace_and_not_where_its_own_work_failed() -> None:
    told = line(-2.0, STARTED.format(identity="5a")) + line(8.0, "draining") + cut("process while answering")
    assert aborted_responses(read_day(told))[0].cause is AbortCause.DRAIN_TIMEOUT
    again = line(8.0, "draining") + line(9.0, STARTED.format(identity="5b")) + cut("process while answering")
    assert aborted_responses(read_day(again))[0].cause is AbortCause.HEAD
    old_start = line(-2.0, "head 5a at 10.0.0.1:80")
    old_report = old_start + line(8.0, "ending") + old_cut("process while answering")
    assert aborted_responses(read_day(old_report))[0].cause is AbortCause.DRAIN_TIMEOUT
    failed = read_day(line(7.9, "task failed") + told)
    assert aborted_responses(failed)[0].cause is AbortCause.HEAD and len(failed.failures()) == 1


def test_a_case_without_a_line_is_a_killed_head_s_or_a_finding() -> None:
    before = line(-2.0, STARTED.format(identity="5a"))
    start = line(19.0, STARTED.format(identity="5b"))
    assert aborted_responses(read_day(before + start + CASE))[0].cause is AbortCause.KILLED
    assert aborted_responses(read_day(before + CASE))[0].cause is AbortCause.UNKNOWN
    lived_on = before + line(16.0, "configuration applied version=3") + start
    assert aborted_responses(read_day(lived_on + CASE))[0].cause is AbortCause.UNKNOWN
    other = before + line(19.0, STARTED.format(identity="5b"), "edge-two")
    assert aborted_responses(read_day(other + CASE))[0].cause is AbortCause.UNKNOWN


def test_a_machine_with_one_role_is_told_without_it_and_a_control_member_s_lines_count_for_nothing() -> None:
    """Seen on three days: a head's line was there, and the case was told as left over."""
    lines = (line(-2.0, STARTED.format(identity="5a")) + cut("client while reading")).replace("/data-plane", "")
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
def test_work_that_failed_in_a_head_is_told(text: str) -> None:
    assert [found.text for found in read_day(line(3.0, text) + line(4.0, "draining")).failures()] == [text]


def test_a_day_is_counted_by_causes() -> None:
    clients = cut("client while reading", 3.0, "c1") + cut("client while reading", 4.0, "c2")
    assert count_causes(aborted_responses(read_day(clients + cut("head while waiting") + CASE))) == {
        AbortCause.CLIENT: 2,
        AbortCause.HEAD: 1,
    }
