"""The state machine of one member's shared counters: it takes inputs and returns what to sync, send and answer.

It owns no clock, socket or file. An increment is stored and sent to all members with a disk at once. It is acknowledged
when it is synced on one disk more than may be lost, the local one among them; or, where fewer members answer probes
than that, on the disks of all that do. Each side of a partition can so acknowledge, and a slow member is waited for.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from hophinge.coordination.counter_events import (
    AddRequest,
    BeginDrain,
    CounterDiskStatus,
    CounterInput,
    CounterMessageReceived,
    CounterOutcome,
    CounterOutputs,
    CounterResponse,
    CounterTick,
    ReadRequest,
    RecordsSynced,
)
from hophinge.coordination.counter_exchange import CounterExchange
from hophinge.coordination.counter_messages import (
    CounterProbe,
    CounterProbeReply,
    CounterStateRecord,
    FetchIncrements,
    IncrementChunk,
    IncrementsReplicated,
    ReplicateIncrements,
)
from hophinge.coordination.counter_peers import AwakeClock, CounterPeer, CounterPeers
from hophinge.coordination.counters import CounterSet, Increment
from hophinge.coordination.view import Replica

RESEND_INTERVAL_S = 0.5  # between attempts to replicate an increment to a member that has not confirmed it
PENDING_TIMEOUT_S = 5.0  # after which a caller is told that the outcome is unknown
MAX_PENDING = 1_000  # increments that wait for their acknowledgement
MAX_NAME_BYTES = 8 << 20
MAX_INCREMENTS = 100_000  # that callers may bring a member to: some 3 MB in each slot


@dataclass(frozen=True, slots=True)
class CounterConfig:
    """The settings of one member's counters.

    Attributes:
        me: the local member; its identity is that of its disk.
        tolerated_losses: members whose disks may be lost at once without losing what was acknowledged.
        max_name_bytes: of all identifiers and counters' names, that callers may bring this member to.

    """

    me: Replica
    tolerated_losses: int
    max_name_bytes: int = MAX_NAME_BYTES

    @property
    def required_disks(self) -> int:
        """The number of disks on which an acknowledged increment survives the tolerated losses."""
        return self.tolerated_losses + 1


@dataclass(slots=True)
class PendingIncrement:
    """An increment whose callers wait for its acknowledgement; times are of the awake clock."""

    increment: Increment
    began_at: float
    sent_at: float
    request_ids: list[int] = field(default_factory=list)
    holders: set[str] = field(default_factory=set)  # identities of the other members that have synced it


@dataclass(slots=True)
class UnsyncedIncrement:
    """An increment that is not on the local disk yet."""

    record_number: int
    sources: set[str] = field(default_factory=set)  # addresses of the members that wait for it to be synced


class CounterReplica:
    """The shared counters of one member with a disk."""

    def __init__(self, config: CounterConfig, now: float) -> None:
        self.config = config
        self.counters = CounterSet()
        self.exchange = CounterExchange(self.counters)
        self.peers = CounterPeers(config.me)
        self.clock = AwakeClock(now)
        self.is_restored = False  # the disk held a state when the process began
        self.is_readable = False
        self.is_writable = True
        self.is_draining = False
        self.record_count = 0
        self.unsynced: dict[str, UnsyncedIncrement] = {}  # in the order of their record numbers
        self.pending: dict[str, PendingIncrement] = {}
        self.probe_number = 0

    def restore(self, state: CounterStateRecord, records: Iterable[Increment]) -> None:
        """Restore what the disk held, before the first input."""
        self.is_restored = True
        for increment in (*state.increments, *records):
            self.counters.merge(increment)

    def durable_state(self) -> CounterStateRecord:
        """Return all that has to survive a restart."""
        return CounterStateRecord(tuple(self.counters.increments()))

    # --- inputs --------------------------------------------------------------------------------------------------

    def handle(self, now: float, event: CounterInput) -> CounterOutputs:
        """Handle one input and return its effects."""
        awake_s = self.clock.advance(now)
        outputs = CounterOutputs()
        match event:
            case AddRequest():
                self._add(awake_s, event, outputs)
            case ReadRequest():
                self._read(event, outputs)
            case CounterMessageReceived(source=source, message=message):
                self._receive(awake_s, source, message, outputs)
            case RecordsSynced(through=through):
                self._record_synced(through, outputs)
            case CounterDiskStatus(is_writable=is_writable):
                self.is_writable = is_writable
            case CounterTick():
                self._tick(awake_s, event, outputs)
            case BeginDrain():
                self.is_draining = True
        return outputs

    # --- callers -------------------------------------------------------------------------------------------------

    def _add(self, awake_s: float, request: AddRequest, outputs: CounterOutputs) -> None:
        """Store an increment and send it to all members with a disk, unless it is rejected."""
        increment = request.increment
        reason = self._rejection(increment)
        if reason is not None:
            outputs.responses.append(CounterResponse(request.request_id, CounterOutcome.REJECTED, reason=reason))
            return
        self._merge([increment], None, outputs)
        pending = self.pending.get(increment.identifier)
        if pending is None:
            pending = self.pending[increment.identifier] = PendingIncrement(increment, awake_s, awake_s)
        pending.request_ids.append(request.request_id)
        for peer in self.peers.known.values():
            outputs.send(peer.replica.address, ReplicateIncrements((increment,)))
        self._acknowledge(awake_s, outputs)

    def _rejection(self, increment: Increment) -> str | None:
        """Return why an increment is not taken; nothing of it is stored or sent then.

        One that is stored here already is never rejected: the promise that nothing was done would be wrong.
        """
        if self.counters.get(increment.identifier) is not None:
            return None
        if self.is_draining:
            return "this member is shutting down"
        if not self.is_writable:
            return "the disk takes no writes"
        if len(self.pending) >= MAX_PENDING:
            return "too many increments wait for their acknowledgement"
        if self.counters.count >= MAX_INCREMENTS or self.counters.name_bytes >= self.config.max_name_bytes:
            return "the counters are full"
        return None

    def _read(self, request: ReadRequest, outputs: CounterOutputs) -> None:
        if not self.is_readable:
            reason = "this member has not merged with the others since its start"
            outputs.responses.append(CounterResponse(request.request_id, CounterOutcome.REJECTED, reason=reason))
            return
        total = self.counters.total(request.counter)
        outputs.responses.append(CounterResponse(request.request_id, CounterOutcome.TOTAL, total))

    # --- storing -------------------------------------------------------------------------------------------------

    def _merge(self, increments: Iterable[Increment], source: str | None, outputs: CounterOutputs) -> list[str]:
        """Merge increments, and have what is new written; return the identifiers of those that are synced here."""
        synced: list[str] = []
        for increment in increments:
            if self.counters.merge(increment):
                self.record_count += 1
                outputs.records.append(increment)
                earlier = self.unsynced.pop(increment.identifier, None)
                sources = earlier.sources if earlier is not None else set()
                self.unsynced[increment.identifier] = UnsyncedIncrement(self.record_count, sources)
            unsynced = self.unsynced.get(increment.identifier)
            if unsynced is None:
                synced.append(increment.identifier)
            elif source is not None:
                unsynced.sources.add(source)
        return synced

    def _record_synced(self, through: int, outputs: CounterOutputs) -> None:
        """Confirm the increments that the disk now holds to the members that sent them."""
        confirmed: defaultdict[str, list[str]] = defaultdict(list)
        for identifier, unsynced in list(self.unsynced.items()):
            if unsynced.record_number > through:
                break
            del self.unsynced[identifier]
            for address in unsynced.sources:
                confirmed[address].append(identifier)
        for address, identifiers in confirmed.items():
            outputs.send(address, IncrementsReplicated(tuple(identifiers)))
        self._acknowledge(self.clock.awake_s, outputs)

    def _acknowledge(self, awake_s: float, outputs: CounterOutputs) -> None:
        """Answer the callers whose increments are on enough disks."""
        for identifier, pending in list(self.pending.items()):
            if self._is_replicated(awake_s, identifier, pending):
                self._complete(identifier, CounterOutcome.ADDED, outputs)

    def _is_replicated(self, awake_s: float, identifier: str, pending: PendingIncrement) -> bool:
        """Return whether an increment survives the tolerated losses, as far as the reachable members allow."""
        if identifier in self.unsynced:
            return False
        if len(pending.holders) + 1 >= self.config.required_disks:
            return True
        # A peer that answers and cannot write is waited for: it is not behind a partition, and its disk may be needed.
        return self.peers.has_heard_enough(awake_s) and self.peers.reachable_identities() <= pending.holders

    def _complete(self, identifier: str, outcome: CounterOutcome, outputs: CounterOutputs) -> None:
        pending = self.pending.pop(identifier)
        outputs.responses += [CounterResponse(request_id, outcome) for request_id in pending.request_ids]

    # --- messages of other members -------------------------------------------------------------------------------

    def _receive(self, awake_s: float, source: Replica, message: object, outputs: CounterOutputs) -> None:
        self._forget(self.peers.hear(awake_s, source))
        peer = self.peers.known.get(source.identity)
        if peer is None:
            return
        match message:
            case CounterProbe(number=number):
                reply = CounterProbeReply(number, self.counters.root, self.is_writable)
                outputs.send(source.address, reply)
            case CounterProbeReply():
                self._handle_reply(awake_s, peer, message, outputs)
            case ReplicateIncrements(increments=increments):
                synced = self._merge(increments, source.address, outputs)
                if synced:
                    outputs.send(source.address, IncrementsReplicated(tuple(synced)))
            case IncrementsReplicated(identifiers=identifiers):
                self._record_holder(awake_s, source, identifiers, outputs)
            case FetchIncrements():
                self.exchange.answer(source.address, message, outputs)
            case IncrementChunk(increments=increments):
                self._merge(increments, None, outputs)
                self.exchange.record_chunk(awake_s, peer, message, outputs)

    def _handle_reply(
        self, awake_s: float, peer: CounterPeer, reply: CounterProbeReply, outputs: CounterOutputs
    ) -> None:
        was_reachable = peer.is_reachable
        self.peers.record_reply(awake_s, peer, reply)
        self._refresh_reachability(awake_s, outputs)
        if not was_reachable:
            peer.fetch = None  # what was under way may have been lost
            self._send_pending(peer, outputs)
        self.exchange.compare(awake_s, peer, outputs)

    def _send_pending(self, peer: CounterPeer, outputs: CounterOutputs) -> None:
        """Send a peer all pending increments that it has not confirmed."""
        missing = [
            pending.increment for pending in self.pending.values() if peer.replica.identity not in pending.holders
        ]
        if missing:
            outputs.send(peer.replica.address, ReplicateIncrements(tuple(missing)))

    def _record_holder(
        self, awake_s: float, source: Replica, identifiers: tuple[str, ...], outputs: CounterOutputs
    ) -> None:
        for identifier in identifiers:
            pending = self.pending.get(identifier)
            if pending is not None:
                pending.holders.add(source.identity)
        self._acknowledge(awake_s, outputs)

    def _forget(self, identities: Iterable[str]) -> None:
        """Count the disks of members that were replaced no more."""
        for identity in identities:
            for pending in self.pending.values():
                pending.holders.discard(identity)

    # --- time ----------------------------------------------------------------------------------------------------

    def _tick(self, awake_s: float, tick: CounterTick, outputs: CounterOutputs) -> None:
        self.peers.update(awake_s, tick.members, tick.view)
        self._refresh_reachability(awake_s, outputs)
        self._probe(awake_s, outputs)
        self._resend(awake_s, outputs)
        self._acknowledge(awake_s, outputs)
        self._time_out(awake_s, outputs)
        if not self.is_readable and self.peers.has_merged_enough(awake_s, self.is_restored):
            self.is_readable = True
            outputs.log_lines.append(f"counters readable increments={self.counters.count}")

    def _probe(self, awake_s: float, outputs: CounterOutputs) -> None:
        for peer in self.peers.due_for_probe(awake_s):
            self.probe_number += 1
            outputs.send(peer.replica.address, CounterProbe(self.probe_number, self.counters.root))

    def _resend(self, awake_s: float, outputs: CounterOutputs) -> None:
        """Send pending increments again to the reachable members that have not confirmed them."""
        for pending in self.pending.values():
            if awake_s - pending.sent_at < RESEND_INTERVAL_S:
                continue
            pending.sent_at = awake_s
            for peer in self.peers.reachable():
                if peer.replica.identity not in pending.holders:
                    outputs.send(peer.replica.address, ReplicateIncrements((pending.increment,)))

    def _time_out(self, awake_s: float, outputs: CounterOutputs) -> None:
        for identifier, pending in list(self.pending.items()):
            if awake_s - pending.began_at > PENDING_TIMEOUT_S:
                self._complete(identifier, CounterOutcome.UNKNOWN, outputs)

    def _refresh_reachability(self, awake_s: float, outputs: CounterOutputs) -> None:
        for peer in self.peers.refresh(awake_s):
            state = "reachable" if peer.is_reachable else "unreachable"
            outputs.log_lines.append(f"counter peer {state} address={peer.replica.address}")

    def is_required(self) -> bool:
        """Return whether a draining member has to wait before it ends: too few of those it reaches have what it has."""
        reachable = self.peers.reachable()
        complete_count = sum(peer.root == self.counters.root and peer.is_writable for peer in reachable)
        return complete_count < min(self.config.required_disks, len(reachable))
