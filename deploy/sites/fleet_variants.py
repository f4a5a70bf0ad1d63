"""Makes deployments of our own for the fleet's bench: a page's site file with other engines, prompts and load, by seed.

    python -m deploy.sites.fleet_variants KIT MADE

KIT is the folder of the system's pages; MADE gets a folder for each recipe, with the site file and what lies beside it.
Days stay as the base has them, so marks say nothing there: compare worth between two states of the code.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path

import tomlkit

from hophinge.fleet.analysis.recipes import Recipe, vary

BESIDE = ("wire.json", "CUT")
RECIPES = Path(__file__).parent / "fleet" / "recipes.toml"


def make(kit: Path, made: Path) -> list[Path]:
    """Make all deployments and tell their site files.

    Raises FileNotFoundError: a site file of the kit, or what lies beside it, is not there.
    """
    paths = []
    for raw in tomllib.loads(RECIPES.read_text())["recipe"]:
        recipe = Recipe(**raw)
        base = kit / recipe.base
        beside = [base.with_name(name) for name in BESIDE]
        for path in (base, *beside):
            if not path.is_file():
                raise FileNotFoundError(f"the operators' kit is not there: no {path}")
        folder = made / recipe.name
        folder.mkdir(parents=True, exist_ok=True)
        for path in beside:
            shutil.copyfile(path, folder / path.name)
        site = folder / f"{recipe.name}.toml"
        site.write_text(tomlkit.dumps(vary(tomllib.loads(base.read_text()), recipe)))
        paths.append(site)
    return paths


def main(arguments: list[str]) -> int:
    """Make the deployments and tell their site files; without a kit the status is 2."""
    if len(arguments) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        for site in make(Path(arguments[0]), Path(arguments[1])):
            print(site)
    except FileNotFoundError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
