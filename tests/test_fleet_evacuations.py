"""Evacuated zones at a head: nothing is sent to their instances, which are limited after the evacuation ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hophinge.coordination.dissemination import Dissemination
from hophinge.coordination.registers import Register
from hophinge.fleet.configuration.evacuations import EVACUATED, IN_SERVICE, evacuation_key, evacuation_record
from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.controlplane.stage_controller import StageController
from hophinge.fleet.dataplane.upstream import CONNECT_TIMEOUT_S
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, AttemptResult, KvHandle
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.request_lifecycle import Backoff, Generate, Prefill, Reject, RequestLifecycle
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.stage_outlook import StageState
from hophinge.fleet.placement.stages import StageLoads
from hophinge.fleet.registry.instance import LOST, READY, Instance
from hophinge.fleet.registry.warmup import Warmup

EVACUATION_S = 5.0  # the operators' bound, evacuation-ms
STREAM = Route("r", "h", "/", "streaming", 9.0, 0.5, 0.0, 1, 2, True, ("s",), (1.0,))
PROMPT = Prompt(1_000, 80, (("shared", 800), ("own", 200)))


def _instance(zone: str, stage: str, number: int = 0, state: str = READY) -> Instance:
    return Instance(f"{zone}-{stage}-{number}", "s", "10.0.0.1:80", zone, "v", 8, state, stage, ())


def _placement(*instances: Instance) -> Placement:
    placement = Placement("a", lambda identity: None, Random(1))
    for instance in instances:
        placement.instances.update_instance(instance.identity, instance)
    placement.instances.configure({"s": 100_000})
    return placement


def _staged(*zones: str, count: int = 2) -> Placement:
    stages = [(zone, stage, number) for zone in zones for stage in ("prefill", "decode") for number in range(count)]
    return _placement(*(_instance(*stage) for stage in stages))


def _lifecycle(placement: Placement, prompt: Prompt | None = PROMPT, has_stages: bool = True) -> RequestLifecycle:
    budget = RetryBudget(0.2, 100.0, 10.0, -10.0)
    budget.record_request(0.0)
    trace = RequestTrace("r", 0.0, 0.5)
    return RequestLifecycle("q", STREAM, "s", prompt, has_stages, 0.5, 9.0, placement, budget, 1, trace)


def _zone(step: object) -> str:
    assert isinstance(step, Prefill | Generate), step
    return step.reservation.node.instance.zone


def _prefill_result(step: object) -> AttemptResult:
    assert isinstance(step, Prefill)
    return AttemptResult(AttemptOutcome.READ, KvHandle(step.reservation.node.instance.identity, "10.0.0.1:80", "h"))


def test_first_attempts_avoid_an_evacuated_zone_with_and_without_stages() -> None:
    staged = _staged("a", "b")
    plain = _placement(*(_instance(zone, "", number) for zone in "ab" for number in range(3)))
    for placement in (staged, plain):
        placement.instances.update_evacuation("a", True, 0.0)
    for number in range(30):
        prompt = Prompt(1_000, 80, ((f"shared-{number}", 800), ("own", 200)))
        assert _zone(_lifecycle(staged, prompt).next_step(0.0)) == "b"
        assert _zone(_lifecycle(plain, None, has_stages=False).next_step(0.0)) == "b"


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
def test_retries_and_resumed_streams_avoid_a_zone_evacuated_meanwhile(outcome: AttemptOutcome) -> None:
    placement = _staged("a")
    lifecycle = _lifecycle(placement)
    step = lifecycle.next_step(0.0)
    for instance in (_instance("b", "prefill"), _instance("b", "decode")):
        placement.instances.update_instance(instance.identity, instance)
    placement.instances.update_evacuation("a", True, 0.1)
    assert isinstance(step, Prefill | Generate)
    result = AttemptResult(outcome, KvHandle("a-prefill-0", "10.0.0.1:80", "h"), last_event_id="2")
    if not lifecycle.complete_attempt(0.2, step.reservation, result):
        assert _zone(lifecycle.next_step(0.2)) == "b"


def test_decoding_avoids_a_zone_evacuated_after_the_prefill() -> None:
    placement = _staged("a")
    lifecycle = _lifecycle(placement)
    step = lifecycle.next_step(0.0)
    assert isinstance(step, Prefill)
    placement.instances.update_instance("b-decode-0", _instance("b", "decode"))
    placement.instances.update_evacuation("a", True, 0.1)
    lifecycle.complete_attempt(0.2, step.reservation, _prefill_result(step))
    next_step = lifecycle.next_step(0.2)
    assert _zone(next_step) == "b"
    assert isinstance(next_step, Generate)
    assert next_step.handle is not None, "requests in flight complete: the KV cache of the prefilled prompt is fetched"


def test_no_handle_is_freed_at_an_evacuated_instance() -> None:
    placement = _staged("a", "b")
    handles = [KvHandle("a-prefill-0", "10.0.0.1:80", "h"), KvHandle("b-prefill-0", "10.0.0.1:80", "h")]
    lifecycle = _lifecycle(placement)
    lifecycle.unused_handles = list(handles)
    placement.instances.update_evacuation("a", True, 0.0)
    assert lifecycle.collect_unused_handles() == handles[1:]


def test_lost_instances_of_an_evacuated_zone_are_not_a_last_resort() -> None:
    placement = _placement(_instance("a", "", state=LOST), _instance("b", "", state=LOST))
    placement.instances.update_evacuation("a", True, 0.0)
    for _ in range(8):
        assert _zone(_lifecycle(placement, None, has_stages=False).next_step(0.0)) == "b"


def test_a_request_waiting_for_a_stage_checks_evacuations_again_before_it_is_sent() -> None:
    placement = _placement(_instance("a", "prefill", 0), _instance("a", "prefill", 1), _instance("a", "prefill", 2))
    placement.instances.stage_switch_s = {"s": 0.2}
    lifecycle = replace(_lifecycle(placement), target_at=5.0)
    assert isinstance(lifecycle.next_step(0.0), Backoff)
    placement.instances.update_instance("a-decode-0", _instance("a", "decode"))
    placement.instances.update_evacuation("a", True, 0.1)
    assert isinstance(lifecycle.next_step(0.2), Reject)
    assert not placement.pending_requests


def test_a_placed_request_is_sent_well_within_the_evacuation_bound_or_not_at_all() -> None:
    # After its placement, a request waits only for a connection of the pool and for its handshake.
    assert 2 * CONNECT_TIMEOUT_S < EVACUATION_S / 2


@pytest.mark.parametrize("has_stages", [False, True])
def test_with_all_zones_evacuated_requests_are_rejected_at_once_with_retry_after(has_stages: bool) -> None:
    placement = _staged("a", "b") if has_stages else _placement(_instance("a", ""), _instance("b", ""))
    placement.instances.stage_switch_s = {"s": 1.0}
    for zone in "ab":
        placement.instances.update_evacuation(zone, True, 0.0)
    lifecycle = _lifecycle(placement, PROMPT if has_stages else None, has_stages)
    step = lifecycle.next_step(0.0)
    assert isinstance(step, Reject)
    assert step.status == 503
    assert step.retry_after_s is not None


def test_a_stage_with_only_evacuated_instances_is_empty_and_is_refilled_only_from_other_zones() -> None:
    placement = _placement(_instance("a", "decode"), *(_instance("a", "prefill", number) for number in range(3)))
    placement.instances.stage_switch_s = {"s": 1.0}
    assert placement.instances.predict_stage(0.0, "s", "decode").state is StageState.FULL
    placement.instances.update_evacuation("a", True, 0.0)
    outlook = placement.instances.predict_stage(0.0, "s", "decode")
    assert (outlook.state, outlook.ready_at) == (StageState.EMPTY, None)
    for number in range(2):
        placement.instances.update_instance(f"b-prefill-{number}", _instance("b", "prefill", number))
    outlook = placement.instances.predict_stage(0.0, "s", "decode")
    assert outlook.state is StageState.EMPTY
    assert outlook.ready_at is not None


def test_evacuations_of_two_zones_end_independently() -> None:
    placement = _placement(*(_instance(zone, "") for zone in "abc"))
    for zone in "ab":
        placement.instances.update_evacuation(zone, True, 0.0)
    placement.instances.update_evacuation("a", False, 1.0)
    assert placement.admission.evacuated_zones == {"b"}
    assert placement.instances.is_evacuated("b-") is False
    assert placement.instances.is_evacuated("b--0")


def test_after_an_evacuation_instances_are_limited_until_their_warmup_is_confirmed() -> None:
    placement = _placement(_instance("a", ""), _instance("b", ""))
    confirmations: list[tuple[float, str]] = []
    warmup = cast(Any, placement.admission.warmup)
    placement.admission.warmup = SimpleNamespace(  # type: ignore[assignment]
        limit_until_confirmed=lambda now, identity: confirmations.append((now, identity)),
        may_receive=warmup.may_receive,
    )
    placement.instances.update_evacuation("a", True, 1.0)
    assert not confirmations
    placement.instances.update_evacuation("a", False, 2.0)
    assert confirmations == [(2.0, "a--0")]


def test_a_limited_instance_without_capacity_gets_no_requests() -> None:
    placement = _placement(_instance("a", ""))
    placement.admission.warmup.cold_per_s = {"s": 1_000.0}
    placement.admission.warmup.head_count = 1
    placement.admission.apply_warmup(0.0, "a--0", Warmup(100_000))
    assert placement.admission.is_limited(0.0, _instance("a", ""))
    pool = placement.instances.pool("s", "")
    assert [node.instance.identity for node in pool.key_group(0.0, "k", set(), lambda node: True)] == ["a--0"]
    assert pool.key_group(0.0, "k", set(), lambda node: False) == []


# --- the stage controller ---------------------------------------------------------------------------------------------


def _controller(zones: dict[str, bytes], *instances: Instance) -> tuple[StageController, list[str]]:
    """Return a controller that holds the lease, and a list that records the instances given to its planner."""
    dissemination = Dissemination(Random(1))
    records = [evacuation_record(evacuation_key(zone), Register(1, b"", value)) for zone, value in zones.items()]
    dissemination.publish(0.0, records)
    registry = SimpleNamespace(instances={instance.identity: instance for instance in instances})
    soft_state = SimpleNamespace(loads=StageLoads(), dissemination=dissemination, registry=registry)
    machine = SimpleNamespace(me=SimpleNamespace(identity="me"), is_connected=lambda now: True, view=None)
    request = cast(Any, None)
    controller = StageController(cast(Any, machine), cast(Any, soft_state), request, 3.0, PlacementPolicy())
    controller.lease = cast(Any, SimpleNamespace(claim=lambda live: None, may_act=lambda now: False))
    planned: list[str] = []
    plan: Callable[..., Any] = controller.planner.due_switches

    def due_switches(now: float, members: list[Instance]) -> Any:
        planned.extend(member.identity for member in members)
        return plan(now, members)

    cast(Any, controller.planner).due_switches = due_switches
    return controller, planned


def test_the_stage_controller_plans_without_the_instances_of_evacuated_zones() -> None:
    async def run() -> None:
        zones = {"a": EVACUATED, "b": IN_SERVICE}
        instances = [_instance(zone, stage) for zone in "abc" for stage in ("prefill", "decode")]
        controller, planned = _controller(zones, *instances)
        await controller._reconcile()
        assert planned == ["b-prefill-0", "b-decode-0", "c-prefill-0", "c-decode-0"]

    asyncio.run(run())
