"""A whole head that speaks another format of datagrams, as a build before or after this one would; run by the rig.

The word is `older`, `newer` or `unreadable`. An older one knows nothing of the elements that came last to each part and
sends none; a newer one sends one more in each part, and a part of an unknown kind in each datagram; what `unreadable`
sends is for newer readers alone.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from hophinge.cluster import anti_entropy, core, datagram, gossip, messages
from hophinge.cluster.messages import StreamDelta, BucketDigest, Message, MemberRecord

LAST = {MemberRecord: 1, StreamDelta: 1, BucketDigest: 2}  # elements at the end that an older build does not know
UNKNOWN = msgspec.msgpack.encode((77, ["nobody", "knows"]))


def elements(part: Any, longer: bool) -> Any:
    """Write a part, and those within it, with an element more or without its last ones."""
    if isinstance(part, list):
        return [elements(one, longer) for one in part]
    if not isinstance(part, Message):
        return part
    rows = [elements(getattr(part, name), longer) for name in part.__struct_fields__]
    return [*rows, "of a newer build"] if longer else rows[: len(rows) - LAST.get(type(part), 0)]


class Reader:
    """Reads a part as a build does that passes over its last elements."""

    def __init__(self, kind: type[Message]) -> None:
        self.kind = kind

    def decode(self, raw: bytes) -> Message:
        rows = msgspec.msgpack.decode(raw)
        cut = LAST.get(self.kind, 0)
        return msgspec.convert(rows[: len(self.kind.__struct_fields__) - cut], self.kind)


def become(word: str) -> None:
    """Speak that format from now on."""
    seal, longer = datagram.seal_datagram, word != "older"

    def packed(part: Message) -> bytes:
        return msgspec.msgpack.encode((messages.MESSAGE_NUMBERS[type(part)], elements(part, longer)))

    def sealed(key: bytes, name: str, start: int, count: int, parts: list[bytes]) -> bytes:
        extra = [UNKNOWN] if longer else []
        format_ = datagram.FORMAT_VERSION + 1 if longer else datagram.FORMAT_VERSION - 1
        return seal(
            key,
            name,
            start,
            count,
            [*parts, *extra],
            format_,
            format_ if word == "unreadable" else min(format_, datagram.MIN_READER_FORMAT),
        )

    for module in (core, anti_entropy, gossip):
        setattr(module, "encode_message", packed)  # noqa: B010 - mypy knows them as functions
    setattr(core, "seal_datagram", sealed)  # noqa: B010
    setattr(core, "FRAME_BYTES", datagram.FRAME_BYTES + len(UNKNOWN))  # noqa: B010 - room for it in each datagram
    if word == "older":
        for number, kind in messages.MESSAGE_TYPES.items():
            messages.DECODERS[number] = Reader(kind)  # type: ignore[assignment]


if __name__ == "__main__":
    import runpy

    become(sys.argv.pop(1))
    runpy.run_module("hophinge", run_name="__main__", alter_sys=True)
