"""What cut the answers of played days: `python -m benchmarks.cuts REPORT...`, each played with `--log edge`.

Ends with status 1 where a head cut an answer by itself, where nothing tells what did, or where work failed in a head.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import cappa

from hophinge.fleet.analysis.aborts import FINDINGS, AbortCause, count_causes, aborted_responses, read_day


@dataclass
class Options:
    """Which reports to read."""

    reports: list[Path]


def main() -> None:
    """Print the counts of all days together, and each finding."""
    counts: Counter[AbortCause] = Counter()
    found = 0
    options = cappa.parse(Options)
    for path in options.reports:
        day = read_day(path.read_text())
        cuts = aborted_responses(day)
        counts += count_causes(cuts)
        for cut in cuts:
            if cut.cause in FINDINGS:
                found += 1
                print(f"{path}: {cut.request} at {cut.machine}, {cut.at_s:.3f} s: {cut.cause.value}; {cut.detail}")
        for line in day.failures():
            found += 1
            print(f"{path}: {line.machine}, {line.at_s:.3f} s: {line.text}")
    told = ", ".join(f"{count} {cause.value}" for cause, count in counts.items())
    print(f"{len(options.reports)} days: {told or 'no cut'}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
