"""Plays random histories of the coordination library by their seeds, and prints how many were played and which failed.

    python -m benchmarks.coordination_histories FIRST COUNT [SECONDS [pipelined]]

Each history is that of `tests/coordination_histories.py`: bounded and unbounded faults, checked for invariants and for
linearizability. Seeds are played one after another, for SECONDS at most. With `pipelined` operators also build on
changes that are in flight.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

from tests.coordination_histories import History, check, history_of_seed, pipelined_history_of_seed

REPORT_EVERY = 500


def main(first: int, count: int, seconds: float, play: Callable[[int], History] = history_of_seed) -> int:
    """Play the histories and return the number of failures."""
    until, played, failed = time.monotonic() + seconds, 0, 0
    for seed in range(first, first + count):
        if time.monotonic() >= until:
            break
        try:
            check(play(seed))
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
        played += 1
        if played % REPORT_EVERY == 0:
            print(f"{played} played from {first} on, {failed} failed", flush=True)
    print(f"seeds {first} to {first + played - 1}: {played} played, {failed} failed", flush=True)
    return failed


if __name__ == "__main__":
    seconds_at_most = float(sys.argv[3]) if len(sys.argv) > 3 else 1e9
    history = pipelined_history_of_seed if sys.argv[4:] == ["pipelined"] else history_of_seed
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]), seconds_at_most, history)))
