"""One-line mutants of placement under overload, of stage switches, and of requests that wait for a stage."""

from __future__ import annotations

from tests.mutant import Mutant

OVERLOAD = "tests/test_fleet_overload.py::"
CHANGES = "tests/test_fleet_stage_changes.py::"
PENDING = "tests/test_fleet_pending.py::"
LINKS = "tests/test_fleet_links.py::"
LOST_CLIENTS = "tests/test_fleet_lost_clients.py::"
STAGES = "tests/test_fleet_stages.py::"
LOSSES = "tests/test_fleet_losses.py::"

DECISIONS = (
    Mutant(
        "a hopeless request is placed",
        "fleet/placement/placement",
        "if is_hopeless and self.policy.rejects_hopeless:",
        "if False:",
        OVERLOAD + "test_a_request_that_cannot_start_before_its_client_gives_up_is_rejected",
    ),
    Mutant(
        "a long prompt is rejected without a queue",
        "fleet/placement/placement",
        "is_hopeless = wait_us > 0 and ",
        "is_hopeless = ",
        OVERLOAD + "test_a_request_that_cannot_start_before_its_client_gives_up_is_rejected",
    ),
    Mutant(
        "all rejected clients retry at once",
        "fleet/placement/placement",
        " + self.random.random() * min(MAX_RETRY_JITTER_S, max_jitter_s)",
        "",
        OVERLOAD + "test_rejected_clients_retry_at_different_times",
    ),
    Mutant(
        "a dropped prefill is not shared",
        "fleet/placement/placement",
        "self.exchange.pending_drops.append(dropped)",
        "pass",
        OVERLOAD + "test_segments_of_a_dropped_prefill_do_not_count_as_cached",
    ),
    Mutant(
        "segments of a dropped prefill stay cached",
        "fleet/placement/node",
        "            self._remove(segment)\n\n    def cached_tokens",
        "\n    def cached_tokens",
        OVERLOAD + "test_segments_of_a_dropped_prefill_do_not_count_as_cached",
    ),
    Mutant(
        "a later drop removes the segments that an earlier job prefilled",
        "fleet/placement/node",
        "new_segments = [segment for segment, _ in segments if segment not in self.segments]",
        "new_segments = [segment for segment, _ in segments]",
        OVERLOAD + "test_segments_prefilled_by_an_earlier_job_stay_when_a_later_job_is_dropped",
    ),
    Mutant(
        "an empty stage waits as long as any other for a switch",
        "fleet/placement/stages",
        "missing, SwitchReason.EMPTY)",
        "missing, SwitchReason.LOAD)",
        STAGES + "test_an_empty_stage_gets_an_instance_at_once",
    ),
    Mutant(
        "the last prefill instance keeps its stage",
        "fleet/placement/stages",
        "MIN_INSTANCES_TO_REFILL = {DECODE: 1, PREFILL: 2}",
        "MIN_INSTANCES_TO_REFILL = {DECODE: 2, PREFILL: 2}",
        STAGES + "test_a_single_prefill_instance_switches_since_only_a_decode_instance_can_serve_alone",
    ),
    Mutant(
        "the last decode instance switches to prefill",
        "fleet/placement/stages",
        "MIN_INSTANCES_TO_REFILL = {DECODE: 1, PREFILL: 2}",
        "MIN_INSTANCES_TO_REFILL = {DECODE: 1, PREFILL: 1}",
        STAGES + "test_a_single_decode_instance_keeps_its_stage",
    ),
    Mutant(
        "a switch delays the switch that refills its old stage",
        "fleet/placement/stages",
        "arriving_stages = {OTHER_STAGE[member.stage] for",
        "arriving_stages = {member.stage for",
        STAGES + "test_a_switch_away_from_an_empty_stage_does_not_delay_the_switch_that_refills_it",
    ),
    Mutant(
        "a stage change does not end at members that another member informs of its end",
        "fleet/registry/registry",
        "if change is not None and instance.stage != change.old_stage:",
        "if False:",
        CHANGES + "test_an_instance_with_a_changed_stage_is_ready_at_any_member",
    ),
    Mutant(
        "members prolong a timed-out stage change for one another",
        "fleet/registry/registry",
        "not is_changing and (is_order or not is_timed_out)",
        "not is_changing",
        CHANGES + "test_a_timed_out_change_is_not_revived_by_another_member",
    ),
    Mutant(
        "a stage has no minimum number of instances",
        "fleet/placement/stages",
        "min_instances = MIN_STAGE_INSTANCES if len(ready) >= 2 * MIN_STAGE_INSTANCES else 1",
        "min_instances = 1",
        STAGES + "test_a_stage_gets_a_second_instance_before_it_loses_the_last",
    ),
    Mutant(
        "memory does not count as decode load",
        "fleet/placement/stages",
        "max((report.running + report.waiting) / max(1, slots), memory)",
        "(report.running + report.waiting) / max(1, slots)",
        STAGES + "test_a_decode_stage_short_of_slots_or_memory_gets_idle_prefill_instances",
    ),
    Mutant(
        "an unknown field in a trial file is ignored",
        "fleet/trial",
        "    if unknown:\n",
        "    if False:\n",
        LOSSES + "test_a_trial_is_asked_for_by_the_command_line_and_a_deployment_asks_for_none",
    ),
    Mutant(
        "a request waits for a stage beyond its client's timeout",
        "fleet/forwarding/pending",
        "return not can_return and served_at <= request.give_up_at",
        "return not can_return",
        PENDING + "test_a_client_that_would_not_retry_waits_until_its_timeout",
    ),
    Mutant(
        "any number of requests wait for a stage",
        "fleet/forwarding/request_lifecycle",
        "return self.name in pending or len(pending) < MAX_PENDING",
        "return True",
        PENDING + "test_requests_above_the_limit_of_pending_ones_are_rejected",
    ),
    Mutant(
        "a request that has ended still counts as waiting",
        "fleet/forwarding/request_lifecycle",
        "        self.placement.pending_requests.discard(self.name)\n",
        "",
        PENDING + "test_a_request_that_ends_while_it_is_pending_is_no_longer_counted",
    ),
    Mutant(
        "closed links still connect",
        "fleet/transport/links",
        "        if self.is_closed:\n            return\n        link =",
        "        link =",
        LINKS + "test_closed_links_drop_messages_and_start_no_connect",
    ),
    Mutant(
        "a response is written to a lost connection",
        "fleet/transport/connection_context",
        "        if not self.transport.is_closing():\n            self.transport.write(data)\n"
        "            if self.transport.get_write_buffer_size():\n                self.on_unsent()\n"
        "        if self.transport.is_closing():\n            self.on_lost()\n",
        "        self.transport.write(data)\n",
        LOST_CLIENTS + "test_a_burst_of_events_to_a_client_that_reset_its_connection_logs_nothing",
    ),
)
