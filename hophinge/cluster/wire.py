"""The datagram: sealed with a key, opened only if it is whole, authentic and new; dropped and counted before decoding.

    magic 2 | BLAKE2b 16 | format 1 | needs 1 | start 8 | count 8 | length of name 1 | name | parts

The seal covers all after it. `format` is what the sender speaks, `needs` the least that a reader must speak. A sender
counts its datagrams; each (name, start) has a window, so that no clock takes part in telling old from new.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections import OrderedDict
from collections.abc import Callable, Sequence

import msgspec
from msgspec import Struct

from hophinge.cluster.errors import KeysUnusableError
from hophinge.cluster.messages import DECODERS, NAME_BYTES, Part

MAGIC = b"hh"
FORMAT = 1  # spoken here
NEEDS = 1  # the least that a reader of what is sent here must speak
MAX_BYTES = 1_200  # of a datagram: passes every path that IPv6 allows (1,280) with its headers
SEAL = 16  # bytes: 2**64 forgeries for an even chance
HEAD = struct.Struct(">BBQQB")
FIXED = len(MAGIC) + SEAL + HEAD.size
ROOM = MAX_BYTES - FIXED - NAME_BYTES - 3  # for parts, whatever the sender's name
WINDOW = 256  # datagrams of one sender that may overtake each other
MIN_KEY, MAX_KEY, MAX_KEYS = 16, 64, 2  # bytes, and keys valid at a time

_body = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


class Opened(Struct, frozen=True):
    """What a datagram said, and who sent it."""

    name: str
    start: int
    parts: list[Part]


def read_keys(text: str) -> list[bytes]:
    """Read keys, one a line, the newest first; raises KeysUnusableError."""
    keys = [line.strip().encode() for line in text.splitlines() if line.strip()]
    if not 1 <= len(keys) <= MAX_KEYS:
        raise KeysUnusableError(f"{len(keys)} keys where 1 or {MAX_KEYS} are expected")
    for number, key in enumerate(keys, 1):
        if not MIN_KEY <= len(key) <= MAX_KEY:
            raise KeysUnusableError(f"key {number} has {len(key)} bytes, not {MIN_KEY} to {MAX_KEY}")
    return keys


def _sealed(key: bytes, rest: bytes | memoryview) -> bytes:
    return hashlib.blake2b(rest, digest_size=SEAL, key=key, person=b"hophinge-members").digest()


def seal(
    key: bytes, name: str, start: int, count: int, parts: Sequence[bytes], format_: int = FORMAT, needs: int = NEEDS
) -> bytes:
    """Make a datagram of packed parts."""
    own = name.encode()
    rest = b"".join(
        (HEAD.pack(format_, needs, start, count, len(own)), own, b"\xdc", len(parts).to_bytes(2, "big"), *parts)
    )
    return MAGIC + _sealed(key, rest) + rest


class Opener:
    """Opens datagrams, with the keys in force and a window for each sender."""

    def __init__(self, keys: Sequence[bytes], most_senders: int, count: Callable[[str], None]) -> None:
        self.keys, self.most_senders, self.count = list(keys), most_senders, count
        self.windows: OrderedDict[tuple[bytes, int], tuple[int, int]] = OrderedDict()  # highest count, those seen

    def open(self, data: bytes) -> Opened | None:
        """Tell what a datagram says; None where it was dropped and counted by reason."""
        opened = self._open(data)
        if isinstance(opened, str):
            self.count(f"dropped_{opened}")
            return None
        return opened

    def _open(self, data: bytes) -> Opened | str:
        """Open a datagram, or tell the reason against it."""
        if not FIXED < len(data) <= MAX_BYTES:
            return "too_long" if len(data) > MAX_BYTES else "too_short"
        if data[:2] != MAGIC:
            return "unknown"
        seal_, rest = data[2 : 2 + SEAL], memoryview(data)[2 + SEAL :]
        if not any(hmac.compare_digest(seal_, _sealed(key, rest)) for key in self.keys):
            return "unauthentic"
        _, needs, start, count, length = HEAD.unpack_from(rest)
        if needs > FORMAT:
            return "newer_format"
        name = bytes(rest[HEAD.size : HEAD.size + length])
        if not self._new((name, start), count):
            return "replayed"
        parts = []
        try:
            for number, raw in _body.decode(rest[HEAD.size + length :]):
                decoder = DECODERS.get(number)
                if decoder is None:
                    self.count("unknown_kinds")
                else:
                    parts.append(decoder.decode(raw))
            return Opened(name.decode(), start, parts)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return "malformed"

    def _new(self, sender: tuple[bytes, int], count: int) -> bool:
        highest, seen = self.windows.get(sender, (-1, 0))
        if count > highest:
            ahead = count - highest
            seen = (seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            highest = count
        else:
            bit = 1 << (highest - count)
            if highest - count >= WINDOW or seen & bit:
                return False
            seen |= bit
        self.windows[sender] = highest, seen
        self.windows.move_to_end(sender)
        if len(self.windows) > self.most_senders:
            self.windows.popitem(last=False)
        return True
