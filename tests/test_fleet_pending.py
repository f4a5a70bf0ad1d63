"""Requests whose stage has no instance: which of them wait, and which are rejected with which `Retry-After`."""

from __future__ import annotations

from random import Random

import pytest

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.pending import MAX_PENDING, MIN_SERVICE_S, POLL_INTERVAL_S, PendingRequest, should_wait
from hophinge.fleet.forwarding.request_lifecycle import Backoff, Generate, Prefill, Reject, RequestLifecycle
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement.placement import MAX_RETRY_JITTER_S, Placement
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.stage_outlook import SWITCH_SLACK_S
from hophinge.fleet.registry.instance import DRAINING, READY, SWITCHING, Instance

SWITCH_S = 3.9
STREAM = Route("r", "h", "/", "streaming", 4.0, 0.5, 0.0, 1, 2, True, ("s",), (1.0,))
PROMPT = Prompt(1_000, 80, (("shared", 800), ("own", 200)))


def _instance(number: int, stage: str, state: str = READY) -> Instance:
    return Instance(f"i-{number}", "s", f"10.0.0.{number}:80", "z", "v", 64, state, stage, ())


def _pending(ready_at: float, may_return: bool = True) -> PendingRequest:
    return PendingRequest(0.0, ready_at, 0.8, 3.2, 8.0, may_return)


def test_a_request_waits_if_it_can_be_answered_in_time() -> None:
    assert should_wait(_pending(ready_at=0.8 - MIN_SERVICE_S))
    assert not should_wait(_pending(ready_at=0.8 - MIN_SERVICE_S + 0.01))


def test_a_client_that_can_retry_in_time_is_rejected_at_once() -> None:
    assert not should_wait(_pending(ready_at=8.0 / 3))
    assert should_wait(_pending(ready_at=8.0 / 3 + 0.01))


def test_a_client_that_would_not_retry_waits_until_its_timeout() -> None:
    assert should_wait(_pending(may_return=False, ready_at=3.2 - MIN_SERVICE_S))
    assert not should_wait(_pending(may_return=False, ready_at=3.2))


# --- lifecycles -----------------------------------------------------------------------------------------------------


def _placement_of(instances: list[Instance]) -> Placement:
    placement = Placement("z", lambda identity: None, Random(1))
    placement.instances.configure({"s": 100_000})
    placement.instances.stage_switch_s = {"s": SWITCH_S}
    for instance in instances:
        placement.instances.update_instance(instance.identity, instance)
    return placement


def _placement(switching_since: float) -> Placement:
    """Return a placement with one ready and one switching prefill instance, and a draining decode instance."""
    placement = _placement_of([_instance(1, "prefill"), _instance(2, "decode", DRAINING)])
    placement.instances.update_instance("i-0", _instance(0, "prefill", SWITCHING), switching_since)
    return placement


def _lifecycle(placement: Placement, left_s: float, name: str = "r") -> RequestLifecycle:
    """Return the lifecycle of a request that arrives at 0 with this much time left."""
    budget = RetryBudget(0.2, 100.0, 10.0, -10.0)
    budget.record_request(0.0)
    trace = RequestTrace("r", 0.0, STREAM.target_s)
    return RequestLifecycle(
        name,
        STREAM,
        "s",
        PROMPT,
        True,
        STREAM.target_s,
        left_s,
        placement,
        budget,
        1,
        trace,
        min(left_s, STREAM.client_timeout_s),
    )


def test_a_fresh_request_is_rejected_with_the_time_at_which_the_stage_is_ready() -> None:
    ready_s = 1.0
    step = _lifecycle(_placement(ready_s - SWITCH_S - SWITCH_SLACK_S), STREAM.timeout_s).next_step(0.0)
    assert isinstance(step, Reject) and step.status == 503 and step.retry_after_s is not None
    assert ready_s <= step.retry_after_s <= ready_s + MAX_RETRY_JITTER_S


def test_a_request_that_has_been_rejected_before_waits_and_is_placed_once_the_stage_is_ready() -> None:
    placement = _placement(-SWITCH_S)
    lifecycle = _lifecycle(placement, STREAM.timeout_s / 2)
    assert lifecycle.next_step(0.0) == Backoff(POLL_INTERVAL_S)
    assert placement.pending_requests == {"r"}
    assert lifecycle.next_step(0.1) == Backoff(POLL_INTERVAL_S)
    placement.instances.update_instance("i-0", _instance(0, "decode"), 0.15)
    assert isinstance(lifecycle.next_step(0.2), Prefill | Generate)
    assert not placement.pending_requests


def test_a_request_waits_no_longer_than_its_client_does() -> None:
    placement = _placement(0.0)
    lifecycle = _lifecycle(placement, STREAM.timeout_s / 2)
    assert isinstance(lifecycle.next_step(0.0), Reject)
    assert lifecycle.trace.refusal == "no instance, stage switching"
    assert not placement.pending_requests


def test_requests_above_the_limit_of_pending_ones_are_rejected() -> None:
    placement = _placement(-SWITCH_S)
    for number in range(MAX_PENDING):
        assert isinstance(_lifecycle(placement, STREAM.timeout_s / 2, f"r-{number}").next_step(0.0), Backoff)
    one_more = _lifecycle(placement, STREAM.timeout_s / 2, "one more")
    assert isinstance(one_more.next_step(0.0), Reject)
    assert len(placement.pending_requests) == MAX_PENDING
    assert isinstance(_lifecycle(placement, STREAM.timeout_s / 2, "r-0").next_step(0.1), Backoff)


def test_a_request_that_ends_while_it_is_pending_is_no_longer_counted() -> None:
    placement = _placement(-SWITCH_S)
    lifecycle = _lifecycle(placement, STREAM.timeout_s / 2)
    lifecycle.next_step(0.0)
    lifecycle.close()
    assert not placement.pending_requests


@pytest.mark.parametrize(
    ("instances", "reason"),
    [
        ([_instance(0, "prefill")], "no instance, stage empty"),
        ([_instance(0, "prefill"), _instance(2, "decode", DRAINING)], "no instance, stage empty"),
        ([], "no instance, stage empty"),
    ],
)
def test_a_stage_that_nothing_will_refill_rejects_at_once(instances: list[Instance], reason: str) -> None:
    lifecycle = _lifecycle(_placement_of(instances), STREAM.timeout_s)
    assert isinstance(lifecycle.next_step(0.0), Reject)
    assert lifecycle.trace.refusal == reason


def test_a_service_whose_switch_time_is_unknown_rejects_at_once() -> None:
    placement = _placement(-SWITCH_S)
    placement.instances.stage_switch_s = {}
    assert isinstance(_lifecycle(placement, STREAM.timeout_s / 2).next_step(0.0), Reject)
