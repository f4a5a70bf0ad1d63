"""One-line mutants of what placement decides under overload, and of how stages follow the work."""

from __future__ import annotations

from tests.mutant import Mutant

OVERLOAD = "tests/test_fleet_overload.py::"
CHANGES = "tests/test_fleet_stage_changes.py::"
STAGES = "tests/test_fleet_stages.py::"
LOSSES = "tests/test_fleet_losses.py::"

DECISIONS = (
    Mutant(
        "what is hopeless is sent all the same",
        "fleet/placement/placement",
        "if is_hopeless and self.policy.rejects_hopeless:",
        "if False:",
        OVERLOAD + "test_what_cannot_begin_before_its_client_gives_up_is_refused_at_once",
    ),
    Mutant(
        "where nobody waits a long prompt is refused",
        "fleet/placement/placement",
        "is_hopeless = wait_us > 0 and ",
        "is_hopeless = ",
        OVERLOAD + "test_what_cannot_begin_before_its_client_gives_up_is_refused_at_once",
    ),
    Mutant(
        "all refused clients come back at once",
        "fleet/placement/placement",
        " + self.random.random() * min(MAX_RETRY_JITTER_S, wait_us / MICROSECONDS)",
        "",
        OVERLOAD + "test_clients_that_are_refused_come_back_at_different_times",
    ),
    Mutant(
        "nobody is told of a prompt that is not read",
        "fleet/placement/placement",
        "self.pending_drops.append(PrefillDropped(reservation.node.instance.identity, reservation.job.job_id))",
        "pass",
        OVERLOAD + "test_parts_of_a_prompt_that_was_not_read_are_not_taken_for_kept",
    ),
    Mutant(
        "parts of a prompt that was not read stay",
        "fleet/placement/node",
        "            self.used_tokens -= self.segments.pop(segment, 0)\n\n    def cached_tokens",
        "\n    def cached_tokens",
        OVERLOAD + "test_parts_of_a_prompt_that_was_not_read_are_not_taken_for_kept",
    ),
    Mutant(
        "a later drop takes what an earlier job read",
        "fleet/placement/node",
        "new_segments = [segment for segment, _ in segments if segment not in self.segments]",
        "new_segments = [segment for segment, _ in segments]",
        OVERLOAD + "test_parts_that_another_job_has_read_stay_when_a_later_one_is_dropped",
    ),
    Mutant(
        "an empty stage waits like any change",
        "fleet/placement/stages",
        "missing, True)",
        "missing, False)",
        STAGES + "test_where_nobody_is_left_of_a_stage_one_is_made_at_once",
    ),
    Mutant(
        "a change holds up the one that its stage needs",
        "fleet/placement/stages",
        "arriving_stages = {OTHER_STAGE[member.stage] for",
        "arriving_stages = {member.stage for",
        STAGES + "test_a_change_that_takes_the_last_one_from_a_stage_does_not_hold_up_the_one_that_it_needs",
    ),
    Mutant(
        "a change lasts at whoever did not hear of its end first",
        "fleet/registry/registry",
        "if change is not None and instance.stage != change.old_stage:",
        "if False:",
        CHANGES + "test_an_instance_that_has_changed_its_stage_is_ready_wherever_it_beats_next",
    ),
    Mutant(
        "members prolong a change for one another",
        "fleet/registry/registry",
        "not is_changing and (is_order or not is_timed_out)",
        "not is_changing",
        CHANGES + "test_a_change_that_was_given_up_is_not_begun_anew_by_a_member_that_gives_it_up_later",
    ),
    Mutant(
        "a stage falls to one of many",
        "fleet/placement/stages",
        "min_instances = MIN_STAGE_INSTANCES if len(ready) >= 2 * MIN_STAGE_INSTANCES else 1",
        "min_instances = 1",
        STAGES + "test_a_stage_is_given_a_second_instance_before_its_last_one_is_lost",
    ),
    Mutant(
        "memory is not counted in what is taken",
        "fleet/placement/stages",
        "max((report.running + report.waiting) / max(1, slots), memory)",
        "(report.running + report.waiting) / max(1, slots)",
        STAGES + "test_makers_short_of_slots_or_of_memory_are_given_idle_readers",
    ),
    Mutant(
        "a misspelt mechanism of a trial is passed over",
        "fleet/trial",
        "    if unknown:\n",
        "    if False:\n",
        LOSSES + "test_a_trial_gives_a_policy_in_a_file_and_a_deployment_has_none",
    ),
)
