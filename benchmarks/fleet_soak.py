"""Many soaks of both programs by hand, several side by side, each in a process of its own; reported in `journal/`.

`python -m benchmarks.fleet_soak --first 1 --count 50 --play 20`; `--machines 60 --count 2` for large ones. Ends with
status 1 where anything was found. What is found stays with its seed, its logs in the report.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
from dataclasses import asdict, dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, cast

import cappa

from tests.soak_checks import findings, summary
from tests.soak_fleet import Course, Soak

ROOT = Path(__file__).parent.parent
MAX_SHOWN = 300  # characters of a finding; the report has it whole
LONG: cappa.Arg[Any] = cappa.Arg(long=True)


@dataclass
class Options:
    """Which soaks to play."""

    first: Annotated[int, LONG] = 1  # seed
    count: Annotated[int, LONG] = 50
    side_by_side: Annotated[int, LONG] = 4
    play: Annotated[float, LONG] = 20.0  # seconds of trouble
    machines: Annotated[int, LONG] = 3
    clients: Annotated[int, LONG] = 16
    alone: Annotated[bool, LONG] = False  # play the first seed in this process, and print its report


def _play(options: Options) -> dict[str, object]:
    course = Course(options.machines, options.clients, options.play)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), options.first, course)
        try:
            asyncio.run(soak.run())
            found = findings(soak)
        except Exception as error:  # a soak that comes to no end is a finding with its cause
            found = [f"the soak failed: {error!r}"]
            parts = getattr(error, "exceptions", ())
            found += [repr(part)[:2_000] for part in parts]
    return {**summary(soak), "found": found}


async def _one(options: Options, seed: int, turns: asyncio.Semaphore) -> dict[str, object]:
    words = [
        "--first",
        str(seed),
        "--play",
        str(options.play),
        "--machines",
        str(options.machines),
        "--clients",
        str(options.clients),
        "--alone",
    ]
    async with turns:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.fleet_soak",
            *words,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        output, _ = await process.communicate()
    try:
        report: dict[str, object] = json.loads(output.splitlines()[-1])
    except (ValueError, IndexError):
        report = {"seed": seed, "found": [f"its process ended with {process.returncode} and no report"]}
    found = cast(list[str], report["found"])
    shown = [f"    {one[:MAX_SHOWN]}" for one in found]
    print(json.dumps({**report, "found": len(found)}), *shown, sep="\n", flush=True)
    return report


async def _all(options: Options) -> list[dict[str, object]]:
    turns = asyncio.Semaphore(options.side_by_side)
    seeds = range(options.first, options.first + options.count)
    return list(await asyncio.gather(*(_one(options, seed, turns) for seed in seeds)))


def _now() -> str:
    return datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def main() -> None:
    """Play what the command line asks for."""
    options = cappa.parse(Options)
    if options.alone:
        print(json.dumps(_play(options)))
        return
    begun = _now()
    reports = asyncio.run(_all(options))
    head = subprocess.run(["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    entry = {
        "v": 1,
        "cmd": "soak",
        "at": [begun, _now()],
        "head": head.strip()[:8],
        "options": asdict(options),
        "failed": sum(bool(report["found"]) for report in reports),
        "soaks": reports,
    }
    path = ROOT / "journal" / f"soak-{begun.replace('-', '').replace(':', '')}-{options.first}.json"
    path.write_text(json.dumps(entry, indent=1) + "\n")
    print(f"{entry['failed']} of {len(reports)} soaks found something; {path}")
    sys.exit(1 if entry["failed"] else 0)


if __name__ == "__main__":
    main()
