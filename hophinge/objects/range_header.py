"""The Range header, RFC 9110 section 14, for one range of bytes."""

from __future__ import annotations

import re

RANGE = re.compile(r"bytes\s*=\s*([0-9]*)\s*-\s*([0-9]*)\s*", re.ASCII | re.IGNORECASE)


class UnsatisfiableRangeError(Exception):
    """No byte of the range is in the object."""


def parse_range(header: str | None, size: int) -> tuple[int, int] | None:
    """Return the first and last byte requested, or None for the whole object.

    A header that is malformed, of another unit or of several ranges is ignored, as the RFC allows.
    """
    match = RANGE.fullmatch(header or "")
    if match is None or len(match[1]) > 18 or len(match[2]) > 18:
        return None
    first, last = match[1], match[2]
    if not first:
        if not last:
            return None
        if int(last) == 0 or size == 0:
            raise UnsatisfiableRangeError
        return max(0, size - int(last)), size - 1
    if last and int(last) < int(first):
        return None
    if int(first) >= size:
        raise UnsatisfiableRangeError
    return int(first), min(int(last) if last else size - 1, size - 1)
