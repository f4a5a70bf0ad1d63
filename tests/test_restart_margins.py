"""benchmarks/margins.py: the report of the shares that classes and tenants were served, against the targets."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from tests.test_service import ROOT


def run_report(path: Path, results: object) -> subprocess.CompletedProcess[str]:
    path.write_text(json.dumps(results))
    return subprocess.run(
        [sys.executable, "benchmarks/margins.py", str(path)], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_margins_are_found_at_any_depth_and_the_smallest_is_reported(tmp_path: Path) -> None:
    row = {"name": "a day", "by_class": [["reads", 0.7, 0.4], ["writes", 0.5, 0.45]], "by_tenant": [["x", 0.2, None]]}
    done = run_report(
        tmp_path / "day.json",
        {"days": [{"row": row}, {"row": {**row, "name": "other", "by_class": [["reads", 0.3, 0.4]]}}]},
    )
    assert done.returncode == 0 and "| a day | class writes | 0.500 | 0.450 | +0.050 |" in done.stdout
    assert "smallest of a class: -0.100 (other, reads)" in done.stdout and "tenant" not in done.stdout


def test_files_without_any_share_are_reported_as_an_error(tmp_path: Path) -> None:
    done = run_report(tmp_path / "day.json", {"days": []})
    assert done.returncode == 1 and done.stderr.count("\n") == 1 and not done.stdout
