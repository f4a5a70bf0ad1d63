"""Prints, from the JSON that a bench wrote, what each class and tenant was served against what was wanted of it.

    python benchmarks/margins.py DAY.json...

One row for each of them and day, the smallest margin last; with no margin at all in the files it ends with status 1.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple


class Margin(NamedTuple):
    """A share of the worth that was served, and the one that was wanted."""

    margin: float
    day: str
    kind: str
    name: str
    served: float
    wanted: float

    def row(self) -> str:
        """One line of a table in Markdown."""
        return f"| {self.day} | {self.kind} {self.name} | {self.served:.3f} | {self.wanted:.3f} | {self.margin:+.3f} |"


def margins(found: Any) -> Iterator[Margin]:
    """Find the days in a bench's JSON, however deep, and each share in them that something was wanted of."""
    if isinstance(found, list):
        for one in found:
            yield from margins(one)
    elif isinstance(found, dict):
        for kind in ("class", "tenant"):
            for name, served, wanted in found.get(f"by_{kind}", ()):
                if wanted is not None:
                    yield Margin(served - wanted, str(found.get("name", "")), kind, name, served, wanted)
        for one in found.values():
            if isinstance(one, dict | list):
                yield from margins(one)


def main(paths: list[str]) -> int:
    """Print the table of all files, and the smallest margin of the classes and of all."""
    found = [one for path in paths for one in margins(json.loads(Path(path).read_text()))]
    if not found:
        print("no day with shares by class or tenant in these files", file=sys.stderr)
        return 1
    print("| day | share | served | wanted | margin |\n| --- | --- | --- | --- | --- |")
    for one in found:
        print(one.row())
    for kind in ("class", "tenant"):
        if smallest := min((one for one in found if one.kind == kind), default=None):
            print(f"smallest of a {kind}: {smallest.margin:+.3f} ({smallest.day}, {smallest.name})")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
