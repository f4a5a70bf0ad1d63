"""Quantities of the service document: a number with a unit, where each unit belongs to one dimension."""

from __future__ import annotations

import math
import re
from typing import NamedTuple

NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,9})?", re.ASCII)
NUMBER_AND_UNIT = re.compile(r"([0-9.]+)([a-zA-Z%/]+)", re.ASCII)


class Unit(NamedTuple):
    """A unit: its dimension, and its factor relative to the base unit of that dimension."""

    dimension: str
    factor: float


UNITS = {
    "us": Unit("time", 1.0),
    "ms": Unit("time", 1e3),
    "s": Unit("time", 1e6),
    "min": Unit("time", 60e6),
    "%": Unit("share", 0.01),
    "units/s": Unit("rate", 1.0),
    "requests/s": Unit("request rate", 1.0),
    "units": Unit("units", 1.0),
    "requests": Unit("requests", 1.0),
    "request": Unit("requests", 1.0),
    "connections": Unit("connections", 1.0),
    "connection": Unit("connections", 1.0),
    "bricks": Unit("bricks", 1.0),
    "brick": Unit("bricks", 1.0),
    "heads": Unit("heads", 1.0),
    "head": Unit("heads", 1.0),
    "B/s": Unit("byte rate", 1.0),
    "KiB/s": Unit("byte rate", 1024.0),
    "MiB/s": Unit("byte rate", 1024.0**2),
    "GiB/s": Unit("byte rate", 1024.0**3),
    "B": Unit("size", 1.0),
    "KiB": Unit("size", 1024.0),
    "MiB": Unit("size", 1024.0**2),
    "GiB": Unit("size", 1024.0**3),
}
EXAMPLES = {
    "time": "80 ms",
    "share": "20 %",
    "rate": "120 units/s",
    "request rate": "50 requests/s",
    "units": "8 units",
    "requests": "64 requests",
    "bricks": "2 bricks",
    "heads": "1 heads",
    "size": "64 KiB",
    "byte rate": "4 MiB/s",
    "connections": "64 connections",
}
INTEGER_DIMENSIONS = frozenset({"requests", "connections", "bricks", "heads"})
MAX_VALUE = 1e12  # in base units; above any practical value and still an exact float


class QuantityError(ValueError):
    """Text that is not a quantity of the expected dimension; the message includes a valid example."""


def parse_quantity(words: list[str], dimension: str) -> float:
    """Parse a number and its unit.

    Args:
        words: The number and the unit, as one word or two.
        dimension: One of the dimensions of `UNITS`.

    Returns:
        The value in the dimension's base unit: us, a fraction of 1, units/s, requests/s, bytes/s, bytes or a count.

    Raises:
        QuantityError: The words are not a quantity of this dimension, or are out of range.

    """
    advice = f"write it like {EXAMPLES[dimension]}"
    if len(words) == 1 and (joined := NUMBER_AND_UNIT.fullmatch(words[0])):
        words = [joined[1], joined[2]]
    if not words:
        raise QuantityError(f"a {dimension} is missing; {advice}")
    if not NUMBER.fullmatch(words[0]):
        raise QuantityError(f"{words[0]!r} is not a number of 0 or more; {advice}")
    if len(words) == 1:
        raise QuantityError(f"{words[0]} has no unit; {advice}")
    if len(words) > 2:
        raise QuantityError(f"unexpected {' '.join(words[2:])!r} after the {dimension}; {advice}")
    unit = UNITS.get(words[1])
    if unit is None:
        raise QuantityError(f"unknown unit {words[1]!r}; {advice}")
    if unit.dimension != dimension:
        raise QuantityError(f"{words[1]} is a unit of {unit.dimension}, but {dimension} is expected; {advice}")
    value = float(words[0]) * unit.factor
    _check_range(words, value, dimension, advice)
    return value


def _check_range(words: list[str], value: float, dimension: str, advice: str) -> None:
    if not math.isfinite(value) or value > MAX_VALUE:
        raise QuantityError(f"{words[0]} {words[1]} is out of range; {advice}")
    if dimension == "share" and value > 1:
        raise QuantityError(f"{words[0]} % is over 100 %; {advice}")
    if dimension in INTEGER_DIMENSIONS and value != int(value):
        raise QuantityError(f"{words[0]} {words[1]} must be a whole number; {advice}")


def format_quantity(value: float, dimension: str) -> str:
    """Format a value, given in its dimension's base unit, with the largest exact unit; parsing it returns the value."""
    names: tuple[str, ...]
    if dimension == "time":
        names = ("min", "s", "ms", "us") if value else ("ms",)
    elif dimension == "size":
        names = ("GiB", "MiB", "KiB", "B") if value else ("B",)
    elif dimension == "byte rate":
        names = ("GiB/s", "MiB/s", "KiB/s", "B/s") if value else ("B/s",)
    else:
        names = tuple(name for name, unit in UNITS.items() if unit.dimension == dimension)[:1]
    for name in names:
        number = value / UNITS[name].factor
        text = f"{round(number, 9):.9f}".rstrip("0").rstrip(".")
        if float(text) * UNITS[name].factor == value and (number >= 1 or name == names[-1] or not value):
            return f"{text} {name}"
    return f"{value / UNITS[names[-1]].factor:.9f}".rstrip("0").rstrip(".") + f" {names[-1]}"
