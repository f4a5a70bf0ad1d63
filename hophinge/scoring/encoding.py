"""Encodes weights as replicated entries: few, small, each within one datagram, and validated when received.

A backend's entry is chosen by a hash of its name, so that a change of one backend resends only one entry. Neutral
backends take no space. Entry 0 always exists and has a heartbeat: a live peer without weights reports all as healthy.
"""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

import msgspec

from hophinge.cluster.interface import MAX_NAME_CHARS, MAX_VALUE_BYTES

FORMAT_VERSION = 1
WEIGHT_STEPS = 50  # resolution of a weight; a finer one would resend entries for insignificant changes
CHUNKS = 8  # entries of one scorer; each has space for about 40 backends with names of 20 characters
MAP_OVERHEAD_BYTES = 2  # of the header of a map in MessagePack beyond that of an empty map
MAX_SCORER_CHARS = 64  # of a scorer's name: with the chunk it is an entry's key


class WeightTable(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One entry: weights in steps by backend; the heartbeat changes to show that its owner is alive."""

    format_version: int
    version: str
    heartbeat: int
    steps: dict[str, int]


class InvalidEntryError(Exception):
    """The entry of a peer is invalid."""


DECODER = msgspec.msgpack.Decoder(WeightTable)
ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def entry_key(scorer: str, chunk: int) -> str:
    """Return the key of an entry."""
    return f"{scorer}/{chunk}"


def parse_key(key: str) -> tuple[str, int]:
    """Return the scorer and chunk of an entry's key; raises InvalidEntryError."""
    scorer, _, chunk = key.rpartition("/")
    if not scorer or len(scorer) > MAX_SCORER_CHARS or chunk not in {str(number) for number in range(CHUNKS)}:
        raise InvalidEntryError(key)
    return scorer, int(chunk)


def chunk_of(node: str) -> int:
    """Return the chunk of a backend."""
    return crc32(node.encode()) % CHUNKS


def encode(version: str, heartbeat: int, weights: Mapping[str, float]) -> tuple[dict[int, bytes], int]:
    """Encode entries by chunk, the worst backends first while there is space; also returns how many were omitted."""
    steps_by_chunk: dict[int, dict[str, int]] = {0: {}}
    capacity = dict.fromkeys(
        range(CHUNKS),
        MAX_VALUE_BYTES - len(ENCODER.encode(WeightTable(FORMAT_VERSION, version, heartbeat, {}))) - MAP_OVERHEAD_BYTES,
    )
    omitted = 0
    for node, weight in sorted(weights.items(), key=lambda item: (-item[1], item[0])):
        if (steps := round(weight * WEIGHT_STEPS)) and len(node) <= MAX_NAME_CHARS:
            chunk = chunk_of(node)
            capacity[chunk] -= len(ENCODER.encode(node)) + 1  # steps take one byte
            if capacity[chunk] >= 0:
                steps_by_chunk.setdefault(chunk, {})[node] = steps
            else:
                omitted += 1
    # Only entry 0 has the heartbeat: the others need not be sent when it changes.
    return {
        chunk: ENCODER.encode(WeightTable(FORMAT_VERSION, version, 0 if chunk else heartbeat, part))
        for chunk, part in steps_by_chunk.items()
    }, omitted


def decode(chunk: int, value: bytes) -> tuple[str, dict[str, float]]:
    """Decode a peer's entry into its version and weights from 0 to 1.

    Raises:
        InvalidEntryError: The entry is not valid; no content of an entry raises any other error.

    """
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidEntryError("the entry is too long")
    try:
        table = DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidEntryError(str(error)) from error
    if table.format_version != FORMAT_VERSION:
        raise InvalidEntryError("the entry has another format version")
    for node, steps in table.steps.items():
        # A backend outside of its own chunk could be listed twice, with two weights.
        if not 0 < steps <= WEIGHT_STEPS or not 0 < len(node) <= MAX_NAME_CHARS or chunk_of(node) != chunk:
            raise InvalidEntryError("a weight is out of range or in the wrong chunk")
    return table.version, {node: steps / WEIGHT_STEPS for node, steps in table.steps.items()}
