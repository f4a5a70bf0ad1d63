"""Quantities of the service document: each has a unit, and each unit belongs to one dimension."""

from __future__ import annotations

import math
import re

NUMBER = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,9})?", re.ASCII)
GLUED = re.compile(r"([0-9.]+)([a-zA-Z%/]+)", re.ASCII)

# By unit: its dimension and what one of it is in the dimension's base.
UNITS = {
    "us": ("time", 1.0),
    "ms": ("time", 1e3),
    "s": ("time", 1e6),
    "min": ("time", 60e6),
    "%": ("share", 0.01),
    "units/s": ("rate", 1.0),
    "requests/s": ("request rate", 1.0),
    "units": ("units", 1.0),
    "requests": ("requests", 1.0),
    "request": ("requests", 1.0),
    "connections": ("connections", 1.0),
    "connection": ("connections", 1.0),
    "bricks": ("bricks", 1.0),
    "brick": ("bricks", 1.0),
    "heads": ("heads", 1.0),
    "head": ("heads", 1.0),
    "B/s": ("byte rate", 1.0),
    "KiB/s": ("byte rate", 1024.0),
    "MiB/s": ("byte rate", 1024.0**2),
    "GiB/s": ("byte rate", 1024.0**3),
    "B": ("size", 1.0),
    "KiB": ("size", 1024.0),
    "MiB": ("size", 1024.0**2),
    "GiB": ("size", 1024.0**3),
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
WHOLE = frozenset({"requests", "connections", "bricks", "heads"})
MOST = 1e12  # in base units; far beyond any use, far below what a float holds exactly


class QuantityError(ValueError):
    """A quantity that is none of its dimension; its text tells what would be right."""


def quantity(words: list[str], dimension: str) -> float:
    """Read a number and its unit; the result is in the base of `dimension` (us, parts of 1, units/s, bytes)."""
    right = f"write it like {EXAMPLES[dimension]}"
    if len(words) == 1 and (glued := GLUED.fullmatch(words[0])):
        words = [glued[1], glued[2]]
    if not words:
        raise QuantityError(f"a {dimension} is missing; {right}")
    if not NUMBER.fullmatch(words[0]):
        raise QuantityError(f"{words[0]!r} is no number from 0 on; {right}")
    if len(words) == 1:
        raise QuantityError(f"{words[0]} has no unit; {right}")
    if len(words) > 2:
        raise QuantityError(f"{' '.join(words[2:])!r} stands after the {dimension}; {right}")
    unit = UNITS.get(words[1])
    if unit is None:
        raise QuantityError(f"{words[1]!r} is no unit; {right}")
    if unit[0] != dimension:
        raise QuantityError(f"{words[1]} measures a {unit[0]}, wanted is a {dimension}; {right}")
    value = float(words[0]) * unit[1]
    if not math.isfinite(value) or value > MOST:
        raise QuantityError(f"{words[0]} {words[1]} is out of range; {right}")
    if dimension == "share" and value > 1:
        raise QuantityError(f"{words[0]} % is over 100 %; {right}")
    if dimension in WHOLE and value != int(value):
        raise QuantityError(f"{words[0]} {words[1]} must be a whole number; {right}")
    return value


def written(value: float, dimension: str) -> str:
    """Write a value of a dimension's base with a unit that reads well; reading it gives the value back."""
    names: tuple[str, ...]
    if dimension == "time":
        names = ("min", "s", "ms", "us") if value else ("ms",)
    elif dimension == "size":
        names = ("GiB", "MiB", "KiB", "B") if value else ("B",)
    elif dimension == "byte rate":
        names = ("GiB/s", "MiB/s", "KiB/s", "B/s") if value else ("B/s",)
    else:
        names = tuple(name for name, (kind, _) in UNITS.items() if kind == dimension)[:1]
    for name in names:
        number = value / UNITS[name][1]
        text = f"{round(number, 9):.9f}".rstrip("0").rstrip(".")
        if float(text) * UNITS[name][1] == value and (number >= 1 or name == names[-1] or not value):
            return f"{text} {name}"
    return f"{value / UNITS[names[-1]][1]:.9f}".rstrip("0").rstrip(".") + f" {names[-1]}"
