"""One-line mutants of the rules of evacuations: orders through the chain, records, admission, stages."""

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
        ORDERS + "test_in_a_calm_fleet_any_member_acknowledges_at_once_and_all_heads_know",
    ),
    Mutant(
        "records of a zone carry one stamp",
        RECORDS,
        "(register.version, 0)",
        "(1, 0)",
        ORDERS + "test_in_a_calm_fleet_any_member_acknowledges_at_once_and_all_heads_know",
    ),
    Mutant(
        "an order of unknown outcome is acknowledged",
        API,
        "        if changed.outcome is not Outcome.CONFLICT:\n            return OrderResult.UNKNOWN",
        "        if changed.outcome is not Outcome.CONFLICT:\n            return OrderResult.IN_FORCE",
        ORDERS + "test_an_order_is_acknowledged_only_where_its_change_is_known_to_be_applied",
    ),
    Mutant(
        "an order is acknowledged though the state is not known",
        API,
        "        if current.outcome is not Outcome.VALUE:\n            return OrderResult.UNKNOWN",
        "        if current.outcome is not Outcome.VALUE:\n            return OrderResult.IN_FORCE",
        ORDERS + "test_a_side_without_a_majority_answers_503_at_once_and_the_other_acts",
    ),
    Mutant(
        "an order outlives its caller",
        API,
        "        if disconnect.done():",
        "        if False:",
        ORDERS + "test_an_order_that_a_frozen_member_finds_on_waking_does_not_undo_a_newer_one",
    ),
    Mutant(
        "a conflict is acknowledged",
        API,
        "newest.outcome is Outcome.VALUE and is_evacuated(newest.payload) == should_evacuate",
        "newest.outcome is Outcome.VALUE",
        ORDERS + "test_an_attempt_that_is_overtaken_by_newer_orders_is_not_tried_again",
    ),
    Mutant(
        "a conflict with a change to the same value is not acknowledged",
        API,
        "newest.outcome is Outcome.VALUE and is_evacuated(newest.payload) == should_evacuate",
        "False",
        ORDERS + "test_a_conflict_with_a_change_to_the_same_value_is_acknowledged",
    ),
    Mutant(
        "the member that acknowledges an order leaves its record to the chain",
        API,
        '            self.publish(evacuation_record(evacuation_key(zone), Register(version, b"", payload)))',
        "            pass",
        ORDERS + "test_while_members_and_a_head_run_an_older_program_all_others_know",
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
        HEADS + "test_instances_that_the_registry_lost_are_no_last_resort_in_an_evacuated_zone",
    ),
    Mutant(
        "a limited instance without capacity gets requests",
        "fleet/placement/pool",
        "[node for node in limited if fits(node)]",
        "limited",
        HEADS + "test_a_limited_instance_without_capacity_gets_nothing",
    ),
    Mutant(
        "handles are freed at evacuated instances",
        "fleet/forwarding/request_lifecycle",
        "[handle for handle in handles if not self.placement.instances.is_evacuated(handle.instance)]",
        "handles",
        HEADS + "test_no_handle_is_freed_at_an_evacuated_instance",
    ),
    Mutant(
        "a zone stays evacuated when it is taken back",
        TABLE,
        "        self.admission.evacuated_zones.discard(zone)\n",
        "",
        HEADS + "test_two_zones_are_evacuated_and_taken_back_one_by_one",
    ),
    Mutant(
        "instances of a zone that is taken back count as warm",
        TABLE,
        "self.admission.warmup.limit_until_confirmed(now, identity)",
        "pass",
        HEADS + "test_the_instances_of_a_zone_that_is_taken_back_are_taken_for_cold_until_they_say_otherwise",
    ),
    Mutant(
        "evacuated instances fill a stage",
        TABLE,
        "members = self.pool(service, stage).available_nodes()",
        "members = list(self.pool(service, stage).nodes.values())",
        HEADS + "test_a_stage_whose_only_instances_are_evacuated_is_empty_and_is_refilled_from_other_zones_alone",
    ),
    Mutant(
        "evacuated instances are expected to refill a stage",
        TABLE,
        "others = self.pool(service, other_stage).available_nodes()",
        "others = list(self.pool(service, other_stage).nodes.values())",
        HEADS + "test_a_stage_whose_only_instances_are_evacuated_is_empty_and_is_refilled_from_other_zones_alone",
    ),
    Mutant(
        "evacuated instances get orders of stages",
        "fleet/controlplane/stage_controller",
        " if instance.zone not in evacuated",
        "",
        HEADS + "test_the_stage_controller_plans_without_the_instances_of_evacuated_zones",
    ),
)
