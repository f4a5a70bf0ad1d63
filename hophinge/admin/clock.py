"""Clocks of the administration API."""

from __future__ import annotations

import time


def wall_ms() -> int:
    """Return the wall clock's milliseconds since 1970."""
    return int(time.time() * 1000)


def steady_us() -> int:
    """Return microseconds since an arbitrary moment; changes of the wall clock do not affect it."""
    return time.monotonic_ns() // 1000
