"""One member as a state machine: datagrams and time in, actions out; it has no I/O, clock or randomness of its own."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence

from hophinge.cluster.actions import Action, SteppedDown
from hophinge.cluster.anti_entropy import AntiEntropy
from hophinge.cluster.core import Core
from hophinge.cluster.datagram import DatagramOpener
from hophinge.cluster.errors import ClusterUnusableError
from hophinge.cluster.interface import Entry, Member, Role, Topic
from hophinge.cluster.joining import Joiner
from hophinge.cluster.membership import Membership
from hophinge.cluster.messages import (
    MAX_NAME_BYTES,
    REFUTATION_BITS,
    TOPICS,
    Ack,
    BucketDigest,
    IdentityConflict,
    MemberRecord,
    Message,
    Nack,
    Ping,
    PingRequest,
    StreamDelta,
    Summary,
)
from hophinge.cluster.tuning import Limits, Tuning

SENDERS_PER_MEMBER = 3  # replay windows are kept for this multiple of the limit on members
EXPIRY_INTERVAL_US = 10_000_000  # between searches for forgotten members and tombstones that have expired


class MemberStateMachine:
    """A member of the cluster, which implements `MembershipView` and `ReplicatedEntries`.

    The driver calls `handle` for each datagram that is received, and when `next_us` is reached, and performs the
    actions that are returned.

    Args:
        name: The name of this member, unique in the cluster.
        address: Where other members reach it, as host:port.
        generation: Larger with each process under the name: tenths of milliseconds of the wall clock will do. If that
            clock was set back, other members send what they remember, and this one raises its generation above it.
        seeds: Addresses of members to contact first.
        keys: The keys of datagrams, the one to send with first.
        rng: The source of randomness.
        now_us: The current time, by a monotonic clock.
        zone: The zone of this process.
        role: The kind of this process.
        build: The build of this process.
        limits: Limits of memory and bandwidth.
        tuning: Parameters of the protocol.

    Raises:
        ClusterUnusableError: The name is empty or too long.

    """

    def __init__(
        self,
        name: str,
        address: str,
        generation: int,
        seeds: Sequence[str],
        keys: Sequence[bytes],
        rng: random.Random,
        now_us: int,
        *,
        zone: str = "",
        role: Role = Role.HEAD,
        build: str = "",
        limits: Limits | None = None,
        tuning: Tuning | None = None,
    ) -> None:
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise ClusterUnusableError(f"name: {name!r} has {len(name.encode())} bytes, not 1 to {MAX_NAME_BYTES}")
        limits = limits or Limits()
        tuning = tuning or Tuning()
        own_record = MemberRecord(name, address, generation << REFUTATION_BITS, zone=zone, role=role.value, build=build)
        self.core = Core(own_record, limits, tuning, rng, now_us, keys)
        self.opener = DatagramOpener(keys, SENDERS_PER_MEMBER * limits.members, self.core.count)
        self.membership = Membership(self.core)
        self.prober = self.membership.prober
        self.anti_entropy = AntiEntropy(self.core)
        self.joiner = Joiner(self.core, seeds, self.anti_entropy.summary)
        self.core.call_later(self.core.rng.randrange(1, tuning.gossip_interval_us), self._gossip_round)
        self.core.call_later(EXPIRY_INTERVAL_US, self._expire)
        self.prober.start()
        self.anti_entropy.start()
        self.joiner.start()

    @property
    def own_name(self) -> str:
        """The name of this member."""
        return self.core.members.own_name

    @property
    def next_us(self) -> int | None:
        """When `handle` must be called even if no datagram is received; None once the member is silent for good."""
        return None if self.core.is_silent else self.core.timers.next_us

    def members(self) -> tuple[Member, ...]:
        """Return all members that have not been forgotten, sorted by name."""
        return tuple(self.core.members.members())

    def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Publish an entry of this member.

        Raises:
            EntryRefusedError: The entry exceeds a limit; nothing was changed.

        """
        self.core.store.put(topic, key, value)

    def delete(self, topic: Topic, key: str) -> None:
        """Delete an entry of this member; a missing one is not an error."""
        self.core.store.delete(topic, key)

    def entries(self, topic: Topic) -> Iterator[Entry]:
        """Return the entries of live members under a topic."""
        return self.core.store.entries(TOPICS.index(topic), iter(list(self.core.members.live)))

    def replace_keys(self, keys: Sequence[bytes]) -> None:
        """Send with the first key from now on, and accept datagrams with any of them."""
        self.core.keys = self.opener.keys = list(keys)

    def handle(self, now_us: int, source: str = "", data: bytes | None = None) -> list[Action]:
        """Advance the time, handle a datagram if one was received, run expired timers, and return the actions."""
        core = self.core
        self._advance_clock(now_us)
        if not core.is_silent and data is not None:
            self._handle_datagram(source, data)
        while not core.is_silent and (callback := core.timers.pop_expired(core.now_us)) is not None:
            callback()
        return self._take_actions()

    def update_seeds(self, now_us: int, seeds: Sequence[str]) -> list[Action]:
        """Replace the addresses of the seeds; the first ones ever given are contacted at once."""
        is_first = not self.joiner.seeds
        self.joiner.seeds = list(seeds)
        self._set_clock(now_us)
        if is_first:
            self.joiner.contact_seeds()
        return self.handle(now_us)

    def leave(self, now_us: int) -> list[Action]:
        """Notify other members that this one leaves, and send nothing any more."""
        self._set_clock(now_us)
        self.membership.is_leaving = True
        self.joiner.announce_leave()
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        actions = self.core.actions
        self.core.actions = []
        return actions

    def _set_clock(self, now_us: int) -> None:
        self.core.now_us = self.core.store.now_us = max(now_us, self.core.now_us)

    def _advance_clock(self, now_us: int) -> None:
        """Set the time; a process that finds itself late lowers its own health before it suspects others."""
        core = self.core
        next_us = core.timers.next_us
        late_us = now_us - next_us if next_us is not None else 0
        self._set_clock(now_us)
        if late_us > core.tuning.stall_threshold_us:
            core.count("late")
            core.adjust_health(1 + late_us // core.tuning.probe_interval_us)
            core.last_stall_us = now_us
            core.stalled_us += late_us
            if late_us > core.tuning.incarnation_retention_us // 2:
                # Others may even have forgotten who has died since: all records here are worthless.
                core.forget_others()

    def _handle_datagram(self, source: str, data: bytes) -> None:
        datagram = self.opener.open(data)
        if datagram is None:
            return
        core = self.core
        core.counters["bytes_received"] += len(data)
        if datagram.sender == core.members.own_name and datagram.generation in core.own_generations:
            return core.count("dropped_own")
        if core.is_isolated:
            self.membership.end_isolation()
        core.last_received_us = core.now_us
        for message in datagram.messages:
            self._dispatch(source, datagram.sender, message)
            if core.is_silent:
                return

    def _dispatch(self, source: str, sender: str, message: Message) -> None:
        if isinstance(message, MemberRecord):
            self.membership.apply_record(message, sender, source)
        elif isinstance(message, Ping):
            self.membership.apply_record(message.record, sender, source)
            self.prober.handle_ping(source, message)
        elif isinstance(message, Ack):
            self.prober.handle_ack(sender, message)
        elif isinstance(message, PingRequest):
            self.prober.handle_ping_request(source, message)
        elif isinstance(message, Nack):
            self.prober.handle_nack(message)
        elif isinstance(message, StreamDelta):
            self.anti_entropy.handle_delta(source, message)
        elif isinstance(message, Summary):
            self.anti_entropy.handle_summary(source, message)
        elif isinstance(message, BucketDigest):
            self.anti_entropy.handle_digest(source, message)
        elif isinstance(message, IdentityConflict):
            self._handle_conflict(message)

    def _handle_conflict(self, conflict: IdentityConflict) -> None:
        reason = self.membership.resolve_conflict(conflict)
        if reason:
            self.core.forget_others()  # nothing updates them any more
            self.core.is_silent = True
            self.core.actions.append(SteppedDown(reason))

    def _gossip_round(self) -> None:
        core = self.core
        rank = core.gossip.rank
        if rank is not None:
            others = core.members.others()
            for record in core.rng.sample(others, min(core.tuning.gossip_fanout, len(others))):
                core.send(record.address, [], rank)
        core.call_later(core.jitter(core.tuning.gossip_interval_us), self._gossip_round)

    def _expire(self) -> None:
        core = self.core
        core.members.expire_forgotten(core.now_us - core.tuning.incarnation_retention_us)
        core.store.expire_tombstones(core.now_us - core.tuning.tombstone_retention_us)
        core.call_later(EXPIRY_INTERVAL_US, self._expire)
