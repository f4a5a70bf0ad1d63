"""The state that the components of a member share: time, timers, tables and counters, and sending of datagrams."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence

from hophinge.cluster.actions import Action, EntryChanged, MemberChanged, SendDatagram
from hophinge.cluster.datagram import FRAME_BYTES, MAX_DATAGRAM_BYTES, seal_datagram
from hophinge.cluster.entry_store import EntryStore
from hophinge.cluster.gossip import GossipQueue
from hophinge.cluster.interface import Entry
from hophinge.cluster.member_table import MemberTable
from hophinge.cluster.messages import SUSPECT, TOPICS, MemberRecord, Message, encode_message
from hophinge.cluster.send_budget import FIRST_TOPIC_RANK, HEADER_BYTES, MEMBER_RANK, PROBE_RANK, SendBudget
from hophinge.cluster.timers import TimerQueue
from hophinge.cluster.tuning import Limits, Tuning

RANK_NAMES = ("probes", "members", *(topic.value for topic in TOPICS))
PIGGYBACK_BYTES = 500  # of a probe's datagram: further updates are left to the gossip rounds
MESSAGE_LIST_BYTES = 3  # the header of the list of messages


class Core:
    """The shared state of one member. Times are in microseconds of the driver's monotonic clock.

    Attributes:
        health: The local health score of Lifeguard: 0 is healthy, a higher one slows failure detection down.
        own_generations: All generations of this process; it counts above what others remember of its name.
        reference_generation: The highest plausible generation so far; others are compared with it.
        is_silent: The member has left or stepped down and sends nothing any more.

    """

    def __init__(
        self,
        own_record: MemberRecord,
        limits: Limits,
        tuning: Tuning,
        rng: random.Random,
        now_us: int,
        keys: Sequence[bytes],
    ) -> None:
        self.limits = limits
        self.tuning = tuning
        self.rng = rng
        self.keys = list(keys)
        self.now_us = now_us
        self.started_us = now_us
        self.generation = own_record.generation
        self.reference_generation = own_record.generation
        self.own_generations = {own_record.generation}
        self.sent_datagrams = 0
        self.timers = TimerQueue()
        self.actions: list[Action] = []
        self.counters: Counter[str] = Counter()
        self.budget = SendBudget(limits.bytes_s, now_us)
        self.store = EntryStore(
            own_record.name, own_record.generation, limits, self.count, self._entry_changed, self._owner_changed
        )
        self.members = MemberTable(own_record, limits.members, now_us, self._encoded_digests, self.count)
        self.gossip = GossipQueue(self.store)
        self.health = 0
        self.last_received_us = now_us  # from any other member
        self.last_stall_us = now_us  # when this process last found itself late: earlier timeouts prove nothing
        self.stalled_us = 0  # for how long it has stalled in all
        self.is_silent = False

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counters[name] += 1

    def adjust_health(self, delta: int) -> None:
        """Add to the local health score, within its bounds."""
        self.health = min(self.tuning.max_health_score, max(0, self.health + delta))

    def scale_by_health(self, time_us: float) -> int:
        """Return a timeout extended by the health score; an isolated member has waited long enough already."""
        return int(time_us if self.is_isolated else time_us * (1 + self.health))

    @property
    def is_isolated(self) -> bool:
        """Whether nothing was received for longer than ill health explains: cut off, or the only survivor."""
        silent_us = self.now_us - max(self.last_received_us, self.last_stall_us)
        return silent_us >= self.tuning.isolation_timeout_us and len(self.members.live) > 1

    def jitter(self, time_us: int) -> int:
        """Return a random time within 20 % of the given one."""
        return int(time_us * self.rng.uniform(0.8, 1.2))

    def call_later(self, time_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after a time."""
        self.timers.schedule(self.now_us + time_us, callback)

    def update_member(self, record: MemberRecord) -> bool:
        """Store a newer record, notify subscribers if it differs, and gossip it; returns False beyond the limit."""
        previous = self.members.record(record.name)
        is_quiet = self.is_isolated and record.name != self.members.own_name
        if previous is not None and previous.generation != record.generation and record.name != self.members.own_name:
            self.store.forget(record.name)
        if not self.members.update(record, self.now_us):
            return False
        if (previous is None or previous != record) and not is_quiet:
            # An isolated member may still be received by others, so it keeps its verdicts to itself.
            self.gossip.add_member(record)
        if previous is None or previous.to_member() != record.to_member():
            self.actions.append(MemberChanged(record.to_member()))
        return True

    def forget_others(self) -> None:
        """Drop all records and entries of other members, and what is remembered of forgotten ones."""
        for name in [name for name in self.members.tracked if name != self.members.own_name]:
            self.members.forget(name, self.now_us)
            self.store.forget(name)
            self.gossip.forget(name)
        self.members.forgotten.clear()

    def send(self, address: str, messages: Sequence[Message], rank: int = PROBE_RANK, piggyback: bool = True) -> bool:
        """Send a datagram, unless the send budget of its rank is used up.

        Args:
            address: The receiver as host:port.
            messages: What is sent; may be empty if updates are to be sent alone.
            rank: The rank that the datagram is charged to.
            piggyback: Whether gossiped updates fill the rest of the datagram.

        Returns:
            Whether a datagram was sent.

        """
        if self.is_silent:
            return False
        self.budget.refill(self.now_us)
        encoded = [encode_message(message) for message in messages]
        used = FRAME_BYTES + len(self.members.own_name.encode()) + MESSAGE_LIST_BYTES + sum(map(len, encoded))
        if used > self.budget.available_bytes(rank) or used > MAX_DATAGRAM_BYTES:
            self.count(f"unsent_{RANK_NAMES[rank]}")
            return False
        if piggyback:
            encoded += self._take_updates(used, PIGGYBACK_BYTES if messages else MAX_DATAGRAM_BYTES, rank)
        if not encoded:
            return False
        self.sent_datagrams += 1
        datagram = seal_datagram(self.keys[0], self.members.own_name, self.generation, self.sent_datagrams, encoded)
        self.budget.consume(len(datagram))
        self.counters["bytes_sent"] += len(datagram) + HEADER_BYTES
        self.counters["datagrams_sent"] += 1
        self.actions.append(SendDatagram(address, datagram))
        return True

    def _take_updates(self, used: int, max_bytes: int, rank: int) -> list[bytes]:
        """Take the updates that fit into a datagram beside the `used` bytes, of all ranks from the given one on."""
        updates: list[bytes] = []
        capacity = max_bytes - used
        live_count = len(self.members.live)
        for update_rank in range(max(rank, MEMBER_RANK), len(RANK_NAMES)):
            capacity = min(capacity, self.budget.available_gossip_bytes(update_rank) - used)
            if update_rank == MEMBER_RANK:
                taken = self.gossip.take_members(capacity, self.tuning.max_sends(live_count))
            else:
                topic = update_rank - FIRST_TOPIC_RANK
                taken = self.gossip.take_topic(topic, capacity, live_count.bit_length() + 1)
            updates += taken
            taken_bytes = sum(map(len, taken))
            capacity -= taken_bytes
            used += taken_bytes
        return updates

    @property
    def has_headroom(self) -> bool:
        """Whether the send budget has bytes left for the least important rank."""
        self.budget.refill(self.now_us)
        return self.budget.available_bytes(len(RANK_NAMES) - 1) > 0

    def suspicion_us(self, confirmations: int) -> int:
        """Return the suspicion timeout for the present number of live members."""
        return self.tuning.suspicion_us(len(self.members.live), confirmations)

    def set_state(self, name: str, state: int, accuser: str) -> None:
        """Store the record of a member in another state, with the same incarnation."""
        self.update_member(self.members.tracked[name].record.with_state(state, accuser))

    def is_suspected(self, name: str) -> bool:
        """Whether a member is suspected."""
        record = self.members.record(name)
        return record is not None and record.state == SUSPECT

    def _entry_changed(self, entry: Entry, is_deleted: bool) -> None:
        if self.is_silent:
            return  # the driver does not collect actions any more
        self.actions.append(EntryChanged(entry, is_deleted))
        if entry.owner in self.store.streams:
            self.gossip.add_stream(entry.owner, TOPICS.index(entry.topic), entry.version.sequence - 1)

    def _encoded_digests(self, owner: str) -> bytes:
        # Members compare fingerprints of these bytes, so they must never change: the text of a pair of lists.
        digests = self.store.digests(owner)
        return repr((digests.high_sequences, digests.fingerprints)).encode()

    def _owner_changed(self, owner: str) -> None:
        self.members.refresh_fingerprint(owner)
