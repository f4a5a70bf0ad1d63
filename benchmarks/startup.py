"""What a platform's head costs at its start, before the cluster came into the program and now; for `together.py`."""

from __future__ import annotations

import asyncio
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import aiohttp

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.load.plan import LoadPlan  # noqa: E402
from hophinge.load.rig.run import RigRun  # noqa: E402

BEFORE = "24e5f03"  # the last commit without any of it
ROUNDS = 11  # pairs of starts, in turn
# A head as `python -m hophinge` runs it, which tells what it has imported as it ends.
TELL = (
    "import atexit, runpy, sys\n"
    "sys.argv = ['hophinge']\n"
    "atexit.register(lambda: print('modules', len(sys.modules), sum(name.split('.')[1:2] in "
    "[['cluster'], ['peers'], ['maintenance'], ['scoring'], ['popularity']] for name in sys.modules "
    "if name.startswith('hophinge.')), flush=True))\n"
    "runpy.run_module('hophinge', run_name='__main__', alter_sys=True)\n"
)


def spread(values: Iterable[float], digits: int = 1) -> str:
    """Tell a median with the least and the most."""
    rows = sorted(values)
    return f"{statistics.median(rows):.{digits}f} ({rows[0]:.{digits}f} to {rows[-1]:.{digits}f})"


async def start_once(made: RigRun, program: Path, name: str) -> dict[str, float]:
    """Start a platform's head of a checkout; tells its seconds until it was ready, memory, and modules."""
    process = await made.add_head(name)
    begun = time.monotonic()
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        TELL,
        cwd=program,
        env={**os.environ, **process.environ, "PYTHONPATH": str(program)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(30):
            while True:
                try:
                    if (await made.get(name, "/ops/readiness"))[0] == 200:
                        break
                except (OSError, aiohttp.ClientError):
                    pass
                await asyncio.sleep(0.005)
        took = time.monotonic() - begun
        await asyncio.sleep(0.5)
        rows = Path(f"/proc/{child.pid}/status").read_text().splitlines()
        resident = next(int(row.split()[1]) / 1024 for row in rows if row.startswith("VmRSS"))
        child.terminate()
        assert child.stdout is not None
        said = (await child.stdout.read()).decode().splitlines()
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    modules, new = next(line.split()[1:] for line in reversed(said) if line.startswith("modules "))
    return {"start ms": took * 1e3, "resident MB": resident, "modules": int(modules), "of the new packages": int(new)}


async def starts(folder: Path, plan: LoadPlan) -> list[str]:
    """Measure a platform's head before and after, in turn."""
    old = folder / "before"
    old.mkdir()
    packed = subprocess.run(["git", "archive", BEFORE], cwd=ROOT, capture_output=True, check=True).stdout
    subprocess.run(["tar", "xf", "-", "-C", str(old)], input=packed, check=True)
    found: dict[str, list[dict[str, float]]] = {"before": [], "after": []}
    async with RigRun(folder / "starts", plan=plan) as made:
        for turn in range(ROUNDS + 1):
            for name, program in (("before", old), ("after", ROOT))[:: 1 if turn % 2 else -1]:
                row = await start_once(made, program, f"{name}{turn}")
                if turn:  # the first pair fills caches
                    found[name].append(row)
    digits = {"start ms": 0, "resident MB": 2, "modules": 0, "of the new packages": 0}
    lines = ["| a platform's head | " + " | ".join(digits) + " |", "| --- " * (len(digits) + 1) + "|"]
    for name, rows in found.items():
        lines.append(
            f"| {name} | "
            + " | ".join(spread((row[key] for row in rows), places) for key, places in digits.items())
            + " |"
        )
    return lines
