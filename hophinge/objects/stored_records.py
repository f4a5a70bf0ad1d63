"""What the object API stores on backends: chunks, parts, states of uploads and manifests, and where each is found.

Chunks are new objects: the decision module places them, and a record names the shard that took each. Records are found
without any list: their ids and their shard follow from the volume and the object's name, so every head finds them.
Records are MessagePack arrays: a field may be renamed, never moved.
"""

from __future__ import annotations

from hashlib import blake2b

import msgspec


class ChunkRef(msgspec.Struct, array_like=True, frozen=True):
    """Where one chunk is stored; its id follows from its run's token and its index in the run."""

    shard: int
    size: int
    crc: int


class ChunkRun(msgspec.Struct, array_like=True, frozen=True):
    """The chunks that one PUT or one part wrote."""

    token: bytes
    chunks: list[ChunkRef]


class Manifest(msgspec.Struct, array_like=True, frozen=True):
    """An object: the one record whose replacement makes a new version visible. Without an ETag: deleted."""

    etag: str = ""
    size: int = 0
    modified: int = 0  # Unix time, whole seconds
    content_type: str = ""
    upload: str = ""  # the multipart upload that made it
    runs: list[ChunkRun] = []


class Part(msgspec.Struct, array_like=True, frozen=True):
    """A part of an upload, in a record of its own, so that heads that write parts at once overwrite nothing."""

    etag: str
    size: int
    modified: int
    run: ChunkRun


class Upload(msgspec.Struct, array_like=True, frozen=True):
    """The state of an upload: open, aborted, or completed with an ETag."""

    state: str
    content_type: str
    etag: str = ""


def short_hash(*parts: bytes) -> str:
    """Return the 16 hex digits of an id on a backend."""
    return blake2b(b"\0".join(parts), digest_size=8).hexdigest()


def chunk_id(token: bytes, index: int) -> str:
    """Return the id of a chunk."""
    return short_hash(b"piece", token, index.to_bytes(4, "big"))


def manifest_id(name: str) -> str:
    """Return the id of an object's manifest within its volume."""
    return short_hash(b"manifest", name.encode())


def upload_id(name: str, upload: str) -> str:
    """Return the id of an upload's state within its volume."""
    return short_hash(b"upload", name.encode(), upload.encode())


def part_id(name: str, upload: str, number: int) -> str:
    """Return the id of a part's record within its volume."""
    return short_hash(b"part", name.encode(), upload.encode(), number.to_bytes(4, "big"))


def shard_of(volume: str, name: str, shards: int) -> int:
    """Return the shard of all records of an object."""
    return int.from_bytes(blake2b(f"{volume}\0{name}".encode(), digest_size=8).digest(), "big") % shards
