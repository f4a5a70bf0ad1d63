"""The entries: each member's own, by topic, with all others' copies; what is bounded, superseded and taken back.

One owner's entries under a topic are a stream: every change has a count of its own. A holder knows the stream up to
`high`: of what lies at or below it, everything that still stands is held. So a copy is made whole by what lies above.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec import Struct

from hophinge.cluster.errors import EntryRefusedError
from hophinge.cluster.interface import MAX_NAME, MAX_VALUE, Entry, Topic
from hophinge.cluster.messages import NAME_BYTES, TOPICS, Item, mark
from hophinge.cluster.tuning import Limits
from hophinge.cluster.wire import ROOM

ITEM_BYTES = 16  # what an item's frame takes at most
DELTA_BYTES = 48  # what a delta's frame takes at most, without its owner's name
TOPIC_PART = 0.5  # of a member's entries and bytes that a topic after the first may use
PARTIAL = 2**32 - 1  # a mark that is compared with none
TOMBSTONES = 2  # times the most entries are kept at most, those taken back among them


class Stream(Struct):
    """One owner's entries under one topic, of one start."""

    start: int
    high: int = 0
    floor: int = 0  # the highest count whose tombstone was let go
    chain: int = 0  # up to where a copy below its owner's floor is being made whole
    mark: int = 0  # over all that stands at or below `high`
    size: int = 0  # bytes of keys and values
    live: int = 0
    items: dict[str, Item] = {}
    since: dict[str, int] = {}  # when a tombstone came
    partial: bool = False  # its owner has more than the bounds here allow: no mark can be right


def _mark(item: Item) -> int:
    return 0 if item.value is None else mark(b"%d %s " % (item.count, item.key.encode()) + item.value)


def size(item: Item) -> int:
    """Tell what an item takes in a datagram, or a little less."""
    return ITEM_BYTES + len(item.key.encode()) + len(item.value or b"")


class Shelf:
    """All streams. `told` hears of each change that others may see; `changed` that an owner's marks are others now."""

    def __init__(
        self,
        me: str,
        start: int,
        limits: Limits,
        count: Callable[[str], None],
        told: Callable[[Entry, bool], None],
        changed: Callable[[str], None],
    ) -> None:
        self.me, self.start, self.limits, self.count, self.told, self.changed = me, start, limits, count, told, changed
        self.streams: dict[str, dict[int, Stream]] = {}  # by owner and topic's number
        self.now_us = 0

    def stream(self, owner: str, topic: int) -> Stream | None:
        """Tell a stream that is held."""
        return self.streams.get(owner, {}).get(topic)

    def marks(self, owner: str) -> tuple[list[int], list[int]]:
        """Tell up to which count each topic of an owner is held, and its mark."""
        held = self.streams.get(owner)
        if not held:
            return [], []
        rows = [held.get(topic) for topic in range(max(held) + 1)]
        return [one.high if one else 0 for one in rows], [
            (PARTIAL if one.partial else one.mark) if one else 0 for one in rows
        ]

    def entries(self, topic: int, owners: Iterator[str]) -> Iterator[Entry]:
        """Tell the entries of owners under a topic."""
        for owner in owners:
            held = self.stream(owner, topic)
            if held is not None:
                for item in list(held.items.values()):  # who reads in slices must not meet a change
                    if item.value is not None:
                        yield Entry(owner, TOPICS[topic], item.key, (held.start, item.count), item.value)

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Set an own entry."""
        if not 0 < len(key) <= MAX_NAME or len(value) > MAX_VALUE:
            raise EntryRefusedError(
                f"{topic.value}: a key of {len(key)} characters, a value of {len(value)} bytes; "
                f"a key has 1 to {MAX_NAME}, a value at most {MAX_VALUE}"
            )
        item = Item(0, key, value)
        if size(item) + DELTA_BYTES + NAME_BYTES > ROOM:
            raise EntryRefusedError(f"{topic.value}: key and value of {key!r} do not fit into one datagram")
        held = self.stream(self.me, TOPICS.index(topic))
        before = held.items.get(key) if held is not None else None
        if before is not None and before.value == value:
            return
        if not self.fits(self.me, TOPICS.index(topic), item, before):
            raise EntryRefusedError(
                f"{topic.value}: no room for {key!r}: a member may have {self.limits.entries} "
                f"entries of {self.limits.entry_bytes} bytes, half of them under this topic"
            )
        self._own(TOPICS.index(topic), key, value)

    def drop(self, topic: Topic, key: str) -> None:
        """Take an own entry back."""
        held = self.stream(self.me, TOPICS.index(topic))
        if held is not None and key in held.items and held.items[key].value is not None:
            self._own(TOPICS.index(topic), key, None)

    def restart(self, start: int) -> None:
        """Say all that is one's own anew, under another start of one's own or above what others hold."""
        self.start = start
        for topic, held in list(self.streams.get(self.me, {}).items()):
            high = held.high + 1  # above what others may hold, so that they ask for all of it
            items = sorted(held.items.values(), key=lambda item: item.count)
            fresh = self.streams[self.me][topic] = Stream(start, high, high, items={}, since={})
            for item in items:
                if item.value is not None:
                    fresh.high += 1
                    self.place(self.me, fresh, Item(fresh.high, item.key, item.value), topic)
        self.changed(self.me)

    def overrule(self, topic: int, high: int) -> None:
        """Others hold more of one's own than one has said: count on above them."""
        held = self.streams.setdefault(self.me, {}).setdefault(topic, Stream(self.start, items={}, since={}))
        held.high = max(held.high, high)
        self.restart(self.start)

    def forget(self, owner: str) -> None:
        """Drop all of an owner's entries."""
        for topic, held in self.streams.pop(owner, {}).items():
            self._gone(owner, topic, held)

    def tidy(self, before_us: int) -> None:
        """Let tombstones go that came before a time."""
        for held in (stream for topics in self.streams.values() for stream in topics.values()):
            for key in [key for key, when in held.since.items() if when < before_us]:
                del held.since[key]
                held.floor = max(held.floor, held.items.pop(key).count)

    def fits(self, owner: str, topic: int, item: Item, before: Item | None) -> bool:
        """Tell whether an owner may have an item in the place of what its key has."""
        if item.value is None:
            return True
        part = TOPIC_PART if topic else 1.0
        bytes_ = len(item.key.encode()) + len(item.value)
        count = 1
        if before is not None and before.value is not None:
            bytes_, count = bytes_ - len(before.key.encode()) - len(before.value), 0
        topics = self.streams.get(owner, {})
        held = topics.get(topic)
        in_topic, size_in_topic = (held.live, held.size) if held is not None else (0, 0)
        return (
            in_topic + count <= self.limits.entries * part
            and size_in_topic + bytes_ <= self.limits.entry_bytes * part
            and sum(one.live for one in topics.values()) + count <= self.limits.entries
            and sum(one.size for one in topics.values()) + bytes_ <= self.limits.entry_bytes
        )

    def _own(self, topic: int, key: str, value: bytes | None) -> None:
        held = self.streams.setdefault(self.me, {}).setdefault(topic, Stream(self.start, items={}, since={}))
        item = Item(held.high + 1, key, value)
        held.high += 1
        self.place(self.me, held, item, topic)
        self.changed(self.me)

    def place(self, owner: str, held: Stream, item: Item, topic: int) -> None:
        """Put an item, or a tombstone, in the place of what its key had."""
        before = held.items.pop(item.key, None)
        if before is not None and before.value is not None:
            held.mark ^= _mark(before)
            held.size -= len(before.key.encode()) + len(before.value)
            held.live -= 1
        held.items[item.key] = item
        if item.value is None:
            held.since[item.key] = self.now_us
            if before is not None and before.value is not None:
                self.told(Entry(owner, TOPICS[topic], item.key, (held.start, item.count), before.value), True)
            if len(held.since) > TOMBSTONES * self.limits.entries:
                oldest = next(iter(held.since))
                del held.since[oldest]
                held.floor = max(held.floor, held.items.pop(oldest).count)
        else:
            held.since.pop(item.key, None)
            held.mark ^= _mark(item)
            held.size += len(item.key.encode()) + len(item.value)
            held.live += 1
            self.told(Entry(owner, TOPICS[topic], item.key, (held.start, item.count), item.value), False)

    def strike(self, owner: str, held: Stream, key: str, topic: int) -> None:
        """Take an item out without a trace: its owner's stream no longer has it."""
        item = held.items.pop(key)
        held.since.pop(key, None)
        if item.value is not None:
            held.mark ^= _mark(item)
            held.size -= len(key.encode()) + len(item.value)
            held.live -= 1
            self.told(Entry(owner, TOPICS[topic], key, (held.start, item.count), item.value), True)

    def _gone(self, owner: str, topic: int, held: Stream) -> None:
        for item in held.items.values():
            if item.value is not None:
                self.told(Entry(owner, TOPICS[topic], item.key, (held.start, item.count), item.value), True)
