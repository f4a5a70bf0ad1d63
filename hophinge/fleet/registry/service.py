"""What a control member does with instances: takes heartbeats, tells others, and acknowledges what may be acknowledged.

A state machine without I/O. Its shell gives it the time, the core as it is seen now, and whom to tell.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hophinge.coordination.dissemination import Dissemination, GossipMessage, Push, GossipRecord, DisseminationStep
from hophinge.coordination.quorum_acknowledgements import (
    QuorumView,
    RecordReplicated,
    ReplicateRecord,
    AcknowledgementStep,
    QuorumAcknowledgements,
)
from hophinge.coordination.view import Replica
from hophinge.fleet.registry.instance import DRAINING, INSTANCE_PREFIX, READY, Instance, instance_of
from hophinge.fleet.registry.registry import Liveness, Registry


@dataclass(frozen=True, slots=True)
class Surroundings:
    """Whom a member knows of at one moment."""

    core: QuorumView
    heads: tuple[str, ...]  # addresses of data planes that get news from this member whole
    controls: tuple[str, ...]  # addresses of the other control members


@dataclass(slots=True)
class ServiceStep:
    """What one input brings about: messages by address, and callers' requests that are settled."""

    messages: list[tuple[str, object]] = field(default_factory=list)
    settled: list[tuple[int, bool]] = field(default_factory=list)


def is_leaving(record: GossipRecord) -> bool:
    """Tell whether a record says that its instance is leaving, or has left."""
    instance = instance_of(record)
    return instance is None or instance.state == DRAINING


class InstanceService:
    """The instances as one control member knows them."""

    def __init__(self, me: Replica, dissemination: Dissemination, registry: Registry) -> None:
        self.dissemination, self.registry = dissemination, registry
        self.me = me
        self.holds = QuorumAcknowledgements(me)
        self.holding: dict[int, str] = {}  # requests that wait for a quorum, and the instance each is about
        self.safe: set[str] = set()  # instances whose leaving a quorum holds

    # --- callers -------------------------------------------------------------------------------------------------

    def beat(self, now: float, around: Surroundings, request: int, instance: Instance, sequence: int) -> ServiceStep:
        """Take a heartbeat. That of a ready instance is refused where this member is cut off: others are to hear it."""
        step = ServiceStep()
        record = self.registry.heartbeat(now, instance, sequence)
        if instance.state == READY:
            if record is not None:
                self.safe.discard(instance.identity)
                self.tell(now, around, record, step)
            voters = {voter.identity for voter in around.core.voters}
            in_contact = (
                around.core.view_number >= 1 and len(voters & around.core.live_replicas) >= around.core.majority
            )
            step.settled.append((request, in_contact))
            return step
        known = record or self.dissemination.store.get(INSTANCE_PREFIX + instance.identity)
        self._acknowledge_leaving(now, around, request, instance.identity, known, step)
        return step

    def leave(self, now: float, around: Surroundings, request: int, identity: str) -> ServiceStep:
        """Take an instance's word that it has ended."""
        step = ServiceStep()
        if identity not in self.registry.ended:
            self.safe.discard(identity)
        record = self.registry.unregister(now, identity)
        self._acknowledge_leaving(now, around, request, identity, record, step)
        return step

    def _acknowledge_leaving(
        self,
        now: float,
        around: Surroundings,
        request: int,
        identity: str,
        record: GossipRecord | None,
        step: ServiceStep,
    ) -> None:
        """Acknowledge a leaving once a quorum holds it: from then on no data plane in touch may send work there."""
        if identity in self.safe:
            step.settled.append((request, True))
        elif record is None or not is_leaving(record):
            step.settled.append((request, False))  # an older word than what is known: the next one will do
        else:
            self._let_go(now, self.dissemination.publish(now, [record], around.heads), step)
            self.holding[request] = identity
            self._take(self.holds.begin(now, around.core, request, record), step)

    def _take(self, taken: AcknowledgementStep, step: ServiceStep) -> None:
        step.messages += taken.messages
        for request, bound in taken.resolved:
            identity = self.holding.pop(request)
            if bound:
                self.safe.add(identity)
            step.settled.append((request, bound))

    # --- other members -------------------------------------------------------------------------------------------

    def hold(self, now: float, around: Surroundings, source: str, hold: ReplicateRecord) -> ServiceStep:
        """Hold a record for another member, and pass it on: its sender may be lost the moment after."""
        step = ServiceStep()
        voters = [voter.address for voter in around.core.voters if voter.identity != self.me.identity]
        told = [*around.heads, *voters]
        self.receive(now, source, Push((hold.record,)), told, step)
        step.messages.append((source, RecordReplicated(hold.token, around.core.view_number)))
        return step

    def held(self, now: float, around: Surroundings, source: str, held: RecordReplicated) -> ServiceStep:
        """Take the word of the member with the identity `source` that it holds a record."""
        step = ServiceStep()
        self._take(self.holds.handle_replicated(now, around.core, source, held), step)
        return step

    def receive(self, now: float, source: str, message: GossipMessage, told: Iterable[str], step: ServiceStep) -> None:
        """Take a message of the dissemination; `told` members get what is new."""
        self._let_go(now, self.dissemination.handle(now, source, message, told), step)

    def heard_elsewhere(self, now: float, liveness: Liveness) -> None:
        """Take what another control member heard."""
        self.registry.heard_elsewhere(now, liveness)

    def seen(self, now: float, around: Surroundings, identities: Iterable[str]) -> ServiceStep:
        """Instances answered a question."""
        step = ServiceStep()
        for record in self.registry.seen(now, identities):
            self.tell(now, around, record, step)
        return step

    def switching(self, now: float, around: Surroundings, identity: str) -> ServiceStep:
        """An instance was ordered to change its stage: requests spare it until it is back."""
        step = ServiceStep()
        record = self.registry.switching(now, identity)
        if record is not None:
            self.tell(now, around, record, step)
        return step

    # --- telling -------------------------------------------------------------------------------------------------

    def tell(self, now: float, around: Surroundings, record: GossipRecord, step: ServiceStep) -> None:
        """Tell the data planes and the other control members."""
        self._let_go(now, self.dissemination.publish(now, [record], [*around.heads, *around.controls]), step)

    def _let_go(self, now: float, spread: DisseminationStep, step: ServiceStep) -> None:
        step.messages += spread.messages
        for record in spread.updates:
            if record.key.startswith(INSTANCE_PREFIX):
                self.registry.learn(now, record)

    # --- time ----------------------------------------------------------------------------------------------------

    def tick(self, now: float, around: Surroundings, listening: bool) -> ServiceStep:
        """Give up what took too long, and tell of instances that have fallen silent."""
        step = ServiceStep()
        self._take(self.holds.tick(now, around.core), step)
        for record in self.registry.expire(now, listening):
            self.tell(now, around, record, step)
        return step

    def tidy(self, now: float, around: Surroundings) -> ServiceStep:
        """Forget what nobody asks about any more."""
        step = ServiceStep()
        self.dissemination.store.remove_expired_tombstones(now)
        for record in self.registry.forget(now):
            self.tell(now, around, record, step)
        self.safe &= self.registry.ended.keys() | self.registry.instances.keys()
        return step
