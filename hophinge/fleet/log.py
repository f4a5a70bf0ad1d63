"""Logs of the two programs: one line for each change that an operator would want to know of."""

from __future__ import annotations

import sys

from loguru import logger as logger

FORMAT = "{time:HH:mm:ss.SSS} {level} {message}"


def begin(level: str = "INFO") -> None:
    """Write to standard error from now on."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=FORMAT, colorize=False, backtrace=False, diagnose=False)


def note(text: str) -> None:
    """Tell an operator what has changed."""
    logger.info("{}", text)
