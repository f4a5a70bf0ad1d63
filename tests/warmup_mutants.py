"""One-line mutants of the rate limits for cold instances."""

from __future__ import annotations

from tests.mutant import Mutant

RECORDS = "tests/test_fleet_warmup_records.py::"
LIMITS = "tests/test_fleet_warmup.py::"
CONTROL = "tests/test_fleet_warmup_control.py::"
LIMIT_HOLDS = LIMITS + "test_instances_that_restart_cold_together_are_not_overloaded"
LIMIT_HOLDS_UNDER_FAULTS = LIMITS + "test_the_limit_holds_while_heads_restart_freeze_or_are_partitioned"

WARMUP_MUTANTS = (
    Mutant(
        "an older heartbeat changes how long an instance stays cold",
        "fleet/registry/registry",
        "if identity in self.unregistered or (heartbeat is not None and sequence <= heartbeat.sequence):",
        "if identity in self.unregistered:",
        RECORDS + "test_an_older_heartbeat_does_not_change_the_remaining_cold_time",
    ),
    Mutant(
        "a heartbeat without changes does not end a suspicion",
        "fleet/registry/warmup",
        "return is_longer or is_over or not published.warmup.is_confirmed",
        "return is_longer or is_over",
        RECORDS + "test_a_suspected_instance_is_unconfirmed_until_its_next_heartbeat_even_if_nothing_changed",
    ),
    Mutant(
        "the end of a cold phase is not published",
        "fleet/registry/warmup",
        "return is_longer or is_over or not",
        "return is_longer or not",
        RECORDS + "test_only_the_start_an_extension_and_the_end_of_a_cold_phase_are_published",
    ),
    Mutant(
        "a longer cold phase is not published",
        "fleet/registry/warmup",
        "return is_longer or is_over or not",
        "return is_over or not",
        RECORDS + "test_only_the_start_an_extension_and_the_end_of_a_cold_phase_are_published",
    ),
    Mutant(
        "a lost instance is not suspected",
        "fleet/registry/registry",
        "                lost += self.warmup.suspect(now, (identity,))\n",
        "",
        RECORDS + "test_the_warmup_record_of_a_lost_instance_is_published_before_the_instance_is_ready",
    ),
    Mutant(
        "the end of an evacuation makes the instances of all zones suspect",
        "fleet/registry/service",
        " for instance in instances if instance.zone == zone]",
        " for instance in instances]",
        RECORDS + "test_the_instances_of_a_zone_are_unconfirmed_after_its_evacuation",
    ),
    Mutant(
        "a suspicion of a head does not reach the registry",
        "fleet/controlplane/soft_state",
        "            self.suspect(message.instances)\n",
        "            pass\n",
        CONTROL + "test_a_suspicion_at_one_member_reaches_all_heads_and_a_heartbeat_at_another_ends_it",
    ),
    Mutant(
        "the head count is taken from a granter without a majority",
        "fleet/dataplane/cluster_state",
        "if grant.is_connected and self.first_connected_at is None:",
        "if self.first_connected_at is None:",
        CONTROL + "test_a_head_started_in_the_smaller_partition_counts_no_heads_until_the_partition_heals",
    ),
    Mutant(
        "an instance is published before it is known to be cold",
        "fleet/registry/service",
        "self.publish(now, context, (warmup, record), step)",
        "self.publish(now, context, (record, warmup), step)",
        RECORDS + "test_a_head_learns_that_an_instance_is_cold_in_one_message_and_before_it_learns_of_the_instance",
    ),
    Mutant(
        "the warmup record outlives its instance",
        "fleet/registry/service",
        "        self.publish(now, context, (self.registry.unregister_warmup(identity),), step)\n",
        "",
        RECORDS + "test_the_record_ends_with_the_instance",
    ),
    Mutant(
        "an instance that reports itself cold is not limited",
        "fleet/placement/warmup",
        "return now < state.cold_until or self._is_unconfirmed",
        "return self._is_unconfirmed",
        LIMIT_HOLDS,
    ),
    Mutant(
        "a silent instance is not limited",
        "fleet/placement/placement",
        "            self.admission.record_silence(now, node.instance)\n",
        "",
        LIMITS + "test_the_failure_of_an_attempt_and_a_suspicion_of_another_head_limit_an_instance",
    ),
    Mutant(
        "an attempt that was abandoned here makes other heads treat its instance as cold",
        "fleet/placement/placement",
        "        if not is_abandoned:\n",
        "        if node:\n",
        "tests/test_fleet_frontend.py::test_an_instance_whose_client_disconnects_does_not_count_as_cold",
    ),
    Mutant(
        "suspicions of other heads do not limit an instance",
        "fleet/placement/hint_exchange",
        "                self.instances.admission.record_silence(now, node.instance)",
        "                pass",
        LIMITS + "test_the_failure_of_an_attempt_and_a_suspicion_of_another_head_limit_an_instance",
    ),
    Mutant(
        "an unconfirmed record is applied as a confirmed one",
        "fleet/placement/warmup",
        "        if not warmup.is_confirmed:\n",
        "        if not warmup.is_confirmed and now < 0:\n",
        LIMIT_HOLDS_UNDER_FAULTS,
    ),
    Mutant(
        "a new instance is not limited",
        "fleet/placement/warmup",
        "if is_new and self.is_serving and identity not in self.states:",
        "if False:",
        LIMITS + "test_an_instance_that_is_new_to_a_serving_head_is_limited_until_its_record_or_its_cold_time",
    ),
    Mutant(
        "a report from before the silence counts as a sign of life",
        "fleet/placement/warmup",
        "if now - state.last_alive_at > MAX_ALIVE_GAP_S:",
        'if state.last_alive_at == float("-inf"):',
        LIMITS + "test_without_a_record_an_instance_is_warm_once_alive_for_longer_than_it_can_be_cold",
    ),
    Mutant(
        "a lost instance is treated as warm after a while",
        "fleet/placement/warmup",
        "is_over = not state.is_lost and now",
        "is_over = now",
        LIMITS + "test_an_unconfirmed_state_expires_after_a_time_unless_the_instance_is_lost",
    ),
    Mutant(
        "a head that does not know the head count has a permit",
        "fleet/placement/warmup",
        "    if head_count <= 0 or limit <= 0:\n        return PermitPlan(0.0, SEND_WINDOW_S)\n",
        "    head_count = max(1, head_count)\n",
        LIMITS + "test_a_head_that_does_not_know_the_head_count_has_no_permit",
    ),
    Mutant(
        "every head has a permit",
        "fleet/placement/warmup",
        " and self._draw(instance) < plan.fraction",
        "",
        LIMIT_HOLDS,
    ),
    Mutant(
        "a permit has no interval",
        "fleet/placement/warmup",
        "now - last_sent_at >= plan.interval_s and ",
        "",
        LIMIT_HOLDS,
    ),
    Mutant(
        "a request to a cold instance is not recorded",
        "fleet/placement/pool",
        "        self.admission.record_sent(now, candidate.node.instance)\n",
        "",
        LIMITS + "test_prefills_decodes_and_retries_share_one_permit",
    ),
    Mutant(
        "the expected number of permits has no margin",
        "fleet/placement/warmup",
        "expected = min(cold_per_s * SEND_WINDOW_S, expected_permits(limit))",
        "expected = float(limit)",
        LIMITS + "test_more_heads_than_the_limit_have_a_permit_only_with_negligible_probability",
    ),
    Mutant(
        "few heads leave no margin for unknown heads",
        "fleet/placement/warmup",
        "floor(limit / HEAD_COUNT_MARGIN / head_count)",
        "floor(limit / head_count)",
        LIMITS + "test_more_heads_than_the_limit_have_a_permit_only_with_negligible_probability",
    ),
    Mutant(
        "a cold instance is used like a warm one",
        "fleet/placement/pool",
        "limited = [node for node in usable if self.admission.is_limited(now, node.instance)]",
        "limited: list[Node] = []",
        LIMITS + "test_a_cold_instance_gets_a_request_only_if_no_other_has_capacity",
    ),
)
