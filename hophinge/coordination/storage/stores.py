"""The durable states of a control member: that of its replica of the chain, and that of its shared counters."""

from __future__ import annotations

from hophinge.coordination.counter_messages import CounterStateRecord
from hophinge.coordination.counters import Increment
from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.storage.store import DurableStore
from hophinge.coordination.storage.volume import StorageVolume

COUNTER_PREFIX = "counters-"  # of the names of the counters' files, which stand beside the replica's

ReplicaStore = DurableStore[StateRecord, LogRecord]
CounterStore = DurableStore[CounterStateRecord, Increment]


def replica_store(volume: StorageVolume) -> ReplicaStore:
    """Return the store of a replica of the chain."""
    return DurableStore(volume, StateRecord)


def counter_store(volume: StorageVolume) -> CounterStore:
    """Return the store of the shared counters."""
    return DurableStore(volume, CounterStateRecord, COUNTER_PREFIX)
