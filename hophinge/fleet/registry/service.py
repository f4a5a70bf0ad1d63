"""The instance service of a control member: handles heartbeats, publishes changes, and acknowledges departures.

A departure is acknowledged once a quorum holds its record. The service is a state machine without I/O: its host passes
the time and the currently known members.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hophinge.coordination.codec import CodecError
from hophinge.coordination.dissemination import Dissemination, GossipMessage, Push, GossipRecord, DisseminationStep
from hophinge.coordination.quorum_acknowledgements import (
    QuorumView,
    RecordReplicated,
    ReplicateRecord,
    AcknowledgementStep,
    QuorumAcknowledgements,
)
from hophinge.coordination.view import Replica
from hophinge.fleet.registry.departures import StoreRequest
from hophinge.fleet.registry.instance import DRAINING, INSTANCE_PREFIX, READY, Instance, instance_of
from hophinge.fleet.registry.registry import Liveness, Registry
from hophinge.fleet.registry.warmup import WARMUP_PREFIX


@dataclass(frozen=True, slots=True)
class RegistryContext:
    """The members that a control member knows at one moment."""

    core: QuorumView
    heads: tuple[str, ...]  # addresses of data planes that this member updates directly
    control_members: tuple[str, ...]  # addresses of the other control members


class CompletedRequest(NamedTuple):
    """A completed request of a caller."""

    request_id: int
    is_acknowledged: bool


@dataclass(slots=True)
class ServiceStep:
    """The effects of one input: messages by address, and completed requests of callers.

    `to_store` contains records that the host has to sync and then pass to `InstanceService.record_stored`.
    `unreadable_keys` contains the keys of new records that this member cannot decode; it relays them nevertheless.
    """

    messages: list[tuple[str, object]] = field(default_factory=list)
    completed: list[CompletedRequest] = field(default_factory=list)
    to_store: list[StoreRequest] = field(default_factory=list)
    unreadable_keys: list[str] = field(default_factory=list)


def is_draining(record: GossipRecord) -> bool:
    """Return whether the record's instance is draining or has unregistered."""
    instance = instance_of(record)
    return instance is None or instance.state == DRAINING


class InstanceService:
    """The instance service of one control member."""

    def __init__(self, me: Replica, dissemination: Dissemination, registry: Registry) -> None:
        self.dissemination = dissemination
        self.registry = registry
        self.me = me
        self.quorum_acknowledgements = QuorumAcknowledgements(me)
        self.pending_requests: dict[int, str] = {}  # by request that waits for a quorum: the instance
        self.acknowledged_drains: set[str] = set()  # instances with a departure record that a quorum holds
        self.is_durable = False  # the host stores departure records on a disk

    # --- callers -------------------------------------------------------------------------------------------------

    def heartbeat(
        self,
        now: float,
        context: RegistryContext,
        request: int,
        instance: Instance,
        sequence: int,
        cold_remaining_s: float = 0.0,
    ) -> ServiceStep:
        """Apply a heartbeat, and complete its request or make it wait for a quorum.

        The heartbeat of a ready instance is not acknowledged while this member has no contact with a majority, so that
        the instance sends it to another member. The heartbeat of a draining instance is acknowledged once a quorum
        holds its record.
        """
        step = ServiceStep()
        is_ready = instance.state == READY
        warmup = self.registry.record_warmup(now, instance.identity, cold_remaining_s, sequence) if is_ready else None
        record = self.registry.record_heartbeat(now, instance, sequence)
        if is_ready:
            if record is not None:
                self.acknowledged_drains.discard(instance.identity)
            # Heads must learn that an instance is cold before they learn of the instance.
            self.publish(now, context, (warmup, record), step)
            voters = {voter.identity for voter in context.core.voters}
            in_contact = (
                context.core.view_number >= 1 and len(voters & context.core.live_replicas) >= context.core.majority
            )
            step.completed.append(CompletedRequest(request, in_contact))
            return step
        newest = record or self.dissemination.store.get(INSTANCE_PREFIX + instance.identity)
        self._replicate_until_quorum(now, context, request, instance.identity, newest, step)
        return step

    def unregister(self, now: float, context: RegistryContext, request: int, identity: str) -> ServiceStep:
        """Unregister an instance at its request, which is acknowledged once a quorum holds the tombstone."""
        step = ServiceStep()
        if identity not in self.registry.unregistered:
            self.acknowledged_drains.discard(identity)
        record = self.registry.unregister(now, identity)
        self.publish(now, context, (self.registry.unregister_warmup(identity),), step)
        self._replicate_until_quorum(now, context, request, identity, record, step)
        return step

    def _replicate_until_quorum(
        self,
        now: float,
        context: RegistryContext,
        request: int,
        identity: str,
        record: GossipRecord | None,
        step: ServiceStep,
    ) -> None:
        """Acknowledge a departure once a quorum holds its record.

        No connected data plane may use the instance from then on.
        """
        if identity in self.acknowledged_drains:
            step.completed.append(CompletedRequest(request, True))
        elif record is None or not is_draining(record):
            # The request is older than the known record: the instance's next heartbeat will be acknowledged.
            step.completed.append(CompletedRequest(request, False))
        else:
            self._apply_dissemination(now, self.dissemination.publish(now, [record], context.heads), step)
            self.pending_requests[request] = identity
            if self.is_durable:
                step.to_store.append(StoreRequest(record, request))
            quorum_step = self.quorum_acknowledgements.begin(
                now, context.core, request, record, is_stored_here=not self.is_durable
            )
            self._complete_requests(quorum_step, step)

    def _complete_requests(self, quorum_step: AcknowledgementStep, step: ServiceStep) -> None:
        step.messages += quorum_step.messages
        for request, is_acknowledged in quorum_step.resolved:
            identity = self.pending_requests.pop(request)
            if is_acknowledged:
                self.acknowledged_drains.add(identity)
            step.completed.append(CompletedRequest(request, is_acknowledged))

    # --- other members -------------------------------------------------------------------------------------------

    def replicate_record(
        self, now: float, context: RegistryContext, source: str, request: ReplicateRecord
    ) -> ServiceStep:
        """Store a record for another member, and first relay it, since its sender may fail right afterwards."""
        step = ServiceStep()
        voters = [voter.address for voter in context.core.voters if voter.identity != self.me.identity]
        recipients = [*context.heads, *voters]
        self.receive(now, source, Push((request.record,)), recipients, step)
        if self.is_durable:
            step.to_store.append(StoreRequest(request.record, request.token, source))
        else:
            step.messages.append((source, RecordReplicated(request.token, context.core.view_number)))
        return step

    def record_stored(self, now: float, context: RegistryContext, request: StoreRequest) -> ServiceStep:
        """Confirm a record that has been synced to the disk here."""
        step = ServiceStep()
        if request.requester is not None:
            step.messages.append((request.requester, RecordReplicated(request.token, context.core.view_number)))
        else:
            quorum_step = self.quorum_acknowledgements.record_stored_here(now, context.core, request.token)
            self._complete_requests(quorum_step, step)
        return step

    def restore(self, now: float, records: Iterable[GossipRecord]) -> None:
        """Apply the departure records from the disk here."""
        self._apply_dissemination(now, self.dissemination.publish(now, records), ServiceStep())

    def record_replicated(
        self, now: float, context: RegistryContext, source: str, acknowledgement: RecordReplicated
    ) -> ServiceStep:
        """Apply the acknowledgement of a record by the member with the identity `source`."""
        step = ServiceStep()
        quorum_step = self.quorum_acknowledgements.handle_replicated(now, context.core, source, acknowledgement)
        self._complete_requests(quorum_step, step)
        return step

    def receive(
        self, now: float, source: str, message: GossipMessage, recipients: Iterable[str], step: ServiceStep
    ) -> None:
        """Apply a dissemination message, and relay its new records to `recipients`."""
        self._apply_dissemination(now, self.dissemination.handle(now, source, message, recipients), step)

    def apply_liveness(self, now: float, liveness: Liveness) -> None:
        """Apply the sequence numbers of heartbeats that another control member received."""
        self.registry.apply_liveness(now, liveness)

    def mark_reachable(self, now: float, context: RegistryContext, identities: Iterable[str]) -> ServiceStep:
        """Record that instances responded to a request, and publish those that were marked lost as ready again."""
        step = ServiceStep()
        for record in self.registry.mark_reachable(now, identities):
            self.publish(now, context, (record,), step)
        return step

    def suspect(self, now: float, context: RegistryContext, identities: Iterable[str]) -> ServiceStep:
        """Publish that instances may have restarted and be cold: heads limit them until their next heartbeats."""
        step = ServiceStep()
        self.publish(now, context, self.registry.warmup.suspect(now, identities), step)
        return step

    def suspect_zone(self, now: float, context: RegistryContext, zone: str) -> ServiceStep:
        """Publish that the instances of a zone may have become cold while it was evacuated."""
        instances = self.registry.instances.values()
        return self.suspect(now, context, [instance.identity for instance in instances if instance.zone == zone])

    def begin_stage_change(self, now: float, context: RegistryContext, identity: str) -> ServiceStep:
        """Publish that an instance was ordered to change its stage: it gets no requests until the change is done."""
        step = ServiceStep()
        record = self.registry.begin_stage_change(now, identity)
        self.publish(now, context, (record,), step)
        return step

    # --- publishing ----------------------------------------------------------------------------------------------

    def publish(
        self, now: float, context: RegistryContext, records: Iterable[GossipRecord | None], step: ServiceStep
    ) -> None:
        """Send records to the data planes and the other control members, in one message and in this order."""
        recipients = [*context.heads, *context.control_members]
        present = [record for record in records if record is not None]
        self._apply_dissemination(now, self.dissemination.publish(now, present, recipients), step)

    def _apply_dissemination(self, now: float, dissemination_step: DisseminationStep, step: ServiceStep) -> None:
        step.messages += dissemination_step.messages
        for record in dissemination_step.updates:
            try:
                self._apply_record(now, record)
            except CodecError:
                step.unreadable_keys.append(record.key)

    def _apply_record(self, now: float, record: GossipRecord) -> None:
        if record.key.startswith(INSTANCE_PREFIX):
            self.registry.apply_record(now, record)
        elif record.key.startswith(WARMUP_PREFIX):
            self.registry.warmup.apply_record(now, record)

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self, now: float, context: RegistryContext, is_connected: bool) -> ServiceStep:
        """Time out pending requests, and publish silent instances as lost."""
        step = ServiceStep()
        self._complete_requests(self.quorum_acknowledgements.tick(now, context.core), step)
        self.publish(now, context, self.registry.expire(now, is_connected), step)
        return step

    def purge(self, now: float, context: RegistryContext) -> ServiceStep:
        """Remove instances, identities and tombstones whose retention has passed."""
        step = ServiceStep()
        self.dissemination.store.remove_expired_tombstones(now)
        for record in self.registry.purge(now):
            self.publish(now, context, (record,), step)
        self.acknowledged_drains &= self.registry.unregistered.keys() | self.registry.instances.keys()
        return step
