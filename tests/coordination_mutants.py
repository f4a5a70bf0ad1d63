"""One-line mutants of the coordination library: each breaks one thing that its safety or progress rests on."""

from __future__ import annotations

from tests.mutant import Mutant

RULES = "tests/test_coordination_rules.py::"
AGREEMENT = "tests/test_coordination_agreement.py::"
HISTORIES = "tests/test_coordination_chain.py::"

COORDINATION = (
    Mutant(
        "a chain of one acknowledges",
        "coordination/chain",
        "        return self.view is not None and len(self.view.chain) >= self.min_chain_length",
        "        return self.view is not None",
        RULES + "test_a_chain_too_short_to_bear_a_loss_neither_takes_nor_commits",
    ),
    Mutant(
        "a replica without the history heads a view",
        "coordination/view_planning",
        "        and promises[link.identity].synced_view >= link.joined_view\n",
        "",
        RULES + "test_a_replica_that_did_not_take_over_the_history_heads_no_view",
    ),
    Mutant(
        "a replica without the history takes itself for the head",
        "coordination/chain",
        "        if (position == 0 and complete) or view.number == 1:",
        "        if position == 0 or view.number == 1:",
        RULES + "test_a_replica_that_did_not_take_over_the_history_heads_no_view",
    ),
    Mutant(
        "what belongs to another view is taken",
        "coordination/chain",
        "        if not self.is_serving or forward.view_number != self.synced_view or predecessor is None:",
        "        if not self.is_serving or predecessor is None:",
        RULES + "test_what_belongs_to_another_view_or_comes_from_elsewhere_is_not_taken",
    ),
    Mutant(
        "a lower ballot is promised",
        "coordination/agreement",
        "        if request.ballot < vote.promised:\n            return Rejection(vote.view_number, vote.promised)\n"
        "        self.vote = VoteRecord(vote.view_number, request.ballot, vote.accepted, vote.proposal)",
        "        self.vote = VoteRecord(vote.view_number, request.ballot, vote.accepted, vote.proposal)",
        RULES + "test_a_voter_keeps_its_promise",
    ),
    Mutant(
        "a lower ballot is accepted",
        "coordination/agreement",
        "        if request.ballot < vote.promised:\n            return Rejection(vote.view_number, vote.promised)\n"
        "        self.vote = VoteRecord(vote.view_number, request.ballot, request.ballot, request.proposal)",
        "        self.vote = VoteRecord(vote.view_number, request.ballot, request.ballot, request.proposal)",
        RULES + "test_a_voter_keeps_its_promise",
    ),
    Mutant(
        "what an earlier ballot may have decided is forgotten",
        "coordination/elections",
        "        proposal = attempt.inherited_proposal() or self._plan_view(now, view, attempt)",
        "        proposal = self._plan_view(now, view, attempt)",
        RULES + "test_a_proposal_that_may_be_decided_is_proposed_again",
    ),
    Mutant(
        "the oldest of the earlier ballots binds",
        "coordination/agreement",
        "return max(earlier_acceptances, key=",
        "return min(earlier_acceptances, key=",
        RULES + "test_the_newest_proposal_that_may_be_decided_binds",
    ),
    Mutant(
        "half of the voters decide",
        "coordination/view",
        "len(self.voters) // 2 + 1",
        "(len(self.voters) + 1) // 2",
        AGREEMENT + "test_a_part_of_a_larger_model_decides_one_view",
    ),
    Mutant(
        "an acceptance is not written",
        "coordination/voting",
        "        if isinstance(answer, Accepted):\n            outputs.records.append(state.acceptor.vote)\n",
        "",
        RULES + "test_votes_are_written_before_they_are_told_and_a_disk_without_room_casts_none",
    ),
    Mutant(
        "a view is not written",
        "coordination/replica",
        "        outputs.records.append(ViewRecord(view))\n",
        "",
        HISTORIES + "test_harsher_histories_keep_what_was_told",
    ),
    Mutant(
        "a change is not written",
        "coordination/chain",
        "        outputs.records.append(EntryRecord(entry))\n",
        "",
        HISTORIES + "test_harsher_histories_keep_what_was_told",
    ),
    Mutant(
        "a history taken over is not written",
        "coordination/chain",
        "SyncedRecord(view_number, sync.snapshot if sync is not None else None)",
        "SyncedRecord(view_number, None)",
        RULES + "test_a_history_taken_over_is_written_with_the_view_it_is_for",
    ),
    Mutant(
        "a change sent again is judged anew",
        "coordination/registers",
        "        if change.digest in self.applied_digests.get(change.key, {}):\n            return Outcome.APPLIED\n",
        "",
        HISTORIES + "test_harsher_histories_keep_what_was_told",
    ),
    Mutant(
        "a change need not build on the current version",
        "coordination/registers",
        "        if change.base != current.version:\n            return Outcome.CONFLICT\n",
        "",
        HISTORIES + "test_harsher_histories_keep_what_was_told",
    ),
    Mutant(
        "a change may be taken out of its order",
        "coordination/chain",
        "        if entry is not None and entry.sequence == self.registers.sequence + 1:",
        "        if entry is not None:",
        RULES + "test_changes_are_taken_in_their_order_and_none_is_passed_on_after_a_gap",
    ),
    Mutant(
        "a gap before a change is not minded",
        "coordination/chain",
        "        if forward.sequence <= self.registers.sequence:\n",
        "        if True:\n",
        RULES + "test_changes_are_taken_in_their_order_and_none_is_passed_on_after_a_gap",
    ),
    Mutant(
        "what is not committed is put in force",
        "coordination/chain",
        "[point for point in self.unpublished_history if point.sequence <= self.committed_sequence]",
        "list(self.unpublished_history)",
        RULES + "test_only_what_the_tail_holds_is_put_in_force",
    ),
    Mutant(
        "a successor that lags is sent nothing",
        "coordination/chain",
        "        elif now - self.sync_sent_at >= self._sync_retry_interval_s():",
        "        elif False:",
        HISTORIES + "test_harsher_histories_keep_what_was_told",
    ),
    Mutant(
        "a head that left answers reads",
        "coordination/chain",
        "        if not self.is_head or not self._tolerates_losses():\n            return\n"
        "        change = submit.change\n"
        "        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)\n",
        "        if not self.is_head or not self._tolerates_losses():\n            return\n"
        "        change = submit.change\n"
        "        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)\n"
        "        if outcome is Outcome.VALUE:\n"
        "            register = self.registers.current(submit.key)\n"
        "            reply = Reply(submit.origin.request_id, int(outcome), register.version, register.payload)\n"
        "            outputs.messages.append((submit.origin.replica.address, reply))\n",
        RULES + "test_a_read_goes_down_the_chain_and_only_its_tail_replies",
    ),
)
