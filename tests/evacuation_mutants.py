"""One-line mutants of evacuations: orders through the chain, records, admission and stages."""

from __future__ import annotations

from tests.mutant import Mutant

ORDERS = "tests/test_evacuation_orders.py::"
HEADS = "tests/test_fleet_evacuations.py::"
RECORDS = "fleet/configuration/evacuations"
API = "fleet/controlplane/evacuation_api"
TABLE = "fleet/placement/instance_table"

EVACUATION_MUTANTS = (
    Mutant(
        "a second evacuation of a zone has the digest of the first",
        RECORDS,
        'f"{key}\\0{base_version}\\0"',
        'f"{key}\\0"',
        ORDERS + "test_without_faults_any_member_acknowledges_at_once_and_all_heads_apply_the_order",
    ),
    Mutant(
        "all records of a zone have the same stamp",
        RECORDS,
        "(register.version, 0)",
        "(1, 0)",
        ORDERS + "test_without_faults_any_member_acknowledges_at_once_and_all_heads_apply_the_order",
    ),
    Mutant(
        "an order of unknown outcome is acknowledged",
        API,
        "        if changed.outcome is not Outcome.CONFLICT:\n            return OrderResult.UNKNOWN",
        "        if changed.outcome is not Outcome.CONFLICT:\n            return OrderResult.IN_FORCE",
        ORDERS + "test_an_order_is_acknowledged_only_if_its_change_is_known_to_be_applied",
    ),
    Mutant(
        "an order is acknowledged although the state is unknown",
        API,
        "        if current.outcome is not Outcome.VALUE:\n            return OrderResult.UNKNOWN",
        "        if current.outcome is not Outcome.VALUE:\n            return OrderResult.IN_FORCE",
        ORDERS + "test_a_partition_without_a_majority_answers_503_at_once_and_the_other_serves_orders",
    ),
    Mutant(
        "an order is executed after its caller disconnected",
        API,
        "        if disconnect.done():",
        "        if False:",
        ORDERS + "test_an_order_executed_late_by_a_paused_member_does_not_undo_a_newer_one",
    ),
    Mutant(
        "a conflict is acknowledged",
        API,
        "newest.outcome is Outcome.VALUE and is_evacuated(newest.payload) == should_evacuate",
        "newest.outcome is Outcome.VALUE",
        ORDERS + "test_an_order_that_conflicts_with_newer_orders_is_not_retried",
    ),
    Mutant(
        "a conflict with a change to the same value is not acknowledged",
        API,
        "newest.outcome is Outcome.VALUE and is_evacuated(newest.payload) == should_evacuate",
        "False",
        ORDERS + "test_a_conflict_with_a_change_to_the_same_value_is_acknowledged",
    ),
    Mutant(
        "a member that acknowledges an order does not publish its record",
        API,
        '            self.publish(evacuation_record(evacuation_key(zone), Register(version, b"", payload)))',
        "            pass",
        ORDERS + "test_members_of_an_older_release_do_not_keep_orders_from_the_heads",
    ),
    Mutant(
        "an unknown zone is evacuated",
        API,
        "elif zone not in self.zones:",
        "elif not zone:",
        ORDERS + "test_orders_for_unknown_zones_and_other_methods_are_rejected_and_change_nothing",
    ),
    Mutant(
        "evacuated instances get requests",
        "fleet/placement/admission",
        "not self.is_evacuated(instance) and self.warmup",
        "self.warmup",
        HEADS + "test_first_attempts_avoid_an_evacuated_zone_with_and_without_stages",
    ),
    Mutant(
        "lost instances of an evacuated zone are a last resort",
        "fleet/placement/pool",
        "[node for node in others if node.instance.state == LOST]",
        "[node for node in self.nodes.values() if node.instance.state == LOST]",
        HEADS + "test_lost_instances_of_an_evacuated_zone_are_not_a_last_resort",
    ),
    Mutant(
        "a limited instance without capacity gets requests",
        "fleet/placement/pool",
        "[node for node in limited if fits(node)]",
        "limited",
        HEADS + "test_a_limited_instance_without_capacity_gets_no_requests",
    ),
    Mutant(
        "KV handles are freed at evacuated instances",
        "fleet/forwarding/request_lifecycle",
        "[handle for handle in handles if not self.placement.instances.is_evacuated(handle.instance)]",
        "handles",
        HEADS + "test_no_handle_is_freed_at_an_evacuated_instance",
    ),
    Mutant(
        "a zone stays evacuated after its evacuation ends",
        TABLE,
        "        self.admission.evacuated_zones.discard(zone)\n",
        "",
        HEADS + "test_evacuations_of_two_zones_end_independently",
    ),
    Mutant(
        "instances count as warm after the evacuation of their zone",
        TABLE,
        "self.admission.warmup.limit_until_confirmed(now, identity)",
        "pass",
        HEADS + "test_after_an_evacuation_instances_are_limited_until_their_warmup_is_confirmed",
    ),
    Mutant(
        "evacuated instances count as members of a stage",
        TABLE,
        "members = self.pool(service, stage).available_nodes()",
        "members = list(self.pool(service, stage).nodes.values())",
        HEADS + "test_a_stage_with_only_evacuated_instances_is_empty_and_is_refilled_only_from_other_zones",
    ),
    Mutant(
        "evacuated instances are expected to refill a stage",
        TABLE,
        "others = self.pool(service, other_stage).available_nodes()",
        "others = list(self.pool(service, other_stage).nodes.values())",
        HEADS + "test_a_stage_with_only_evacuated_instances_is_empty_and_is_refilled_only_from_other_zones",
    ),
    Mutant(
        "evacuated instances get orders to change their stage",
        "fleet/controlplane/stage_controller",
        " if instance.zone not in evacuated",
        "",
        HEADS + "test_the_stage_controller_plans_without_the_instances_of_evacuated_zones",
    ),
)
