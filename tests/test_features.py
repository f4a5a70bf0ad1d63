"""The features told in plain words, and the examples in the library's page, are run."""

from __future__ import annotations

import doctest
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
FEATURES = ROOT / "tests" / "features"
PAGES = (ROOT / "hophinge" / "coordination" / "README.md",)
MIN_SCENARIOS = 4


def test_all_scenarios_pass() -> None:
    words = [sys.executable, "-m", "behave", "--no-color", "--no-capture", "--format", "progress", str(FEATURES)]
    done = subprocess.run(
        words,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = sum(text.read_text().count("Scenario:") for text in FEATURES.glob("*.feature"))
    assert told >= MIN_SCENARIOS
    assert f"{told} scenarios passed, 0 failed" in done.stdout


def test_the_examples_in_pages_give_what_they_show() -> None:
    for page in PAGES:
        found = doctest.testfile(str(page), module_relative=False)
        assert found.attempted > 10
        assert not found.failed
