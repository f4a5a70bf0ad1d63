"""Site files of deployments of our own: recipes put into a small base, and what becomes of those that do not fit."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
BASE = """name = "base-main"
wire = "lines.json"

[day]
length_s = [40, 50]     # a range
in_step = true

[net]
zones = ["a", "b", "c"]

[[tier]]
name = "store"

[tier.conn]
idle_s = 30

[[tier.kind]]
name = "one"
speed = [0.8, 1.2]

[[class]]
name = "read"
share = [0.5, 0.6]
deadline_ms = 750
effect = "safe"

[[class]]
name = "write"
share = [0.4, 0.5]
deadline_ms = 1200
effect = "safe"

[fam]
run = [[1, 2], [3, 4]]

[[fam.plan]]
size = 1

[[fam.plan]]
size = 2

[[trouble]]
name = "burst"
size = [1.4, 2.5]
"""
BESIDE = {"real.json": '{ "v":1 }\n', "lines.json": '{"name": "of the kit"}', "unlock.txt": "unlock burst 1234\n"}
RECIPE = """name = "own-main"
net.zones = ["y"]

[day]
length_s = [20, 30]

[tier.store]
name = "pool"
conn.idle_s = 8
kind.one.speed = [1, 2]

[class]
order = ["write", "read"]

[class.read]
name = "get"

[class.write]
effect = "keyed"
add = { window_ms = 800 }

[fam]
run = [[5, 6]]

[fam.plan]
order = ["1"]
1.size = 4
"""


@pytest.fixture
def place(tmp_path: Path) -> Path:
    """A folder with a small base and a recipe that fits it."""
    for name, text in {"kit/base.toml": BASE, "recipes/own.toml": RECIPE}.items():
        (tmp_path / name).parent.mkdir()
        (tmp_path / name).write_text(text)
    for name, text in BESIDE.items():
        (tmp_path / "kit" / name).write_text(text)
    return tmp_path


def make(place: Path) -> subprocess.CompletedProcess[str]:
    """Run the program as `make sites` does, on the test's own base."""
    return subprocess.run(
        [sys.executable, "-m", "deploy.sites.variants", place / "kit" / "base.toml", place / "recipes", place / "made"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def files(folder: Path) -> dict[str, str]:
    """All files below a folder, hidden ones too."""
    return {str(path.relative_to(folder)): path.read_text() for path in folder.rglob("*") if path.is_file()}


def site(place: Path, name: str = "own-main") -> dict[str, Any]:
    """A made site file, read by another library than the one that wrote it."""
    return tomllib.loads((place / "made" / name / f"{name}.toml").read_text())


def test_a_recipe_is_applied_and_what_it_does_not_name_stays(place: Path) -> None:
    ran = make(place)
    assert (ran.returncode, ran.stderr) == (0, "")
    assert ran.stdout.splitlines() == [str(place / "made" / "own-main" / "own-main.toml")]
    expected = tomllib.loads(BASE)
    read, write = expected["class"]
    expected["class"] = [{**write, "effect": "keyed", "window_ms": 800}, {**read, "name": "get"}]
    expected["name"], expected["net"]["zones"], expected["day"]["length_s"] = "own-main", ["y"], [20, 30]
    expected["tier"][0] |= {"name": "pool", "conn": {"idle_s": 8}, "kind": [{"name": "one", "speed": [1, 2]}]}
    expected["fam"] = {"run": [[5, 6]], "plan": [{"size": 4}]}
    assert site(place) == expected
    assert expected["trouble"] == [{"name": "burst", "size": [1.4, 2.5]}]  # a range that nobody named


def test_the_files_beside_the_base_are_copied_byte_for_byte(place: Path) -> None:
    assert make(place).returncode == 0
    made = files(place / "made" / "own-main")
    assert {name: text for name, text in made.items() if name != "own-main.toml"} == BESIDE


def test_every_recipe_becomes_a_folder_of_its_own_and_a_second_run_renews_them(place: Path) -> None:
    (place / "recipes" / "other.toml").write_text('name = "other-main"')
    assert make(place).returncode == 0
    (place / "recipes" / "own.toml").write_text('name = "own-main"\nday.in_step = false')
    ran = make(place)
    assert ran.returncode == 0 and len(ran.stdout.splitlines()) == 2
    assert sorted(path.name for path in (place / "made").iterdir()) == ["other-main", "own-main"]
    assert site(place, "other-main") == tomllib.loads(BASE) | {"name": "other-main"}
    assert site(place)["day"] == {"length_s": [40, 50], "in_step": False}


@pytest.mark.parametrize(
    ("recipe", "at", "code"),
    [
        ("[class.reed]\nname = 'x'", "class.reed", "recipe-unknown-name"),
        ("[class.read]\ndeadline = 5", "class.read.deadline", "recipe-unknown-name"),
        ("[tenant.gold]\nname = 'x'", "tenant", "recipe-unknown-name"),
        ("[trouble.drain]\nsize = [1, 2]", "trouble.drain", "recipe-unknown-name"),
        ("[tier.store.kind.two]\nspeed = [1, 2]", "tier.store.kind.two", "recipe-unknown-name"),
        ("[fam.plan.2]\nsize = 3", "fam.plan.2", "recipe-unknown-name"),
        ("class.order = ['write', 'reed']", "class.order", "recipe-unknown-name"),
        ("class.order = ['write', 'write']", "class.order", "recipe-other-form"),
        ("class.order = []", "class.order", "recipe-other-form"),
        ("[class.read]\nadd = { deadline_ms = 5 }", "class.read.add.deadline_ms", "recipe-known-name"),
        ("[class.read]\nshare = 0.5", "class.read.share", "recipe-other-form"),
        ("[class.read]\nshare = [0.5, 0.6, 0.7]", "class.read.share", "recipe-other-form"),
        ("[class.read]\nshare = ['0.5', '0.6']", "class.read.share", "recipe-other-form"),
        ("[class.read]\ndeadline_ms = [5, 6]", "class.read.deadline_ms", "recipe-other-form"),
        ("day.in_step = 1", "day.in_step", "recipe-other-form"),
        ("day = 5", "day", "recipe-other-form"),
        ("class = ['read']", "class", "recipe-other-form"),
        ("class.read = 5", "class.read", "recipe-other-form"),
        ("name = '../up'", "name", "recipe-other-form"),
        ("name = 'own-main'", "name", "recipe-other-form"),  # as the recipe before it
    ],
)
def test_a_recipe_that_does_not_fit_is_refused_with_its_place_and_nothing_is_written(
    place: Path, recipe: str, at: str, code: str
) -> None:
    assert make(place).returncode == 0
    before = files(place / "made")
    (place / "recipes" / "own.toml").write_text(RECIPE.replace("20, 30", "21, 31"))  # would change what is made
    unfit = place / "recipes" / "unfit.toml"
    unfit.write_text(recipe if recipe.startswith("name") else f"name = 'unfit-main'\n{recipe}")
    ran = make(place)
    assert (ran.returncode, ran.stdout) == (1, "")
    assert ran.stderr.startswith(f"{unfit}: {at}: ") and f"[{code}]" in ran.stderr and ran.stderr.count("\n") == 1
    assert files(place / "made") == before


def test_a_recipe_that_is_no_toml_is_told_with_its_line(place: Path) -> None:
    (place / "recipes" / "own.toml").write_text("name = 'x'\n[class\n")
    ran = make(place)
    assert ran.returncode == 1 and ran.stderr.startswith(f"{place / 'recipes' / 'own.toml'}:2: ")
    assert "[recipe-unreadable]" in ran.stderr and not (place / "made").exists()


@pytest.mark.parametrize("missing", ["base.toml", "real.json", "lines.json", "unlock.txt"])
def test_without_a_whole_kit_it_says_so_and_ends_with_status_2(place: Path, missing: str) -> None:
    (place / "kit" / missing).unlink()
    ran = make(place)
    assert (ran.returncode, ran.stdout) == (2, "")
    assert f"no {place / 'kit' / missing} [kit-missing]" in ran.stderr and not (place / "made").exists()


def test_make_sites_ends_with_status_2_without_a_kit(tmp_path: Path) -> None:
    ran = subprocess.run(
        ["make", "-s", "sites", "-o", "tools", f"KIT={tmp_path}"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert ran.returncode == 2 and "the operators' kit is not there" in ran.stderr


def test_the_recipes_of_the_project_name_their_sites_and_what_is_made_is_ignored() -> None:
    recipes = sorted((ROOT / "deploy" / "sites").glob("*.toml"))
    names = {tomllib.loads(path.read_text())["name"] for path in recipes}
    assert len(names) == len(recipes) >= 2
    ignored = subprocess.run(
        ["git", "check-ignore", *(f"deploy/sites/made/{name}/{name}.toml" for name in names)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert len(ignored.stdout.splitlines()) == len(names)
