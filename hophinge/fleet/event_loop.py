"""Logs stalls of the event loop, measured as the delay of a periodic step."""

from __future__ import annotations

from loguru import logger

STALL_S = 0.1  # the shortest delay that is logged
MILLISECONDS = 1_000


def log_stall(late_s: float) -> None:
    """Log the delay of a periodic step, in seconds after it was due, if it is at least `STALL_S`.

    The event loop was busy with other work for that time, or the process got no CPU time.
    """
    if late_s >= STALL_S:
        logger.info("event loop stalled late_ms={:.0f}", late_s * MILLISECONDS)
