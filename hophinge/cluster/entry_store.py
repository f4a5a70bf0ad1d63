"""The entries that members publish: this member's own and the replicas of all others', with limits and tombstones.

The entries of one owner under one topic form a stream in which every change has a sequence number. A replica has
applied the stream up to its `high_sequence`: all entries at or below it that still exist are stored. So the changes
above that number are all it takes to bring the replica up to date.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from msgspec import Struct

from hophinge.cluster.datagram import MAX_PAYLOAD_BYTES
from hophinge.cluster.errors import EntryRefusedError
from hophinge.cluster.interface import MAX_NAME_CHARS, MAX_VALUE_BYTES, Entry, EntryVersion, Topic
from hophinge.cluster.messages import MAX_NAME_BYTES, TOPICS, StreamItem, fingerprint
from hophinge.cluster.tuning import Limits

ITEM_OVERHEAD_BYTES = 16  # upper bound for an item's frame
DELTA_OVERHEAD_BYTES = 48  # upper bound for a delta's frame, without its owner's name
TOPIC_FRACTION = 0.5  # of a member's entries and bytes that a topic after the first may use
UNKNOWN_FINGERPRINT = 2**32 - 1  # never compared
MAX_TOMBSTONE_RATIO = 2  # tombstones are discarded beyond this multiple of the limit on entries


class EntryStream(Struct):
    """The entries of one owner under one topic, of one generation."""

    generation: int
    high_sequence: int = 0
    tombstone_floor: int = 0  # the highest sequence whose tombstone was discarded
    repaired_sequence: int = 0  # progress of a replica below its owner's floor that is rebuilt from the beginning
    fingerprint: int = 0  # over all entries at or below `high_sequence`
    size_bytes: int = 0  # of keys and values
    live_count: int = 0
    items: dict[str, StreamItem] = {}
    deleted_at_us: dict[str, int] = {}  # when a tombstone was stored
    is_truncated: bool = False  # the owner exceeds the limits of this member: no fingerprint can be right


class StreamDigests(NamedTuple):
    """What is stored of one owner, by topic; a topic without entries has zeros."""

    high_sequences: list[int]
    fingerprints: list[int]


def _item_fingerprint(item: StreamItem) -> int:
    return 0 if item.value is None else fingerprint(b"%d %s " % (item.sequence, item.key.encode()) + item.value)


def encoded_size(item: StreamItem) -> int:
    """Return an upper bound for the bytes that an item takes in a datagram."""
    return ITEM_OVERHEAD_BYTES + len(item.key.encode()) + len(item.value or b"")


def _content_size(item: StreamItem) -> int:
    return len(item.key.encode()) + len(item.value or b"")


class EntryStore:
    """The streams of all owners.

    Args:
        own_name: The name of this member.
        generation: The generation of this member's process.
        limits: The limits on the entries of each owner.
        count: Increments a counter by name.
        on_entry_changed: Called for each entry that was published or deleted (True).
        on_owner_changed: Called with an owner's name when its digests have changed.

    """

    def __init__(
        self,
        own_name: str,
        generation: int,
        limits: Limits,
        count: Callable[[str], None],
        on_entry_changed: Callable[[Entry, bool], None],
        on_owner_changed: Callable[[str], None],
    ) -> None:
        self.own_name = own_name
        self.generation = generation
        self.limits = limits
        self.count = count
        self.on_entry_changed = on_entry_changed
        self.on_owner_changed = on_owner_changed
        self.streams: dict[str, dict[int, EntryStream]] = {}  # by owner and the topic's index
        self.now_us = 0

    def stream(self, owner: str, topic: int) -> EntryStream | None:
        """Return the stream of an owner under a topic, if there is one."""
        return self.streams.get(owner, {}).get(topic)

    def digests(self, owner: str) -> StreamDigests:
        """Return the high sequence and the fingerprint of each topic of an owner."""
        streams = self.streams.get(owner)
        if not streams:
            return StreamDigests([], [])
        by_topic = [streams.get(topic) for topic in range(max(streams) + 1)]
        return StreamDigests(
            [stream.high_sequence if stream else 0 for stream in by_topic],
            [
                (UNKNOWN_FINGERPRINT if stream.is_truncated else stream.fingerprint) if stream else 0
                for stream in by_topic
            ],
        )

    def entries(self, topic: int, owners: Iterator[str]) -> Iterator[Entry]:
        """Return the entries of owners under a topic."""
        for owner in owners:
            stream = self.stream(owner, topic)
            if stream is not None:
                for item in list(stream.items.values()):  # a copy: the caller may pause while the stream changes
                    if item.value is not None:
                        yield _entry(owner, stream, item.key, item.sequence, item.value, topic)

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Publish an entry of this member; an unchanged value is not published again.

        Raises:
            EntryRefusedError: The entry exceeds a limit; nothing was changed.

        """
        index = TOPICS.index(topic)
        item = StreamItem(0, key, value)
        self._check_size(topic, item)
        stream = self.stream(self.own_name, index)
        current = stream.items.get(key) if stream is not None else None
        if current is not None and current.value == value:
            return
        if not self.is_within_limits(self.own_name, index, item, current):
            raise EntryRefusedError(
                f"{topic.value}: no room for {key!r}: a member may have {self.limits.entries} "
                f"entries of {self.limits.entry_bytes} bytes, half of them under this topic"
            )
        self._publish(index, key, value)

    @staticmethod
    def _check_size(topic: Topic, item: StreamItem) -> None:
        size = len(item.value or b"")
        if not 0 < len(item.key) <= MAX_NAME_CHARS or size > MAX_VALUE_BYTES:
            raise EntryRefusedError(
                f"{topic.value}: a key of {len(item.key)} characters, a value of {size} bytes; "
                f"a key has 1 to {MAX_NAME_CHARS}, a value at most {MAX_VALUE_BYTES}"
            )
        if encoded_size(item) + DELTA_OVERHEAD_BYTES + MAX_NAME_BYTES > MAX_PAYLOAD_BYTES:
            raise EntryRefusedError(f"{topic.value}: key and value of {item.key!r} do not fit into one datagram")

    def delete(self, topic: Topic, key: str) -> None:
        """Delete an entry of this member; a missing one is not an error."""
        index = TOPICS.index(topic)
        stream = self.stream(self.own_name, index)
        if stream is not None and key in stream.items and stream.items[key].value is not None:
            self._publish(index, key, None)

    def republish(self, generation: int) -> None:
        """Publish all own entries anew under a generation, with sequences above those that others may have."""
        self.generation = generation
        for topic, stream in list(self.streams.get(self.own_name, {}).items()):
            high_sequence = stream.high_sequence + 1  # above what others may have, so that they pull all of it
            items = sorted(stream.items.values(), key=lambda item: item.sequence)
            new_stream = EntryStream(generation, high_sequence, high_sequence, items={}, deleted_at_us={})
            self.streams[self.own_name][topic] = new_stream
            for item in items:
                if item.value is not None:
                    new_stream.high_sequence += 1
                    self.store(
                        self.own_name, new_stream, StreamItem(new_stream.high_sequence, item.key, item.value), topic
                    )
        self.on_owner_changed(self.own_name)

    def supersede(self, topic: int, high_sequence: int) -> None:
        """Publish own entries anew above a sequence that others claim to have and this member never published."""
        stream = self._own_stream(topic)
        stream.high_sequence = max(stream.high_sequence, high_sequence)
        self.republish(self.generation)

    def forget(self, owner: str) -> None:
        """Remove all entries of an owner."""
        for topic, stream in self.streams.pop(owner, {}).items():
            self._notify_deleted(owner, topic, stream)

    def expire_tombstones(self, before_us: int) -> None:
        """Discard the tombstones that were stored before a time."""
        for stream in (stream for streams in self.streams.values() for stream in streams.values()):
            for key in [key for key, deleted_us in stream.deleted_at_us.items() if deleted_us < before_us]:
                _discard_tombstone(stream, key)

    def is_within_limits(self, owner: str, topic: int, item: StreamItem, current: StreamItem | None) -> bool:
        """Whether an owner may have an item in place of the current one of its key."""
        if item.value is None:
            return True
        fraction = TOPIC_FRACTION if topic else 1.0
        added_bytes = _content_size(item)
        added_count = 1
        if current is not None and current.value is not None:
            added_bytes -= _content_size(current)
            added_count = 0
        streams = self.streams.get(owner, {})
        stream = streams.get(topic)
        topic_count = stream.live_count if stream is not None else 0
        topic_bytes = stream.size_bytes if stream is not None else 0
        return (
            topic_count + added_count <= self.limits.entries * fraction
            and topic_bytes + added_bytes <= self.limits.entry_bytes * fraction
            and sum(one.live_count for one in streams.values()) + added_count <= self.limits.entries
            and sum(one.size_bytes for one in streams.values()) + added_bytes <= self.limits.entry_bytes
        )

    def _own_stream(self, topic: int) -> EntryStream:
        return self.streams.setdefault(self.own_name, {}).setdefault(
            topic, EntryStream(self.generation, items={}, deleted_at_us={})
        )

    def _publish(self, topic: int, key: str, value: bytes | None) -> None:
        stream = self._own_stream(topic)
        stream.high_sequence += 1
        self.store(self.own_name, stream, StreamItem(stream.high_sequence, key, value), topic)
        self.on_owner_changed(self.own_name)

    def store(self, owner: str, stream: EntryStream, item: StreamItem, topic: int) -> None:
        """Store an item or a tombstone in place of what its key had."""
        previous = stream.items.pop(item.key, None)
        if previous is not None and previous.value is not None:
            _subtract(stream, previous)
        stream.items[item.key] = item
        if item.value is not None:
            stream.deleted_at_us.pop(item.key, None)
            stream.fingerprint ^= _item_fingerprint(item)
            stream.size_bytes += _content_size(item)
            stream.live_count += 1
            self.on_entry_changed(_entry(owner, stream, item.key, item.sequence, item.value, topic), False)
            return
        stream.deleted_at_us[item.key] = self.now_us
        if previous is not None and previous.value is not None:
            self.on_entry_changed(_entry(owner, stream, item.key, item.sequence, previous.value, topic), True)
        if len(stream.deleted_at_us) > MAX_TOMBSTONE_RATIO * self.limits.entries:
            _discard_tombstone(stream, next(iter(stream.deleted_at_us)))

    def remove(self, owner: str, stream: EntryStream, key: str, topic: int) -> None:
        """Remove an item without a tombstone: it is missing from its owner's stream."""
        item = stream.items.pop(key)
        stream.deleted_at_us.pop(key, None)
        if item.value is not None:
            _subtract(stream, item)
            self.on_entry_changed(_entry(owner, stream, key, item.sequence, item.value, topic), True)

    def _notify_deleted(self, owner: str, topic: int, stream: EntryStream) -> None:
        for item in stream.items.values():
            if item.value is not None:
                self.on_entry_changed(_entry(owner, stream, item.key, item.sequence, item.value, topic), True)


def _entry(owner: str, stream: EntryStream, key: str, sequence: int, value: bytes, topic: int) -> Entry:
    return Entry(owner, TOPICS[topic], key, EntryVersion(stream.generation, sequence), value)


def _subtract(stream: EntryStream, item: StreamItem) -> None:
    """Take an item that had a value off the stream's fingerprint and totals."""
    stream.fingerprint ^= _item_fingerprint(item)
    stream.size_bytes -= _content_size(item)
    stream.live_count -= 1


def _discard_tombstone(stream: EntryStream, key: str) -> None:
    del stream.deleted_at_us[key]
    stream.tombstone_floor = max(stream.tombstone_floor, stream.items.pop(key).sequence)
