"""The updates that are gossiped: those sent least often go out first, each a limited number of times."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from msgspec import Struct

from hophinge.cluster.datagram import MAX_PAYLOAD_BYTES
from hophinge.cluster.entry_store import EntryStore
from hophinge.cluster.messages import TOPICS, MemberRecord, encode_message
from hophinge.cluster.replication import gossip_delta
from hophinge.cluster.send_budget import FIRST_TOPIC_RANK, MEMBER_RANK

MAX_UPDATES_PER_DATAGRAM = 16
MERGED_BELOW_SENDS = 4  # a stream's update that was sent less often is merged with the next one
MAX_SENDS = 64  # more than any number of members asks for
MIN_UPDATE_BYTES = 120  # hardly any record or entry is shorter


class GossipUpdate(Struct):
    """An encoded record of a member, or the sequence of a stream above which its changes are sent."""

    send_count: int
    data: bytes = b""
    after_sequence: int = 0


class UpdateQueue:
    """Updates by name, ordered by how often they were sent, then by age."""

    def __init__(self) -> None:
        self.by_name: dict[str, GossipUpdate] = {}
        self.by_send_count: list[dict[str, None]] = []  # names: saves sorting all updates for each datagram

    def __bool__(self) -> bool:
        return bool(self.by_name)

    def add(self, name: str, update: GossipUpdate) -> None:
        """Add an update in place of the one under the same name."""
        self.discard(name)
        self.by_name[name] = update
        self._names_sent(update.send_count)[name] = None

    def discard(self, name: str) -> None:
        """Remove the update of a name, if there is one."""
        update = self.by_name.pop(name, None)
        if update is not None:
            del self.by_send_count[update.send_count][name]

    def next_updates(self) -> list[tuple[str, GossipUpdate]]:
        """Return the names and updates that are first in order, as many as one datagram may carry."""
        names: Iterator[str] = itertools.chain.from_iterable(self.by_send_count)
        return [(name, self.by_name[name]) for name in itertools.islice(names, MAX_UPDATES_PER_DATAGRAM)]

    def record_send(self, name: str, max_sends: int) -> None:
        """Count a send of an update, and remove it after `max_sends`."""
        update = self.by_name[name]
        del self.by_send_count[update.send_count][name]
        update.send_count += 1
        if update.send_count >= max_sends:
            del self.by_name[name]
        else:
            self._names_sent(update.send_count)[name] = None

    def _names_sent(self, send_count: int) -> dict[str, None]:
        while len(self.by_send_count) <= send_count:
            self.by_send_count.append({})
        return self.by_send_count[send_count]


class GossipQueue:
    """Updates of members by name, and of entry streams by topic and owner; a newer one replaces an older one."""

    def __init__(self, store: EntryStore) -> None:
        self.store = store
        self.members = UpdateQueue()
        self.streams = [UpdateQueue() for _ in TOPICS]

    def add_member(self, record: MemberRecord) -> None:
        """Queue the record of a member."""
        self.members.add(record.name, GossipUpdate(0, encode_message(record)))

    def add_stream(self, owner: str, topic: int, after_sequence: int) -> None:
        """Queue the changes of a stream above a sequence, merged with an update that was hardly sent yet."""
        update = self.streams[topic].by_name.get(owner)
        if update is not None and update.send_count < MERGED_BELOW_SENDS:
            after_sequence = min(after_sequence, update.after_sequence)
        self.streams[topic].add(owner, GossipUpdate(0, after_sequence=after_sequence))

    def record_received(self, owner: str, topic: int) -> None:
        """Count an update as sent once more, as another member already has sent it here."""
        if owner in self.streams[topic].by_name:
            self.streams[topic].record_send(owner, MAX_SENDS)

    def forget(self, name: str) -> None:
        """Remove all updates of a member."""
        for queue in (self.members, *self.streams):
            queue.discard(name)

    @property
    def rank(self) -> int | None:
        """The rank of the first update, of members before topics; None if there is no update."""
        if self.members:
            return MEMBER_RANK
        return next((rank for rank, streams in enumerate(self.streams, FIRST_TOPIC_RANK) if streams), None)

    def take_members(self, capacity: int, max_sends: int) -> list[bytes]:
        """Return encoded records within `capacity` bytes; each is sent `max_sends` times in all."""
        messages = []
        for name, update in self.members.next_updates() if capacity > 0 else []:
            if len(update.data) > capacity:
                continue
            capacity -= len(update.data)
            messages.append(update.data)
            self.members.record_send(name, max_sends)
        return messages

    def take_topic(self, topic: int, capacity: int, max_sends: int) -> list[bytes]:
        """Return encoded deltas under a topic within `capacity` bytes; each is sent `max_sends` times in all."""
        streams = self.streams[topic]
        messages = []
        for owner, update in streams.next_updates() if capacity >= MIN_UPDATE_BYTES else []:
            if capacity < MIN_UPDATE_BYTES:
                break
            delta = gossip_delta(self.store, owner, topic, update.after_sequence, capacity)
            data = encode_message(delta) if delta is not None else b""
            if not data or len(data) > capacity:
                if capacity > MAX_PAYLOAD_BYTES - MIN_UPDATE_BYTES:
                    streams.discard(owner)  # too large for any datagram, or gone: left to anti-entropy
                continue
            capacity -= len(data)
            messages.append(data)
            streams.record_send(owner, max_sends)
        return messages
