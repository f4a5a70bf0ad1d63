"""Divides received bytes into pieces in which at most two requests end, without I/O.

The parser handles all requests in the bytes that it is given, and cannot be paused. A client may send thousands of
short ones at once, so the parser is given them one after the other.
"""

from __future__ import annotations

from collections.abc import Iterable

SECTION_END = b"\r\n\r\n"  # ends a header, and the last chunk of a body (RFC 9112, sections 2.1 and 7.1)
MAX_PIECE_BYTES = 4 << 10  # of a header or of a body in chunks, which the parser handles field by field
CONTENT_LENGTH = b"content-length"


class MessageBoundaries:
    """The boundaries of the requests on one connection."""

    def __init__(self) -> None:
        self.body_remaining = 0  # bytes that a body of stated length still needs

    def begin_body(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Record a complete header; the parser has checked that a stated length is a number."""
        self.body_remaining = next((int(value) for name, value in fields if name == CONTENT_LENGTH), 0)

    def consume_body(self, count: int) -> None:
        """Record bytes of a body."""
        self.body_remaining = max(0, self.body_remaining - count)

    def next_size(self, data: bytes, begin: int, max_header_bytes: int) -> int:
        """Return the length of the next piece of `data` from `begin`: up to the end of a body or of a header."""
        if self.body_remaining:
            return min(len(data) - begin, self.body_remaining)
        limit = min(len(data), begin + min(max_header_bytes, MAX_PIECE_BYTES))
        end = data.find(SECTION_END, begin, limit)
        return (end + len(SECTION_END) if end >= 0 else limit) - begin
