"""A short soak of both programs, by seeds; `benchmarks/fleet_soak.py` plays many, and longer ones."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.soak_checks import findings, summary
from tests.soak_fleet import Soak

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_each_complete_request_gets_one_complete_response_or_a_rejection(seed: int, tmp_path: Path) -> None:
    soak = Soak(tmp_path, seed)
    asyncio.run(soak.run())
    assert not findings(soak), "\n".join([str(summary(soak)), *findings(soak)[:40]])
    assert soak.exits and soak.hangups and soak.instances.leavings and soak.draft.version > 5
