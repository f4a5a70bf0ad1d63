"""Overload: hopeless requests are rejected at once, and segments of dropped prefills do not count as cached."""

from __future__ import annotations

from dataclasses import replace

from hophinge.fleet.placement.hints import PlacementHint, PlacementHints
from hophinge.fleet.placement.placement import MIN_RETRY_AFTER_S, MAX_RETRY_JITTER_S, Placement
from hophinge.fleet.placement.plan import PlacementRejection, PlacementPlan
from tests.fleet_placement_fixtures import generation, placement_of, prompt_of, request_of


def _with_backlog(seconds: float) -> Placement:
    """Return a placement whose instances have a backlog of this many seconds."""
    placement = placement_of(1, 1)
    jobs = tuple(
        PlacementHint(
            name, int(seconds * 1e6 / placement.instances.pool("s", stage).timing.typical_unit_us), (), 0, 0, number
        )
        for number, (name, stage) in enumerate((("i-0", "prefill"), ("i-1", "decode")), 1)
    )
    placement.exchange.receive_hints(0.0, PlacementHints(jobs))
    return placement


def test_a_request_that_cannot_start_before_its_client_gives_up_is_rejected() -> None:
    request = replace(request_of("a", 0.0, 0.5), client_deadline=2.0)
    rejection = _with_backlog(3.0).place_generation(request, prompt_of("key"))
    assert isinstance(rejection, PlacementRejection)
    assert MIN_RETRY_AFTER_S <= rejection.retry_after_s <= MIN_RETRY_AFTER_S + MAX_RETRY_JITTER_S
    assert isinstance(_with_backlog(0.1).place_generation(request, prompt_of("key")), PlacementPlan)
    unqueued = placement_of(1, 1).place_generation(request, prompt_of("key", 500_000))  # placed if it need not wait
    assert isinstance(unqueued, PlacementPlan)


def test_rejected_clients_retry_at_different_times() -> None:
    placement = _with_backlog(3.0)
    requests = [replace(request_of(str(number), 0.0, 0.5), client_deadline=2.0) for number in range(20)]
    results = [placement.place_generation(request, prompt_of("key")) for request in requests]
    times = [result.retry_after_s for result in results if isinstance(result, PlacementRejection)]
    assert len(times) == 20
    assert max(times) - min(times) > MAX_RETRY_JITTER_S / 2


def test_a_rejected_request_leaves_no_reservation_and_no_hint() -> None:
    placement = _with_backlog(3.0)
    assert isinstance(
        placement.place_generation(replace(request_of("a", 0.0, 0.5), client_deadline=2.0), prompt_of("key")),
        PlacementRejection,
    )
    assert placement.exchange.outgoing_hints(0.0) is None
    assert not any(node.outstanding or node.cache.segments for node in placement.nodes.values())


def test_segments_of_a_dropped_prefill_do_not_count_as_cached() -> None:
    placement, other = placement_of(4, 1), placement_of(4, 1)
    plan = generation(placement, "a", prompt_of("key"))
    _exchange_hints(placement, other)
    identity = plan.reservation.node.instance.identity
    assert other.nodes[identity].cache.cached_tokens(prompt_of("key")) == 5_500
    placement.release(0.1, plan.reservation)
    _exchange_hints(placement, other)
    for head in (placement, other):
        assert head.nodes[identity].cache.cached_tokens(prompt_of("key")) == 0
        assert head.nodes[identity].cache.used_tokens == 0
        assert head.nodes[identity].queue.start_at_us(0.2e6, 9) <= 0.4e6


def test_segments_prefilled_by_an_earlier_job_stay_when_a_later_job_is_dropped() -> None:
    placement, other = placement_of(4, 1), placement_of(4, 1)
    first = generation(placement, "a", prompt_of("key"))
    placement.record_answer(0.1, first.reservation, False)
    placement.release(0.1, first.reservation)
    second = generation(placement, "b", prompt_of("key", name="b"))
    assert second.reservation.node is first.reservation.node
    placement.release(0.2, second.reservation)
    _exchange_hints(placement, other)
    for head in (placement, other):
        cache = head.nodes[first.reservation.node.instance.identity].cache
        assert cache.cached_tokens(prompt_of("key")) == 5_500
        assert not cache.pending_jobs


def _exchange_hints(placement: Placement, other: Placement) -> None:
    hints = placement.exchange.outgoing_hints(0.1)
    assert hints is not None
    other.exchange.receive_hints(0.1, hints)
