"""The registry at one control member: heartbeats come in, records of what changed go out.

Only changes are told to the data planes. Between control members goes the sequence of each instance's last heartbeat,
so that none takes an instance for lost that beats at another.
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

MISSED = 4.0  # heartbeats that are missed before an instance is taken for lost
SWITCH_S = 12.0  # an instance ordered to change its stage is spared for so long at most
FORGET_S = 600.0  # silence after which a lost or leaving instance is dropped, until its next heartbeat
REMEMBER_S = 600.0  # how long an instance that has unregistered is remembered as ended
ENDED = 1 << 62  # the sequence of an instance that has unregistered: above any heartbeat


@wire(72)
@dataclass(frozen=True, slots=True)
class Liveness:
    """The newest heartbeat of instances that one control member heard since it told of them last."""

    rows: tuple[tuple[str, int], ...]


@dataclass(slots=True)
class Beat:
    """The newest heartbeat known of an instance."""

    sequence: int
    heard: float


@dataclass(frozen=True, slots=True)
class StageChange:
    """An ordered change of an instance's stage; kept when given up, until another one or the next stage."""

    old_stage: str
    until: float  # when it counts as not carried out, in seconds on the caller's clock


class Registry:
    """What one control member knows of instances; records live in its dissemination."""

    def __init__(self, heartbeat_s: float, now: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.beats: dict[str, Beat] = {}
        self.instances: dict[str, Instance] = {}
        self.stamps: dict[str, tuple[int, int]] = {}
        self.ended: dict[str, float] = {}
        self.unsent_beats: dict[str, int] = {}
        self.ticked = now
        self.changes: dict[str, StageChange] = {}  # by instance

    def heartbeat(self, now: float, instance: Instance, sequence: int) -> GossipRecord | None:
        """Take a heartbeat; tells the record where it changes what is known."""
        identity = instance.identity
        if identity in self.ended:
            return None
        beat = self.beats.get(identity)
        if beat is not None and sequence <= beat.sequence:
            return None
        self.beats[identity] = Beat(sequence, now)
        self.unsent_beats[identity] = sequence
        instance = self._as_switching(now, instance)
        if self.instances.get(identity) == instance:
            return None
        return self._change(instance, (sequence, 0))

    def _as_switching(self, now: float, instance: Instance) -> Instance:
        """While an instance changes its stage, its heartbeats still tell of the old one.

        Any other stage ends the change, whoever heard of the new one first: the heartbeats may have moved here since.
        """
        under_way = self._change_under_way(now, instance)
        return replace(instance, state=SWITCHING) if under_way and instance.state == READY else instance

    def _change_under_way(self, now: float, instance: Instance) -> bool:
        """Tell whether an instance is changing the stage that it has here; a change to any other one is done."""
        change = self.changes.get(instance.identity)
        if change is not None and instance.stage != change.old_stage:
            del self.changes[instance.identity]
            return False
        return change is not None and now < change.until

    def switching(self, now: float, identity: str) -> GossipRecord | None:
        """An instance was ordered to change its stage."""
        instance = self.instances.get(identity)
        if instance is None or instance.state != READY:
            return None
        self.changes[identity] = StageChange(instance.stage, now + SWITCH_S)
        return self._change(replace(instance, state=SWITCHING), self._stamp_after(identity))

    def _change(self, instance: Instance, stamp: tuple[int, int]) -> GossipRecord:
        self.instances[instance.identity] = instance
        self.stamps[instance.identity] = stamp
        return record_of(instance, *stamp)

    def unregister(self, now: float, identity: str) -> GossipRecord:
        """An instance ends by its own word; it never comes back under this identity."""
        self.ended[identity] = now
        self._drop(identity)
        return GossipRecord(INSTANCE_PREFIX + identity, (ENDED, 0), b"", True)

    def _drop(self, identity: str) -> None:
        self.instances.pop(identity, None)
        self.stamps.pop(identity, None)
        self.beats.pop(identity, None)
        self.unsent_beats.pop(identity, None)
        self.changes.pop(identity, None)

    def learn(self, now: float, record: GossipRecord) -> None:
        """Take a record that another member told."""
        identity = record.key.removeprefix(INSTANCE_PREFIX)
        instance = instance_of(record)
        if instance is None:
            if record.stamp[0] == ENDED:
                self.ended[identity] = now
            self._drop(identity)
            return
        if identity in self.ended or self.stamps.get(identity, (-1, 0)) >= record.stamp:
            return
        self.instances[identity], self.stamps[identity] = instance, record.stamp
        self._learn_change(now, instance, record.stamp[1] > 0)
        beat = self.beats.get(identity)
        if beat is None or beat.sequence < record.stamp[0]:
            self.beats[identity] = Beat(record.stamp[0], now)

    def _learn_change(self, now: float, instance: Instance, ordered: bool) -> None:
        """Learn of a change from another member; `ordered` where the record is that of an order.

        The record of a heartbeat during a change tells whoever missed the order. Where the change was given up it
        brings nothing back: members would prolong it for one another, and the instance would be spared for ever.
        """
        under_way = self._change_under_way(now, instance)
        given_up = instance.identity in self.changes and not under_way
        if instance.state == SWITCHING and not under_way and (ordered or not given_up):
            self.changes[instance.identity] = StageChange(instance.stage, now + SWITCH_S)

    def heard_elsewhere(self, now: float, liveness: Liveness) -> None:
        """Take what another control member heard."""
        for identity, sequence in liveness.rows:
            beat = self.beats.get(identity)
            if beat is not None and sequence > beat.sequence:
                beat.sequence, beat.heard = sequence, now

    def liveness(self) -> Liveness | None:
        """Tell what was heard here since the last call."""
        rows, self.unsent_beats = tuple(self.unsent_beats.items()), {}
        return Liveness(rows) if rows else None

    def expire(self, now: float, listening: bool) -> list[GossipRecord]:
        """Tell the instances that have fallen silent; while this member hears little itself, none is accused."""
        stalled = now - self.ticked > self.heartbeat_s
        self.ticked = now
        if stalled or not listening:
            for beat in self.beats.values():
                beat.heard = max(beat.heard, now - self.heartbeat_s)
        lost: list[GossipRecord] = []
        for identity, beat in self.beats.items():
            instance = self.instances.get(identity)
            silent = now - beat.heard > MISSED * self.heartbeat_s
            if silent and instance is not None and instance.state in (READY, SWITCHING):
                lost.append(self._change(replace(instance, state=LOST), self._stamp_after(identity)))
        return lost

    def _stamp_after(self, identity: str) -> tuple[int, int]:
        """Tell the stamp of what is concluded here: above the record it is drawn from, and below any heartbeat since.

        A newer heartbeat may have been heard of whose record, that the instance is leaving, has not come yet.
        """
        sequence, minor = self.stamps.get(identity, (0, 0))
        return sequence, minor + 1

    def seen(self, now: float, identities: Iterable[str]) -> list[GossipRecord]:
        """Instances answered a question: they live, though their heartbeats may not arrive; tells those found again."""
        found: list[GossipRecord] = []
        for identity in identities:
            instance, beat = self.instances.get(identity), self.beats.get(identity)
            if instance is None or beat is None:
                continue
            beat.heard = now
            if instance.state == LOST:
                found.append(self._change(replace(instance, state=READY), self._stamp_after(identity)))
        return found

    def forget(self, now: float) -> list[GossipRecord]:
        """Drop lost instances that have been silent for long, and ends that nobody asks about any more."""
        self.ended = {identity: at for identity, at in self.ended.items() if now - at < REMEMBER_S}
        leaving = {identity for identity, instance in self.instances.items() if instance.state in (LOST, DRAINING)}
        old = [identity for identity, beat in self.beats.items() if identity in leaving and now - beat.heard > FORGET_S]
        records = [GossipRecord(INSTANCE_PREFIX + identity, self._stamp_after(identity), b"", True) for identity in old]
        for identity in old:
            self._drop(identity)
        return records
