"""Every mutant fails the test that is to find it."""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.mutant import ROOT, Mutant
from tests.mutants import CHOSEN, MUTANTS

FAILED = 1  # exit status of pytest where tests ran and some failed
BOUND_S = 120
AT_ONCE = 4
Played = subprocess.CompletedProcess[str]


def _play(mutant: Mutant) -> Played:
    plugins = ["-p", "tests.mutants", "-p", "no:cacheprovider"]
    words = [sys.executable, "-m", "pytest", "-x", "-q", "--tb=line", *plugins, mutant.found_by]
    environ = {**os.environ, CHOSEN: mutant.name}
    return subprocess.run(words, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=BOUND_S, check=False)


@pytest.fixture(scope="module")
def played() -> dict[str, Played]:
    """The outcomes of all mutants' tests, some at a time."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        return dict(zip((mutant.name for mutant in MUTANTS), pool.map(_play, MUTANTS), strict=True))


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name.replace(" ", "-"))
def test_a_mutant_is_found(mutant: Mutant, played: dict[str, Played]) -> None:
    done = played[mutant.name]
    assert done.returncode == FAILED, done.stdout[-2_000:]
    assert "failed" in done.stdout
