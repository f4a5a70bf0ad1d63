"""Recipes of deployments: each factor changes its own values, by the seed, and nothing else."""

from __future__ import annotations

import copy
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomlkit

from hophinge.fleet.analysis.recipes import NOISE, Recipe, vary

ROOT = Path(__file__).parent.parent
RECIPES = [
    Recipe(**raw) for raw in tomllib.loads((ROOT / "deploy" / "sites" / "fleet" / "recipes.toml").read_text())["recipe"]
]


def _site() -> dict[str, Any]:
    stream = {
        "pieces": {"mean": 9.0, "max": 36.0},
        "prompt_tokens": {"mean": 3_000.0, "max": 50_000.0},
        "chain": [{"tokens": {"mean": 13_000.0, "max": 39_000.0}, "things": 100}],
    }
    return {
        "name": "base",
        "services": [
            {"name": "m", "llm": {"prefill_tokens_per_ms": 100.0, "kv_tokens": 500_000, "prefill": 0.41}},
            {"name": "plain"},
        ],
        "classes": [{"name": "long", "aim_ms": 500, "stream": stream}, {"name": "plain", "aim_ms": 300}],
        "day": [
            {
                "name": "d",
                "traffic": [{"zone": "a", "per_s": 10.0}],
                "small": {"classes": [{"name": "long", "stream": {"chain": copy.deepcopy(stream["chain"])}}]},
            },
            {"name": "plain"},
        ],
    }


def test_a_recipe_without_factors_changes_only_the_name() -> None:
    assert vary(_site(), Recipe("same", "b", 1)) == {**_site(), "name": "same"}


def test_factors_apply_to_their_values_within_the_noise_of_the_seed() -> None:
    made = vary(_site(), Recipe("r", "b", 3, pace=0.5, tokens_out=2.0, openings=4.0, rate=2.0, aims=0.5, prefill=0.2))
    engine, stream = made["services"][0]["llm"], made["classes"][0]["stream"]
    for found, wanted in (
        (engine["prefill_tokens_per_ms"], 50.0),
        (stream["pieces"]["mean"], 18.0),
        (stream["chain"][0]["things"], 400),
    ):
        assert found == pytest.approx(wanted, rel=NOISE + 0.01)
    assert (engine["kv_tokens"], engine["prefill"]) == (500_000, 0.2)
    assert made["day"][0]["traffic"][0]["per_s"] == 20.0
    assert made["classes"][1]["aim_ms"] == 150
    small = made["day"][0]["small"]["classes"][0]["stream"]["chain"][0]
    assert small["things"] == stream["chain"][0]["things"]


def test_a_deployment_is_reproducible_by_its_seed() -> None:
    recipes = [Recipe("r", "b", seed, memory=0.3) for seed in (1, 1, 2)]
    first, again, other = (vary(_site(), recipe) for recipe in recipes)
    assert first == again
    assert first != other


def test_every_recipe_is_written_with_the_files_of_its_base(tmp_path: Path) -> None:
    for base in {recipe.base for recipe in RECIPES}:
        path = tmp_path / "kit" / base
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(tomlkit.dumps(_site()))
        for name in ("wire.json", "CUT"):
            path.with_name(name).write_text(name)
    told = _make(tmp_path / "kit", tmp_path / "made")
    made = [Path(line) for line in told.stdout.splitlines()]
    assert [path.stem for path in made] == [recipe.name for recipe in RECIPES]
    assert len({path.stem for path in made}) >= 8
    assert all((path.parent / "wire.json").read_text() == "wire.json" for path in made)
    assert all(tomlkit.parse(path.read_text())["name"] == path.stem for path in made)


def _make(*arguments: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "deploy.sites.fleet_variants", *map(str, arguments)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_without_a_kit_the_status_says_so(tmp_path: Path) -> None:
    told = _make(tmp_path / "none", tmp_path / "made")
    assert told.returncode == 2
    assert "the operators' kit is not there" in told.stderr
    assert _make().returncode == 2
