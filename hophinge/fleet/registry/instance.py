"""An instance as it registers, and the record under which members know it."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import decode, encode, wire
from hophinge.coordination.dissemination import GossipRecord

INSTANCE_PREFIX = "instance/"
READY, DRAINING, LOST, SWITCHING = "ready", "draining", "lost", "switching"


@wire(70)
@dataclass(frozen=True, slots=True)
class Model:
    """A model that an instance serves, with the version of its weights."""

    name: str
    version: int


@wire(71)
@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of an instance. `stage` is empty for a service without prefill and decode."""

    identity: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    stage: str
    models: tuple[Model, ...]


def record_of(instance: Instance, sequence: int, minor: int = 0) -> GossipRecord:
    """Put an instance into a record; `minor` tells what the registry concluded after the heartbeat `sequence`."""
    return GossipRecord(INSTANCE_PREFIX + instance.identity, (sequence, minor), encode(instance))


def instance_of(record: GossipRecord) -> Instance | None:
    """Read a record back; None where it is gone, or holds something else."""
    if record.is_deleted or not record.key.startswith(INSTANCE_PREFIX):
        return None
    value = decode(record.value)
    return value if isinstance(value, Instance) else None
