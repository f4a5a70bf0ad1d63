"""Weights as entries of the board: few, small, whole in a datagram each, and checked when they come from others.

A brick's entry is found by a hash of its name, so that a change of one brick sends one entry anew. Neutral bricks take
no room. Entry 0 is always there and bears a beat: a peer that still speaks and names no brick says that all are well.
"""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

import msgspec

from hophinge.cluster.interface import MAX_NAME_CHARS, MAX_VALUE_BYTES

FORMAT = 1
STEPS = 50  # that a weight is told in: finer ones would send entries anew for nothing
CHUNKS = 8  # entries of one scorer; about 40 bricks with names of 20 characters each
MAP_BYTES = 2  # that MessagePack's head of a map has beyond the one of an empty map
MAX_SCORER = 64  # characters of a scorer's name: with its chunk it is an entry's key


class Table(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One entry: weights in steps by brick; the beat changes to show that its owner still speaks."""

    form: int
    version: str
    beat: int
    steps: dict[str, int]


class UnusableError(Exception):
    """A peer's entry that is none."""


DECODER = msgspec.msgpack.Decoder(Table)
ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def key(scorer: str, chunk: int) -> str:
    """Tell an entry's key."""
    return f"{scorer}/{chunk}"


def place(text: str) -> tuple[str, int]:
    """Tell an entry's scorer and chunk from its key."""
    scorer, _, chunk = text.rpartition("/")
    if not scorer or len(scorer) > MAX_SCORER or chunk not in {str(number) for number in range(CHUNKS)}:
        raise UnusableError(text)
    return scorer, int(chunk)


def chunk_of(node: str) -> int:
    """Tell which entry a brick is in."""
    return crc32(node.encode()) % CHUNKS


def encode(version: str, beat: int, weights: Mapping[str, float]) -> tuple[dict[int, bytes], int]:
    """Make entries by chunk, the worst bricks first while there is room; tells besides how many were left out."""
    parts: dict[int, dict[str, int]] = {0: {}}
    room = dict.fromkeys(
        range(CHUNKS), MAX_VALUE_BYTES - len(ENCODER.encode(Table(FORMAT, version, beat, {}))) - MAP_BYTES
    )
    left_out = 0
    for node, weight in sorted(weights.items(), key=lambda item: (-item[1], item[0])):
        if (steps := round(weight * STEPS)) and len(node) <= MAX_NAME_CHARS:
            chunk = chunk_of(node)
            room[chunk] -= len(ENCODER.encode(node)) + 1  # steps take one byte
            if room[chunk] >= 0:
                parts.setdefault(chunk, {})[node] = steps
            else:
                left_out += 1
    # The beat is entry 0's alone: the others need no sending when it changes.
    return {
        chunk: ENCODER.encode(Table(FORMAT, version, 0 if chunk else beat, part)) for chunk, part in parts.items()
    }, left_out


def decode(chunk: int, value: bytes) -> tuple[str, dict[str, float]]:
    """Read a peer's entry: its version and weights from 0 to 1; raises UnusableError, whatever it holds."""
    if len(value) > MAX_VALUE_BYTES:
        raise UnusableError("too long")
    try:
        table = DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnusableError(str(error)) from error
    if table.form != FORMAT:
        raise UnusableError("another format")
    for node, steps in table.steps.items():
        # A brick in another entry than its own could be told twice, with two weights.
        if not 0 < steps <= STEPS or not 0 < len(node) <= MAX_NAME_CHARS or chunk_of(node) != chunk:
            raise UnusableError("a weight out of range or out of place")
    return table.version, {node: steps / STEPS for node, steps in table.steps.items()}
