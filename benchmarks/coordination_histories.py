"""Plays random histories of the coordination library by their seeds, and prints how many were played and which failed.

    python -m benchmarks.coordination_histories FIRST COUNT [SECONDS]

Each history is that of `tests/coordination_histories.py`: bounded and unbounded faults, checked for invariants and for
linearizability. Seeds are played one after another, for SECONDS at most.
"""

from __future__ import annotations

import sys
import time

from tests.coordination_histories import check, history_of_seed

REPORT_EVERY = 500


def main(first: int, count: int, seconds: float) -> int:
    """Play the histories and return the number of failures."""
    until, played, failed = time.monotonic() + seconds, 0, 0
    for seed in range(first, first + count):
        if time.monotonic() >= until:
            break
        try:
            check(history_of_seed(seed))
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
        played += 1
        if played % REPORT_EVERY == 0:
            print(f"{played} played from {first} on, {failed} failed", flush=True)
    print(f"seeds {first} to {first + played - 1}: {played} played, {failed} failed", flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]) if len(sys.argv) > 3 else 1e9)))
