"""KV caches that cannot be transferred between two zones: both stages of a request are then placed in one zone."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, AttemptResult, KvHandle
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.request_lifecycle import Generate, Prefill, RequestLifecycle
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.hints import EngineReport
from hophinge.fleet.placement.kv_transfers import BASE_BACKOFF_S, MAX_BACKOFF_S, KvTransfers
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import PlacementPlan
from tests.fleet_placement_fixtures import instance, prompt_of, request_of

ROUTE = Route("r", "h", "/", "streaming", 4.0, 2.0, 0.0, 1, 2, True, ("s",), (1.0,))


def _placement(*instances: tuple[str, str]) -> Placement:
    placement = Placement("a", lambda identity: None, Random(1))
    for number, (zone, stage) in enumerate(instances):
        zoned = replace(instance(number, stage), zone=zone)
        placement.instances.update_instance(zoned.identity, zoned)
    placement.instances.configure({"s": 200_000})
    return placement


def test_a_pair_is_avoided_in_both_directions_for_longer_with_each_failed_probe() -> None:
    transfers, now = KvTransfers(), 5.0
    for backoff_s in (BASE_BACKOFF_S, 2 * BASE_BACKOFF_S, 4 * BASE_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S):
        transfers.record_refusal(now, "a", "b")
        transfers.record_refusal(now + 0.1, "b", "a")  # of an attempt that was already in flight
        assert transfers.is_avoided(now + backoff_s - 0.01, "b", "a")
        assert not transfers.is_avoided(now + backoff_s, "a", "b")
        assert not transfers.is_avoided(now, "a", "c")
        now += backoff_s
    transfers.record_transfer("b", "a")
    transfers.record_refusal(now, "a", "b")
    assert not transfers.is_avoided(now + BASE_BACKOFF_S, "a", "b"), (
        "one successful transfer clears the earlier refusals"
    )


def test_refusals_within_a_zone_prove_nothing() -> None:
    transfers = KvTransfers()
    transfers.record_refusal(1.0, "a", "a")
    assert not transfers.is_avoided(1.0, "a", "a")


def test_a_prompt_is_not_prefilled_where_its_cache_cannot_be_fetched() -> None:
    placement = _placement(("b", "prefill"), ("b", "prefill"), ("c", "decode"), ("c", "decode"))
    plan = placement.place_generation(request_of("q"), prompt_of("key"))
    assert isinstance(plan, PlacementPlan)
    assert plan.is_prefill_only
    placement.transfers.record_refusal(0.0, "b", "c")
    plan = placement.place_generation(request_of("r"), prompt_of("key"))
    assert isinstance(plan, PlacementPlan)
    assert not plan.is_prefill_only


def test_a_prompt_is_prefilled_outside_its_group_if_no_member_can_transfer_its_cache() -> None:
    """Prefill at the decode instances would slow down all responses that they stream."""
    for number in range(5):
        placement = _placement(*([("b", "prefill")] * 9), ("c", "prefill"), ("c", "decode"))
        placement.transfers.record_refusal(0.0, "b", "c")
        plan = placement.place_generation(request_of("q"), prompt_of(f"key{number}"))
        assert isinstance(plan, PlacementPlan)
        assert plan.reservation.node.instance.identity == "i-9"


def test_the_cost_of_a_split_excludes_instances_that_cannot_fetch_the_cache() -> None:
    placement = _placement(("b", "prefill"), ("b", "decode"), ("c", "decode"))
    placement.nodes["i-1"].last_report = EngineReport("i-1", 50, 60, 190_000, 200_000)
    placement.transfers.record_refusal(0.0, "b", "c")
    plan = placement.place_generation(request_of("q"), prompt_of("key"))
    assert isinstance(plan, PlacementPlan)
    assert plan.reservation.node.instance.identity == "i-2", "the instance that could fetch the cache is full"


def test_a_decode_goes_where_the_cache_can_be_fetched_and_elsewhere_as_a_last_resort() -> None:
    placement = _placement(("b", "prefill"), *([("a", "decode")] * 6), ("b", "decode"))
    placement.nodes["i-7"].last_report = EngineReport("i-7", 0, 60, 190_000, 200_000)  # the highest cost of all
    placement.transfers.record_refusal(0.0, "a", "b")
    plan = placement.place_decode(request_of("q"), prompt_of("key"), "i-0")
    assert plan is not None
    assert plan.reservation.node.instance.identity == "i-7"
    plan = placement.place_decode(replace(request_of("q"), excluded={"i-7"}), prompt_of("key"), "i-0")
    assert plan is not None
    assert plan.reservation.node.instance.zone == "a"


def test_a_request_records_which_transfers_fail_and_which_succeed() -> None:
    placement = _placement(("b", "prefill"), ("c", "decode"), ("c", "decode"))
    budget = RetryBudget(0.2, 100.0, 10.0, -10.0)
    trace = RequestTrace("r", 0.0, 2.0)
    lifecycle = RequestLifecycle("q", ROUTE, "s", prompt_of("key"), True, 2.0, 4.0, placement, budget, 1, trace)
    prefill = lifecycle.next_step(0.0)
    assert isinstance(prefill, Prefill)
    lifecycle.complete_attempt(0.1, prefill.reservation, AttemptResult(AttemptOutcome.READ, KvHandle("i-0", "x", "h")))
    refused = lifecycle.next_step(0.1)
    assert isinstance(refused, Generate)
    lifecycle.complete_attempt(0.2, refused.reservation, AttemptResult(AttemptOutcome.REFUSED))
    assert placement.transfers.is_avoided(0.2, "b", "c")
    lifecycle.requested_handle = KvHandle("i-0", "x", "h")
    lifecycle.record_first_event(0.3, refused.reservation)
    assert not placement.transfers.is_avoided(0.3, "b", "c")
