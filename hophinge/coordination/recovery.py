"""Recovery of a replica's state from the records on its disk."""

from __future__ import annotations

from hophinge.coordination.messages import EntryRecord, LogRecord, StateRecord, SyncedRecord, ViewRecord, VoteRecord
from hophinge.coordination.replica_state import ReplicaState


def apply_record(state: ReplicaState, record: LogRecord | StateRecord) -> None:
    """Apply one record; records have to be applied in the order in which they were written."""
    registers = state.chain.registers
    match record:
        case StateRecord():
            state.view = record.view
            state.acceptor.vote = record.vote
            state.chain.synced_view = record.synced_view
            registers.restore(record.snapshot)
        case ViewRecord(view):
            state.view = view
        case VoteRecord():
            state.acceptor.vote = record
        case EntryRecord(entry):
            registers.apply(entry)
        case SyncedRecord(view_number=view_number, snapshot=snapshot):
            state.chain.synced_view = view_number
            if snapshot is not None:
                registers.restore(snapshot)
