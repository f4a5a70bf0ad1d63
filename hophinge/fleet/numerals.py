"""Whole numbers in header fields."""

from __future__ import annotations

MAX_DIGITS = 18  # a number with more of them exceeds 64 bits, and is no quantity of this protocol


def parse_decimal(text: str) -> int | None:
    """Return the number that a text of ASCII digits stands for, spaces around it aside; None for any other text."""
    digits = text.strip()
    is_decimal = digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS
    return int(digits) if is_decimal else None
