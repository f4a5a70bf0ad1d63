"""What the hook for scorers costs the module where there are none: `python benchmarks/scoring_hook.py FOLDER FOLDER`.

Each folder is a checkout; new objects go through the module of each in turn, in processes of their own: arrival,
choice, end. Tells the CPU time of a request by pairs, and, where valgrind is there, instructions a request, which do
not stray.
"""

from __future__ import annotations

import os
import re
import shutil
import statistics
import subprocess
import sys
import time

PAIRS, REQUESTS, COUNTED = 31, 20_000, 1_000
CHILD = "--child"
NODES, START_US, STEP_US, TAKES_US = 24, 50_000_000, 1_000, 900


def play(folder: str, requests: int) -> float:
    """Have the folder's module place so many new objects; tells the CPU microseconds of each."""
    sys.path.insert(0, folder)
    from hophinge.core import interface as api
    from hophinge.core.choice import Scheduler
    from tests.test_choice import SETTINGS

    module = Scheduler(SETTINGS, 1)
    module.handle(
        START_US,
        [
            api.NodeList(
                api.ListKind.FULL, tuple(api.NodeEntry(f"n{at}", 0, at, api.Phase.ON, 1.0, 0) for at in range(NODES))
            )
        ],
    )
    since, served = time.thread_time_ns(), 0
    for count in range(requests):
        now, name = START_US + count * STEP_US, f"r{count}"
        for action in module.handle(now, [api.Arrival(name, 1.0, "v", 0, -1, 10, name, 2_000_000, False, 0)]):
            if isinstance(action, api.Send):
                served += 1
                module.handle(
                    now + TAKES_US, [api.Outcome(name, 0, action.node, api.Result.OK, TAKES_US, True, 0, 0.0, {})]
                )
    took = time.thread_time_ns() - since
    if served != requests:
        raise SystemExit(f"{served} of {requests} requests were served")
    return took / max(1, requests) / 1000


def child(folder: str, requests: int, *before: str) -> str:
    """Run one in a process of its own; tells its output and errors."""
    words = [*before, sys.executable, __file__, CHILD, folder, str(requests)]
    environ = {**os.environ, "PYTHONHASHSEED": "0"}
    done = subprocess.run(words, cwd=folder, env=environ, capture_output=True, text=True, check=True)
    return done.stdout + done.stderr


def instructions(folder: str) -> float:
    """Tell the instructions of one request, those of the start-up taken off."""
    found = []
    for requests in (0, COUNTED):
        text = child(
            folder, requests, "valgrind", "--tool=cachegrind", "--cache-sim=no", "--cachegrind-out-file=/dev/null"
        )
        refs = re.search(r"I\s+refs:\s+([\d,]+)", text)
        if refs is None:
            raise SystemExit(text)
        found.append(int(refs[1].replace(",", "")))
    return (found[1] - found[0]) / COUNTED


def main() -> None:
    """Compare two folders."""
    folders = sys.argv[1:3]
    took: list[list[float]] = [[], []]
    for pair in range(PAIRS):
        for at in ((0, 1), (1, 0))[pair % 2]:
            took[at].append(float(child(folders[at], REQUESTS).split()[0]))
    parts = sorted(later / before for before, later in zip(*took, strict=True))
    low, middle, high = statistics.quantiles(parts, n=4)
    print(
        f"CPU us a request: {statistics.median(took[0]):.2f} and {statistics.median(took[1]):.2f}; "
        f"pair by pair {middle:.4f} times ({low:.4f} to {high:.4f}), {PAIRS} pairs"
    )
    if shutil.which("valgrind"):
        counts = [instructions(folder) for folder in folders]
        print(f"instructions a request: {counts[0]:.0f} and {counts[1]:.0f}, {counts[1] / counts[0]:.4f} times")


if __name__ == "__main__":
    if sys.argv[1] == CHILD:
        print(play(sys.argv[2], int(sys.argv[3])))
    else:
        main()
