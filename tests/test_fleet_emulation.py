"""Engines and a complete fleet in virtual time: the behaviour of an engine, and reproducible simulations."""

from __future__ import annotations

import pytest

from hophinge.fleet.emulation import simulations
from hophinge.fleet.emulation.clock import VirtualClock
from hophinge.fleet.emulation.virtual_engine import EngineProfile, EngineEvent, VirtualEngine, EngineRequest
from hophinge.fleet.placement.timing import DECODE, PREFILL
from hophinge.fleet.placement.prompt import Prompt

PROFILE = EngineProfile(4, 50_000, 0.01, 10_000.0, 1_000, 0.00001, 2.0)


class RecordedEvents:
    """Records the events of an engine with their times."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.events: list[tuple[str, EngineEvent, float]] = []

    def work(
        self, name: str, tokens: int, priority: int, read_only: bool, fetched_from: str | None = None
    ) -> EngineRequest:
        prompt = Prompt(tokens, 3, ((name, tokens),))
        return EngineRequest(
            prompt,
            priority,
            read_only,
            fetched_from,
            lambda event: self.events.append((name, event, round(self.clock.now, 3))),
        )


def _engine(stage: str) -> tuple[VirtualClock, VirtualEngine, RecordedEvents]:
    clock = VirtualClock()
    return clock, VirtualEngine(clock, PROFILE, "i-1", stage, "z1"), RecordedEvents(clock)


def test_prompts_are_read_by_priority_without_preemption() -> None:
    clock, engine, seen = _engine(PREFILL)
    engine.submit(seen.work("long", 5_000, 8, True))
    engine.submit(seen.work("later", 1_000, 5, True))
    clock.after(0.1, lambda: engine.submit(seen.work("urgent", 1_000, 0, True)))
    clock.run(2.0)
    assert seen.events == [
        ("long", EngineEvent.PREFILLED, 0.5),
        ("urgent", EngineEvent.PREFILLED, 0.6),
        ("later", EngineEvent.PREFILLED, 0.7),
    ]


def test_a_cached_prompt_is_not_read() -> None:
    clock, engine, seen = _engine(PREFILL)
    engine.submit(seen.work("a", 5_000, 0, True))
    clock.run(1.0)
    engine.submit(seen.work("a", 5_000, 0, True))
    clock.run(1.1)
    assert [event for _, event, _ in seen.events] == [EngineEvent.PREFILLED, EngineEvent.PREFILLED]
    assert engine.prefilled_tokens == 5_001


def test_a_decode_engine_reads_at_half_the_rate_between_tokens() -> None:
    clock, engine, seen = _engine(DECODE)
    engine.submit(seen.work("moved", 1_000, 0, False, "z1"))
    clock.run(1.0)
    assert seen.events == [("moved", EngineEvent.FIRST_TOKEN, 0.02), ("moved", EngineEvent.COMPLETED, 0.04)]
    engine.submit(seen.work("whole", 1_000, 0, False))
    clock.run(2.0)
    assert seen.events[2:] == [("whole", EngineEvent.FIRST_TOKEN, 1.21), ("whole", EngineEvent.COMPLETED, 1.23)]


def test_a_transfer_between_zones_takes_twice_as_long_and_transfers_share_the_link() -> None:
    clock, engine, seen = _engine(DECODE)
    engine.submit(seen.work("far", 10_000, 0, False, "z2"))
    engine.submit(seen.work("near", 10_000, 0, False, "z1"))
    clock.run(1.0)
    assert [(name, moment) for name, event, moment in seen.events if event is EngineEvent.FIRST_TOKEN] == [
        ("far", 0.21),
        ("near", 0.31),
    ]


def test_requests_without_memory_or_of_the_wrong_stage_are_rejected() -> None:
    clock, engine, seen = _engine(DECODE)
    engine.submit(seen.work("large", 60_000, 0, False))
    engine.submit(seen.work("reading", 10, 0, True))
    clock.run(1.0)
    assert [event for _, event, _ in seen.events] == [EngineEvent.REJECTED, EngineEvent.REJECTED]


def test_a_crash_loses_all_requests_and_rejects_later_ones() -> None:
    clock, engine, seen = _engine(PREFILL)
    engine.submit(seen.work("a", 5_000, 0, True))
    clock.after(0.1, engine.crash)
    clock.after(0.2, lambda: engine.submit(seen.work("b", 5_000, 0, True)))
    clock.run(1.0)
    assert [(name, event) for name, event, _ in seen.events] == [("a", EngineEvent.LOST), ("b", EngineEvent.LOST)]


def test_a_switch_of_stage_rejects_queued_requests_and_takes_time() -> None:
    clock, engine, seen = _engine(PREFILL)
    engine.submit(seen.work("under way", 2_000, 0, True))
    engine.submit(seen.work("waiting", 2_000, 0, True))
    engine.switch(DECODE, lambda: seen.events.append(("", EngineEvent.COMPLETED, clock.now)))
    clock.run(5.0)
    assert seen.events == [
        ("waiting", EngineEvent.REJECTED, 0.0),
        ("under way", EngineEvent.PREFILLED, 0.2),
        ("", EngineEvent.COMPLETED, 2.0),
    ]
    assert engine.stage == DECODE


@pytest.mark.parametrize("deployment", [simulations.SCREENING, simulations.RULINGS], ids=lambda one: one.name)
def test_a_simulation_is_reproducible_and_serves_nearly_all_in_time(deployment: simulations.Deployment) -> None:
    first, again = (simulations.simulate(deployment, 1, 1.0) for _ in range(2))
    assert first == again
    assert first.day > 0.93
    assert simulations.simulate(deployment, 2, 1.0) != first


def test_a_lost_engine_costs_little_and_three_times_the_usual_rate_is_tolerated() -> None:
    assert simulations.simulate(simulations.SCREENING, 3, 1.0, crash=True).day > 0.9
    assert simulations.simulate(simulations.RULINGS, 3, 3.0).day > 0.6
