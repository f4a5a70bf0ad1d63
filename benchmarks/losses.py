"""Where worth is lost, from the traces of a trial: `python benchmarks/losses.py SITE LOG`.

SITE is the deployment's site file, for the worth of its kinds of requests; LOG is what `fleetbench run ... --log edge`
printed in a trial with `{"trace": true}` (`--trial FILE`). The reasons of the lines add up to all that is lost.
"""

from __future__ import annotations

import argparse
import sys
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from hophinge.fleet.analysis.losses import LossKind, Loss, losses
from hophinge.fleet.analysis.traces import LoggedRequest, read_requests

SECONDS = 2.0  # of one window


def kinds(site: Path) -> list[LossKind]:
    """Read the kinds of requests of a site."""
    raw = tomllib.loads(site.read_text())
    return [
        LossKind(one["name"], float(one["worth"]), float(one["late_worth"]), one.get("kind") == "stream", _tokens(one))
        for one in raw["classes"]
    ]


def _tokens(raw: dict[str, Any]) -> float:
    stream = raw.get("stream")
    if not isinstance(stream, dict):
        return 0.0
    shared = sum(float(part["tokens"]["mean"]) for part in stream.get("chain", []))
    return shared + float(stream["prompt_tokens"]["mean"])


def table(title: str, rows: Iterable[Loss], of: Callable[[Loss], str], owed: float) -> None:
    """Print the parts of all worth owed that are lost by some division."""
    parts: dict[str, float] = {}
    for row in rows:
        parts[of(row)] = parts.get(of(row), 0.0) + row.lost
    ordered = sorted(parts.items(), key=lambda part: -part[1])
    print(f"{title}: " + ", ".join(f"{name} {lost / owed:.4f}" for name, lost in ordered if lost > 0))


def main() -> None:
    """Read a log, and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("log", type=Path, nargs="?")
    arguments = parser.parse_args()
    lines = arguments.log.open() if arguments.log else sys.stdin
    requests: list[LoggedRequest] = read_requests(lines)
    found = losses(requests, kinds(arguments.site))
    owed = sum(row.offered for row in found)
    print(f"{len(found)} requests, {sum(row.lost for row in found) / owed:.4f} of the worth owed is lost")
    table("by reason", found, lambda row: row.reason.value, owed)
    table("by kind", found, lambda row: row.kind, owed)
    table("by size", found, lambda row: row.size, owed)
    table("by zone", found, lambda row: row.zone, owed)
    table("by second", found, lambda row: f"{int(row.arrived_at / SECONDS) * SECONDS:.0f}", owed)
    for size in ("largest tenth", "fifth beneath", "rest"):
        for kind in sorted({row.kind for row in found}):
            rows = [row for row in found if row.kind == kind and row.size == size]
            part = sum(row.offered - row.lost for row in rows) / max(1e-9, sum(row.offered for row in rows))
            table(f"{kind}, {size}: {part:.3f} of {len(rows)}", rows, lambda row: row.reason.value, owed)


if __name__ == "__main__":
    main()
