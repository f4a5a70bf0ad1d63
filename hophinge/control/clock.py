"""Clocks of the control service."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return monotonic time in microseconds since an arbitrary moment."""
    return time.monotonic_ns() // 1000


def now_ms() -> int:
    """Return the wall clock's time in milliseconds since 1970."""
    return int(time.time() * 1000)
