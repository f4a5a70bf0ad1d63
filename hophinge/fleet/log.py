"""Logging of the data plane and the control plane: one event per line, followed by its fields as `name=value`."""

from __future__ import annotations

import sys

from loguru import logger

FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def configure_log(level: str = "INFO") -> None:
    """Log messages of at least this level to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=FORMAT, colorize=False, backtrace=False, diagnose=False)
