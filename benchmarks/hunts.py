"""Days of hunts that deserve a look: `python -m benchmarks.hunts [--state COMMIT] [--site SITE]`, from `journal/`.

Ends with status 1 where there is one.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from hophinge.fleet.analysis.hunts import Hunt, days_to_review, read_hunt

JOURNAL = Path(__file__).parent.parent / "journal"
STATE_DIGITS = 7  # of a commit, as hunts are told by
LONG: cappa.Arg[Any] = cappa.Arg(long=True)


@dataclass
class Options:
    """Which hunts to read."""

    state: Annotated[str, LONG] = ""  # of all commits where none is named
    site: Annotated[str, LONG] = ""


def hunts(options: Options) -> Iterator[Hunt]:
    """Read the finished hunts that are asked for, the oldest first."""
    for path in sorted(JOURNAL.glob("[0-9]*.json")):
        hunt = read_hunt(path.read_text())
        if hunt is not None and hunt.commit.startswith(options.state[:STATE_DIGITS]) and options.site in hunt.site:
            yield hunt


def main() -> None:
    """Print a line for each hunt and each conspicuous day."""
    found = 0
    for hunt in hunts(cappa.parse(Options)):
        mean = sum(day.score for day in hunt.days) / max(1, len(hunt.days))
        print(f"{hunt.site} {hunt.commit}: {len(hunt.days)} days, mean figure {mean:.3f}")
        for day, reason in days_to_review(hunt.days):
            found += 1
            print(
                f"    {day.name}: served {day.served:.2f}, figure {day.score:.2f}, "
                f"orders {day.order_count}: {reason.value}"
            )
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
