"""Rules of the repository: errors are listed with a remedy, long functions only shrink, both style tools see all."""

from __future__ import annotations

import ast
import importlib
import json
import pkgutil
import re
import subprocess
import sys
import tomllib
import warnings
from pathlib import Path

import pytest

import hophinge
from hophinge.core.errors import HophingeError, one_line, error_types
from hophinge.core.settings import SettingsError

ROOT = Path(__file__).parent.parent
MAX_FUNCTION_LINES = 40
ROW = re.compile(r"^\| `([a-z0-9-]+)` \| .+ \| (.+) \|$", re.MULTILINE)


def test_every_error_has_a_code_of_its_own_a_remedy_and_an_entry() -> None:
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", ImportWarning)  # of the import hook that the charts' library leaves behind
        for module in pkgutil.walk_packages(hophinge.__path__, "hophinge."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
    kinds = [kind for kind in error_types() if kind.__module__.startswith("hophinge.")]
    listed = dict(ROW.findall((ROOT / "docs" / "operate" / "errors.md").read_text()))
    assert len(kinds) >= 3
    for kind in kinds:
        own = {"code", "remedy"} <= vars(kind).keys()
        assert own and kind.remedy.endswith("."), f"{kind.__name__} lacks a code or a remedy of its own"
        assert listed.get(kind.code) == kind.remedy, f"docs/operate/errors.md lacks {kind.code} with its remedy"
    assert len({kind.code for kind in kinds}) == len(kinds)
    assert listed.keys() == {kind.code for kind in kinds}, "docs/operate/errors.md lists what is no error any more"


def test_an_error_is_told_as_one_line_with_its_remedy() -> None:
    assert one_line(SettingsError("Caps:\n no number")) == (
        f"Caps: no number [settings-unreadable] {SettingsError.remedy}"
    )
    assert one_line(OSError("disk full")) == "disk full" and one_line(ValueError()) == "ValueError"
    assert not HophingeError.code  # the base is none that is raised


def _is_field_from_argument(statement: ast.stmt) -> bool:
    """Whether a statement is `self.name = argument`, one step a line, as a constructor has them."""
    if not isinstance(statement, ast.Assign) or not isinstance(statement.value, ast.Name):
        return False
    return all(isinstance(target, ast.Attribute) for target in statement.targets)


def _logic_lines(function: ast.FunctionDef | ast.AsyncFunctionDef) -> int:
    """The lines of a function without its docstring and without fields that are set from an argument."""
    lines = (function.end_lineno or function.lineno) - function.lineno + 1
    first = function.body[0]
    if ast.get_docstring(function) is not None:
        lines -= (first.end_lineno or first.lineno) - first.lineno + 1
    return lines - sum(_is_field_from_argument(statement) for statement in function.body)


def _long_functions(path: Path) -> dict[str, int]:
    """The functions of a file that are longer than a reader sees at once, with their lines."""
    functions = (
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))
    )
    lengths = ((node.name, _logic_lines(node)) for node in functions)
    return {f"{path.relative_to(ROOT)}::{name}": lines for name, lines in lengths if lines > MAX_FUNCTION_LINES}


def test_no_function_is_over_40_lines_but_those_listed_and_they_only_shrink() -> None:
    """What is split or shrunk is taken off the list, or down to its new length, with its commit."""
    rows = (ROOT / ".ci" / "long-functions.txt").read_text().splitlines()
    allowed = {name: int(lines) for name, lines in (row.split() for row in rows)}
    paths = sorted((ROOT / "hophinge").rglob("*.py"))
    assert paths
    long: dict[str, int] = {}
    for path in paths:
        long.update(_long_functions(path))
    assert long == allowed


def test_the_formatter_and_the_linter_check_every_file_but_the_journal() -> None:
    """CI asks both; no file is left out of either."""
    makefile = (ROOT / "Makefile").read_text()
    assert "ruff format --check ." in makefile and "ruff check ." in makefile
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    assert settings.get("extend-exclude") == ["journal"] and "exclude" not in settings and "format" not in settings


WALL_CLOCK_RULE = "TID251"
WALL_CLOCK = """
import time
from datetime import datetime
from time import time_ns
time.time()
time_ns()
datetime.now()
time.monotonic()
"""
FLEET = ("hophinge/fleet/dataplane/new.py", "hophinge/coordination/new.py", "hophinge/core/choice/new.py")


@pytest.mark.parametrize("path", FLEET)
def test_the_linter_finds_a_wall_clock_in_what_decides(path: str) -> None:
    """The time of day jumps, back too, on some machines."""
    words = ["-m", "ruff", "check", "--select", WALL_CLOCK_RULE, "--output-format", "json", "--stdin-filename", path]
    found = subprocess.run(
        [sys.executable, *words, "-"], cwd=ROOT, input=WALL_CLOCK, capture_output=True, text=True, check=False
    )
    assert [finding["location"]["row"] for finding in json.loads(found.stdout)] == [4, 5, 7], (
        "one that is imported by name is found at its import"
    )


def test_no_file_of_the_fleet_may_read_the_time_of_day() -> None:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
    assert WALL_CLOCK_RULE in settings["select"]
    allowed = [path for path, rules in settings["per-file-ignores"].items() if WALL_CLOCK_RULE in rules]
    for package in ("fleet", "coordination", "core"):
        assert not [path for path in allowed if path.startswith(f"hophinge/{package}/") or path == "hophinge/*"]
        for path in (ROOT / "hophinge" / package).rglob("*.py"):
            assert WALL_CLOCK_RULE not in path.read_text(), path
