"""Goodput by load in virtual time, as a picture: `python benchmarks/goodput.py NAME=FILE... > goodput.svg`.

Each FILE holds lines `deployment load part` that another state of the code printed with `python benchmarks/goodput.py`.
"""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import fmean

import pygal

from hophinge.fleet.emulation.simulations import RULINGS, SCREENING, simulate

LOADS = (0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0)
SEEDS = range(3)


def measure() -> None:
    """Print the part of the worth earned by load."""
    for deployment in (SCREENING, RULINGS):
        for load in LOADS:
            part = fmean(simulate(deployment, seed, load).day for seed in SEEDS)
            print(deployment.name, load, round(part, 4), flush=True)


def draw(files: dict[str, Path]) -> str:
    """Draw goodput, in times what the usual rate is owed, by times the usual rate."""
    chart = pygal.XY(
        title="Goodput by load, virtual time",
        x_title="times the usual rate",
        y_title="worth earned, times what the usual rate is owed",
        width=800,
        height=450,
        js=(),
        no_prefix=True,
    )
    for name, path in files.items():
        rows = [line.split() for line in path.read_text().splitlines()]
        for deployment in sorted({row[0] for row in rows}):
            points = [(float(load), float(part) * float(load)) for one, load, part, *_ in rows if one == deployment]
            chart.add(f"{deployment}, {name}", points)
    return str(chart.render(is_unicode=True))


if __name__ == "__main__":
    given = dict(argument.split("=", 1) for argument in sys.argv[1:])
    if given:
        print(draw({name: Path(path) for name, path in given.items()}))
    else:
        measure()
