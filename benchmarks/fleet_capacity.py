"""Measures the slopes behind docs/CAPACITY.md and prints their table: `python benchmarks/fleet_capacity.py`."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from hophinge.fleet.emulation.slopes import main

if __name__ == "__main__":
    main()
