"""Runs the state machine of a member's shared counters: supplies its clock, disk and messages, and serves callers."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from loguru import logger

from hophinge.coordination.counter_events import (
    AddRequest,
    BeginDrain,
    CounterDiskStatus,
    CounterInput,
    CounterMessageReceived,
    CounterOutcome,
    CounterResponse,
    CounterTick,
    ReadRequest,
    RecordsSynced,
)
from hophinge.coordination.counter_messages import CounterMessage, CounterStateRecord
from hophinge.coordination.counter_replication import CounterConfig, CounterReplica
from hophinge.coordination.counters import Increment
from hophinge.coordination.dissemination import GossipRecord, GossipStore, Push
from hophinge.coordination.peers import SUSPECT_TIMEOUT_S
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.storage.stores import counter_store
from hophinge.coordination.storage.volume import FileVolume
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.group_commit import CommitCallbacks, GroupCommit
from hophinge.fleet.settings import Settings

MEMORY_BYTES_PER_NAME_BYTE = 36  # of the machine, for each byte of an increment's names
COUNTER_TICK_S = 0.05
ANNOUNCE_INTERVAL_S = 0.25  # between announcements that this member stores counters
COUNTERS_PREFIX = "counters/"  # key prefix of the records by which members announce that they store counters
ANNOUNCEMENT_STAMP = (1, 0)  # constant, because the content of an announcement never changes
TOMBSTONE_STAMP = (2, 0)  # of a deleted announcement


@dataclass(frozen=True, slots=True)
class CounterEffects:
    """How a member's counters communicate with other members.

    Attributes:
        send: sends a message to an address.
        publish: disseminates records.
        records: all disseminated records that this member has.

    """

    send: Callable[[str, object], None]
    publish: Callable[[list[GossipRecord]], None]
    records: GossipStore


@dataclass(frozen=True, slots=True)
class CounterStatus:
    """The status of a member's counters, for operators."""

    increments: int
    digest: str
    is_readable: bool
    reachable: list[str]
    pending: int


class CounterHost:
    """The shared counters of one member with a disk."""

    def __init__(self, settings: Settings, replica: ReplicaStateMachine, effects: CounterEffects) -> None:
        assert settings.data_dir is not None
        self.loop = asyncio.get_running_loop()
        self.replica = replica
        self.effects = effects
        self.me = replica.me
        config = CounterConfig(
            self.me, settings.max_machine_losses, settings.memory_bytes // MEMORY_BYTES_PER_NAME_BYTE
        )
        self.machine = CounterReplica(config, self.loop.time())
        store = counter_store(FileVolume(settings.data_dir))
        recovered = store.recover()
        if recovered.is_damaged:
            logger.info("stored counters unreadable, treating the disk as new")
        if recovered.state is not None:
            self.machine.restore(recovered.state, recovered.records)
        callbacks = CommitCallbacks(self.machine.durable_state, self._release, _unchanged)
        self.commit: GroupCommit[CounterStateRecord, Increment, int] = GroupCommit(store, callbacks)
        if recovered.state is None:
            self.commit.write_state()
        self.pending_requests: dict[int, asyncio.Future[CounterResponse]] = {}
        self.request_ids = itertools.count(secrets.randbits(40))
        self.announced_at = float("-inf")
        self.members: tuple[Replica, ...] = ()  # the other members that announced that they store counters

    # --- inputs --------------------------------------------------------------------------------------------------

    def receive(self, source: Replica, message: CounterMessage) -> None:
        """Handle a message from another member."""
        self.handle(CounterMessageReceived(source, message))

    async def add(self, increment: Increment) -> CounterResponse:
        """Store an increment, and wait until it may be acknowledged, is rejected, or its outcome is unknown."""
        return await self._request(lambda request_id: AddRequest(request_id, increment))

    async def read(self, counter: str) -> CounterResponse:
        """Read a counter's total."""
        return await self._request(lambda request_id: ReadRequest(request_id, counter))

    async def _request(self, event_of: Callable[[int], AddRequest | ReadRequest]) -> CounterResponse:
        request_id = next(self.request_ids)
        future: asyncio.Future[CounterResponse] = self.loop.create_future()
        self.pending_requests[request_id] = future
        try:
            self.handle(event_of(request_id))
            return await future
        finally:
            del self.pending_requests[request_id]

    def handle(self, event: CounterInput) -> None:
        """Pass an input to the state machine and carry out its outputs."""
        outputs = self.machine.handle(self.loop.time(), event)
        for line in outputs.log_lines:
            logger.info("{}", line)
        for address, message in outputs.messages:
            self.effects.send(address, message)
        for response in outputs.responses:
            self._complete(response)
        if outputs.records:
            self.commit.add(outputs.records, self.machine.record_count)

    def _complete(self, response: CounterResponse) -> None:
        future = self.pending_requests.get(response.request_id)
        if future is not None and not future.done():
            future.set_result(response)

    def _release(self, record_numbers: list[int]) -> None:
        """Report to the state machine that records are synced."""
        if record_numbers:
            self.handle(RecordsSynced(record_numbers[-1]))

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Advance the disk and the state machine, and announce this member when scheduled."""
        self.commit.tick()
        self.handle(CounterDiskStatus(self.commit.is_writable))
        now = self.loop.time()
        if now - self.announced_at >= ANNOUNCE_INTERVAL_S:
            self.announced_at = now
            self._announce()
        self.handle(CounterTick(self.members, self.replica.view))

    def _announce(self) -> None:
        """Publish this member's announcement, and push it to voting members not yet reachable as counter replicas."""
        announcement = GossipRecord(COUNTERS_PREFIX + self.me.identity, ANNOUNCEMENT_STAMP, self.me.address.encode())
        others = announced_addresses(self.effects.records)
        others.pop(self.me.identity, None)
        tombstones = [
            GossipRecord(COUNTERS_PREFIX + identity, TOMBSTONE_STAMP, b"", is_deleted=True)
            for identity, address in others.items()
            if address == self.me.address
        ]
        self.members = tuple(
            Replica(identity, address, "") for identity, address in others.items() if address != self.me.address
        )
        self.effects.publish([announcement, *tombstones])
        view = self.replica.view
        addresses = {voter.address for voter in view.voters} if view is not None else set[str]()
        addresses |= {peer.replica.address for peer in self.replica.peers.known.values() if peer.heartbeat.can_vote}
        known = {peer.replica.address for peer in self.machine.peers.reachable()}
        for address in addresses - known - {self.me.address}:
            self.effects.send(address, Push((announcement,)))

    # --- shutdown ------------------------------------------------------------------------------------------------

    def begin_drain(self) -> None:
        """Reject new increments from now on."""
        self.handle(BeginDrain())

    def is_required(self) -> bool:
        """Return whether a draining member must keep running for pending requests or unreplicated increments."""
        return bool(self.pending_requests) or self.machine.is_required()

    def answer_pending_unknown(self) -> None:
        """Answer all pending requests with an unknown outcome."""
        for request_id in list(self.pending_requests):
            self._complete(CounterResponse(request_id, CounterOutcome.UNKNOWN))

    def status(self) -> CounterStatus:
        """Return the status of the counters."""
        machine = self.machine
        reachable = sorted(peer.replica.address for peer in machine.peers.reachable())
        return CounterStatus(
            machine.counters.count,
            f"{machine.counters.root:016x}",
            machine.is_readable,
            reachable,
            len(machine.pending),
        )


def _unchanged(record_number: int) -> int:
    """Return the record number unchanged: it stays valid after a failed write, once the complete state is written."""
    return record_number


def announced_addresses(records: GossipStore) -> dict[str, str]:
    """Return the addresses, by identity, of the members that announced that they store counters."""
    return {
        key.removeprefix(COUNTERS_PREFIX): stored.record.value.decode()
        for key, stored in records.records.items()
        if key.startswith(COUNTERS_PREFIX) and not stored.record.is_deleted
    }


class CounterDirectory:
    """Chooses the member to which a member that stores no counters redirects requests for them."""

    def __init__(self, replica: ReplicaStateMachine, records: GossipStore, random: Random) -> None:
        self.replica = replica
        self.loop = asyncio.get_running_loop()
        self.records = records
        self.random = random

    def choose_host(self) -> str | None:
        """Return the host of a live member that stores counters; None if there is none.

        Members that are writable and not draining are preferred; among these, members of the local zone.
        """
        now = self.loop.time()
        announced = announced_addresses(self.records)
        live = [
            peer
            for identity, peer in self.replica.peers.known.items()
            if identity in announced and now - peer.last_heartbeat_at <= SUSPECT_TIMEOUT_S
        ]
        preferred = [peer for peer in live if peer.heartbeat.is_writable and not peer.heartbeat.is_draining] or live
        same_zone = [peer for peer in preferred if peer.replica.zone == self.replica.me.zone]
        candidates = same_zone or preferred
        if not candidates:
            return None
        return self.random.choice(candidates).replica.address.rsplit(":", 1)[0]
