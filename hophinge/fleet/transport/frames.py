"""Frames between members: a length prefix, then a CBOR message; the first frame of a connection names the sender."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from hophinge.coordination.codec import CodecError, decode, encode, wire
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

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[object]:
        """Add bytes; return the messages that are complete now.

        Raises:
            CodecError: A frame is too long, or does not contain a valid message.

        """
        self.buffer += data
        messages: list[object] = []
        begin = 0
        while len(self.buffer) - begin >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self.buffer, begin)
            if length > MAX_FRAME_BYTES:
                raise CodecError(f"a frame of {length} bytes is too long")
            end = begin + LENGTH_PREFIX.size + length
            if len(self.buffer) < end:
                break
            messages.append(decode(bytes(self.buffer[begin + LENGTH_PREFIX.size : end])))
            begin = end
        del self.buffer[:begin]
        return messages
