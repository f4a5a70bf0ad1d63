"""Replication of entry streams: the deltas that a replica lacks, and how a delta is applied to a replica."""

from __future__ import annotations

from collections.abc import Iterator

from hophinge.cluster.datagram import MAX_PAYLOAD_BYTES
from hophinge.cluster.entry_store import DELTA_OVERHEAD_BYTES, EntryStore, EntryStream, encoded_size
from hophinge.cluster.messages import StreamDelta, StreamItem

MAX_ITEMS = 100  # sent in one delta; a reader accepts 128


def _delta(
    owner: str, topic: int, stream: EntryStream, after_sequence: int, up_to_sequence: int, items: list[StreamItem]
) -> StreamDelta:
    return StreamDelta(owner, topic, stream.generation, after_sequence, up_to_sequence, items, stream.tombstone_floor)


def missing_deltas(
    store: EntryStore, owner: str, topic: int, generation: int, high_sequence: int
) -> Iterator[StreamDelta]:
    """Return what a replica with `high_sequence` of a generation lacks, in order, each delta fit for one datagram."""
    stream = store.stream(owner, topic)
    if stream is None or (stream.generation == generation and stream.high_sequence <= high_sequence):
        return
    after_sequence = high_sequence if stream.generation == generation and high_sequence >= stream.tombstone_floor else 0
    max_bytes = MAX_PAYLOAD_BYTES - DELTA_OVERHEAD_BYTES - len(owner.encode())
    capacity = max_bytes
    items: list[StreamItem] = []
    missing = (item for item in stream.items.values() if item.sequence > after_sequence)
    for item in sorted(missing, key=lambda item: item.sequence):
        if items and (capacity < encoded_size(item) or len(items) >= MAX_ITEMS):
            yield _delta(owner, topic, stream, after_sequence, items[-1].sequence, items)
            after_sequence = items[-1].sequence
            items = []
            capacity = max_bytes
        items.append(item)
        capacity -= encoded_size(item)
    yield _delta(owner, topic, stream, after_sequence, stream.high_sequence, items)


def gossip_delta(store: EntryStore, owner: str, topic: int, after_sequence: int, capacity: int) -> StreamDelta | None:
    """Return the changes of a stream above a sequence, or None if there are none or they exceed `capacity` bytes.

    A part of them would be of no use to a replica that lacks the rest.
    """
    stream = store.stream(owner, topic)
    if stream is None or stream.high_sequence <= after_sequence:
        return None
    after = max((item.sequence for item in stream.items.values() if item.sequence <= after_sequence), default=0)
    if after:
        after = max(after, stream.tombstone_floor)
    items = [item for item in stream.items.values() if item.sequence > after]
    if len(items) > MAX_ITEMS or DELTA_OVERHEAD_BYTES + len(owner.encode()) + sum(map(encoded_size, items)) > capacity:
        return None
    return _delta(owner, topic, stream, after, stream.high_sequence, sorted(items, key=lambda item: item.sequence))


def _is_applicable(stream: EntryStream, delta: StreamDelta) -> bool:
    """Whether a delta follows on what the replica has."""
    if stream.high_sequence >= delta.tombstone_floor:
        return delta.after_sequence <= stream.high_sequence
    # Tombstones below the floor may be missing: the replica can only be rebuilt from the beginning of the stream.
    return delta.after_sequence in (0, stream.repaired_sequence)


def apply_delta(store: EntryStore, delta: StreamDelta) -> bool:
    """Apply a delta of the owner's current generation; returns False if changes before it are missing."""
    streams = store.streams.setdefault(delta.owner, {})
    stream = streams.get(delta.topic)
    if stream is None or stream.generation != delta.generation:
        stream = streams[delta.topic] = EntryStream(delta.generation, items={}, deleted_at_us={})
    if delta.tombstone_floor <= stream.high_sequence and delta.up_to_sequence <= stream.high_sequence:
        return True
    if not _is_applicable(stream, delta):
        return False
    _remove_unlisted(store, stream, delta)
    for item in delta.items:
        current = stream.items.get(item.key)
        if not delta.after_sequence < item.sequence <= delta.up_to_sequence:
            continue
        if current is not None and current.sequence >= item.sequence:
            continue
        if store.is_within_limits(delta.owner, delta.topic, item, current):
            store.store(delta.owner, stream, item, delta.topic)
        else:
            stream.is_truncated = True
            store.count("entries_over_bound")
    stream.repaired_sequence = delta.up_to_sequence
    stream.high_sequence = max(stream.high_sequence, delta.up_to_sequence)
    stream.tombstone_floor = max(stream.tombstone_floor, min(delta.tombstone_floor, stream.high_sequence))
    store.on_owner_changed(delta.owner)
    return True


def _remove_unlisted(store: EntryStore, stream: EntryStream, delta: StreamDelta) -> None:
    """Remove items within the delta's range that the delta doesn't list: their owner has none such."""
    listed = {item.key for item in delta.items}
    unlisted = [
        key
        for key, item in stream.items.items()
        if delta.after_sequence < item.sequence <= delta.up_to_sequence and key not in listed
    ]
    for key in unlisted:
        store.remove(delta.owner, stream, key, delta.topic)
