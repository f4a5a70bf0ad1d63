"""Ways of placement in virtual time on the same seeds: `python benchmarks/placement.py [--seeds N]`.

Each line: part of the worth earned over the whole time, by the worst kind, in the two worst windows; part served late;
engines that read at the end.
"""

from __future__ import annotations

import argparse

from hophinge.fleet.emulation.simulations import RULINGS, SCREENING, format_means, simulate

LOADS = (0.5, 1.0, 1.5, 2.0, 3.0)


def main() -> None:
    """Play all combinations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    seeds = range(parser.parse_args().seeds)
    for deployment in (SCREENING, RULINGS):
        for load in LOADS:
            rows = [simulate(deployment, seed, load) for seed in seeds]
            print(f"{deployment.name}, {load} times the usual rate: {format_means(rows)}", flush=True)
        rows = [simulate(deployment, seed, 1.0, burst=2.0) for seed in seeds]
        print(f"{deployment.name}, a burst of 2: {format_means(rows)}", flush=True)
        rows = [simulate(deployment, seed, 1.0, crash=True) for seed in seeds]
        print(f"{deployment.name}, an engine lost: {format_means(rows)}", flush=True)


if __name__ == "__main__":
    main()
