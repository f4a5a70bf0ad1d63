"""Prompts that are larger than the memory of any instance: each instance rejects them as if it were full."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hophinge.fleet.emulation.simulations import RULINGS
from hophinge.fleet.emulation.traffic import RequestKind, TrafficProfile
from hophinge.fleet.emulation.virtual_fleet import RequestOutcome, VirtualFleet

LOAD = 0.5  # of the usual rates, so that nothing is short
HEADS = 4
ZONES = 2
SECONDS = 20.0
NOISE = 0.03  # by which two plays of one fleet may differ
OVERSIZED = RequestKind("oversized", 0, 3 * RULINGS.engine.memory_tokens, 10, 2.0, 0.6, 5.0, 1.0, 0.3, 5)
KINDS = tuple(replace(kind, rate_per_s=kind.rate_per_s * LOAD) for kind in RULINGS.kinds)


def _play(kinds: tuple[RequestKind, ...], seed: int) -> list[RequestOutcome]:
    fleet = VirtualFleet(TrafficProfile(kinds), RULINGS.engine, RULINGS.prefill, RULINGS.decode, HEADS, ZONES, seed)
    return fleet.run(SECONDS)


def _is_served(outcome: RequestOutcome) -> bool:
    return outcome.first_s is not None and not outcome.has_failed


@pytest.mark.parametrize("seed", range(3))
def test_prompts_larger_than_any_memory_do_not_cost_others_their_service(seed: int) -> None:
    """Each head reserves an instance for as long as it would take to read them, and rejects others as hopeless."""
    outcomes = _play((*KINDS, OVERSIZED), seed)
    others = [outcome for outcome in outcomes if outcome.arrival.kind is not OVERSIZED]
    assert not any(_is_served(outcome) for outcome in outcomes if outcome.arrival.kind is OVERSIZED)
    assert sum(map(_is_served, others)) >= (1.0 - NOISE) * len(others)


@pytest.mark.parametrize("seed", range(3))
def test_without_them_all_are_served(seed: int) -> None:
    outcomes = _play(KINDS, seed)
    assert all(_is_served(outcome) for outcome in outcomes)
