"""Frames between members: a length, then one CBOR message; the first frame of a connection tells who sends."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from hophinge.coordination.codec import CodecError, decode, encode, wire
from hophinge.coordination.view import Replica

LENGTH = struct.Struct(">I")
MAX_BYTES = 16 << 20  # of one frame: above the largest configuration with all that is remembered of older ones


@wire(40)
@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame of a connection."""

    sender: Replica
    program: str  # "control" or "data"


def frame(message: object) -> bytes:
    """Encode a message as one frame."""
    payload = encode(message)
    return LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Cuts a byte stream into messages; raises CodecError for a stream that is none of ours."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[object]:
        """Take bytes and tell the messages that are whole now."""
        self.buffer += data
        messages: list[object] = []
        begin = 0
        while len(self.buffer) - begin >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, begin)
            if length > MAX_BYTES:
                raise CodecError(f"a frame of {length} bytes")
            end = begin + LENGTH.size + length
            if len(self.buffer) < end:
                break
            messages.append(decode(bytes(self.buffer[begin + LENGTH.size : end])))
            begin = end
        del self.buffer[:begin]
        return messages
