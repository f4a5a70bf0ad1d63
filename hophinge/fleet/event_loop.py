"""How long the event loop of a process stands still: lateness of its periodic steps, in the log."""

from __future__ import annotations

from loguru import logger

STALL_S = 0.1  # of lateness, from which it is logged
MILLISECONDS = 1_000


def log_stall(late_s: float) -> None:
    """Log how much later than due a step begins, where that is long.

    The loop ran other work for so long, or the process had no processor.
    """
    if late_s >= STALL_S:
        logger.info("event loop stalled late_ms={:.0f}", late_s * MILLISECONDS)
