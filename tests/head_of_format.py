"""A head that uses another format of cluster datagrams, as an older or newer build would; started by the rig.

The first argument is `older`, `newer` or `unreadable`. An older head neither sends nor reads the elements that were
added last to each message. A newer one sends an additional element in each message, and a message of an unknown type in
each datagram. The datagrams of `unreadable` state that only newer builds can read them.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from hophinge.cluster import anti_entropy, core, datagram, gossip, messages
from hophinge.cluster.messages import StreamDelta, BucketDigest, Message, MemberRecord

ADDED_ELEMENTS = {MemberRecord: 1, StreamDelta: 1, BucketDigest: 2}  # last elements, unknown to an older build
UNKNOWN = msgspec.msgpack.encode((77, ["nobody", "knows"]))


def elements(part: Any, is_newer: bool) -> Any:
    """Return the elements of a message and of those in it, with an additional one or without the last ones."""
    if isinstance(part, list):
        return [elements(item, is_newer) for item in part]
    if not isinstance(part, Message):
        return part
    rows = [elements(getattr(part, name), is_newer) for name in part.__struct_fields__]
    return [*rows, "of a newer build"] if is_newer else rows[: len(rows) - ADDED_ELEMENTS.get(type(part), 0)]


class OlderDecoder:
    """Decodes a message like an older build, which ignores its last elements."""

    def __init__(self, message_type: type[Message]) -> None:
        self.message_type = message_type

    def decode(self, raw: bytes) -> Message:
        rows = msgspec.msgpack.decode(raw)
        ignored = ADDED_ELEMENTS.get(self.message_type, 0)
        return msgspec.convert(rows[: len(self.message_type.__struct_fields__) - ignored], self.message_type)


def use_format(which: str) -> None:
    """Use a format from now on, in this process."""
    seal, is_newer = datagram.seal_datagram, which != "older"

    def encode(part: Message) -> bytes:
        return msgspec.msgpack.encode((messages.MESSAGE_NUMBERS[type(part)], elements(part, is_newer)))

    def seal_in_format(key: bytes, name: str, start: int, count: int, parts: list[bytes]) -> bytes:
        extra = [UNKNOWN] if is_newer else []
        format_ = datagram.FORMAT_VERSION + 1 if is_newer else datagram.FORMAT_VERSION - 1
        return seal(
            key,
            name,
            start,
            count,
            [*parts, *extra],
            format_,
            format_ if which == "unreadable" else min(format_, datagram.MIN_READER_FORMAT),
        )

    for module in (core, anti_entropy, gossip):
        setattr(module, "encode_message", encode)  # noqa: B010 - mypy knows them as functions
    setattr(core, "seal_datagram", seal_in_format)  # noqa: B010
    setattr(core, "FRAME_BYTES", datagram.FRAME_BYTES + len(UNKNOWN))  # noqa: B010 - leaves space for it
    if which == "older":
        for number, message_type in messages.MESSAGE_TYPES.items():
            messages.DECODERS[number] = OlderDecoder(message_type)  # type: ignore[assignment]


if __name__ == "__main__":
    import runpy

    use_format(sys.argv.pop(1))
    runpy.run_module("hophinge", run_name="__main__", alter_sys=True)
