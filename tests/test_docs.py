"""The pages hold together: links and anchors lead somewhere, and the files that a page names are there."""

from __future__ import annotations

import re
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TOP_PAGES = ("README.md", "CONTRIBUTING.md", "CHANGELOG.md", "DEVELOPERS.md")
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in (
        *(ROOT / name for name in TOP_PAGES),
        *(ROOT / "docs").rglob("*.md"),
        *(ROOT / "hophinge").rglob("*.md"),
    )
)
PACKAGES = sorted(path.name for path in (ROOT / "hophinge").iterdir() if path.is_dir() and path.name[0] not in "_.")
FLEET_PACKAGES = sorted(path.name for path in (ROOT / "hophinge" / "fleet").iterdir() if path.is_dir())
FOLDERS = ("hophinge", "tests", "docs", "deploy", "benchmarks", "examples", ".ci")

GENERATED = ("deploy/sites/made/",)  # written by `make sites`, and ignored by git

FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
LINK = re.compile(r"\[[^\]\n]+\]\(([^)\s]+)\)")
CODE = re.compile(r"`([^`\n]+)`")
HEADING = re.compile(r"^#{1,6} (.+?)\s*$", re.MULTILINE)
FILE = re.compile(rf"(?:{'|'.join(map(re.escape, FOLDERS))})/[\w./*{{}},-]*")
MODULE = re.compile(r"(?P<package>\w+)/[\w./*{},-]*\.py")
DOTTED = re.compile(r"(?:python3? (?:-S )?-m )?(?P<module>(?:hophinge|benchmarks|deploy)(?:\.\w+)+)")
ROW = re.compile(r"^\|(?P<word>[^|]+)\|(?P<term>[^|]+)\|(?P<meaning>[^|]+)\|(?P<places>[^|]+)\|$", re.MULTILINE)


@cache
def text(page: str) -> str:
    """Return a page's text."""
    return (ROOT / page).read_text()


def anchors(page: str) -> set[str]:
    """Return the anchors that a page's headings make, by GitHub's rule."""
    found: set[str] = set()
    for heading in HEADING.findall(FENCE.sub("", text(page))):
        plain = re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-")
        found.add(plain)
    return found


def expanded(pattern: str) -> list[str]:
    """Write out the alternatives of a path with braces: `docs/{a,b}.md` is two paths."""
    match = re.search(r"\{([^{}]*)\}", pattern)
    if match is None:
        return [pattern]
    head, tail = pattern[: match.start()], pattern[match.end() :]
    return [path for choice in match.group(1).split(",") for path in expanded(head + choice + tail)]


def exists(pattern: str, base: Path = ROOT) -> bool:
    """Return whether each path that a pattern stands for is there."""
    return all(any(base.glob(path)) if "*" in path else (base / path).exists() for path in expanded(pattern))


def module_exists(dotted: str) -> bool:
    """Return whether a dotted name is a module or package, or an attribute of one."""
    path = dotted.replace(".", "/")
    names = (path, path.rsplit("/", 1)[0])
    return any((ROOT / f"{name}.py").exists() or (ROOT / name / "__init__.py").exists() for name in names)


def missing_files(page: str) -> list[str]:
    """Return the paths and modules in a page's code spans that are not there."""
    missing = []
    for span in CODE.findall(FENCE.sub("", text(page))):
        path = span.split("::")[0]
        module = MODULE.fullmatch(path)
        dotted = DOTTED.fullmatch(span)
        if FILE.fullmatch(path):
            found = path in GENERATED or exists(path)
        elif module is not None and module["package"] in PACKAGES:
            found = exists(path, ROOT / "hophinge")
        elif module is not None and module["package"] in FLEET_PACKAGES:
            found = exists(path, ROOT / "hophinge" / "fleet")
        elif dotted is not None:
            found = module_exists(dotted["module"])
        else:
            continue
        if not found:
            missing.append(span)
    return missing


def broken_links(page: str) -> list[str]:
    """Return the links of a page whose file or anchor is not there."""
    broken = []
    for target in LINK.findall(FENCE.sub("", text(page))):
        if target.startswith(("http://", "https://", "mailto:")):
            continue
        name, _, anchor = target.partition("#")
        linked = (ROOT / page).parent / name if name else ROOT / page
        known = anchors(linked.resolve().relative_to(ROOT).as_posix()) if anchor and linked.exists() else {anchor}
        if not linked.exists() or anchor not in known:
            broken.append(target)
    return broken


@pytest.mark.parametrize("page", PAGES)
def test_links_of_a_page_lead_to_a_file_and_a_heading(page: str) -> None:
    assert not broken_links(page)


@pytest.mark.parametrize("page", PAGES)
def test_files_and_modules_that_a_page_names_are_there(page: str) -> None:
    assert not missing_files(page)


def words_of(source: str) -> str:
    """Return the words of prose and of identifiers in lower case, so that `LeaseHolder` reads as `lease holder`."""
    return " ".join(re.findall(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])", source)).lower()


@cache
def source(place: str) -> str:
    """Return the text of a file, or of all sources below a folder."""
    path = ROOT / place
    files = [path] if path.is_file() else sorted(path.rglob("*.py"))
    return "\n".join(file.read_text() for file in files)


@cache
def words_at(place: str) -> str:
    """Return the words of a place, for a search of terms."""
    return words_of(source(place))


GLOSSARY = [
    (row["word"].strip(), row["term"].strip(), CODE.findall(row["places"]))
    for row in ROW.finditer(text("docs/glossary.md"))
    if row["word"].strip("- ") not in ("", "operators' word")
]


@pytest.mark.parametrize(("word", "term", "places"), GLOSSARY, ids=[word for word, _, _ in GLOSSARY])
def test_a_row_of_the_glossary_names_a_place_that_has_the_term(word: str, term: str, places: list[str]) -> None:
    words, _, names = term.partition(":")
    first = re.compile(rf"\b{words_of(words.split(',')[0].split('(')[0]).strip()}(s|es|d|ed)?\b")
    assert places, f"{word}: no place"
    for place in places:
        assert (ROOT / place).exists(), f"{word}: {place} is not there"
    assert any(first.search(words_at(place)) for place in places), f"{word}: no place has {words}"
    for name in CODE.findall(names):
        used = re.compile(rf"\b{name}\b")
        assert any(used.search(source(place)) for place in places), f"{word}: no place has {name}"


def test_the_glossary_has_its_rows() -> None:
    assert len(GLOSSARY) >= 50
    assert len({word for word, _, _ in GLOSSARY}) == len(GLOSSARY)


def test_the_architecture_page_has_every_package() -> None:
    table = text("docs/architecture.md")
    packages = [f"hophinge/{name}" for name in PACKAGES] + [f"hophinge/fleet/{name}" for name in FLEET_PACKAGES]
    with_modules = [
        package for package in packages if any((ROOT / package).glob("*.py")) and package != "hophinge/fleet"
    ]
    missing = [package for package in with_modules if not re.search(rf"^\|[^|]*`{package}`", table, re.MULTILINE)]
    assert not missing


@cache
def names_of_tests() -> frozenset[str]:
    """Return the names of the test files, and of the tests in them."""
    paths = sorted((ROOT / "tests").rglob("*.py"))
    defined = re.compile(r"^\s*(?:async )?def (test_\w+)|^(test_\w+) = ", re.MULTILINE)
    names = {match[0] or match[1] for path in paths for match in defined.findall(path.read_text())}
    return frozenset(names | {path.name for path in paths} | {path.stem for path in paths})


@pytest.mark.parametrize("page", PAGES)
def test_tests_that_a_page_names_are_there(page: str) -> None:
    spans = CODE.findall(FENCE.sub("", text(page)))
    named = [name for span in spans for name in re.findall(r"^(?:tests/\w+\.py::)?(test_\w+(?:\.py)?)$", span)]
    assert not [name for name in named if name not in names_of_tests()]
