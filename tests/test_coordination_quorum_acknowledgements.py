"""When a soft record may be acknowledged: rules of the quorum that holds it, one by one."""

from __future__ import annotations

import pytest

from hophinge.coordination.dissemination import GossipRecord
from hophinge.coordination.quorum_acknowledgements import (
    REPLICATION_RETRY_INTERVAL_S,
    ACKNOWLEDGEMENT_TIMEOUT_S,
    QuorumView,
    RecordReplicated,
    ReplicateRecord,
    QuorumAcknowledgements,
)
from hophinge.coordination.view import Replica

A, B, C, D, E = (Replica(name, f"10.0.0.{number}:1", "z") for number, name in enumerate("abcde", 1))
RECORD = GossipRecord("instance/i", (2, 0), b"")
TOKEN = 7


def _core(heard: str, voters: tuple[Replica, ...] = (A, B, C), view: int = 3) -> QuorumView:
    return QuorumView(view, voters, len(voters) // 2 + 1, frozenset(heard))


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
    assert _core(heard).is_quorum(set(holders)) == bound


def test_two_of_five_voters_are_no_quorum_though_nobody_else_is_heard() -> None:
    five = (A, B, C, D, E)
    assert not _core("ab", five).is_quorum({"a", "b"})
    assert _core("abc", five).is_quorum({"a", "b", "c"})


def test_without_a_view_nothing_binds() -> None:
    assert not QuorumView(0, (), 1, frozenset("a")).is_quorum({"a"})
    assert not QuorumView(0, (A,), 1, frozenset("a")).is_quorum({"a"})


def test_voters_are_told_again_until_they_hold_it_and_the_caller_is_told_once() -> None:
    holds = QuorumAcknowledgements(A)
    step = holds.begin(0.0, _core("abc"), TOKEN, RECORD)
    assert step.messages == [(B.address, ReplicateRecord(TOKEN, RECORD)), (C.address, ReplicateRecord(TOKEN, RECORD))]
    assert holds.handle_replicated(0.1, _core("abc"), "b", RecordReplicated(TOKEN, 3)).resolved == []
    assert holds.tick(REPLICATION_RETRY_INTERVAL_S, _core("abc")).messages == [
        (C.address, ReplicateRecord(TOKEN, RECORD))
    ]
    assert holds.handle_replicated(0.3, _core("abc"), "c", RecordReplicated(TOKEN, 3)).resolved == [(TOKEN, True)]
    assert holds.handle_replicated(0.3, _core("abc"), "c", RecordReplicated(TOKEN, 3)).resolved == []
    assert holds.tick(ACKNOWLEDGEMENT_TIMEOUT_S, _core("abc")).resolved == []


def test_what_takes_too_long_is_not_acknowledged() -> None:
    holds = QuorumAcknowledgements(A)
    holds.begin(0.0, _core("abc"), TOKEN, RECORD)
    assert holds.tick(ACKNOWLEDGEMENT_TIMEOUT_S, _core("abc")).resolved == [(TOKEN, False)]
    assert (
        holds.handle_replicated(ACKNOWLEDGEMENT_TIMEOUT_S, _core("abc"), "b", RecordReplicated(TOKEN, 3)).resolved == []
    )


def test_an_answer_out_of_another_view_is_no_vote_in_this_one() -> None:
    holds = QuorumAcknowledgements(A)
    holds.begin(0.0, _core("ab"), TOKEN, RECORD)
    assert holds.handle_replicated(0.1, _core("ab"), "b", RecordReplicated(TOKEN, 4)).resolved == []
    changed = _core("ab", view=4)
    assert holds.tick(REPLICATION_RETRY_INTERVAL_S, changed).resolved == [(TOKEN, True)], (
        "a newer view is in force here by now"
    )


def test_a_member_without_a_vote_needs_a_majority_of_the_others() -> None:
    holds = QuorumAcknowledgements(E)
    holds.begin(0.0, _core("abe"), TOKEN, RECORD)
    assert holds.handle_replicated(0.1, _core("abe"), "a", RecordReplicated(TOKEN, 3)).resolved == []
    assert holds.handle_replicated(0.1, _core("abe"), "b", RecordReplicated(TOKEN, 3)).resolved == [(TOKEN, True)]
