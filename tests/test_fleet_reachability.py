"""Zones that a head cannot reach: learned from silence, probed by one request, reachable again after one response."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, AttemptResult
from hophinge.fleet.placement.hints import EngineReport, EngineReports, SuspectedInstances
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import PlacementPlan
from hophinge.fleet.placement.reachability import (
    BASE_BACKOFF_S,
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    PROBE_TIMEOUT_S,
    REPORT_GAP_S,
    ZoneReachability,
)
from hophinge.fleet.registry.instance import Instance
from tests.fleet_placement_fixtures import instance, prompt_of, request_of

FAR = [replace(instance(number, ""), zone="far") for number in range(4)]
NEAR = [replace(instance(number, ""), zone="near") for number in range(10, 14)]


def _after_failures(count: int, now: float = 10.0) -> ZoneReachability:
    reachability = ZoneReachability("near")
    for number in range(count):
        reachability.record_failure(now, FAR[number])
    return reachability


def test_one_silent_instance_makes_its_zone_unreachable_for_a_moment_and_two_for_longer() -> None:
    assert _after_failures(1).is_avoided(10.0 + FIRST_BACKOFF_S - 0.01, FAR[3])
    assert not _after_failures(1).is_avoided(10.0 + FIRST_BACKOFF_S, FAR[3])
    assert _after_failures(2).is_avoided(10.0 + BASE_BACKOFF_S - 0.01, FAR[3])
    assert not _after_failures(2).is_avoided(10.0 + BASE_BACKOFF_S, FAR[3])


def test_failures_in_the_own_zone_do_not_make_it_unreachable() -> None:
    reachability = _after_failures(2)
    reachability.record_failure(10.0, NEAR[0])
    reachability.record_failure(10.0, NEAR[1])
    assert not reachability.is_avoided(10.0, NEAR[2])


def test_requests_that_fail_at_the_same_time_are_one_failure_of_the_zone() -> None:
    assert not _after_failures(4).is_avoided(10.0 + BASE_BACKOFF_S, FAR[3])


def test_a_failure_right_after_a_response_does_not_count_for_the_zone() -> None:
    reachability = ZoneReachability("near")
    reachability.record_answer(9.9, FAR[0])
    reachability.record_failure(10.0, FAR[1])
    assert not reachability.is_avoided(10.0, FAR[2])


def test_suspicions_of_other_heads_alone_prove_nothing_about_a_zone() -> None:
    reachability = ZoneReachability("near")
    for suspect in FAR[:3]:
        reachability.record_suspicion(10.0, suspect)
    assert not reachability.is_avoided(10.0, FAR[3])
    reachability.record_failure(10.0, FAR[3])
    assert reachability.is_avoided(10.0 + BASE_BACKOFF_S - 0.01, FAR[0])


def test_one_request_probes_the_zone_and_each_failed_probe_doubles_the_backoff() -> None:
    reachability = _after_failures(2)
    now = 10.0 + BASE_BACKOFF_S
    for backoff_s in (2 * BASE_BACKOFF_S, 4 * BASE_BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S):
        assert not reachability.is_avoided(now, FAR[0])
        reachability.record_sent(now, FAR[0])
        assert reachability.is_avoided(now + PROBE_TIMEOUT_S - 0.01, FAR[1]), (
            "other requests avoid the zone until the probe has a result"
        )
        reachability.record_failure(now + 0.25, FAR[0])
        assert reachability.is_avoided(now + 0.25 + backoff_s - 0.01, FAR[1])
        now += 0.25 + backoff_s
    reachability.record_sent(now, FAR[0])
    reachability.record_answer(now + 0.1, FAR[0])
    assert not reachability.is_avoided(now + 0.1, FAR[1])
    reachability.record_failure(now + 5.0, FAR[1])
    assert not reachability.is_avoided(now + 5.0 + FIRST_BACKOFF_S, FAR[1]), "the response cleared the earlier failures"


def test_requests_to_a_reachable_zone_are_not_limited() -> None:
    reachability = ZoneReachability("near")
    reachability.record_answer(1.0, FAR[0])
    reachability.record_sent(2.0, FAR[0])
    assert not reachability.is_avoided(2.0, FAR[1])


@pytest.mark.parametrize(("silent_s", "is_avoided"), [(REPORT_GAP_S - 0.1, True), (REPORT_GAP_S + 0.1, False)])
def test_reports_after_a_gap_allow_a_probe_and_steady_ones_do_not(silent_s: float, is_avoided: bool) -> None:
    """Steady reports only show that another zone reaches this zone, not that this head does."""
    reachability = ZoneReachability("near")
    reachability.record_reports(9.0, FAR)
    for now in (9.2, 11.0, 14.0):
        reachability.record_failure(now, FAR[0])
        reachability.record_failure(now, FAR[1])
    reported_at = 14.5
    reachability.record_reports(reported_at - silent_s, FAR)
    reachability.record_failure(14.2, FAR[2])
    reachability.record_reports(reported_at, FAR[:1])
    assert reachability.is_avoided(reported_at, FAR[1]) == is_avoided


# --- placement -------------------------------------------------------------------------------------------------------


def _placement(far: str, near: str) -> Placement:
    placement = Placement("near", lambda identity: None, Random(1))
    for number, (zone, stage) in enumerate([("far", far)] * 6 + [("near", near)] * 2):
        zoned = replace(instance(number, stage), zone=zone)
        placement.instances.update_instance(zoned.identity, zoned)
    placement.instances.configure({"s": 200_000})
    return placement


def _partition_far_zone(placement: Placement, now: float) -> None:
    for node in [node for node in placement.nodes.values() if node.instance.zone == "far"][:2]:
        placement.record_silence(node, now)


def _zones(placement: Placement, now: float, count: int) -> list[str]:
    plans = [placement.place_plain(request_of(f"q{number}", now), "") for number in range(count)]
    return [plan.reservation.node.instance.zone for plan in plans if plan is not None]


def test_requests_avoid_a_silent_zone_and_return_after_one_response() -> None:
    placement = _placement("", "")
    assert "far" in _zones(placement, 1.0, 8)
    _partition_far_zone(placement, 2.0)
    assert set(_zones(placement, 2.0, 8)) == {"near"}
    probed = _zones(placement, 2.0 + BASE_BACKOFF_S, 8)
    assert probed.count("far") == 1
    placement.record_contact(next(iter(placement.nodes.values())), 3.2)
    assert _zones(placement, 3.2, 8).count("far") > 1


def test_a_request_that_has_failed_probes_no_other_zone() -> None:
    placement = _placement("", "")
    _partition_far_zone(placement, 2.0)
    now = 2.0 + BASE_BACKOFF_S
    failed_once = replace(request_of("q", now), excluded={"i-6"})
    plan = placement.place_plain(failed_once, "")
    assert plan is not None
    assert plan.reservation.node.instance.identity == "i-7"
    assert "far" in _zones(placement, now, 8), "a request without a failure probes the zone"


def test_a_stage_with_only_unreachable_instances_is_still_used() -> None:
    placement = _placement("", "prefill")
    _partition_far_zone(placement, 2.0)
    assert _zones(placement, 2.0, 1) == ["far"]


def test_a_decode_instance_prefills_if_no_prefill_instance_is_reachable() -> None:
    placement = _placement("prefill", "decode")
    _partition_far_zone(placement, 2.0)
    plan = placement.place_generation(request_of("q", 2.0), prompt_of("key"))
    assert isinstance(plan, PlacementPlan)
    assert not plan.is_prefill_only
    assert plan.reservation.node.instance.zone == "near"


def test_suspicions_of_other_heads_count_and_reports_end_them() -> None:
    placement = _placement("", "")
    exchange = placement.exchange
    exchange.receive_suspects(2.0, SuspectedInstances(("i-0", "i-1", "unknown")))
    placement.record_silence(placement.nodes["i-2"], 2.0)
    late = 2.0 + FIRST_BACKOFF_S
    assert set(_zones(placement, late, 8)) == {"near"}
    exchange.receive_reports(
        late, EngineReports((EngineReport("i-3", 0, 0, 0, 1), EngineReport("unknown", 0, 0, 0, 1)))
    )
    assert "far" in _zones(placement, late, 8)


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_which_attempt_outcomes_count_as_a_response(outcome: AttemptOutcome) -> None:
    is_answer = outcome not in (AttemptOutcome.UNSENT, AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN)
    assert AttemptResult(outcome).is_answer == is_answer


def test_a_placement_never_treats_its_own_zone_as_unreachable() -> None:
    placement = _placement("", "")
    own_zone_instance: Instance = placement.nodes["i-7"].instance
    placement.record_silence(placement.nodes["i-6"], 2.0)
    placement.record_silence(placement.nodes["i-7"], 2.0)
    assert not placement.admission.is_unreachable(2.0, own_zone_instance)
