"""Encoded messages that are short and take much memory: they are rejected before they are decoded."""

from __future__ import annotations

import resource
import struct
from random import Random
from typing import Any

import cbor2
import pytest

from hophinge.coordination import codec_limits
from hophinge.coordination.codec import CodecError, encode
from hophinge.coordination.codec_limits import MAX_ITEMS, UNCHECKED_BYTES, holds_too_many_items
from hophinge.coordination.registers import Register, Snapshot
from hophinge.fleet.transport.frames import LENGTH_PREFIX, MAX_FRAME_BYTES, FrameReader

MAX_GROWTH_KIB = 96 << 10  # over the frame itself, which is held three times for a moment
ITEMS = {
    "empty maps": b"\xa0",
    "empty arrays": b"\x80",
    "empty texts": b"\x60",
    "small numbers": b"\x01",
    "floats": b"\xf9\x3c\x01",
    "numbers of eight bytes": b"\x1b" + bytes(8),
    "texts of 24 bytes": b"\x78\x18" + b"a" * 24,
    "maps of a map": b"\xa1\x01\xa0",
}


def _received(payload: bytes) -> object:
    """Return the message of a frame, as a member reads it."""
    reader = FrameReader()
    reader.receive(LENGTH_PREFIX.pack(len(payload)) + payload)
    return reader.next_message()


def _array(item: bytes, count: int) -> bytes:
    return b"\x9a" + struct.pack(">I", count) + item * count


# Guards against a frame of 16 MiB whose decoding takes 2 GB and stops the event loop for seconds.
@pytest.mark.parametrize("kind", ITEMS)
def test_a_frame_of_very_many_items_is_rejected_and_takes_little_memory(kind: str) -> None:
    item = ITEMS[kind]
    data = _array(item, (MAX_FRAME_BYTES - 5) // len(item))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with pytest.raises(CodecError, match="items"):
        _received(data)
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < MAX_GROWTH_KIB


def _draw(random: Random, depth: int) -> Any:
    kind = random.randrange(9 if depth < 4 else 6)
    if kind < 3:
        return random.choice((0, -1, 23, 24, 255, 256, 70_000, -(2**33), 2**63, 1.5, 0.1, True, None))
    if kind == 3:
        return random.randbytes(random.choice((0, 1, 23, 24, 255, 256, 70_000)))
    if kind < 6:
        return "a" * random.choice((0, 1, 23, 24, 300))
    values = [_draw(random, depth + 1) for _ in range(random.choice((0, 1, 5, 30)))]
    if kind == 6:
        return values
    return dict(enumerate(values)) if kind == 7 else cbor2.CBORTag(random.choice((1, 60_000)), values)


def _count(value: Any) -> int:
    if isinstance(value, cbor2.CBORTag):
        return 1 + _count(value.value)
    if isinstance(value, list):
        return 1 + sum(_count(item) for item in value)
    if isinstance(value, dict):
        return 1 + sum(_count(key) + _count(item) for key, item in value.items())
    return 1


@pytest.mark.parametrize("seed", range(300))
def test_items_are_counted_as_they_are_encoded(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    value = _draw(Random(seed), 0)
    data, items = cbor2.dumps(value), _count(value)
    monkeypatch.setattr(codec_limits, "UNCHECKED_BYTES", -1)
    monkeypatch.setattr(codec_limits, "MAX_ITEMS", items)
    assert not holds_too_many_items(data)
    monkeypatch.setattr(codec_limits, "MAX_ITEMS", items - 1)
    assert holds_too_many_items(data)


def test_a_sound_message_passes_whatever_its_size() -> None:
    registers = tuple((f"key-{number}", Register(number, b"12345678", b"x" * 200)) for number in range(20_000))
    snapshot = Snapshot(1, (*registers, ("large", Register(1, b"12345678", bytes(4 << 20)))), (), b"12345678")
    assert UNCHECKED_BYTES < len(encode(snapshot)) < MAX_FRAME_BYTES
    assert _received(encode(snapshot)) == snapshot


def test_bytes_that_are_no_message_are_still_an_error_of_the_codec() -> None:
    random = Random(1)
    for _ in range(20):
        data = random.randbytes(2 * UNCHECKED_BYTES)
        with pytest.raises(CodecError):
            _received(data)
    assert MAX_ITEMS > 100_000
