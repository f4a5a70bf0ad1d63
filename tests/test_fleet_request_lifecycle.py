"""The lifecycle of one request: when a retry is promised as safe, attempts, the retry budget, and resumption."""

from __future__ import annotations

from random import Random

from dataclasses import replace

import pytest

from hophinge.fleet.configuration.routes import Route
from hophinge.fleet.forwarding.budget import RetryBudget
from hophinge.fleet.forwarding.events import EventReader
from hophinge.fleet.forwarding.headers import forwarded_fields, is_close_delimited, returned_fields
from hophinge.fleet.forwarding.request_lifecycle import Reject, RequestLifecycle, Backoff, Prefill, Generate
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.forwarding.attempt_results import AttemptOutcome, KvHandle, AttemptResult, unexecuted_outcome
from hophinge.fleet.placement.hints import PlacementHint, PlacementHints
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.prompt import Prompt, parse_prompt
from hophinge.fleet.registry.instance import READY, Instance

UNSAFE = Route("r", "h", "/", "unsafe", 4.0, 0.5, 0.0, 1, 1, False, ("s",), (1.0,))
SAFE = replace(UNSAFE, route_type="safe", max_attempts=3)
STREAM = replace(UNSAFE, route_type="streaming", max_attempts=2, is_resumable=True)
FIXED = replace(STREAM, is_resumable=False)
PROMPT = Prompt(1_000, 80, (("shared", 800), ("own", 200)))


def _placement(prefill: int, decode: int, plain: int = 0) -> Placement:
    placement = Placement("z", lambda identity: None, Random(1))
    stages = ["prefill"] * prefill + ["decode"] * decode + [""] * plain
    for number, stage in enumerate(stages):
        instance = Instance(f"i-{number}", "s", f"10.0.0.{number}:80", "z", "v", 8, READY, stage, ())
        placement.instances.update_instance(instance.identity, instance)
    placement.instances.configure({"s": 100_000})
    return placement


def _lifecycle(
    route: Route, placement: Placement, prompt: Prompt | None = None, slack: float = 100.0
) -> RequestLifecycle:
    budget = RetryBudget(0.2, slack, 10.0, -10.0)
    budget.record_request(0.0)
    return RequestLifecycle(
        "q", route, "s", prompt, prompt is not None, 0.5, 4.0, placement, budget, 1, RequestTrace("r", 0.0, 0.5)
    )


def _next_generation(lifecycle: RequestLifecycle, now: float = 0.0) -> Generate:
    step = lifecycle.next_step(now)
    assert isinstance(step, Generate)
    return step


def _next_prefill(lifecycle: RequestLifecycle, now: float = 0.0) -> Prefill:
    step = lifecycle.next_step(now)
    assert isinstance(step, Prefill)
    return step


def _handle(step: Prefill) -> AttemptResult:
    return AttemptResult(AttemptOutcome.READ, KvHandle("i-0", step.reservation.node.instance.address, "h1"))


def test_an_unsafe_request_that_may_have_run_is_not_retried_and_gets_502() -> None:
    lifecycle = _lifecycle(UNSAFE, _placement(0, 0, 3))
    lifecycle.complete_attempt(0.1, _next_generation(lifecycle).reservation, AttemptResult(AttemptOutcome.UNKNOWN))
    assert lifecycle.next_step(0.1) == Reject(502, None)


@pytest.mark.parametrize("ending", [AttemptOutcome.UNSENT, AttemptOutcome.REFUSED, AttemptOutcome.MISPLACED])
def test_a_request_that_did_not_run_is_retried_at_another_instance(ending: AttemptOutcome) -> None:
    lifecycle = _lifecycle(UNSAFE, _placement(0, 0, 3))
    first = _next_generation(lifecycle)
    lifecycle.complete_attempt(0.1, first.reservation, AttemptResult(ending))
    assert _next_generation(lifecycle, 0.1).reservation.node is not first.reservation.node


def test_a_request_gets_503_where_nothing_ran_and_the_budget_is_spent() -> None:
    lifecycle = _lifecycle(UNSAFE, _placement(0, 0, 3), slack=0.0)
    lifecycle.complete_attempt(0.1, _next_generation(lifecycle).reservation, AttemptResult(AttemptOutcome.REFUSED))
    step = lifecycle.next_step(0.1)
    assert isinstance(step, Reject)
    assert step.status == 503
    assert step.retry_after_s is not None


def test_a_safe_request_is_retried_within_its_attempts() -> None:
    lifecycle = _lifecycle(SAFE, _placement(0, 0, 5))
    for _ in range(3):
        lifecycle.complete_attempt(0.1, _next_generation(lifecycle).reservation, AttemptResult(AttemptOutcome.UNKNOWN))
    assert isinstance(lifecycle.next_step(0.1), Reject)


def test_a_request_to_a_service_without_instances_is_rejected_at_once() -> None:
    step = _lifecycle(UNSAFE, _placement(0, 0, 0)).next_step(0.0)
    assert isinstance(step, Reject)
    assert step.status == 503


def test_no_attempt_begins_without_time_left() -> None:
    assert isinstance(_lifecycle(UNSAFE, _placement(0, 0, 1)).next_step(3.999), Reject)


def test_a_prefill_is_a_separate_attempt_and_its_handle_is_used_once() -> None:
    lifecycle = _lifecycle(STREAM, _placement(2, 2), PROMPT)
    step = _next_prefill(lifecycle)
    assert not lifecycle.complete_attempt(0.1, step.reservation, _handle(step))
    run = _next_generation(lifecycle, 0.1)
    assert run.handle is not None
    assert run.handle.identity == "h1"
    assert run.reservation.pool.stage == "decode"
    lifecycle.complete_attempt(
        0.2, run.reservation, AttemptResult(AttemptOutcome.REFUSED)
    )  # it could not fetch the KV cache
    assert lifecycle.handle is None
    assert isinstance(lifecycle.next_step(0.2), Prefill | Generate)


def test_a_prompt_whose_handle_was_refused_is_prefilled_at_another_instance() -> None:
    """The decode instance may not reach the prefill instance, or the handle has expired: a retry would fail again."""
    lifecycle = _lifecycle(STREAM, _placement(2, 3), PROMPT)
    step = _next_prefill(lifecycle)
    prefill_identity = step.reservation.node.instance.identity
    handle = KvHandle(prefill_identity, step.reservation.node.instance.address, "h1")
    lifecycle.complete_attempt(0.1, step.reservation, AttemptResult(AttemptOutcome.READ, handle))
    run = _next_generation(lifecycle, 0.1)
    lifecycle.complete_attempt(0.2, run.reservation, AttemptResult(AttemptOutcome.REFUSED))
    again = lifecycle.next_step(0.2)
    assert isinstance(again, Prefill | Generate)
    assert again.reservation.node.instance.identity not in (prefill_identity, run.reservation.node.instance.identity)


def test_an_unused_handle_is_returned_once() -> None:
    lifecycle = _lifecycle(STREAM, _placement(2, 2), PROMPT)
    step = _next_prefill(lifecycle)
    lifecycle.complete_attempt(0.1, step.reservation, _handle(step))
    run = _next_generation(lifecycle, 0.1)
    lifecycle.complete_attempt(0.2, run.reservation, AttemptResult(AttemptOutcome.UNSENT))
    assert _next_generation(lifecycle, 0.2).handle == run.handle  # the handle was not used: its KV cache still exists
    lifecycle.complete_attempt(0.3, run.reservation, AttemptResult(AttemptOutcome.REFUSED))
    assert lifecycle.collect_unused_handles() == [run.handle]
    assert lifecycle.collect_unused_handles() == []


def test_a_request_with_only_a_prefill_has_not_run() -> None:
    lifecycle = _lifecycle(FIXED, _placement(1, 1), PROMPT, slack=0.0)
    lifecycle.complete_attempt(0.1, _next_prefill(lifecycle).reservation, AttemptResult(AttemptOutcome.UNKNOWN))
    step = lifecycle.next_step(0.1)
    assert isinstance(step, Reject)
    assert step.status == 503


def test_only_attempts_beyond_the_first_prefill_and_generation_use_budget() -> None:
    lifecycle = _lifecycle(STREAM, _placement(2, 2), PROMPT)
    step = _next_prefill(lifecycle)
    lifecycle.complete_attempt(0.1, step.reservation, _handle(step))
    run = _next_generation(lifecycle, 0.1)
    assert not lifecycle.budget.extra_attempts
    lifecycle.complete_attempt(0.2, run.reservation, AttemptResult(AttemptOutcome.REFUSED))
    lifecycle.next_step(0.2)
    assert len(lifecycle.budget.extra_attempts) == 1


@pytest.mark.parametrize("prompt", [None, PROMPT])
def test_unsent_attempts_use_no_budget_and_another_instance_is_tried_at_once(
    prompt: Prompt | None,
) -> None:
    """Behind a partition no instance can be reached, so none has received the request."""
    lifecycle = _lifecycle(UNSAFE, _placement(0, 0, 6) if prompt is None else _placement(4, 2), prompt, slack=0.0)
    reached = set()
    for number in range(5):
        step = lifecycle.next_step(0.1 * number)
        assert isinstance(step, Prefill | Generate), number
        reached.add(step.reservation.node.instance.identity)
        lifecycle.complete_attempt(0.1 * number, step.reservation, AttemptResult(AttemptOutcome.UNSENT))
    assert len(reached) == 5
    assert not lifecycle.budget.extra_attempts


def test_an_unsent_retry_is_refunded_and_a_sent_one_is_not() -> None:
    lifecycle = _lifecycle(UNSAFE, _placement(0, 0, 4))
    for now, outcome in enumerate([AttemptOutcome.REFUSED, AttemptOutcome.UNSENT, AttemptOutcome.REFUSED]):
        lifecycle.complete_attempt(now + 0.5, _next_generation(lifecycle, now).reservation, AttemptResult(outcome))
    assert list(lifecycle.budget.extra_attempts) == [2.0]


def test_silence_is_evidence_about_a_zone_and_any_answer_ends_it() -> None:
    placement = _placement(0, 0, 3)
    for node in placement.nodes.values():
        node.instance = replace(node.instance, zone="far")
    lifecycle = _lifecycle(UNSAFE, placement)
    first = _next_generation(lifecycle)
    lifecycle.complete_attempt(0.2, first.reservation, AttemptResult(AttemptOutcome.UNSENT))
    assert not placement.admission.is_unreachable(0.2, first.reservation.node.instance)
    second = _next_generation(lifecycle, 0.2)
    lifecycle.complete_attempt(0.4, second.reservation, AttemptResult(AttemptOutcome.UNSENT, is_silent=True))
    assert placement.admission.is_unreachable(0.4, first.reservation.node.instance)
    third = _next_generation(lifecycle, 0.4)
    lifecycle.complete_attempt(0.5, third.reservation, AttemptResult(AttemptOutcome.REFUSED))
    assert not placement.admission.is_unreachable(0.5, first.reservation.node.instance)


def test_a_resumable_stream_resumes_after_its_latest_event() -> None:
    lifecycle = _lifecycle(STREAM, _placement(0, 2), PROMPT)
    run = _next_generation(lifecycle)
    lifecycle.record_first_event(0.1, run.reservation)
    lifecycle.complete_attempt(0.2, run.reservation, AttemptResult(AttemptOutcome.BROKEN, last_event_id="12"))
    again = _next_generation(lifecycle, 0.2)
    assert again.last_event_id == "12"
    assert again.reservation.node is not run.reservation.node


def test_a_stream_that_may_not_be_resumed_is_aborted() -> None:
    lifecycle = _lifecycle(FIXED, _placement(0, 2), PROMPT)
    run = _next_generation(lifecycle)
    lifecycle.record_first_event(0.1, run.reservation)
    lifecycle.complete_attempt(0.2, run.reservation, AttemptResult(AttemptOutcome.BROKEN, last_event_id="12"))
    assert lifecycle.next_step(0.2) == Reject(502, None)


def test_no_reservation_remains_after_the_end() -> None:
    placement = _placement(2, 2)
    lifecycle = _lifecycle(STREAM, placement, PROMPT)
    prefill = _next_prefill(lifecycle)
    lifecycle.complete_attempt(0.1, prefill.reservation, _handle(prefill))
    run = _next_generation(lifecycle, 0.1)
    lifecycle.record_first_event(0.2, run.reservation)
    assert run.reservation.node.outstanding == 1
    assert lifecycle.complete_attempt(0.9, run.reservation, AttemptResult(AttemptOutcome.ANSWERED))
    assert all(node.outstanding == 0 for node in placement.nodes.values())


def test_the_shares_of_all_heads_stay_within_the_budget() -> None:
    heads = [RetryBudget(0.2, 60.0, 10.0, -10.0) for _ in range(11)]
    spent = 0
    for budget in heads:
        for _ in range(20):
            budget.record_request(1.0)
        while budget.allows_extra_attempt(1.0, 11):
            budget.record_extra_attempt(1.0)
            spent += 1
    assert 0.5 * (0.2 * 220 + 60) < spent <= 0.2 * 220 + 60
    assert heads[0].allows_extra_attempt(11.1, 11)


def test_a_retry_round_begins_after_an_exponential_backoff() -> None:
    """Guards against retries in quick succession: one request reached the only instance five times in 71 ms."""
    lifecycle = _lifecycle(SAFE, _placement(0, 0, 2))
    now, attempted, pauses = 0.0, [], []
    while not isinstance(step := lifecycle.next_step(now), Reject):
        if isinstance(step, Backoff):
            pauses.append(step.seconds)
            now += step.seconds
            continue
        assert isinstance(step, Generate)
        attempted.append(step.reservation.node.instance.identity)
        lifecycle.complete_attempt(now, step.reservation, AttemptResult(AttemptOutcome.REFUSED))
    assert pauses[:6] == [0.02, 0.04, 0.08, 0.16, 0.32, 0.32] and sum(pauses) < 4.0
    assert len(attempted) == 2 * (1 + len(pauses))
    assert all({*attempted[at : at + 2]} == {"i-0", "i-1"} for at in range(0, len(attempted), 2)), "each once a round"
    assert step.status == 503 and step.retry_after_s is not None


def test_only_complete_events_are_forwarded() -> None:
    reader = EventReader()
    assert reader.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert reader.latest_id == "1"
    assert reader.feed(b"ta: b\n\nid: 3") == b"id: 2\ndata: b\n\n"
    assert (reader.latest_id, reader.buffer) == ("2", b"id: 3")


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_events_end_with_an_empty_line_of_any_kind(line_end: bytes) -> None:
    reader = EventReader()
    event = line_end.join([b"id: 1", b"data: a", b"", b""])
    assert reader.feed(event + b"id: 2") == event
    assert (reader.latest_id, reader.buffer, reader.is_between_events) == ("1", b"id: 2", False)
    rest = line_end.join([b"", b"data: b", b"", b""])
    assert reader.feed(rest) == b"id: 2" + rest
    assert reader.is_between_events


def test_a_stream_may_end_after_an_event_and_neither_before_the_first_nor_within_one() -> None:
    reader = EventReader()
    assert not reader.is_between_events
    reader.feed(b": alive\n\n")
    assert not reader.is_between_events, "a comment is no event"
    reader.feed(b"data: a\n\n\n")
    assert reader.is_between_events, "a further empty line begins no event"
    reader.feed(b"d")
    assert not reader.is_between_events


def test_a_body_ends_with_its_connection_only_where_no_field_states_its_length() -> None:
    assert is_close_delimited(b"POST", [(b"Connection", b"close")])
    assert not is_close_delimited(b"POST", [(b"Content-Length", b"0")])
    assert not is_close_delimited(b"POST", [(b"Transfer-Encoding", b"chunked")])
    assert not is_close_delimited(b"HEAD", [])


def test_only_the_instance_itself_says_that_it_did_not_run_a_request() -> None:
    assert unexecuted_outcome(503, [(b"Hophinge-Not-Executed", b"1")]) is AttemptOutcome.REFUSED
    assert unexecuted_outcome(503, []) is None
    assert unexecuted_outcome(421, []) is AttemptOutcome.MISPLACED
    assert unexecuted_outcome(500, [(b"Hophinge-Not-Executed", b"1")]) is None


def test_hop_by_hop_and_system_fields_are_not_forwarded() -> None:
    fields = [
        (b"host", b"a"),
        (b"connection", b"close, x-hop"),
        (b"x-hop", b"1"),
        (b"Kv-From", b"forged"),
        (b"hophinge-request-id", b"q"),
        (b"transfer-encoding", b"chunked"),
        (b"priority", b"0"),
    ]
    assert forwarded_fields(fields) == [(b"host", b"a"), (b"hophinge-request-id", b"q")]
    assert returned_fields([(b"Keep-Alive", b"timeout=3"), (b"Versions", b"2")]) == [(b"Versions", b"2")]


def test_a_prompt_is_parsed_from_its_headers() -> None:
    prompt = parse_prompt("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert (prompt.tokens_in, prompt.tokens_out, prompt.key, prompt.shared_tokens) == (1460, 80, "91bd3f06", 1210)
    assert parse_prompt("x", None) == Prompt(0, 0, ())


def test_a_started_stream_is_resumed_where_a_new_one_would_be_rejected() -> None:
    """The client's timeout is for the first event; a client that has received it waits for the others."""
    for is_started in (True, False):
        placement = _placement(0, 2)
        lifecycle = _lifecycle(STREAM, placement, PROMPT)
        lifecycle.client_deadline = 2.0
        first = _next_generation(lifecycle)
        if is_started:
            lifecycle.record_first_event(0.1, first.reservation)
        lifecycle.complete_attempt(
            1.5,
            first.reservation,
            AttemptResult(AttemptOutcome.BROKEN if is_started else AttemptOutcome.REFUSED, last_event_id="3"),
        )
        placement.exchange.receive_hints(
            1.5,
            PlacementHints(
                tuple(PlacementHint(name, 90_000, (), 0, 0, number) for number, name in enumerate(placement.nodes, 1))
            ),
        )
        step = lifecycle.next_step(1.5)
        assert isinstance(step, Generate if is_started else Reject)
