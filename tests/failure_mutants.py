"""One-line mutants of the guarantees in failure scenarios: contact before answers, draining, catch-up, fencing."""

from __future__ import annotations

from tests.mutant import Mutant

ANSWERS = "tests/test_net_answers.py::"
RATES = "tests/test_net_body_rates.py::"
ENDLESS = "tests/test_net_endless_requests.py::"
SERVICE_PROMISES = (
    "tests/test_net_promises.py::test_in_random_orders_nothing_runs_that_was_refused_or_stands_behind_a_close"
)
CUTS = "tests/test_failures_partitions.py::"
OPERATORS = "tests/test_failures_operators.py::"
LOSSES = "tests/test_failures_losses.py::"
CATCHING_UP = "tests/test_failures_catch_up.py::"
HOLD = "tests/test_coordination_quorum_acknowledgements.py::"
SERVICE = "tests/test_fleet_instance_service.py::"
DRAINS = "tests/test_control_drains.py::"
MODEL = "tests/test_coordination_chain_model.py::"
ROLES = "tests/test_coordination_roles.py::"
REQUESTS = "tests/test_failures_requests.py::test_every_outcome_in_every_phase"
CONNECTIONS = "tests/test_failures_connections.py::"
LINKS = "tests/test_fleet_links.py::"
HOST = "tests/test_fleet_replica_host.py::"
FRONTEND = "tests/test_fleet_frontend.py::"
SURPLUS = "tests/test_fleet_upstream.py::test_a_connection_with_bytes_after_a_response_is_not_reused"

FAILURE_MUTANTS = (
    Mutant(
        "in service, an answer's body has no rate",
        "net/frontend",
        "                        await self.rate_limit(volume, klass, OUTBOUND, len(chunk))",
        "                        pass",
        RATES + "test_no_piece_of_an_answer_comes_ahead_of_the_rate",
    ),
    Mutant(
        "an object's body has no rate",
        "objects/request_handlers",
        "                    await self.rate_limit(volume.id, self.config.read_class, OUTBOUND, len(chunk))",
        "                    pass",
        RATES + "test_no_piece_of_an_object_comes_ahead_of_the_rate",
    ),
    Mutant(
        "in service, the log does not name a backend that was cut off",
        "net/backend_connection",
        "        self.registry.cut_off_log.record(self._loop.time(), self.endpoint, reason)",
        "        pass",
        ANSWERS + "test_the_log_names_the_backend_that_was_cut_off_and_why_once_a_second",
    ),
    Mutant(
        "an ejection replaces a file of another version",
        "head/process_handoff",
        "            if self._is_of_another_version((self.folder / EJECTIONS_FILE).read_bytes()):",
        "            if False:",
        "tests/test_handover.py::test_a_file_of_ejections_of_another_version_is_not_replaced",
    ),
    Mutant(
        "in service, the time of a body includes what the head takes for it",
        "net/frontend",
        "                consumer_s += self.loop.time() - yielded_at",
        "                pass",
        "tests/test_net_body_deadlines.py::test_a_body_that_the_head_itself_delays_is_not_too_slow[0.1-True]",
    ),
    Mutant(
        "in service, one iteration parses a body's pieces as long as there are more",
        "net/pipelined_connection",
        "            if pieces > MAX_PIECES_PER_TURN:",
        "            if False:",
        ENDLESS + "test_a_body_that_waited_behind_another_request_does_not_stop_the_event_loop",
    ),
    Mutant(
        "in service, reading a body parses on at once",
        "net/pipelined_connection",
        "        if self.is_advance_scheduled:\n            return\n",
        "",
        ENDLESS + "test_a_body_that_waited_behind_another_request_does_not_stop_the_event_loop",
    ),
    Mutant(
        "in service, a body may have any framing",
        "net/pipelined_connection",
        "            self._check_framing(len(data), payload)",
        "            pass",
        ENDLESS + "test_bodies_in_tiny_pieces_do_not_stop_the_event_loop[chunks of one byte]",
    ),
    Mutant(
        "in service, any number of empty lines may stand before a request",
        "net/client_connection",
        "            self.empty_line_bytes += len(data)",
        "            pass",
        ENDLESS + "test_endless_bytes_before_a_request_end_their_connection_alone[empty lines]",
    ),
    Mutant(
        "buffers stay as long whatever their lines",
        "net/bounded_reads",
        '        if data.count(b"\\n") > MAX_LINES:',
        "        if False:",
        ENDLESS + "test_the_buffer_is_the_shorter_the_more_lines_it_has_had",
    ),
    Mutant(
        "in service, a failed request is told as refused",
        "net/frontend",
        "Verdict.FAILED: 502",
        "Verdict.FAILED: 503",
        SERVICE_PROMISES,
    ),
    Mutant(
        "in service, an attempt without an answer counts as not sent",
        "net/backend_client",
        "before that it cannot have.\n            outcome = AttemptResult(Result.RESET if progress.is_sent else",
        "before that it cannot have.\n            outcome = AttemptResult(",
        SERVICE_PROMISES,
    ),
    Mutant(
        "chunks are received in buffers of any size",
        "net/bounded_reads",
        "self._framed_bytes if self._is_framed else READ_BYTES",
        "READ_BYTES - 1",
        ANSWERS + "test_answers_in_tiny_chunks_do_not_stop_the_event_loop",
    ),
    Mutant(
        "one iteration reads chunks as long as there are more",
        "net/bounded_reads",
        "            self._transport.pause_reading()",
        "            pass",
        ANSWERS + "test_answers_in_tiny_chunks_do_not_stop_the_event_loop",
    ),
    Mutant(
        "chunks are read on although nobody takes them",
        "net/bounded_reads",
        "        if self._receiver.may_read and not",
        "        if not",
        ANSWERS + "test_what_nobody_reads_stays_with_the_backend",
    ),
    Mutant(
        "a body of stated length is received in short buffers",
        "net/backend_connection",
        '        return self.state != "body" or self.body_remaining == CHUNKED',
        "        return True",
        ANSWERS + "test_a_body_of_stated_length_is_read_in_large_pieces",
    ),
    Mutant(
        "two replicas are a quorum",
        "coordination/quorum_acknowledgements",
        "len(voters & replicas) >= self.majority",
        "len(replicas) >= 2",
        DRAINS + "test_two_of_five_voters_that_are_cut_off_together_acknowledge_nothing",
    ),
    Mutant(
        "a live voter need not acknowledge",
        "coordination/quorum_acknowledgements",
        " and voters & self.live_replicas <= replicas",
        "",
        HOLD + "test_a_quorum_is_a_majority_with_every_live_voter",
    ),
    Mutant(
        "a confirmation of an older view counts",
        "coordination/quorum_acknowledgements",
        "{name for name, number in acknowledged_views.items() if number == quorum_view.view_number}",
        "set(acknowledged_views)",
        HOLD + "test_a_confirmation_in_another_view_does_not_count_in_this_one",
    ),
    Mutant(
        "a replicated record is not forwarded",
        "fleet/registry/service",
        "        recipients = [*context.heads, *voters]",
        "        recipients = list(context.heads)",
        SERVICE + "test_a_replicated_record_is_forwarded_before_it_is_acknowledged",
    ),
    Mutant(
        "an outdated heartbeat is acknowledged",
        "fleet/registry/service",
        "        elif record is None or not is_draining(record):",
        "        elif record is None:",
        SERVICE + "test_an_outdated_heartbeat_is_not_acknowledged",
    ),
    Mutant(
        "an instance ready again keeps its acknowledged drain",
        "fleet/registry/service",
        "            if record is not None:\n                self.acknowledged_drains.discard(instance.identity)\n",
        "            if record is not None:\n                pass\n",
        SERVICE + "test_an_instance_ready_again_needs_a_new_quorum_to_drain",
    ),
    Mutant(
        "unregistering is acknowledged by the drain before it",
        "fleet/registry/service",
        "        if identity not in self.registry.unregistered:\n"
        "            self.acknowledged_drains.discard(identity)\n",
        "",
        SERVICE + "test_unregistering_after_acknowledged_draining_needs_its_own_quorum",
    ),
    Mutant(
        "a draining replica stays in the chain",
        "coordination/view_planning",
        "    return observation.draining_replicas if len(remaining) >= observation.min_chain_length else frozenset()",
        "    return frozenset()",
        LOSSES + "test_a_second_loss_right_after_a_planned_replacement_leaves_a_majority",
    ),
    Mutant(
        "a draining replica is removed though the chain gets too short",
        "coordination/view_planning",
        "    return observation.draining_replicas if len(remaining) >= observation.min_chain_length else frozenset()",
        "    return observation.draining_replicas",
        LOSSES + "test_a_draining_member_ends_once_the_others_have_its_records",
    ),
    Mutant(
        "a draining replica does not wait",
        "coordination/replica_state",
        "        return synced_count < min(len(view.voters), self.tolerated_losses + 1)",
        "        return False",
        LOSSES + "test_a_draining_member_ends_once_the_others_have_its_records",
    ),
    Mutant(
        "a ballot begins without a majority in contact",
        "coordination/replica",
        "        if not self.is_connected(now):\n            self.peers.begin_stabilization(now)\n",
        "",
        CUTS + "test_a_partitioned_member_begins_no_ballot",
    ),
    Mutant(
        "a replica not heard since a partition has failed",
        "coordination/peers",
        "        if now - self.stabilizing_since < STABILIZATION_S:",
        "        if False:",
        CUTS + "test_a_side_partitioned_for_20_s_answers_nothing_and_recovers_soon",
    ),
    Mutant(
        "promises are gathered from the start of the ballot",
        "coordination/elections",
        "            attempt.majority_promised_at = now",
        "            attempt.majority_promised_at = attempt.started_at",
        CUTS + "test_a_side_partitioned_for_20_s_answers_nothing_and_recovers_soon",
    ),
    Mutant(
        "an isolated replica lets its callers wait",
        "coordination/client_requests",
        "        if self.state.is_isolated(now):",
        "        if False:",
        CUTS + "test_a_partitioned_member_rejects_requests_at_once",
    ),
    Mutant(
        "applied digests are lost with a snapshot",
        "coordination/registers",
        "        self.applied_digests = {key: dict(digests) for key, digests in snapshot.applied_digests}",
        "        self.applied_digests = {}",
        OPERATORS + "test_a_retried_change_is_acknowledged_whatever_came_between",
    ),
    Mutant(
        "a sync is retried before the last one may have arrived",
        "coordination/chain",
        "        return base_interval_s * float(2 ** min(max(0, self.consecutive_syncs - 1), "
        "MAX_SYNC_BACKOFF_DOUBLINGS))",
        "        return SYNC_RETRY_INTERVAL_S",
        CATCHING_UP + "test_the_largest_document_is_transferred_once_over_a_slow_link",
    ),
    Mutant(
        "syncs are retried without backoff",
        "coordination/chain",
        "        return base_interval_s * float(2 ** min(max(0, self.consecutive_syncs - 1), "
        "MAX_SYNC_BACKOFF_DOUBLINGS))",
        "        return base_interval_s",
        CATCHING_UP + "test_a_sync_is_retried_with_exponential_backoff",
    ),
    Mutant(
        "histories that differ are not compared",
        "coordination/chain",
        "        differs = is_same_length and heartbeat.history_digest != self.registers.history_digest",
        "        differs = False",
        CATCHING_UP + "test_replicas_that_differ_are_found_and_repaired",
    ),
    Mutant(
        "a replica of an old view is synced by any source",
        "coordination/chain",
        "        if view is None or sync.view_number != view.number:\n            return\n"
        "        if predecessor is None or predecessor.identity != source.identity:\n",
        "        if view is None or predecessor is None:\n",
        MODEL + "test_one_change_with_a_view_change_and_a_lost_disk_in_any_order",
    ),
    Mutant(
        "a wiped disk heads the chain",
        "coordination/chain",
        "        if (position == 0 and complete) or view.number == 1:",
        "        if complete or view.number == 1:",
        MODEL + "test_one_change_with_a_view_change_and_a_lost_disk_in_any_order",
    ),
    Mutant(
        "a refusal without Hophinge-Not-Executed is a promise",
        "fleet/forwarding/attempt_results",
        "    if status in NOT_EXECUTED_STATUSES and find_field(fields, NOT_EXECUTED) is not None:",
        "    if status in NOT_EXECUTED_STATUSES:",
        REQUESTS,
    ),
    Mutant(
        "an instance's promise is forwarded though the request may have run",
        "fleet/forwarding/attempt_results",
        "    return status not in NOT_EXECUTED_STATUSES",
        "    return True",
        REQUESTS,
    ),
    Mutant(
        "a response to another request is accepted",
        "fleet/forwarding/response_ownership",
        "    if response_id == request_id:",
        "    if True:",
        REQUESTS,
    ),
    Mutant(
        "a success without a signature is accepted",
        "fleet/forwarding/attempt_results",
        "    return find_field(fields, SIGNATURE) is not None",
        "    return True",
        REQUESTS,
    ),
    Mutant(
        "a request that may have run is retried at another instance",
        "fleet/forwarding/request_lifecycle",
        "        if self.possible_runs and not self._may_retry():",
        "        if False:",
        REQUESTS,
    ),
    Mutant(
        "a request that may have run gets a promise that it has not",
        "fleet/forwarding/request_lifecycle",
        "        if self.may_have_run or self.is_response_started:",
        "        if self.is_response_started:",
        REQUESTS,
    ),
    Mutant(
        "a connection with surplus bytes is used again",
        "fleet/dataplane/connections",
        "        return bool(surplus)",
        "        return False",
        SURPLUS,
    ),
    Mutant(
        "an aborted stream looks complete",
        "fleet/dataplane/exchange",
        '            self.outcome = "broken off"\n            raise ResponseAbortedError\n',
        '            return ""\n',
        REQUESTS,
    ),
    Mutant(
        "a connection dead when reused does not shorten the idle time",
        "fleet/dataplane/connections",
        "            if was_idle_s > 0:\n                self.pool.record_dead_connection(was_idle_s)\n",
        "",
        CONNECTIONS + "test_the_idle_time_of_silently_dropped_connections_is_learned",
    ),
    Mutant(
        "a traffic split is drawn at random",
        "fleet/forwarding/split",
        "(position + GOLDEN_RATIO) % 1.0",
        "self.random.random()",
        "tests/test_fleet_split.py::test_every_window_of_200_requests_is_split_by_the_weights",
    ),
    Mutant(
        "a lease counts from the latest request",
        "coordination/leases",
        "min(now, grant.requested_at) + grant.lease_s",
        "self.requested_at[source] + grant.lease_s",
        ROLES + "test_a_late_grant_counts_from_its_own_request_not_the_latest",
    ),
    Mutant(
        "a rejected token is reused",
        "coordination/ownership",
        "        if self.owned_since is None or self.rejected_token == self.token:",
        "        if self.owned_since is None:",
        ROLES + "test_a_rejected_token_is_not_reused_and_the_next_claim_is_above_it",
    ),
    Mutant(
        "a head without a configuration applies default limits",
        "fleet/dataplane/http_frontend",
        "await self._reject_size(send, 431, table)",
        'await answer(send, 431, b"", [CLOSE])',
        FRONTEND + "test_a_head_without_a_configuration_answers_503_to_any_request",
    ),
    Mutant(
        "a client's deadline may exceed its route's timeout",
        "fleet/dataplane/http_frontend",
        "min(requested_s, route.timeout_s)",
        "requested_s",
        FRONTEND + "test_a_request_ends_by_the_timeout_of_its_route",
    ),
    Mutant(
        "a later attempt is given the first one's time",
        "fleet/dataplane/exchange",
        "remaining_s = self.lifecycle.deadline - self.loop.time()",
        "remaining_s = self.lifecycle.deadline - self.lifecycle.trace.arrived",
        FRONTEND + "test_a_later_attempt_gets_only_the_remaining_time",
    ),
    Mutant(
        "work goes on after its client has left",
        "fleet/dataplane/client",
        "        work.cancel()\n        with contextlib",
        "        with contextlib",
        FRONTEND + "test_nothing_is_sent_for_a_client_that_disconnected_while_its_request_was_pending",
    ),
    Mutant(
        "what a full disk refused is acknowledged",
        "fleet/controlplane/group_commit",
        "            self.pending = unreleased + self.pending\n            return\n",
        "",
        HOST + "test_a_full_disk_acknowledges_nothing_until_it_is_writable_again",
    ),
    Mutant(
        "a connection to a member that connects again is kept",
        "fleet/transport/links",
        "            link.renew()\n",
        "            pass\n",
        LINKS + "test_a_member_that_connects_again_is_sent_messages_on_a_new_connection",
    ),
    Mutant(
        "a new connection is renewed again",
        "fleet/transport/links",
        "if self.transport is not None and not is_new:",
        "if self.transport is not None:",
        LINKS + "test_a_new_connection_is_not_renewed_again",
    ),
)
