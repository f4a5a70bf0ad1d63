"""Rules of the quorum that acknowledges a soft record."""

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


def _quorum_view(live: str, voters: tuple[Replica, ...] = (A, B, C), view: int = 3) -> QuorumView:
    return QuorumView(view, voters, len(voters) // 2 + 1, frozenset(live))


@pytest.mark.parametrize(
    ("live", "replicas", "is_quorum"),
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
def test_a_quorum_is_a_majority_with_every_live_voter(live: str, replicas: str, is_quorum: bool) -> None:
    assert _quorum_view(live).is_quorum(set(replicas)) == is_quorum


def test_two_of_five_voters_are_no_quorum_though_no_other_is_live() -> None:
    five = (A, B, C, D, E)
    assert not _quorum_view("ab", five).is_quorum({"a", "b"})
    assert _quorum_view("abc", five).is_quorum({"a", "b", "c"})


def test_without_a_view_there_is_no_quorum() -> None:
    assert not QuorumView(0, (), 1, frozenset("a")).is_quorum({"a"})
    assert not QuorumView(0, (A,), 1, frozenset("a")).is_quorum({"a"})


def test_the_record_is_resent_until_replicated_and_acknowledged_once() -> None:
    acknowledgements = QuorumAcknowledgements(A)
    step = acknowledgements.begin(0.0, _quorum_view("abc"), TOKEN, RECORD)
    assert step.messages == [(B.address, ReplicateRecord(TOKEN, RECORD)), (C.address, ReplicateRecord(TOKEN, RECORD))]
    assert acknowledgements.handle_replicated(0.1, _quorum_view("abc"), "b", RecordReplicated(TOKEN, 3)).resolved == []
    assert acknowledgements.tick(REPLICATION_RETRY_INTERVAL_S, _quorum_view("abc")).messages == [
        (C.address, ReplicateRecord(TOKEN, RECORD))
    ]
    assert acknowledgements.handle_replicated(0.3, _quorum_view("abc"), "c", RecordReplicated(TOKEN, 3)).resolved == [
        (TOKEN, True)
    ]
    assert acknowledgements.handle_replicated(0.3, _quorum_view("abc"), "c", RecordReplicated(TOKEN, 3)).resolved == []
    assert acknowledgements.tick(ACKNOWLEDGEMENT_TIMEOUT_S, _quorum_view("abc")).resolved == []


def test_a_record_that_expires_is_not_acknowledged() -> None:
    acknowledgements = QuorumAcknowledgements(A)
    acknowledgements.begin(0.0, _quorum_view("abc"), TOKEN, RECORD)
    assert acknowledgements.tick(ACKNOWLEDGEMENT_TIMEOUT_S, _quorum_view("abc")).resolved == [(TOKEN, False)]
    assert (
        acknowledgements.handle_replicated(
            ACKNOWLEDGEMENT_TIMEOUT_S, _quorum_view("abc"), "b", RecordReplicated(TOKEN, 3)
        ).resolved
        == []
    )


def test_a_confirmation_in_another_view_does_not_count_in_this_one() -> None:
    acknowledgements = QuorumAcknowledgements(A)
    acknowledgements.begin(0.0, _quorum_view("ab"), TOKEN, RECORD)
    assert acknowledgements.handle_replicated(0.1, _quorum_view("ab"), "b", RecordReplicated(TOKEN, 4)).resolved == []
    changed = _quorum_view("ab", view=4)
    assert acknowledgements.tick(REPLICATION_RETRY_INTERVAL_S, changed).resolved == [(TOKEN, True)], (
        "a newer view is in force here by now"
    )


def test_a_member_without_a_vote_needs_a_majority_of_the_voters() -> None:
    acknowledgements = QuorumAcknowledgements(E)
    acknowledgements.begin(0.0, _quorum_view("abe"), TOKEN, RECORD)
    assert acknowledgements.handle_replicated(0.1, _quorum_view("abe"), "a", RecordReplicated(TOKEN, 3)).resolved == []
    assert acknowledgements.handle_replicated(0.1, _quorum_view("abe"), "b", RecordReplicated(TOKEN, 3)).resolved == [
        (TOKEN, True)
    ]
