"""Rules of one replica that random histories seldom exercise, each with its own inputs."""

from __future__ import annotations

from random import Random

import pytest

from hophinge.coordination.agreement import Acceptor, BallotAttempt
from hophinge.coordination.chain import ChainReplica
from hophinge.coordination.elections import PROMISE_GATHER_S
from hophinge.coordination.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Committed,
    Forward,
    RequestOrigin,
    Prepare,
    Promise,
    Rejection,
    Reply,
    Submit,
    Sync,
    SyncedRecord,
    VoteRecord,
)
from hophinge.coordination.events import ClientRequest, DiskStatus, Outputs, MessageReceived, Tick
from hophinge.coordination.view_planning import MembershipObservation, next_view
from hophinge.coordination.registers import HistoryEntry, Outcome, Snapshot
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.replica_state import ReplicaConfig
from hophinge.coordination.view import ChainLink, Replica, View
from tests.coordination_world import KEY, change

A, B, C = (Replica(name, f"10.0.0.{number}:1", "z") for number, name in enumerate("abc"))
ORIGIN = RequestOrigin(C, 7)


def _view(number: int, *chain: tuple[Replica, int]) -> View:
    return View(number, (A, B, C), tuple(ChainLink(replica.identity, joined) for replica, joined in chain))


def _chain(me: Replica, view: View, sequence: int = 0) -> ChainReplica:
    """A chain replica with a number of changes in a view."""
    chain = ChainReplica(me, 2)
    chain.synced_view = view.number
    chain.resume(view)
    for number in range(1, sequence + 1):
        chain.registers.apply(HistoryEntry(number, change(number - 1, number, "old")))
    return chain


def test_a_chain_too_short_to_tolerate_a_loss_neither_applies_nor_commits() -> None:
    alone, outputs = _chain(A, _view(3, (A, 1))), Outputs()
    alone.handle_submit(Submit(ORIGIN, KEY, change(0, 1, "a")), outputs)
    assert not outputs.messages
    tail = _chain(B, _view(3, (B, 1)), 1)
    tail.commit_after_restart(outputs)
    assert tail.committed_sequence == 0
    assert not outputs.committed_values


def test_a_replica_without_the_complete_history_heads_no_view() -> None:
    behind = _chain(B, _view(1, (A, 1), (B, 1)))
    outputs = Outputs()
    behind.enter_view(0.0, View(4, (A, B, C), (ChainLink("b", 3), ChainLink("c", 4))), outputs)
    assert not behind.is_serving
    assert not outputs.messages
    promises = {name: Promise(4, Ballot(1, "b"), NO_BALLOT, None, synced, 0) for name, synced in (("b", 1), ("c", 1))}
    observation = MembershipObservation({"b", "c"}, {"b", "c"}, set(), set(), (), 3)
    assert (
        next_view(View(3, (A, B, C), (ChainLink("a", 1), ChainLink("b", 3), ChainLink("c", 3))), observation, promises)
        is None
    )


def test_a_read_goes_down_the_chain_and_only_its_tail_replies() -> None:
    view = _view(2, (A, 1), (B, 1), (C, 1))
    marker = Forward(2, 1, ORIGIN, KEY, int(Outcome.VALUE), None)
    head, outputs = _chain(A, view, 1), Outputs()
    head.handle_submit(Submit(ORIGIN, KEY, None), outputs)
    assert outputs.messages == [(B.address, marker)]
    middle, outputs = _chain(B, view, 1), Outputs()
    middle.handle_forward(A, marker, outputs)
    assert outputs.messages == [(C.address, marker)]
    tail, outputs = _chain(C, view, 1), Outputs()
    tail.handle_forward(B, marker, outputs)
    replies = [(address, message) for address, message in outputs.messages if isinstance(message, Reply)]
    assert replies == [(C.address, Reply(7, int(Outcome.VALUE), 1, b"1:old"))]


def test_a_change_whose_base_is_still_to_come_is_neither_applied_nor_rejected() -> None:
    """It was rejected, and a later copy of it was applied (review/4)."""
    head, outputs = _chain(A, _view(2, (A, 1), (B, 1)), 1), Outputs()
    early = Submit(ORIGIN, KEY, change(2, 3, "c"))
    head.handle_submit(early, outputs)
    assert not outputs.messages
    assert head.registers.sequence == 1
    head.handle_submit(Submit(ORIGIN, KEY, change(1, 2, "b")), Outputs())
    head.handle_submit(early, outputs)
    assert [message.outcome for _, message in outputs.messages if isinstance(message, Forward)] == [Outcome.APPLIED]


def test_a_change_not_above_its_own_base_is_rejected_at_once() -> None:
    head, outputs = _chain(A, _view(2, (A, 1), (B, 1)), 1), Outputs()
    head.handle_submit(Submit(ORIGIN, KEY, change(5, 5, "x")), outputs)
    assert [message.outcome for _, message in outputs.messages if isinstance(message, Forward)] == [Outcome.CONFLICT]


@pytest.mark.parametrize(("current_version", "is_answered"), [(3, False), (4, False), (5, True)])
def test_a_rejection_by_an_older_head_counts_only_where_no_later_copy_can_be_applied(
    current_version: int, is_answered: bool
) -> None:
    machine = _state_machine(_view(1, (A, 1), (B, 1), (C, 1)))
    machine.handle(0.1, ClientRequest(7, KEY, change(4, 6, "a"), 2.5))
    rejection = MessageReceived(C, Reply(7, int(Outcome.CONFLICT), current_version, b""))
    assert bool(machine.handle(0.2, rejection).responses) == is_answered
    applied = machine.handle(0.3, MessageReceived(C, Reply(7, int(Outcome.APPLIED), 6, b"")))
    assert [response.outcome for response in applied.responses] == [Outcome.APPLIED] * (not is_answered)


def test_messages_of_another_view_or_another_source_are_ignored() -> None:
    view = _view(2, (A, 1), (B, 1), (C, 1))
    entry = HistoryEntry(1, change(0, 1, "a"))
    for source, number in ((A, 1), (A, 3), (C, 2)):
        chain, outputs = _chain(B, view), Outputs()
        chain.handle_forward(source, Forward(number, 1, ORIGIN, KEY, int(Outcome.APPLIED), entry), outputs)
        assert chain.registers.sequence == 0, (source, number)
        assert not outputs.messages
        chain.handle_sync(0.0, source, Sync(number, Snapshot(5)), outputs)
        assert chain.registers.sequence == 0, (source, number)


def test_changes_are_applied_in_order_and_none_is_forwarded_after_a_gap() -> None:
    chain, outputs = _chain(B, _view(2, (A, 1), (B, 1), (C, 1))), Outputs()
    second = HistoryEntry(2, change(1, 2, "b"))
    chain.handle_forward(A, Forward(2, 2, ORIGIN, KEY, int(Outcome.APPLIED), second), outputs)
    assert chain.registers.sequence == 0
    assert not outputs.messages, "the tail would acknowledge a change that is not stored here"
    chain.handle_forward(
        A, Forward(2, 1, ORIGIN, KEY, int(Outcome.APPLIED), HistoryEntry(1, change(0, 1, "a"))), outputs
    )
    chain.handle_forward(A, Forward(2, 2, ORIGIN, KEY, int(Outcome.APPLIED), second), outputs)
    assert chain.registers.sequence == 2
    assert len(outputs.messages) == 2
    assert len(outputs.records) == 2


def test_only_committed_changes_are_published() -> None:
    head, outputs = _chain(A, _view(1, (A, 1), (B, 1))), Outputs()
    head.handle_submit(Submit(ORIGIN, KEY, change(0, 1, "a")), outputs)
    assert not outputs.committed_values
    assert not any(isinstance(message, Reply) for _, message in outputs.messages)
    head.learn_committed(2, 1, outputs)
    assert not outputs.committed_values, "the tail of another view does not commit in this one"
    head.handle_submit(Submit(ORIGIN, KEY, change(1, 2, "b")), outputs)
    head.learn_committed(1, 1, outputs)
    assert [value.register.version for value in outputs.committed_values] == [1]


def test_a_synced_history_is_recorded_with_its_view() -> None:
    chain, outputs = _chain(B, _view(1, (A, 1), (B, 1))), Outputs()
    chain.enter_view(0.0, _view(2, (A, 1), (B, 2)), outputs)
    snapshot = _chain(A, _view(2, (A, 1)), 3).registers.snapshot()
    chain.handle_sync(0.0, A, Sync(2, snapshot), outputs)
    assert outputs.records == [SyncedRecord(2, snapshot)]
    assert chain.registers.sequence == 3
    assert (A.address, Committed(2, 3)) in outputs.messages


def test_a_voter_keeps_its_promise() -> None:
    acceptor = Acceptor(VoteRecord(2, NO_BALLOT, NO_BALLOT, None))
    high, low = Ballot(5, "a"), Ballot(4, "c")
    assert isinstance(acceptor.prepare(Prepare(2, high), 0, 0), Promise)
    vote = acceptor.vote
    assert acceptor.prepare(Prepare(2, low), 0, 0) == Rejection(2, high)
    assert acceptor.accept(Accept(low, _view(2, (A, 1)))) == Rejection(2, high)
    assert acceptor.vote == vote
    assert acceptor.accept(Accept(high, _view(2, (A, 1)))) == Accepted(2, high)


def test_the_highest_accepted_proposal_is_inherited() -> None:
    attempt = BallotAttempt(2, Ballot(9, "a"), 0.0)
    older, newer = (View(2, (A, B, C), (ChainLink(name, 2),)) for name in ("a", "b"))
    for name, promise in (
        ("a", Promise(2, Ballot(9, "a"), Ballot(1, "a"), older, 1, 0)),
        ("b", Promise(2, Ballot(9, "a"), Ballot(2, "b"), newer, 1, 0)),
        ("c", Promise(2, Ballot(8, "a"), Ballot(3, "b"), older, 1, 0)),
    ):
        attempt.record_promise(name, promise)
    assert attempt.inherited_proposal() == newer


def test_an_inherited_proposal_is_proposed_again() -> None:
    machine, proposal = _state_machine(_view(1, (A, 1), (B, 1), (C, 1))), _view(2, (C, 1), (A, 1))
    ballot = Ballot(3, B.identity)
    machine.elections.attempt = BallotAttempt(2, ballot, 0.0)
    machine.handle(1.0, MessageReceived(A, Promise(2, ballot, Ballot(1, "a"), proposal, 1, 0)))
    third = MessageReceived(C, Promise(2, ballot, NO_BALLOT, None, 1, 0))
    assert not machine.handle(1.0, third).messages, "the promise of this replica may come yet"
    sent = machine.handle(1.01 + PROMISE_GATHER_S, third)
    assert {message.proposal for _, message in sent.messages if isinstance(message, Accept)} == {proposal}


def _state_machine(view: View) -> ReplicaStateMachine:
    machine = ReplicaStateMachine(ReplicaConfig(B, (A.address,), False, True, 1), Random(1), 0.0)
    machine.handle(0.0, Tick())
    machine.adopt_view(0.0, view, Outputs())
    return machine


def test_votes_are_recorded_before_they_are_sent_and_a_full_disk_casts_none() -> None:
    machine, ballot = _state_machine(_view(1, (A, 1), (B, 1), (C, 1))), Ballot(4, "a")
    promised = machine.handle(0.1, MessageReceived(A, Prepare(2, ballot)))
    assert promised.records == [VoteRecord(2, ballot, NO_BALLOT, None)]
    assert [type(message) for _, message in promised.messages] == [Promise]
    proposal = _view(2, (A, 1), (B, 1))
    accepted = machine.handle(0.2, MessageReceived(A, Accept(ballot, proposal)))
    assert accepted.records == [VoteRecord(2, ballot, ballot, proposal)]
    assert accepted.messages == [(A.address, Accepted(2, ballot))]
    machine.handle(0.3, DiskStatus(False))
    silent = machine.handle(0.4, MessageReceived(A, Prepare(2, Ballot(5, "a"))))
    assert not silent.records
    assert not silent.messages
