"""How records that a disk held are applied to a replica that starts."""

from __future__ import annotations

from typing import Protocol

from hophinge.coordination.agreement import Acceptor
from hophinge.coordination.chain import ChainReplica
from hophinge.coordination.messages import EntryRecord, LogRecord, StateRecord, SyncedRecord, ViewRecord, VoteRecord
from hophinge.coordination.view import View


class Durable(Protocol):
    """What lasts of a replica."""

    view: View | None
    acceptor: Acceptor
    chain: ChainReplica


def apply_record(replica: Durable, record: LogRecord | StateRecord) -> None:
    """Apply one record, in the order in which it was written."""
    registers = replica.chain.registers
    match record:
        case StateRecord():
            replica.view, replica.acceptor.vote = record.view, record.vote
            replica.chain.synced_view = record.synced_view
            registers.restore(record.snapshot)
        case ViewRecord(view):
            replica.view = view
        case VoteRecord():
            replica.acceptor.vote = record
        case EntryRecord(entry):
            registers.apply(entry)
        case SyncedRecord(view=number, snapshot=snapshot):
            replica.chain.synced_view = number
            if snapshot is not None:
                registers.restore(snapshot)
