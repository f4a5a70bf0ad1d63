"""Parses decimal integers in header fields."""

from __future__ import annotations

MAX_DIGITS = 18  # the most digits that always fit in a signed 64-bit integer


def parse_decimal(text: str) -> int | None:
    """Parse a non-negative integer in ASCII digits, ignoring surrounding whitespace; return None for any other text."""
    digits = text.strip()
    is_decimal = digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS
    return int(digits) if is_decimal else None
