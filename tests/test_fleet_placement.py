"""Placement: groups by key, charging by size, the bound on outstanding units, caches, and late requests."""

from __future__ import annotations

from random import Random

from hophinge.core.choice.gateway_state import MAX_IN_FLIGHT
from hophinge.fleet.placement.hints import PlacementHint, PlacementHints, EngineReport, EngineReports
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.policy import PrefillOrder, PlacementPolicy
from hophinge.fleet.placement.pool import MIN_OUTSTANDING
from hophinge.fleet.placement.priority import LATE_PRIORITY, priority_of
from hophinge.fleet.registry.instance import DRAINING, LOST
from tests.fleet_placement_fixtures import generation, instance, placement_of, prompt_of, request_of


def test_requests_of_one_key_go_to_the_instance_with_its_cached_segment() -> None:
    placement = placement_of(6, 2)
    first = generation(placement, "a", prompt_of("key"))
    assert first.is_prefill_only
    second = generation(placement, "b", prompt_of("key"))
    assert second.reservation.node is first.reservation.node
    assert second.reservation.units < first.reservation.units


def test_a_key_is_spread_over_its_group_when_members_are_busy() -> None:
    placement = placement_of(8, 1)
    for node in placement.instances.pool("s", "decode").nodes.values():
        node.last_report = EngineReport(node.instance.identity, 9, 60, 190_000, 200_000)
    prompts = [prompt_of("key", 3_000, 3_000, str(number)) for number in range(9)]
    used = {
        generation(placement, prompt.segments[1][0], prompt).reservation.node.instance.identity for prompt in prompts
    }
    assert 1 < len(used) <= PlacementPolicy().group_size


def test_a_plain_request_goes_to_the_instance_that_finishes_first() -> None:
    placement = placement_of(0, 0, 3)
    chosen_instances = []
    for number in range(3):
        plan = placement.place_plain(request_of("same"), "")
        assert plan is not None
        chosen_instances.append(plan.reservation.node.instance.identity)
        assert plan.reservation.units == 1.0, number
    assert len(set(chosen_instances)) == 3


def test_remote_placements_count_in_queues_and_caches() -> None:
    placement = placement_of(2, 1)
    prompt = prompt_of("key")
    preferred = generation(placement, "a", prompt).reservation.node.instance.identity
    other = placement_of(2, 1)
    second = next(name for name in ("i-0", "i-1") if name != preferred)
    other.exchange.receive_hints(0.0, PlacementHints((PlacementHint(second, 100, prompt.segments, 0, 0, 1),)))
    assert generation(other, "a", prompt).reservation.node.instance.identity == second


def test_outstanding_units_at_an_instance_stay_under_the_bound() -> None:
    placement = placement_of(0, 0, 1)
    pool = placement.instances.pool("s", "")
    node = next(iter(pool.nodes.values()))
    for number in range(MIN_OUTSTANDING):
        assert pool.has_capacity(node, 1.0, 0.001), number
        candidate = pool.candidates(0.0, [node], lambda _: 1.0, False)[0]
        pool.reserve(0.0, candidate, (str(number), 1), number)
    assert not pool.has_capacity(node, 1.0, 0.001)
    assert pool.has_capacity(node, 1.0, 10.0)


def test_one_head_has_at_most_max_in_flight_requests_at_an_instance() -> None:
    placement = placement_of(0, 0, 1)
    plans = [placement.place_plain(request_of(str(number)), "") for number in range(MAX_IN_FLIGHT + 3)]
    assert sum(plan is not None for plan in plans) == MAX_IN_FLIGHT


def test_a_request_that_cannot_meet_its_target_is_queued_behind_all_others() -> None:
    placement = placement_of(1, 1)
    prompt = prompt_of("key", 40_000, 4_000)
    assert generation(placement, "a", prompt, target_s=10.0).priority < LATE_PRIORITY
    assert generation(placement, "b", prompt_of("other", 40_000, 4_000), target_s=0.1).priority == LATE_PRIORITY
    hints = placement.exchange.outgoing_hints(0.0)
    assert hints is not None
    assert [hint.priority == LATE_PRIORITY for hint in hints.hints] == [False, True]


def test_queued_late_jobs_do_not_delay_requests_that_can_meet_their_target() -> None:
    placement = placement_of(1, 1)
    running = [PlacementHint(name, 1_000, (), 0, 0, 1) for name in ("i-0", "i-1")]
    late = [PlacementHint(name, 900_000, (), LATE_PRIORITY, 0, 2) for name in ("i-0", "i-1")]
    placement.exchange.receive_hints(0.0, PlacementHints((*running, *late)))
    assert generation(placement, "a", prompt_of("key"), target_s=1.0).priority < LATE_PRIORITY


def test_an_instance_with_a_running_late_job_is_avoided() -> None:
    placement = placement_of(2, 1)
    prompt = prompt_of("key", 100, 100)
    preferred = generation(placement, "a", prompt).reservation.node.instance.identity
    other = placement_of(2, 1)
    other.exchange.receive_hints(0.0, PlacementHints((PlacementHint(preferred, 900_000, (), LATE_PRIORITY, 0, 2),)))
    assert generation(other, "a", prompt).reservation.node.instance.identity != preferred


def test_shorter_prompts_have_a_higher_priority() -> None:
    placement = placement_of(2, 1)
    short = generation(placement, "a", prompt_of("one", 100, 100))
    long = generation(placement, "b", prompt_of("two", 12_000, 1_000))
    assert short.priority < long.priority


def test_a_draining_instance_gets_no_requests_and_an_ended_one_is_removed() -> None:
    removed: list[str] = []
    placement = Placement("z", removed.append, Random(1))
    for number in range(2):
        placement.instances.update_instance(f"i-{number}", instance(number, ""))
    placement.instances.update_instance("i-0", instance(0, "", DRAINING))
    for number in range(4):
        plan = placement.place_plain(request_of(str(number)), "")
        assert plan is not None
        assert plan.reservation.node.instance.identity == "i-1"
    placement.instances.update_instance("i-0", None)
    assert removed == ["i-0"]


def test_an_instance_that_changes_its_stage_moves_to_the_other_pool() -> None:
    placement = placement_of(2, 1)
    placement.instances.update_instance("i-0", instance(0, "decode"))
    assert set(placement.instances.pool("s", "prefill").nodes) == {"i-1"}
    assert set(placement.instances.pool("s", "decode").nodes) == {"i-0", "i-2"}


def test_a_full_decode_instance_is_avoided() -> None:
    placement = placement_of(0, 2)
    prompt = prompt_of("key", 100, 100)
    first = generation(placement, "a", prompt).reservation.node.instance.identity
    placement.exchange.receive_reports(0.0, EngineReports((EngineReport(first, 12, 60, 199_000, 200_000),)))
    assert generation(placement, "b", prompt).reservation.node.instance.identity != first


def test_responses_without_delay_leave_the_time_per_unit_above_zero() -> None:
    placement = placement_of(1, 1)
    for number in range(200):
        plan = generation(placement, str(number), prompt_of(f"key-{number}", 2_000, 100))
        placement.record_answer(0.0, plan.reservation, False)
        plan.reservation.release(0.0)
    assert all(pool.unit_us(node) > 0 for pool in placement.instances.pools.values() for node in pool.nodes.values())
    assert placement.place_generation(request_of("last"), prompt_of("key")) is not None


def test_the_time_per_unit_follows_the_durations_of_responses() -> None:
    placement = placement_of(1, 1)
    pool = placement.instances.pool("s", "prefill")
    node = pool.nodes["i-0"]
    for number in range(60):
        candidate = pool.candidates(0.0, [node], lambda _: 10_000.0, False)[0]
        reservation = pool.reserve(float(number), candidate, (str(number), 1), number)
        placement.record_answer(number + 0.125, reservation, False)  # 10 us per unit, plus 25 ms of fixed time
        reservation.release(number + 0.125)
    assert 8.0 < pool.unit_us(node) < 13.0


def test_an_instance_that_responds_to_this_head_is_used_even_if_marked_lost() -> None:
    placement = placement_of(0, 0, 2)
    plan = placement.place_plain(request_of("a"), "")
    assert plan is not None
    responding = plan.reservation.node.instance.identity
    placement.record_answer(0.1, plan.reservation, False)
    for number in range(2):
        placement.instances.update_instance(f"i-{number}", instance(number, "", LOST))
    for number in range(3):
        plan = placement.place_plain(request_of(str(number), 1.0), "")
        assert plan is not None
        assert plan.reservation.node.instance.identity == responding


def test_a_lost_instance_is_used_only_if_there_is_no_other() -> None:
    placement = placement_of(0, 0, 1)
    placement.instances.update_instance("i-0", instance(0, "", LOST))
    assert placement.place_plain(request_of("a"), "") is not None
    placement.instances.update_instance("i-1", instance(1, ""))
    plan = placement.place_plain(request_of("b"), "")
    assert plan is not None
    assert plan.reservation.node.instance.identity == "i-1"


def test_a_draining_instance_is_never_used() -> None:
    placement = placement_of(0, 0, 1)
    placement.instances.update_instance("i-0", instance(0, "", DRAINING))
    assert placement.place_plain(request_of("a"), "") is None


def test_priorities_follow_service_time_and_lateness_unless_a_trial_differs() -> None:
    by_length = [
        priority_of(PlacementPolicy(), service_us, False) for service_us in (10_000.0, 90_000.0, 500_000.0, 2_000_000.0)
    ]
    assert by_length == sorted(set(by_length))
    assert priority_of(PlacementPolicy(), 10_000.0, True) == LATE_PRIORITY > by_length[-1]
    by_arrival = PlacementPolicy(order=PrefillOrder.ARRIVAL)
    assert priority_of(by_arrival, 10_000.0, False) == priority_of(by_arrival, 2_000_000.0, False)
    assert priority_of(PlacementPolicy(defers_late=False), 10_000.0, True) == by_length[0]


def test_open_streams_have_little_weight_in_the_choice_of_the_prefill_instance() -> None:
    """Ten open streams cost a prefill instance less than a quarter of the prompt's service time."""
    chosen = []
    for stream_weight in (PlacementPolicy().stream_weight, 4.0):
        placement = Placement(
            "z", lambda identity: None, Random(1), policy=PlacementPolicy(stream_weight=stream_weight)
        )
        for number, stage in enumerate(("prefill", "decode")):
            placement.instances.update_instance(f"i-{number}", instance(number, stage))
        placement.instances.configure({"s": 200_000})
        placement.exchange.receive_hints(
            0.0, PlacementHints((PlacementHint("i-0", 20_000, (), 0, 0, 1),))
        )  # the prefill instance is busy
        placement.nodes["i-1"].last_report = EngineReport("i-1", 0, 8, 100, 200_000)
        chosen.append(generation(placement, "a", prompt_of("key", 0, 3_000)).is_prefill_only)
    assert chosen == [False, True]
