"""The log of the two programs: an event a line, with its fields as `name=value` behind it."""

from __future__ import annotations

import sys

from loguru import logger

FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def configure_log(level: str = "INFO") -> None:
    """Write the log to standard error, from this level up."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=FORMAT, colorize=False, backtrace=False, diagnose=False)
