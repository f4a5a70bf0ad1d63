"""One-line mutants of the shared counters: each breaks one rule of what may be acknowledged, rejected or read."""

from __future__ import annotations

from tests.mutant import Mutant

RULES = "tests/test_counter_rules.py::"
FLEET = "tests/test_fleet_counters.py::"
API = "fleet/controlplane/counter_api"
SET = "coordination/counters"
REPLICATION = "coordination/counter_replication"
PEERS = "coordination/counter_peers"
EXCHANGE = "coordination/counter_exchange"

COUNTER_MUTANTS = (
    Mutant(
        "an identifier counts again",
        SET,
        "            if encode(increment) >= encode(current):\n",
        "            if encode(increment) > encode(current):\n",
        RULES + "test_callers_of_one_identifier_are_all_answered_and_an_old_one_is_confirmed_again",
    ),
    Mutant(
        "the first content of an identifier counts",
        SET,
        "            if encode(increment) >= encode(current):\n",
        "            if current is not None:\n",
        RULES + "test_sets_merged_in_any_order_are_equal_also_where_one_identifier_has_two_contents",
    ),
    Mutant(
        "an increment is acknowledged before it is synced here",
        REPLICATION,
        "        if identifier in self.unsynced:\n            return False\n",
        "",
        RULES + "test_an_increment_is_acknowledged_on_one_disk_more_than_may_be_lost_the_local_one_among_them",
    ),
    Mutant(
        "one disk fewer acknowledges",
        REPLICATION,
        "        return self.tolerated_losses + 1\n",
        "        return self.tolerated_losses\n",
        RULES + "test_a_slow_member_is_waited_for_and_asked_again",
    ),
    Mutant(
        "a slow member is not waited for",
        REPLICATION,
        "self.peers.reachable_identities() <= pending.holders",
        "bool(pending.holders)",
        RULES + "test_a_slow_member_is_waited_for_and_asked_again",
    ),
    Mutant(
        "a member that is cut off is waited for",
        PEERS,
        "awake_s - peer.answered_at <= SUSPECT_TIMEOUT_S",
        "awake_s >= peer.answered_at",
        RULES + "test_a_member_that_is_cut_off_is_not_waited_for",
    ),
    Mutant(
        "a member that is only heard counts as reachable",
        REPLICATION,
        "                reply = CounterProbeReply(number, self.counters.root, self.is_writable)\n",
        "                peer.answered_at = awake_s\n"
        "                reply = CounterProbeReply(number, self.counters.root, self.is_writable)\n",
        RULES + "test_a_member_that_is_heard_and_does_not_answer_is_cut_off",
    ),
    Mutant(
        "standing still counts as the silence of others",
        PEERS,
        "min(max(0.0, now - self.last_input_at), MAX_INPUT_GAP_S)",
        "max(0.0, now - self.last_input_at)",
        RULES + "test_the_time_in_which_this_process_stood_still_is_no_silence_of_the_others",
    ),
    Mutant(
        "a member that has just started acknowledges alone",
        REPLICATION,
        "        return self.peers.has_heard_enough(awake_s) and ",
        "        return ",
        RULES + "test_a_member_that_has_just_started_does_not_acknowledge_alone",
    ),
    Mutant(
        "a member that has just started waits for voters that it hears",
        PEERS,
        "        return bool(self.voters) and self.voters <= self.reachable_identities() | {self.me.identity}\n",
        "        return False\n",
        RULES + "test_a_member_that_has_just_started_and_hears_all_voters_need_not_wait",
    ),
    Mutant(
        "a disk that takes no writes is not waited for",
        PEERS,
        "        return {peer.replica.identity for peer in self.reachable()}\n",
        "        return {peer.replica.identity for peer in self.reachable() if peer.is_writable}\n",
        RULES + "test_members_that_answer_and_cannot_write_are_waited_for",
    ),
    Mutant(
        "the disk of a replaced member counts",
        REPLICATION,
        "                pending.holders.discard(identity)\n",
        "                pass\n",
        RULES + "test_the_disk_of_a_member_that_was_replaced_does_not_count",
    ),
    Mutant(
        "an increment that is stored is rejected when it comes again",
        REPLICATION,
        "        if self.counters.get(increment.identifier) is not None:\n            return None\n        if self.is",
        "        if self.is",
        RULES + "test_an_increment_that_comes_again_is_not_rejected_by_the_member_that_stored_it",
    ),
    Mutant(
        "what others have in memory counts as stored when a member ends",
        REPLICATION,
        "peer.root == self.counters.root and peer.is_writable for peer",
        "peer.root == self.counters.root for peer",
        RULES + "test_a_draining_member_is_required_while_those_that_have_what_it_has_cannot_write_it",
    ),
    Mutant(
        "a draining member takes increments",
        REPLICATION,
        "        if self.is_draining:\n",
        "        if False:\n",
        RULES + "test_a_rejected_increment_is_neither_stored_nor_sent[draining]",
    ),
    Mutant(
        "a member whose disk takes no writes takes increments",
        REPLICATION,
        "        if not self.is_writable:\n",
        "        if False:\n",
        RULES + "test_a_rejected_increment_is_neither_stored_nor_sent[disk]",
    ),
    Mutant(
        "a rejection comes after the increment was stored",
        REPLICATION,
        "        reason = self._rejection(increment)\n",
        "        reason = self._rejection(increment)\n        self._merge([increment], None, outputs)\n",
        RULES + "test_a_rejected_increment_is_neither_stored_nor_sent[draining]",
    ),
    Mutant(
        "an unclear outcome is told as a rejection",
        REPLICATION,
        "                self._complete(identifier, CounterOutcome.UNKNOWN, outputs)\n",
        "                self._complete(identifier, CounterOutcome.REJECTED, outputs)\n",
        RULES + "test_an_increment_that_cannot_be_replicated_ends_with_an_unknown_outcome_not_with_a_rejection",
    ),
    Mutant(
        "an increment is confirmed before it is synced",
        REPLICATION,
        "            if unsynced is None:\n",
        "            if unsynced is not None:\n",
        RULES + "test_a_member_confirms_an_increment_only_once_it_is_synced",
    ),
    Mutant(
        "content that replaces another is taken for synced with it",
        REPLICATION,
        "            if unsynced.record_number > through:\n                break\n",
        "",
        RULES + "test_content_that_replaces_another_is_confirmed_once_it_is_synced_itself",
    ),
    Mutant(
        "a member reads before it has merged",
        REPLICATION,
        "        if not self.is_readable:\n            reason",
        "        if False:\n            reason",
        RULES + "test_a_process_reads_once_it_has_merged_with_a_majority_or_has_waited",
    ),
    Mutant(
        "a new disk counts in the majority",
        PEERS,
        "        if is_restored:\n",
        "        if True:\n",
        RULES + "test_a_new_disk_is_none_of_the_majority_that_a_read_needs",
    ),
    Mutant(
        "a member that is reached and has more is not merged with",
        PEERS,
        "awake_s >= STARTUP_WAIT_S and all(peer.is_merged for peer in self.reachable())",
        "awake_s >= STARTUP_WAIT_S",
        RULES + "test_a_process_does_not_read_while_a_member_that_it_reaches_has_more",
    ),
    Mutant(
        "a lost chunk completes a merge",
        EXCHANGE,
        "        if len(fetch.received_indexes) < chunk.count:\n            return\n",
        "",
        RULES + "test_a_process_does_not_read_while_a_member_that_it_reaches_has_more",
    ),
    Mutant(
        "a fetch begins again at the first bucket",
        EXCHANGE,
        "            self._fetch(awake_s, peer, chunk.next_bucket, outputs)\n",
        "            pass\n",
        RULES + "test_a_fetch_is_answered_in_bounded_parts_until_all_is_merged",
    ),
    Mutant(
        "a voter that was silent for long is probed less often",
        PEERS,
        "identity not in self.voters and self._is_long_silent(awake_s, peer)\n            if awake_s - peer",
        "self._is_long_silent(awake_s, peer)\n            if awake_s - peer",
        RULES + "test_a_member_that_is_gone_for_good_is_probed_less_often_and_a_voter_is_not",
    ),
    Mutant(
        "an unclear outcome is answered as a rejection",
        API,
        "            await _answer_error(send, 504,",
        "            await _answer_error(send, 503,",
        FLEET + "test_a_draining_member_rejects_new_increments_and_answers_pending_ones_as_unknown",
    ),
    Mutant(
        "a record that a failed disk held up is taken for synced",
        "fleet/controlplane/group_commit",
        "            self.failed_at = self.loop.time()\n",
        "            self.failed_at = self.loop.time()\n            self.callbacks.release(batch.outputs)\n",
        FLEET + "test_a_failed_disk_rejects_new_increments_and_acknowledges_only_synced_ones",
    ),
    Mutant(
        "the state of the counters is not read from the log",
        "fleet/controlplane/counter_host",
        "            self.machine.restore(recovered.state, recovered.records)\n",
        "            self.machine.restore(recovered.state, ())\n",
        FLEET + "test_counters_are_restored_from_the_stored_state_and_the_log",
    ),
    Mutant(
        "a member that keeps no counters is redirected to",
        "fleet/controlplane/counter_host",
        "            if identity in announced and now",
        "            if now",
        FLEET + "test_a_member_without_a_disk_redirects_to_a_counter_member_of_its_zone",
    ),
    Mutant(
        "a member ends though one disk alone has what it has",
        REPLICATION,
        "        return complete_count < min(self.config.required_disks, len(reachable))\n",
        "        return not complete_count and bool(reachable)\n",
        RULES + "test_a_draining_member_is_required_until_enough_of_those_that_it_reaches_have_what_it_has",
    ),
    Mutant(
        "an announcement puts a peer out of its place",
        PEERS,
        "            if member.address not in addresses:\n",
        "            if member.identity not in self.known:\n",
        RULES + "test_a_new_disk_is_not_put_out_of_its_place_by_the_old_one_s_announcement_or_late_messages",
    ),
    Mutant(
        "a late message of a replaced member brings it back",
        PEERS,
        '        if is_known or awake_s - self.replaced_at.get(replica.identity, float("-inf")) < REPLACED_S:\n',
        "        if is_known:\n",
        RULES + "test_a_new_disk_is_not_put_out_of_its_place_by_the_old_one_s_announcement_or_late_messages",
    ),
    Mutant(
        "differences are not fetched",
        REPLICATION,
        "        self.exchange.compare(awake_s, peer, outputs)\n",
        "",
        RULES + "test_what_a_cut_kept_apart_is_merged_at_once_also_through_a_third_member",
    ),
)
