"""Frames between members: a length prefix, then a CBOR message; the first frame of a connection names the sender."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from hophinge.coordination.codec import CodecError, decode, encode, wire
from hophinge.coordination.codec_limits import MAX_ITEMS, holds_too_many_items
from hophinge.coordination.view import Replica

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 << 20  # more than the largest configuration with the stored history of older ones


@wire(40)
@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of a connection."""

    sender: Replica
    program: str  # "control" or "data"


def frame(message: object) -> bytes:
    """Encode a message as one frame."""
    payload = encode(message)
    return LENGTH_PREFIX.pack(len(payload)) + payload


class FrameReader:
    """Splits a byte stream into messages."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The bytes that were received and belong to no message that was returned."""
        return len(self._buffer)

    @property
    def expected_bytes(self) -> int:
        """The length of the next frame with its prefix, as far as it is known."""
        if len(self._buffer) < LENGTH_PREFIX.size:
            return LENGTH_PREFIX.size
        (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
        return LENGTH_PREFIX.size + int(length)

    def receive(self, data: bytes) -> None:
        """Add bytes."""
        self._buffer += data

    def next_message(self) -> object | None:
        """Return the next message; None if it is not complete.

        Raises:
            CodecError: The frame is too long, has too many data items, or does not contain a valid message.

        """
        end = self.expected_bytes
        if end > LENGTH_PREFIX.size + self.max_frame_bytes:
            raise CodecError(f"a frame of {end - LENGTH_PREFIX.size} bytes is too long")
        if len(self._buffer) < end or len(self._buffer) < LENGTH_PREFIX.size:
            return None
        payload = bytes(self._buffer[LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        if holds_too_many_items(payload):
            raise CodecError(f"a frame of {len(payload)} bytes holds more than {MAX_ITEMS} items")
        return decode(payload)
