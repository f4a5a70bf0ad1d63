"""The instance registry of one control member, without I/O: it turns heartbeats into records of changes.

Only changes are published to the data planes. Control members exchange the sequence number of each instance's last
heartbeat, so that no member marks an instance lost that sends its heartbeats to another member.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import GossipRecord
from hophinge.fleet.registry.instance import (
    DRAINING,
    INSTANCE_PREFIX,
    LOST,
    READY,
    SWITCHING,
    Instance,
    instance_of,
    record_of,
)
from hophinge.fleet.registry.warmup import WarmupTable, warmup_tombstone

MAX_MISSED_HEARTBEATS = 4.0  # heartbeat intervals of silence before an instance is marked lost
STAGE_CHANGE_TIMEOUT_S = 12.0  # longest time for which an instance ordered to change its stage gets no requests
SILENT_RETENTION_S = 600.0  # silence after which a lost or draining instance is removed, until its next heartbeat
UNREGISTERED_RETENTION_S = 600.0  # for which heartbeats of an unregistered identity are ignored
DEFAULT_MAX_INSTANCES = 4_800
UNREGISTERED_SEQUENCE = 1 << 62  # of the record of an unregistered instance: above the sequence of any heartbeat


@wire(72)
@dataclass(frozen=True, slots=True)
class Liveness:
    """The newest heartbeat sequence of each instance that one control member received since its last update."""

    rows: tuple[tuple[str, int], ...]


@dataclass(slots=True)
class Heartbeat:
    """The newest known heartbeat of an instance."""

    sequence: int
    last_observed: float  # seconds on the caller's clock


@dataclass(frozen=True, slots=True)
class StageChange:
    """An ordered change of an instance's stage.

    It is retained after its timeout, until the instance gets another order or reports another stage.
    """

    old_stage: str
    expires_at: float  # when the change counts as failed, in seconds on the caller's clock


class Registry:
    """The instances known to one control member; their records are stored by its `Dissemination`."""

    def __init__(self, heartbeat_s: float, now: float, max_instances: int = DEFAULT_MAX_INSTANCES) -> None:
        self.heartbeat_s = heartbeat_s
        self.max_instances = max_instances
        self.heartbeats: dict[str, Heartbeat] = {}
        self.instances: dict[str, Instance] = {}
        self.stamps: dict[str, tuple[int, int]] = {}
        self.unregistered: dict[str, float] = {}
        self.unsent_heartbeats: dict[str, int] = {}
        self.last_expiry_check = now
        self.stage_changes: dict[str, StageChange] = {}  # by instance
        self.warmup = WarmupTable()

    def has_room_for(self, identity: str) -> bool:
        """Return whether an instance may register: it is known, or others leave room for it."""
        return identity in self.instances or len(self.instances) < self.max_instances

    def may_unregister(self, identity: str) -> bool:
        """Return whether an instance may unregister: it is known, or there is room to remember an unknown one."""
        is_known = identity in self.instances or identity in self.unregistered
        return is_known or len(self.unregistered) < self.max_instances

    def record_heartbeat(self, now: float, instance: Instance, sequence: int) -> GossipRecord | None:
        """Record a heartbeat.

        Returns:
            The instance's new record if the heartbeat changes it. None if it changes nothing, is not newer than the
            newest known heartbeat, or comes from an identity that has unregistered.

        """
        identity = instance.identity
        if identity in self.unregistered:
            return None
        heartbeat = self.heartbeats.get(identity)
        if heartbeat is not None and sequence <= heartbeat.sequence:
            return None
        self.heartbeats[identity] = Heartbeat(sequence, now)
        self.unsent_heartbeats[identity] = sequence
        instance = self._with_stage_change(now, instance)
        if self.instances.get(identity) == instance:
            return None
        return self._update(instance, (sequence, 0))

    def record_warmup(self, now: float, identity: str, remaining_s: float, sequence: int) -> GossipRecord | None:
        """Record from a heartbeat how long an instance stays cold; return the warmup record to publish, or None.

        The caller calls `record_heartbeat` for the same heartbeat next. A repeated heartbeat, or one older than the
        newest known, is ignored: it may have been sent before the instance was suspected.
        """
        heartbeat = self.heartbeats.get(identity)
        if identity in self.unregistered or (heartbeat is not None and sequence <= heartbeat.sequence):
            return None
        return self.warmup.record_heartbeat(now, identity, remaining_s, sequence)

    def _with_stage_change(self, now: float, instance: Instance) -> Instance:
        """Return the instance with the state SWITCHING while its stage change is in progress.

        Until the change is done, heartbeats still report the old stage and READY. A report of any other stage ends the
        change, also if another member received it first: the instance may have sent its heartbeats there.
        """
        is_changing = self._is_changing_stage(now, instance)
        return replace(instance, state=SWITCHING) if is_changing and instance.state == READY else instance

    def _is_changing_stage(self, now: float, instance: Instance) -> bool:
        """Return whether the instance is still changing from the stage it reports; another stage ends the change."""
        change = self.stage_changes.get(instance.identity)
        if change is not None and instance.stage != change.old_stage:
            del self.stage_changes[instance.identity]
            return False
        return change is not None and now < change.expires_at

    def begin_stage_change(self, now: float, identity: str) -> GossipRecord | None:
        """Mark an instance as switching after an order; return its record, or None if it is not ready."""
        instance = self.instances.get(identity)
        if instance is None or instance.state != READY:
            return None
        self.stage_changes[identity] = StageChange(instance.stage, now + STAGE_CHANGE_TIMEOUT_S)
        return self._update(replace(instance, state=SWITCHING), self._stamp_after(identity))

    def _update(self, instance: Instance, stamp: tuple[int, int]) -> GossipRecord:
        self.instances[instance.identity] = instance
        self.stamps[instance.identity] = stamp
        return record_of(instance, *stamp)

    def unregister(self, now: float, identity: str) -> GossipRecord:
        """Remove an instance at its own request, and return its tombstone.

        Heartbeats of the identity are ignored for UNREGISTERED_RETENTION_S.
        """
        self.unregistered[identity] = now
        self._remove(identity)
        return GossipRecord(INSTANCE_PREFIX + identity, (UNREGISTERED_SEQUENCE, 0), b"", True)

    def unregister_warmup(self, identity: str) -> GossipRecord:
        """Return the tombstone of the warmup record of an instance that has unregistered."""
        return warmup_tombstone(identity, (UNREGISTERED_SEQUENCE, 0))

    def _remove(self, identity: str) -> None:
        self.instances.pop(identity, None)
        self.stamps.pop(identity, None)
        self.heartbeats.pop(identity, None)
        self.unsent_heartbeats.pop(identity, None)
        self.stage_changes.pop(identity, None)
        self.warmup.forget(identity)

    def apply_record(self, now: float, record: GossipRecord) -> None:
        """Apply an instance's record that was received from another member."""
        identity = record.key.removeprefix(INSTANCE_PREFIX)
        instance = instance_of(record)
        if instance is None:
            if record.stamp[0] == UNREGISTERED_SEQUENCE:
                self.unregistered[identity] = now
            self._remove(identity)
            return
        if identity in self.unregistered or self.stamps.get(identity, (-1, 0)) >= record.stamp:
            return
        self.instances[identity] = instance
        self.stamps[identity] = record.stamp
        self._apply_stage_change(now, instance, record.stamp[1] > 0)
        heartbeat = self.heartbeats.get(identity)
        if heartbeat is None or heartbeat.sequence < record.stamp[0]:
            self.heartbeats[identity] = Heartbeat(record.stamp[0], now)

    def _apply_stage_change(self, now: float, instance: Instance, is_order: bool) -> None:
        """Apply a stage change from another member; `is_order` is True if the record comes from an order.

        The record of a heartbeat during a change informs a member that missed the order. It must not restart a change
        that has timed out: members would prolong the change for each other, and the instance would never be used.
        """
        is_changing = self._is_changing_stage(now, instance)
        is_timed_out = instance.identity in self.stage_changes and not is_changing
        if instance.state == SWITCHING and not is_changing and (is_order or not is_timed_out):
            self.stage_changes[instance.identity] = StageChange(instance.stage, now + STAGE_CHANGE_TIMEOUT_S)

    def apply_liveness(self, now: float, liveness: Liveness) -> None:
        """Apply the sequence numbers of heartbeats that another control member received."""
        for identity, sequence in liveness.rows:
            heartbeat = self.heartbeats.get(identity)
            if heartbeat is not None and sequence > heartbeat.sequence:
                heartbeat.sequence = sequence
                heartbeat.last_observed = now

    def collect_liveness(self) -> Liveness | None:
        """Return the heartbeats received here since the last call, or None if there were none."""
        rows = tuple(self.unsent_heartbeats.items())
        self.unsent_heartbeats = {}
        return Liveness(rows) if rows else None

    def expire(self, now: float, is_connected: bool) -> list[GossipRecord]:
        """Mark silent instances as lost; return their records.

        After a stall of this process, or while this member is disconnected, silence proves nothing: the silence of
        every instance then counts as at most one heartbeat interval.
        """
        is_stalled = now - self.last_expiry_check > self.heartbeat_s
        self.last_expiry_check = now
        if is_stalled or not is_connected:
            for heartbeat in self.heartbeats.values():
                heartbeat.last_observed = max(heartbeat.last_observed, now - self.heartbeat_s)
        lost: list[GossipRecord] = []
        for identity, heartbeat in self.heartbeats.items():
            instance = self.instances.get(identity)
            is_silent = now - heartbeat.last_observed > MAX_MISSED_HEARTBEATS * self.heartbeat_s
            if is_silent and instance is not None and instance.state in (READY, SWITCHING):
                lost += self.warmup.suspect(now, (identity,))
                lost.append(self._update(replace(instance, state=LOST), self._stamp_after(identity)))
        return lost

    def _stamp_after(self, identity: str) -> tuple[int, int]:
        """Return the stamp for a state change derived here: above the newest record, below any later heartbeat.

        It is not based on the newest known heartbeat: the record of that heartbeat may not have arrived yet, and may
        say that the instance drains.
        """
        sequence, minor = self.stamps.get(identity, (0, 0))
        return sequence, minor + 1

    def mark_reachable(self, now: float, identities: Iterable[str]) -> list[GossipRecord]:
        """Record that instances responded to a request: they are live even if their heartbeats do not arrive.

        If several identities share an address, as after a restart, the response counts for the one heard from last.

        Returns:
            The records of instances that were marked lost and are ready again.

        """
        recovered: list[GossipRecord] = []
        latest = self._latest_by_address()
        for identity in identities:
            instance = self.instances.get(identity)
            heartbeat = self.heartbeats.get(identity)
            if instance is None or heartbeat is None or latest[instance.address] != identity:
                continue
            heartbeat.last_observed = now
            if instance.state == LOST:
                recovered.append(self._update(replace(instance, state=READY), self._stamp_after(identity)))
        return recovered

    def _latest_by_address(self) -> dict[str, str]:
        """Return, by address, the identity of the instance heard from last."""
        in_order = sorted(self.heartbeats, key=lambda identity: self.heartbeats[identity].last_observed)
        return {self.instances[identity].address: identity for identity in in_order if identity in self.instances}

    def purge(self, now: float) -> list[GossipRecord]:
        """Remove lost and draining instances after SILENT_RETENTION_S, and expired unregistered identities.

        Returns:
            Tombstones of the removed instances.

        """
        self.unregistered = {
            identity: since for identity, since in self.unregistered.items() if now - since < UNREGISTERED_RETENTION_S
        }
        inactive = {identity for identity, instance in self.instances.items() if instance.state in (LOST, DRAINING)}
        expired = [
            identity
            for identity, heartbeat in self.heartbeats.items()
            if identity in inactive and now - heartbeat.last_observed > SILENT_RETENTION_S
        ]
        tombstones = [
            GossipRecord(INSTANCE_PREFIX + identity, self._stamp_after(identity), b"", True) for identity in expired
        ]
        tombstones += [tombstone for identity in expired if (tombstone := self.warmup.tombstone(identity)) is not None]
        for identity in expired:
            self._remove(identity)
        return tombstones
