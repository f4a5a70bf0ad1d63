"""One-line mutants of the coordination library: each breaks one thing that its safety or liveness needs."""

from __future__ import annotations

from tests.mutant import Mutant

RULES = "tests/test_coordination_rules.py::"
AGREEMENT = "tests/test_coordination_agreement.py::"
HISTORIES = "tests/test_coordination_chain.py::"

COORDINATION = (
    Mutant(
        "a member tells others nothing through a granter that is cut off",
        "coordination/leases",
        "return self.last_granter or self.granter",
        "return self.granter",
        "tests/test_coordination_roles.py"
        "::test_members_on_a_side_without_a_majority_keep_the_granter_that_answers_as_their_relay",
    ),
    Mutant(
        "a relay that is silent is kept",
        "coordination/leases",
        "            self.last_granter = None if self.granter == self.last_granter else self.last_granter\n",
        "",
        "tests/test_coordination_roles.py::test_a_relay_that_does_not_answer_is_replaced_as_a_granter_is",
    ),
    Mutant(
        "a chain of one acknowledges",
        "coordination/chain",
        "        return self.view is not None and len(self.view.chain) >= self.min_chain_length",
        "        return self.view is not None",
        RULES + "test_a_chain_too_short_to_tolerate_a_loss_neither_applies_nor_commits",
    ),
    Mutant(
        "a replica without the history heads a view",
        "coordination/view_planning",
        "        and promises[link.identity].synced_view >= link.joined_view\n",
        "",
        RULES + "test_a_replica_without_the_complete_history_heads_no_view",
    ),
    Mutant(
        "a replica without the history counts as head",
        "coordination/chain",
        "        if (position == 0 and complete) or view.number == 1:",
        "        if position == 0 or view.number == 1:",
        RULES + "test_a_replica_without_the_complete_history_heads_no_view",
    ),
    Mutant(
        "a message of another view is applied",
        "coordination/chain",
        "        if not self.is_serving or forward.view_number != self.synced_view or predecessor is None:",
        "        if not self.is_serving or predecessor is None:",
        RULES + "test_messages_of_another_view_or_another_source_are_ignored",
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
        "the proposal of an earlier ballot is not inherited",
        "coordination/elections",
        "        proposal = attempt.inherited_proposal() or self._plan_view(now, view, attempt)",
        "        proposal = self._plan_view(now, view, attempt)",
        RULES + "test_an_inherited_proposal_is_proposed_again",
    ),
    Mutant(
        "the lowest of the earlier ballots is inherited",
        "coordination/agreement",
        "return max(earlier_acceptances, key=",
        "return min(earlier_acceptances, key=",
        RULES + "test_the_highest_accepted_proposal_is_inherited",
    ),
    Mutant(
        "half of the voters decide",
        "coordination/view",
        "len(self.voters) // 2 + 1",
        "(len(self.voters) + 1) // 2",
        AGREEMENT + "test_larger_models_decide_at_most_one_view_in_the_states_searched",
    ),
    Mutant(
        "an acceptance is not recorded",
        "coordination/voting",
        "        if isinstance(answer, Accepted):\n            outputs.records.append(state.acceptor.vote)\n",
        "",
        RULES + "test_votes_are_recorded_before_they_are_sent_and_a_full_disk_casts_none",
    ),
    Mutant(
        "a view is not recorded",
        "coordination/replica",
        "        outputs.records.append(ViewRecord(view))\n",
        "",
        HISTORIES + "test_random_histories_with_unbounded_faults_keep_acknowledged_changes",
    ),
    Mutant(
        "a change is not recorded",
        "coordination/chain",
        "        outputs.records.append(EntryRecord(entry))\n",
        "",
        HISTORIES + "test_random_histories_with_unbounded_faults_keep_acknowledged_changes",
    ),
    Mutant(
        "a synced history is not recorded",
        "coordination/chain",
        "SyncedRecord(view_number, sync.snapshot if sync is not None else None)",
        "SyncedRecord(view_number, None)",
        RULES + "test_a_synced_history_is_recorded_with_its_view",
    ),
    Mutant(
        "a retried change is evaluated anew",
        "coordination/registers",
        "        if change.digest in self.applied_digests.get(change.key, {}):\n            return Outcome.APPLIED\n",
        "",
        HISTORIES + "test_random_histories_with_unbounded_faults_keep_acknowledged_changes",
    ),
    Mutant(
        "a change need not build on the current version",
        "coordination/registers",
        "        if change.base != current.version:\n            return Outcome.CONFLICT\n",
        "",
        HISTORIES + "test_random_histories_with_unbounded_faults_keep_acknowledged_changes",
    ),
    Mutant(
        "a change is rejected before its base is there",
        "coordination/chain",
        "        if change is not None and self.registers.awaits_base(change):",
        "        if False:",
        RULES + "test_a_change_whose_base_is_still_to_come_is_neither_applied_nor_rejected",
    ),
    Mutant(
        "a rejection counts though a later copy may be applied",
        "coordination/client_requests",
        "        if outcome is Outcome.CONFLICT and not _is_final_conflict(pending.request, reply.version):",
        "        if False:",
        RULES + "test_a_rejection_by_an_older_head_counts_only_where_no_later_copy_can_be_applied",
    ),
    Mutant(
        "a change is applied out of order",
        "coordination/chain",
        "        if entry is not None and entry.sequence == self.registers.sequence + 1:",
        "        if entry is not None:",
        RULES + "test_changes_are_applied_in_order_and_none_is_forwarded_after_a_gap",
    ),
    Mutant(
        "a change is forwarded after a gap",
        "coordination/chain",
        "        if forward.sequence <= self.registers.sequence:\n",
        "        if True:\n",
        RULES + "test_changes_are_applied_in_order_and_none_is_forwarded_after_a_gap",
    ),
    Mutant(
        "what is not committed is published",
        "coordination/chain",
        "[point for point in self.unpublished_history if point.sequence <= self.committed_sequence]",
        "list(self.unpublished_history)",
        RULES + "test_only_committed_changes_are_published",
    ),
    Mutant(
        "a lagging successor is not synced",
        "coordination/chain",
        "        elif now - self.sync_sent_at >= self._sync_retry_interval_s():",
        "        elif False:",
        HISTORIES + "test_random_histories_with_unbounded_faults_keep_acknowledged_changes",
    ),
    Mutant(
        "the head answers reads",
        "coordination/chain",
        "        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)\n",
        "        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)\n"
        "        if outcome is Outcome.VALUE:\n"
        "            register = self.registers.current(submit.key)\n"
        "            reply = Reply(submit.origin.request_id, int(outcome), register.version, register.payload)\n"
        "            outputs.messages.append((submit.origin.replica.address, reply))\n",
        RULES + "test_a_read_goes_down_the_chain_and_only_its_tail_replies",
    ),
)
