"""The soft state of a control member: instances, leases of heads, pending hints and disseminated records.

This module supplies the clock and sends the messages; the state machines of `registry`, `coordination` and
`hint_relay` make the decisions.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable, Iterable
from random import Random

from loguru import logger

from hophinge.coordination.dissemination import Digest, Dissemination, Push, GossipRecord, DigestEntries, PullRequest
from hophinge.coordination.leases import (
    LEASE_DURATION_S,
    LeaseGrant,
    LeaseHolder,
    GrantedLeases,
    LeaseTable,
    RenewLease,
)
from hophinge.coordination.quorum_acknowledgements import RecordReplicated, ReplicateRecord
from hophinge.coordination.replica import ReplicaStateMachine
from hophinge.coordination.view import Replica
from hophinge.fleet.controlplane.hint_relay import HintRelay
from hophinge.fleet.controlplane.recipients import Recipients
from hophinge.fleet.placement.hints import PlacementHints, EngineReports, SuspectedInstances
from hophinge.fleet.placement.stages import StageLoads
from hophinge.fleet.registry.departures import DepartureStorage, StoreRequest
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.registry.registry import Liveness, Registry
from hophinge.fleet.registry.service import InstanceService, RegistryContext, ServiceStep
from hophinge.fleet.settings import Settings

MEMORY_BYTES_PER_INSTANCE = 64 << 10  # of the machine: several times what an instance's records take
SOFT_STATE_TICK_S = 0.25
SHARE_INTERVAL_S = 0.75  # between updates of liveness and leases to the other control members
DIGEST_INTERVAL_S = 1.0  # between digests to a random other control member
MAX_NEIGHBOURS = 8  # other heads to which a head disseminates records
MAX_REMOTE_NEIGHBOURS = 2  # those of them in other zones


class SoftState:
    """The soft state of one control member, and its messages to other members."""

    def __init__(
        self, settings: Settings, machine: ReplicaStateMachine, send: Callable[[str, object], None], relay: HintRelay
    ) -> None:
        self.machine = machine
        self.send = send
        self.relay = relay
        self.loop = asyncio.get_running_loop()
        self.random = Random()
        self.dissemination = Dissemination(self.random)
        self.registry = Registry(
            settings.heartbeat_s, self.loop.time(), settings.memory_bytes // MEMORY_BYTES_PER_INSTANCE
        )
        self.service = InstanceService(machine.me, self.dissemination, self.registry)
        self.leases = LeaseTable()
        self.recipients = Recipients(machine, self.leases, self.random)
        self.loads = StageLoads()
        # Random start, so that a late response to a request of the previous process matches no request.
        self.request_ids = itertools.count(secrets.randbits(40))
        self.pending_requests: dict[int, asyncio.Future[bool]] = {}
        self.last_shared_at = 0.0
        self.last_digest_at = 0.0
        self.is_relay_scheduled = False
        self.departures: DepartureStorage | None = None

    def keep_departures(self, storage: DepartureStorage) -> None:
        """Store acknowledged departures on a disk, and restore those that are on it."""
        self.departures = storage
        self.service.is_durable = True
        self.service.restore(self.loop.time(), storage.recovered)

    def confirm_stored(self, request: StoreRequest) -> None:
        """Confirm a departure record that is stored on the disk."""
        self._apply_step(self.service.record_stored(self.loop.time(), self._context(), request))

    def _context(self) -> RegistryContext:
        return self.recipients.registry_context(self.loop.time())

    def _apply_step(self, step: ServiceStep) -> None:
        """Send a step's messages and complete the callers' requests."""
        for address, message in step.messages:
            if address != self.machine.me.address:
                self.send(address, message)
        if self.departures is not None:
            for request in step.to_store:
                self.departures.store(request)
        for key in step.unreadable_keys:
            logger.warning("record unreadable key={}", key)
        for request_id, is_acknowledged in step.completed:
            future = self.pending_requests.get(request_id)
            if future is not None and not future.done():
                future.set_result(is_acknowledged)

    # --- messages of other members -------------------------------------------------------------------------------

    def publish_register(self, record: GossipRecord) -> None:
        """Send the record of a newly committed register to the direct heads and the members outside the chain."""
        targets = [*self.recipients.direct_heads(), *self.recipients.members_outside_chain()]
        for address, message in self.dissemination.publish(self.loop.time(), [record], targets).messages:
            self.send(address, message)

    def receive(self, source: Replica, message: object) -> None:
        """Handle a message from another member."""
        now = self.loop.time()
        address = source.address
        match message:
            case RenewLease():
                self._renew_lease(now, address, message)
            case Digest() | DigestEntries() | PullRequest() | Push():
                step = ServiceStep()
                self.service.receive(now, address, message, self.recipients.direct_heads(), step)
                self._apply_step(step)
            case ReplicateRecord():
                self._apply_step(self.service.replicate_record(now, self._context(), address, message))
            case RecordReplicated():
                self._apply_step(self.service.record_replicated(now, self._context(), source.identity, message))
            case GrantedLeases(holders=holders):
                self.leases.merge(now, holders)
            case PlacementHints() | EngineReports() | SuspectedInstances():
                self._relay_hints(address, message)
            case Liveness():
                self.service.apply_liveness(now, message)

    def _renew_lease(self, now: float, source: str, renew: RenewLease) -> None:
        self.leases.renew(now, renew.holder)
        holders = self.leases.holders()
        grant = LeaseGrant(
            LEASE_DURATION_S,
            len(holders),
            self._neighbours(renew.holder, holders),
            self.recipients.lease_granters(now),
            self.machine.is_connected(now),
            renew.requested_at,
        )
        self.send(source, grant)
        step = ServiceStep()
        self.service.receive(now, source, Digest(renew.fingerprints), (), step)
        self._apply_step(step)

    def _neighbours(self, head: LeaseHolder, holders: list[LeaseHolder]) -> tuple[str, ...]:
        """Return random other heads to which a head disseminates records, most of them in its own zone."""
        others = [holder for holder in holders if holder.identity != head.identity]
        local = [holder.address for holder in others if holder.zone == head.zone]
        remote = [holder.address for holder in others if holder.zone != head.zone]
        chosen = self.random.sample(local, min(MAX_NEIGHBOURS - MAX_REMOTE_NEIGHBOURS, len(local)))
        chosen += self.random.sample(remote, min(MAX_REMOTE_NEIGHBOURS, len(remote)))
        return tuple(chosen)

    # --- hints ---------------------------------------------------------------------------------------------------

    def publish_hints(self, message: EngineReports | SuspectedInstances) -> None:
        """Send a message to the heads with a lease from this member, and to the others through the voting members."""
        if isinstance(message, EngineReports):
            self._record_reports(message)
        self.relay.send_now(message, [*self.recipients.leased_heads(), *self.recipients.voting_members()])

    def _record_reports(self, reports: EngineReports) -> None:
        """Record loads, and that the reporting engines are alive.

        Reports count as evidence of liveness, since heartbeats may reach only a disconnected control member.
        """
        self.loads.record(reports, self.registry.instances)
        reachable = [report.instance for report in reports.reports]
        self._apply_step(self.service.mark_reachable(self.loop.time(), self._context(), reachable))

    def _relay_hints(self, source: str, message: PlacementHints | EngineReports | SuspectedInstances) -> None:
        """Relay a message to the heads with a lease from this member.

        A message that came from one of these heads is relayed to the other voting members as well.
        """
        heads = self.recipients.leased_heads()
        if isinstance(message, PlacementHints):
            self.relay.add(source, message, source in heads)
            self._schedule_relay()
            return
        if isinstance(message, EngineReports):
            self._record_reports(message)
        else:
            self.suspect(message.instances)
        targets = [head for head in heads if head != source]
        if source in heads:
            targets += self.recipients.voting_members()
        self.relay.send_now(message, targets)

    def _schedule_relay(self) -> None:
        """Schedule a flush of the pending hints; without pending hints, no timer wakes this process."""
        if self.is_relay_scheduled:
            return
        self.is_relay_scheduled = True
        delay_s = self.relay.delay_s(self.loop.time(), len(self.recipients.leased_heads()))
        self.loop.call_later(delay_s, self._flush_relay)

    def _flush_relay(self) -> None:
        self.is_relay_scheduled = False
        self.relay.flush(self.loop.time(), self.recipients.leased_heads(), self.recipients.voting_members())

    # --- instances -----------------------------------------------------------------------------------------------

    async def heartbeat(self, instance: Instance, sequence: int, cold_remaining_s: float = 0.0) -> bool:
        """Apply an instance's heartbeat; return whether to acknowledge it, which needs room for a new instance."""
        if not self.registry.has_room_for(instance.identity):
            return False

        def operation(request_id: int) -> ServiceStep:
            context = self._context()
            return self.service.heartbeat(self.loop.time(), context, request_id, instance, sequence, cold_remaining_s)

        return await self._run_request(operation)

    async def unregister(self, identity: str) -> bool:
        """Unregister an instance; return whether to acknowledge that, which needs room for an unknown one."""
        if not self.registry.may_unregister(identity):
            return False

        def operation(request_id: int) -> ServiceStep:
            return self.service.unregister(self.loop.time(), self._context(), request_id, identity)

        return await self._run_request(operation)

    async def _run_request(self, operation: Callable[[int], ServiceStep]) -> bool:
        """Run a caller's request until it completes, at most until the timeout of its quorum acknowledgement."""
        request_id = next(self.request_ids)
        future: asyncio.Future[bool] = self.loop.create_future()
        self.pending_requests[request_id] = future
        try:
            self._apply_step(operation(request_id))
            return await future
        finally:
            del self.pending_requests[request_id]

    def reject_pending(self) -> None:
        """Complete all pending requests as not acknowledged."""
        for future in self.pending_requests.values():
            if not future.done():
                future.set_result(False)

    def suspect(self, identities: Iterable[str]) -> None:
        """Publish that unresponsive instances may be cold until their next heartbeats."""
        self._apply_step(self.service.suspect(self.loop.time(), self._context(), identities))

    def suspect_zone(self, zone: str) -> None:
        """Publish that the instances of a zone may be cold until their next heartbeats, as its evacuation has ended."""
        self._apply_step(self.service.suspect_zone(self.loop.time(), self._context(), zone))

    def begin_stage_change(self, instance: Instance) -> None:
        """Publish that an instance was ordered to change its stage; it gets no requests until it has done so."""
        self._apply_step(self.service.begin_stage_change(self.loop.time(), self._context(), instance.identity))

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Expire leases and instances, and send updates and digests to other control members when scheduled."""
        now = self.loop.time()
        if self.departures is not None:
            self.departures.tick()
        self.leases.expire(now)
        context = self._context()
        is_connected = self.machine.can_vote and self.machine.is_connected(now)
        self._apply_step(self.service.tick(now, context, is_connected))
        if now - self.last_shared_at >= SHARE_INTERVAL_S:
            self.last_shared_at = now
            self._share(context)
        if now - self.last_digest_at >= DIGEST_INTERVAL_S and context.control_members:
            self.last_digest_at = now
            self.send(self.random.choice(context.control_members), self.dissemination.digest(now))
            self._apply_step(self.service.purge(now, context))

    def _share(self, context: RegistryContext) -> None:
        """Send the leases granted and the heartbeats received by this member to the other control members."""
        updates: list[object] = [GrantedLeases(tuple(self.leases.local_holders()))]
        liveness = self.registry.collect_liveness()
        if liveness is not None:
            updates.append(liveness)
        for address in context.control_members:
            for update in updates:
                self.send(address, update)
