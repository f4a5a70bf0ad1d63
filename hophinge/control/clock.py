"""Clocks of the control service."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return microseconds since an arbitrary moment; changes of the wall clock do not affect it."""
    return time.monotonic_ns() // 1000


def now_ms() -> int:
    """Return milliseconds since 1970."""
    return int(time.time() * 1000)
