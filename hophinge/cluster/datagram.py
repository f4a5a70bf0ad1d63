"""The datagram: authenticated with a key and protected against replay; invalid ones are dropped before decoding.

    magic 2 | BLAKE2b 16 | format 1 | minimal reader format 1 | generation 8 | sequence 8 | length of name 1 | name
    | messages

The seal covers everything after it. `format` is the version that the sender speaks, the minimal reader format the
lowest version that a reader must speak. Each sender numbers its datagrams, and each (name, generation) has a replay
window, so that no clock is needed to detect duplicates.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import OrderedDict
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

import msgspec
from msgspec import Struct

from hophinge.cluster.errors import KeysUnusableError
from hophinge.cluster.messages import DECODERS, MAX_NAME_BYTES, Message

MAGIC = b"hh"
FORMAT_VERSION = 1  # spoken here
MIN_READER_FORMAT = 1  # the lowest that a reader of what is sent here must speak
MAX_DATAGRAM_BYTES = 1_200  # passes every path that IPv6 allows (1,280) with its headers
SEAL_BYTES = 16  # 2**64 forgeries for an even chance
HEADER = struct.Struct(">BBQQB")
FRAME_BYTES = len(MAGIC) + SEAL_BYTES + HEADER.size
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - FRAME_BYTES - MAX_NAME_BYTES - 3  # for messages, whatever the sender's name
REPLAY_WINDOW = 256  # datagrams of one sender that may be reordered
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_KEYS = 2  # valid at a time

_messages_decoder = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


class DropReason(Enum):
    """Why a datagram was dropped, as counted: `dropped_` and the value."""

    TOO_LONG = "too_long"
    TOO_SHORT = "too_short"
    UNKNOWN = "unknown"
    UNAUTHENTIC = "unauthentic"
    NEWER_FORMAT = "newer_format"
    REPLAYED = "replayed"
    MALFORMED = "malformed"


class Datagram(Struct, frozen=True):
    """An authenticated datagram."""

    sender: str
    generation: int
    messages: list[Message]


class ReplayWindow(NamedTuple):
    """The sequences of one sender's datagrams that were received: bit n stands for the highest less n."""

    highest: int
    received: int


def read_keys(text: str) -> list[bytes]:
    """Parse keys, one a line, the newest first.

    Raises:
        KeysUnusableError: The number or the length of the keys is out of bounds.

    """
    keys = [line.strip().encode() for line in text.splitlines() if line.strip()]
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeysUnusableError(f"{len(keys)} keys where 1 or {MAX_KEYS} are expected")
    for number, key in enumerate(keys, 1):
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise KeysUnusableError(f"key {number} has {len(key)} bytes, not {MIN_KEY_BYTES} to {MAX_KEY_BYTES}")
    return keys


def _seal_of(key: bytes, content: bytes | memoryview) -> bytes:
    return hashlib.blake2b(content, digest_size=SEAL_BYTES, key=key, person=b"hophinge-members").digest()


def seal_datagram(
    key: bytes,
    name: str,
    generation: int,
    sequence: int,
    messages: Sequence[bytes],
    format_: int = FORMAT_VERSION,
    min_reader_format: int = MIN_READER_FORMAT,
) -> bytes:
    """Build a datagram of encoded messages."""
    encoded_name = name.encode()
    content = b"".join(
        (
            HEADER.pack(format_, min_reader_format, generation, sequence, len(encoded_name)),
            encoded_name,
            b"\xdc",  # MessagePack: an array with a length of 16 bits
            len(messages).to_bytes(2, "big"),
            *messages,
        )
    )
    return MAGIC + _seal_of(key, content) + content


class DatagramOpener:
    """Authenticates and decodes datagrams, with a replay window for each of the last `max_senders` senders."""

    def __init__(self, keys: Sequence[bytes], max_senders: int, count: Callable[[str], None]) -> None:
        self.keys = list(keys)
        self.max_senders = max_senders
        self.count = count
        self.windows: OrderedDict[tuple[bytes, int], ReplayWindow] = OrderedDict()  # by name and generation

    def open(self, data: bytes) -> Datagram | None:
        """Decode a datagram; returns None if it was dropped, which is counted by reason."""
        datagram = self._open(data)
        if isinstance(datagram, DropReason):
            self.count(f"dropped_{datagram.value}")
            return None
        return datagram

    def _open(self, data: bytes) -> Datagram | DropReason:
        if not FRAME_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return DropReason.TOO_LONG if len(data) > MAX_DATAGRAM_BYTES else DropReason.TOO_SHORT
        if data[: len(MAGIC)] != MAGIC:
            return DropReason.UNKNOWN
        seal = data[len(MAGIC) : len(MAGIC) + SEAL_BYTES]
        content = memoryview(data)[len(MAGIC) + SEAL_BYTES :]
        if not any(hmac.compare_digest(seal, _seal_of(key, content)) for key in self.keys):
            return DropReason.UNAUTHENTIC
        _, min_reader_format, generation, sequence, name_length = HEADER.unpack_from(content)
        if min_reader_format > FORMAT_VERSION:
            return DropReason.NEWER_FORMAT
        name = bytes(content[HEADER.size : HEADER.size + name_length])
        if not self._is_new((name, generation), sequence):
            return DropReason.REPLAYED
        try:
            messages = self._decode_messages(content[HEADER.size + name_length :])
            return Datagram(name.decode(), generation, messages)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return DropReason.MALFORMED

    def _decode_messages(self, payload: memoryview) -> list[Message]:
        messages = []
        for number, raw in _messages_decoder.decode(payload):
            decoder = DECODERS.get(number)
            if decoder is None:
                self.count("unknown_kinds")
            else:
                messages.append(decoder.decode(raw))
        return messages

    def _is_new(self, sender: tuple[bytes, int], sequence: int) -> bool:
        """Record a datagram's sequence; returns False for a duplicate and for one older than the window."""
        highest, received = self.windows.get(sender, ReplayWindow(-1, 0))
        if sequence > highest:
            ahead = sequence - highest
            received = (received << ahead | 1) & ((1 << REPLAY_WINDOW) - 1) if ahead < REPLAY_WINDOW else 1
            highest = sequence
        else:
            bit = 1 << (highest - sequence)
            if highest - sequence >= REPLAY_WINDOW or received & bit:
                return False
            received |= bit
        self.windows[sender] = ReplayWindow(highest, received)
        self.windows.move_to_end(sender)
        if len(self.windows) > self.max_senders:
            self.windows.popitem(last=False)
        return True
