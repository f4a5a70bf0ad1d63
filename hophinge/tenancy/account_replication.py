"""Accounts from the control service to heads: chunks of the ledger in the order of its changes, one in flight at once.

A head says up to which change it has them, and gets the later ones alone. Where it has another ledger's, or what it
lacks was forgotten, it gets everything again. Either way it stages chunks beside what it has, and writes them with the
last one, in one transaction: what is in force at a head was at one moment in force at the service.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from hophinge.state.rows import Row

CHUNK_ROWS = 500  # rows of one chunk; the rest of its last change may exceed it


class AccountChunk(Struct, frozen=True):
    """What is sent at once: the rows of complete changes, up to a number."""

    epoch: int  # of the ledger
    seq: int  # of the last change
    replaces_all: bool  # these rows replace everything that the head has
    is_first: bool
    is_last: bool  # nothing newer is known
    rows: tuple[Row, ...]


class AccountSender:
    """The service's side for one head; its caller fetches the rows.

    Args:
        epoch: Of the service's ledger.
        newest: The ledger's last change.
        floor: The oldest change whose removed rows are still known.
        receiver_epoch: Of the ledger whose rows the head has.
        receiver_seq: The last change that the head has.

    """

    def __init__(self, epoch: int, newest: int, floor: int, receiver_epoch: int, receiver_seq: int) -> None:
        self.epoch = epoch
        self.seq = receiver_seq  # acknowledged
        self.replaces_all = False
        self.is_first = False
        self.removed_after_seq = -1
        self.in_flight_seq = 0
        self.sent_last = True
        self.awaits_acknowledgement = False
        if receiver_epoch != epoch or not floor <= receiver_seq <= newest:
            self._restart(newest)

    def _restart(self, newest: int) -> None:
        """Begin with everything; rows that were removed before need not be sent as removed."""
        self.replaces_all = True
        self.is_first = True
        self.sent_last = False
        self.seq = 0
        self.removed_after_seq = newest

    def needs_chunk(self, newest: int, floor: int) -> bool:
        """Return whether to fetch rows: those after `seq`, removed ones after `removed_after_seq`."""
        if self.awaits_acknowledgement:
            return False
        if (self.removed_after_seq if self.replaces_all else self.seq) < floor:
            self._restart(newest)  # the head was so slow that names which it lacks were forgotten
        return not self.sent_last or self.seq < newest

    def next_chunk(self, rows: list[Row], newest: int) -> AccountChunk:
        """Return the chunk of rows that were fetched; fewer than `CHUNK_ROWS` are the last ones."""
        is_last = len(rows) < CHUNK_ROWS
        self.in_flight_seq = newest if is_last else rows[-1].seq
        self.sent_last = is_last
        self.awaits_acknowledgement = True
        chunk = AccountChunk(self.epoch, self.in_flight_seq, self.replaces_all, self.is_first, is_last, tuple(rows))
        self.is_first = False
        return chunk

    def acknowledge(self, seq: int) -> None:
        """Record what a head says it has; an acknowledgement of anything but the chunk in flight is ignored."""
        if self.awaits_acknowledgement and seq == self.in_flight_seq:
            self.awaits_acknowledgement = False
            self.seq = seq
            if self.sent_last:
                self.replaces_all = False


class ReceivedRows(NamedTuple):
    """Rows to write in one transaction."""

    rows: list[Row]
    replaces_all: bool


class AccountReceiver:
    """A head's side: what to write, once everything that was sent since the last complete state is here.

    Chunks hold rows as they are now, not as they were then: written one by one they would mix what never was.
    """

    def __init__(self, epoch: int, seq: int) -> None:
        self.epoch = epoch
        self.seq = seq
        self.staged: dict[tuple[str, str], Row] = {}  # by kind and name

    def discard_staged(self) -> None:
        """Drop what a stream that has ended left."""
        self.staged = {}

    def receive(self, chunk: AccountChunk) -> ReceivedRows | None:
        """Stage a chunk; with the last one, return what to write. None: nothing is to be written yet."""
        if chunk.is_first:
            self.staged = {}
        for row in chunk.rows:
            self.staged[row.kind, row.name] = row
        if not chunk.is_last:
            return None
        rows = [row for row in self.staged.values() if row.body is not None or not chunk.replaces_all]
        return ReceivedRows(rows, chunk.replaces_all) if rows or chunk.replaces_all else None

    def commit(self, chunk: AccountChunk) -> None:
        """Record that what `receive` returned for a chunk is written."""
        self.epoch = chunk.epoch
        self.seq = chunk.seq
        self.staged = {}
