"""Plays random histories of the shared counters by their seeds, and prints how many were played and which failed.

python -m benchmarks.counter_histories FIRST COUNT
"""

from __future__ import annotations

import sys

from tests.counter_histories import play


def main(first: int, count: int) -> int:
    """Play the histories and return the number of failures."""
    failed = 0
    for seed in range(first, first + count):
        try:
            play(seed)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"seeds {first} to {first + count - 1}: {count} played, {failed} failed", flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(min(1, main(int(sys.argv[1]), int(sys.argv[2]))))
