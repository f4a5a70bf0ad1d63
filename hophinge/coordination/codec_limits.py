"""Bounds the number of data items in an encoded message before it is decoded.

An empty map takes one byte in CBOR and over a hundred in memory, so the length of a message does not bound what
decoding it takes. Items are counted by their heads (RFC 8949, section 3) without building them.
"""

from __future__ import annotations

import re

MAX_ITEMS = 200_000  # of a message
UNCHECKED_BYTES = 64 << 10  # of a message that cannot hold too many items to matter
BYTE_STRING, TEXT_STRING = 2, 3  # major types whose content follows the head
ARGUMENT_BYTES = {24: 1, 25: 2, 26: 4, 27: 8}  # by the additional information of a head
# An item without content, with an argument of 0, 1, 2, 4 or 8 bytes; a mark of indefinite length; or a short string.
_ITEM = b"".join(
    (
        rb"(?:[\x00-\x17\x20-\x37\x80-\x97\xa0-\xb7\xc0-\xd7\xe0-\xf7\x9f\xbf\xff]|[\x18\x38\x98\xb8\xd8\xf8].",
        rb"|[\x19\x39\x99\xb9\xd9\xf9].{2}|[\x1a\x3a\x9a\xba\xda\xfa].{4}|[\x1b\x3b\x9b\xbb\xdb\xfb].{8}",
        *(rb"|[\x%02x\x%02x].{%d}" % (0x40 + length, 0x60 + length, length) for length in range(24)),
        rb")",
    )
)
ITEM = re.compile(_ITEM, re.DOTALL)
RUN_OF_ITEMS = re.compile(_ITEM + rb"{1,4096}", re.DOTALL)


def holds_too_many_items(data: bytes) -> bool:
    """Return whether a message has more than MAX_ITEMS data items; malformed bytes are left to the decoder."""
    if len(data) <= UNCHECKED_BYTES:
        return False
    position, items, end = 0, 0, len(data)
    while position < end:
        if items > MAX_ITEMS:
            return True
        run = RUN_OF_ITEMS.match(data, position)
        if run is not None:
            items += len(ITEM.findall(data, position, run.end()))
            position = run.end()
        else:
            items += 1
            position = _end_of_string(data, position)
    return items > MAX_ITEMS


def _end_of_string(data: bytes, position: int) -> int:
    """Return the position behind a string, or behind the head of anything that is no item."""
    initial = data[position]
    major, information = initial >> 5, initial & 0x1F
    if major not in (BYTE_STRING, TEXT_STRING):
        return position + 1
    argument_bytes = ARGUMENT_BYTES.get(information, 0)
    content = position + 1 + argument_bytes
    if not argument_bytes:
        return content + (information if information < min(ARGUMENT_BYTES) else 0)
    return content + int.from_bytes(data[position + 1 : content], "big")
