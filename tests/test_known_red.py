"""KNOWN-RED.txt lists what is known to fail, in one form, and CI passes over just these tests."""

from __future__ import annotations

import re
import shlex
import subprocess
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
LIST = "KNOWN-RED.txt"
MAX_ENTRY_CHARACTERS = 450
SEPARATOR = " | "
COMMAND = re.compile(r"`[^`]+`.*seeds?\b")
ISSUE = re.compile(r"issue [0-9]+")
PYTEST = "tests/"
REVIEW = "review/"
CASE_FILES = ("run.sh", "day.toml")
# A test that is left out without an entry; the one condition is that long runs were not asked for.
SKIP = re.compile(r"mark\.skip\b|mark\.skipif\((?!not SOAK)|pytest\.skip\b|mark\.xfail|pytest\.xfail|importorskip")


class Entry(NamedTuple):
    """One line of the list."""

    test: str
    command: str
    seen: str
    issue: str


def _entries() -> list[Entry]:
    """Return the entries; a line of another number of parts is none."""
    return [Entry(*line.split(SEPARATOR)) for line in (ROOT / LIST).read_text().splitlines()]


def _find_faults(entry: Entry, root: Path = ROOT) -> list[str]:
    """Return what is wrong with an entry."""
    faults = []
    if not COMMAND.match(entry.command):
        faults.append("no command in backticks with its seed")
    if not entry.seen.strip():
        faults.append("not said what was seen")
    if not ISSUE.fullmatch(entry.issue):
        faults.append("no issue by its number")
    if sum(map(len, entry)) > MAX_ENTRY_CHARACTERS:
        faults.append("too long")
    if entry.test.startswith(PYTEST):
        faults += [] if _is_test(entry.test, root) else ["no such test"]
    elif entry.test.startswith(REVIEW):
        faults += [] if _is_case(root / entry.test) else ["no such case"]
    else:
        faults.append("neither a test nor a case of the review")
    return faults


def _is_test(test: str, root: Path) -> bool:
    path, _, name = test.partition("::")
    function = name.partition("[")[0].partition("::")[0]  # one case of several is listed with its arguments
    if not (root / path).is_file() or not function:
        return False
    text = (root / path).read_text()
    return f"def {function}(" in text or f"\n{function} = " in text  # a state machine's test is assigned


def _is_case(path: Path) -> bool:
    return path.name in CASE_FILES and path.is_file() and (path.parent / "claim.txt").is_file()


def test_each_entry_has_its_four_parts_and_names_what_is_there() -> None:
    entries = _entries()
    assert {entry: _find_faults(entry) for entry in entries if _find_faults(entry)} == {}
    assert len({entry.test for entry in entries}) == len(entries)


GOOD = Entry("tests/test_known_red.py::test_a_listed_test", "`make test`, no seed", "seen once", "issue 7")


@pytest.mark.parametrize(
    "entry",
    [
        GOOD._replace(test="tests/test_none.py::test_a"),
        GOOD._replace(test="tests/test_known_red.py::test_none"),
        GOOD._replace(test="tests/test_known_red.py"),
        GOOD._replace(test="review/9/run.sh"),
        GOOD._replace(test="review/harness.py"),
        GOOD._replace(test="make test"),
        GOOD._replace(command="make test, no seed"),
        GOOD._replace(command="`make test`"),
        GOOD._replace(seen=" "),
        GOOD._replace(seen="long " * 100),
        GOOD._replace(issue="issue"),
        GOOD._replace(issue="issue 7, or so"),
    ],
)
def test_a_faulty_entry_is_found(entry: Entry, tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_known_red.py").write_text("def test_a_listed_test() -> None:\n    pass\n")
    assert not _find_faults(GOOD, tmp_path)
    assert len(_find_faults(entry, tmp_path)) == 1


def _test_recipe() -> list[str]:
    recipe = (ROOT / "Makefile").read_text().partition("\ntest: lint\n")[2].partition("\n\n")[0]
    return [line.strip().removeprefix("@") for line in recipe.splitlines()]


def test_ci_prints_the_list_and_passes_over_just_its_tests() -> None:
    printing, testing = _test_recipe()
    assert printing.endswith(f"cat {LIST}")
    command, _, expansion = testing.partition("$$(")
    assert not re.search(r"--deselect|--ignore|\s-[km]\s(?!pytest)", command)
    script = expansion.removesuffix(")").replace("$$", "$")
    output = subprocess.run(["sh", "-c", script], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    listed = [entry.test for entry in _entries() if entry.test.startswith(PYTEST)]
    assert shlex.split(output) == [word for test in listed for word in ("--deselect", test)]


def test_no_test_is_passed_over_in_another_way() -> None:
    configuration = (ROOT / "pyproject.toml").read_text().partition("[tool.pytest.ini_options]")[2].partition("\n[")[0]
    assert "addopts" not in configuration
    here = Path(__file__)
    skipping = [path for path in (ROOT / "tests").glob("*.py") if path != here and SKIP.search(path.read_text())]
    assert not skipping
