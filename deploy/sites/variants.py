"""Makes site files of deployments of our own for the operators' bench: its base with a recipe's values put in.

    python -m deploy.sites.variants [BASE [RECIPES [MADE]]]

BASE is the kit's site file, with `real.json`, `unlock.txt` and the file that its `wire` names beside it; these are
copied as they are. Each recipe `RECIPES/*.toml` becomes a folder `MADE/NAME` with the site file `NAME.toml` in it.

A recipe has the form of the base. A list of tables is written as one table, with each entry's name in the base as
its key, or its place from 0 on where entries bear no name. Beside that there are two words of its own, in any table:
`add` holds keys that the base's table has not, and `order` says, for a list of tables, which of its entries stay and
in which order. Whatever else a recipe names that the base has not, or gives another form, is an error.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Mapping, MutableMapping
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import ParseError, TOMLKitError
from tomlkit.items import AoT

from hophinge.core.errors import HophingeError, one_line

HERE = Path(__file__).parent
BASE = HERE.parents[2] / "given" / "kit" / "sites" / "clydebank-main.toml"
BESIDE = ("real.json", "unlock.txt")


class KitMissingError(HophingeError):
    """The base, or a file that lies beside it, is not there."""

    code = "kit-missing"
    remedy = "Lay the operators' kit beside the checkout, or name the base as the first argument."


class RecipeError(HophingeError):
    """A recipe that cannot be applied; the place is its file and the key's path."""

    code = "recipe-unusable"
    remedy = "Mend the recipe at that place; what was made before stays."

    def __init__(self, place: str, what: str) -> None:
        super().__init__(f"{place}: {what}")
        self.place = place


class RecipeUnreadableError(RecipeError):
    """A recipe, or the base, is no TOML."""

    code = "recipe-unreadable"
    remedy = "Write the file as TOML."


class UnknownNameError(RecipeError):
    """A recipe names what the base has not."""

    code = "recipe-unknown-name"
    remedy = "Use a name of the base, or put a new key of an entry into a table `add`."


class KnownNameError(RecipeError):
    """A recipe adds what the base has."""

    code = "recipe-known-name"
    remedy = "Take the key out of `add` and set it beside that table."


class FormError(RecipeError):
    """A recipe gives a value another form than the base."""

    code = "recipe-other-form"
    remedy = "Give the value the base's form: a range of two numbers for a range, a text for a text."


def form(value: object) -> str:
    """Tell a value's form; lists of the same form may differ in length, but not ranges."""
    if isinstance(value, bool):
        return "truth value"
    if isinstance(value, int | float):
        return "number"
    if isinstance(value, str):
        return "text"
    if isinstance(value, list):
        forms = {form(each) for each in value}
        if forms == {"number"}:
            return "range" if len(value) == 2 else f"{len(value)} numbers"
        return f"list of {' or '.join(sorted(forms)) or 'nothing'}"
    return "table"


def entry_names(entries: AoT) -> list[str]:
    """Tell the names of a list's entries, or their places where one has no name."""
    return [str(entry.get("name", at)) for at, entry in enumerate(entries)]


def apply(recipe: Mapping[str, Any], base: MutableMapping[str, Any], place: str) -> None:
    """Put a recipe's values into the base's table, in place; `place` is told with errors.

    Raises RecipeError: the recipe does not fit the base.
    """
    for key, value in recipe.items():
        at = f"{place}.{key}" if place[-1:] != " " else place + key
        if key == "add" and isinstance(value, Mapping):
            add(value, base, at)
        elif key not in base:
            raise UnknownNameError(at, f"the base has no such key, only {', '.join(base)}")
        elif isinstance(base[key], AoT):
            table(value, at)
            apply_entries(value, base[key], at)
        elif isinstance(base[key], Mapping):
            table(value, at)
            apply(value, base[key], at)
        elif form(value) != form(base[key]):
            raise FormError(at, f"the base has a {form(base[key])}, the recipe a {form(value)}")
        else:
            base[key] = value


def table(value: object, at: str) -> None:
    """Refuse what is no table.

    Raises FormError: it is none.
    """
    if not isinstance(value, Mapping):
        raise FormError(at, f"the base has a table, the recipe a {form(value)}")


def add(added: Mapping[str, Any], base: MutableMapping[str, Any], place: str) -> None:
    """Put keys into a table that has not got them yet.

    Raises KnownNameError: the table has one of them.
    """
    for key, value in added.items():
        if key in base:
            raise KnownNameError(f"{place}.{key}", "the base has this key")
        base[key] = value


def apply_entries(recipe: Mapping[str, Any], entries: AoT, place: str) -> None:
    """Apply a recipe's part to a list of tables, and put them into its order.

    Raises RecipeError: it names an entry that the base has not, or its order does.
    """
    names = entry_names(entries)
    for key, value in recipe.items():
        if key != "order" and key not in names:
            raise UnknownNameError(f"{place}.{key}", f"the base has no such entry, only {', '.join(names)}")
        if key != "order":
            table(value, f"{place}.{key}")
            apply(value, entries[names.index(key)], f"{place}.{key}")
    order = recipe.get("order", names)
    if not isinstance(order, list) or not order or len(set(order)) < len(order):
        raise FormError(f"{place}.order", "an order is a list of names, each once")
    for name in order:
        if name not in names:
            raise UnknownNameError(f"{place}.order", f"the base has no entry {name}, only {', '.join(names)}")
    ordered = [entries[names.index(name)] for name in order]
    del entries[:]
    for entry in ordered:
        entries.append(entry)


def read(path: Path) -> tomlkit.TOMLDocument:
    """Read a TOML file.

    Raises RecipeUnreadableError: it is none.
    """
    try:
        return tomlkit.parse(path.read_text())
    except ParseError as error:
        raise RecipeUnreadableError(f"{path}:{error.line}", str(error)) from error
    except (TOMLKitError, UnicodeDecodeError) as error:
        raise RecipeUnreadableError(str(path), str(error)) from error


def make(base: Path, recipes: Path, made: Path) -> list[Path]:
    """Make all variants and tell their site files; all are ready before the first takes its place.

    Raises KitMissingError: the base, or a file beside it, is not there; RecipeError: a recipe cannot be applied, and
    nothing is written.
    """
    if not base.is_file():
        raise KitMissingError(f"the operators' kit is not there: no {base}")
    copied = [base.with_name(name) for name in (*BESIDE, str(read(base).get("wire", "wire.json")))]
    for path in copied:
        if not path.is_file():
            raise KitMissingError(f"the operators' kit is not whole: no {path}")
    texts: dict[str, str] = {}
    paths = sorted(recipes.glob("*.toml"))
    if not paths:
        raise RecipeError(str(recipes), "there is no recipe *.toml")
    for path in paths:
        site = read(base)
        apply(read(path), site, f"{path}: ")
        name = str(site.get("name", ""))
        if name in texts or not name.replace("-", "").isalnum():
            raise FormError(f"{path}: name", "a site needs a name of its own, of letters, digits and hyphens")
        texts[name] = tomlkit.dumps(site)
    made.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=made, prefix=".new-") as fresh:
        for name, text in texts.items():
            folder = Path(fresh) / name
            folder.mkdir()
            (folder / f"{name}.toml").write_text(text)
            for path in copied:
                shutil.copyfile(path, folder / path.name)
        for name in texts:
            if (made / name).exists():
                (made / name).rename(Path(fresh) / f"{name}.old")
            (Path(fresh) / name).rename(made / name)
    return [made / name / f"{name}.toml" for name in texts]


def main(arguments: list[str]) -> int:
    """Make the variants, tell their site files; without a kit the status is 2, with an unfit recipe 1."""
    given = [Path(each) for each in arguments]
    base, recipes, made = given + [BASE, HERE, HERE / "made"][len(given) :]
    try:
        for site in make(base, recipes, made):
            print(site)
    except KitMissingError as error:
        print(one_line(error), file=sys.stderr)
        return 2
    except (RecipeError, OSError) as error:
        print(one_line(error), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
