"""When a soft record may be acknowledged: rules of the quorum that holds it, one by one."""

from __future__ import annotations

import pytest

from hophinge.coordination.dissemination import Record
from hophinge.coordination.quorum_acknowledgements import HOLD_RETRY_INTERVAL_S, HOLD_S, Core, Held, Hold, QuorumHolds
from hophinge.coordination.view import Replica

A, B, C, D, E = (Replica(name, f"10.0.0.{number}:1", "z") for number, name in enumerate("abcde", 1))
RECORD = Record("instance/i", (2, 0), b"")
TOKEN = 7


def _core(heard: str, voters: tuple[Replica, ...] = (A, B, C), view: int = 3) -> Core:
    return Core(view, voters, len(voters) // 2 + 1, frozenset(heard))


@pytest.mark.parametrize(
    ("heard", "holders", "bound"),
    [
        ("abc", "abc", True),
        ("abc", "ab", False),
        ("ab", "ab", True),
        ("a", "a", False),
        ("a", "ax", False),
        ("ax", "axyz", False),
        ("x", "bc", True),
        ("bc", "xbc", True),
        ("bc", "xb", False),
        ("", "", False),
    ],
)
def test_a_majority_and_every_voter_that_is_heard_hold_the_record(heard: str, holders: str, bound: bool) -> None:
    assert _core(heard).binds(set(holders)) == bound


def test_two_of_five_voters_are_no_quorum_though_nobody_else_is_heard() -> None:
    five = (A, B, C, D, E)
    assert not _core("ab", five).binds({"a", "b"})
    assert _core("abc", five).binds({"a", "b", "c"})


def test_without_a_view_nothing_binds() -> None:
    assert not Core(0, (), 1, frozenset("a")).binds({"a"})
    assert not Core(0, (A,), 1, frozenset("a")).binds({"a"})


def test_voters_are_told_again_until_they_hold_it_and_the_caller_is_told_once() -> None:
    holds = QuorumHolds(A)
    step = holds.begin(0.0, _core("abc"), TOKEN, RECORD)
    assert step.messages == [(B.address, Hold(TOKEN, RECORD)), (C.address, Hold(TOKEN, RECORD))]
    assert holds.held(0.1, _core("abc"), "b", Held(TOKEN, 3)).settled == []
    assert holds.tick(HOLD_RETRY_INTERVAL_S, _core("abc")).messages == [(C.address, Hold(TOKEN, RECORD))]
    assert holds.held(0.3, _core("abc"), "c", Held(TOKEN, 3)).settled == [(TOKEN, True)]
    assert holds.held(0.3, _core("abc"), "c", Held(TOKEN, 3)).settled == []
    assert holds.tick(HOLD_S, _core("abc")).settled == []


def test_what_takes_too_long_is_not_acknowledged() -> None:
    holds = QuorumHolds(A)
    holds.begin(0.0, _core("abc"), TOKEN, RECORD)
    assert holds.tick(HOLD_S, _core("abc")).settled == [(TOKEN, False)]
    assert holds.held(HOLD_S, _core("abc"), "b", Held(TOKEN, 3)).settled == []


def test_an_answer_out_of_another_view_is_no_vote_in_this_one() -> None:
    holds = QuorumHolds(A)
    holds.begin(0.0, _core("ab"), TOKEN, RECORD)
    assert holds.held(0.1, _core("ab"), "b", Held(TOKEN, 4)).settled == []
    changed = _core("ab", view=4)
    assert holds.tick(HOLD_RETRY_INTERVAL_S, changed).settled == [(TOKEN, True)], "a newer view is in force here by now"


def test_a_member_without_a_vote_needs_a_majority_of_the_others() -> None:
    holds = QuorumHolds(E)
    holds.begin(0.0, _core("abe"), TOKEN, RECORD)
    assert holds.held(0.1, _core("abe"), "a", Held(TOKEN, 3)).settled == []
    assert holds.held(0.1, _core("abe"), "b", Held(TOKEN, 3)).settled == [(TOKEN, True)]
