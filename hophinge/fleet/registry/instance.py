"""An instance as it registers, and the replicated record that describes it."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.codec import decode, encode, wire
from hophinge.coordination.dissemination import GossipRecord

INSTANCE_PREFIX = "instance/"
READY = "ready"
DRAINING = "draining"
LOST = "lost"  # no heartbeat for longer than the registry allows
SWITCHING = "switching"  # ordered to change its stage; gets no requests until it has


@wire(70)
@dataclass(frozen=True, slots=True)
class Model:
    """A model that an instance serves, with the version of its weights."""

    name: str
    version: int


@wire(71)
@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of an instance. `stage` is empty for a service without prefill and decode stages."""

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
    """Return the record of an instance.

    Args:
        instance: The instance to record.
        sequence: The sequence number of the heartbeat that the record is based on.
        minor: 0 for the heartbeat itself; increases with each state change that the registry derives after it.

    """
    return GossipRecord(INSTANCE_PREFIX + instance.identity, (sequence, minor), encode(instance))


def instance_of(record: GossipRecord) -> Instance | None:
    """Return the instance that a record describes; None for a tombstone or a record of another kind."""
    if record.is_deleted or not record.key.startswith(INSTANCE_PREFIX):
        return None
    value = decode(record.value)
    return value if isinstance(value, Instance) else None
