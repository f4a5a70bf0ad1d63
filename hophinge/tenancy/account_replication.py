"""Replication of accounts from the control service to heads: the ledger is sent in chunks, one in flight at a time.

Chunks follow the order of the ledger's changes. A head reports the last change that it has, and gets only later ones.
It gets the full ledger again if it has the rows of another ledger, or if tombstones that it lacks were already deleted.
In both cases it stages the chunks and writes them together with the last one, in one transaction. The state in force at
a head is therefore always one that was in force at the service at some moment.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct

from hophinge.state.rows import Row

CHUNK_ROWS = 500  # rows of one chunk; may be exceeded, so that the last change is sent whole


class AccountChunk(Struct, frozen=True):
    """One message of the replication: the rows of complete changes, up to a change number."""

    epoch: int  # of the ledger
    seq: int  # number of the last change
    replaces_all: bool  # these rows replace everything that the head has
    is_first: bool
    is_last: bool  # the ledger has no newer changes
    rows: tuple[Row, ...]


class AccountSender:
    """The service's side for one head; the caller reads the rows from the ledger.

    Args:
        epoch: Epoch of the service's ledger.
        newest: The ledger's last change.
        floor: Change number below which the ledger has deleted tombstones.
        receiver_epoch: Epoch of the ledger whose rows the head has.
        receiver_seq: The last change that the head has.

    """

    def __init__(self, epoch: int, newest: int, floor: int, receiver_epoch: int, receiver_seq: int) -> None:
        self.epoch = epoch
        self.seq = receiver_seq  # the last acknowledged change
        self.replaces_all = False
        self.is_first = False
        self.removed_after_seq = -1
        self.in_flight_seq = 0
        self.sent_last = True
        self.awaits_acknowledgement = False
        if receiver_epoch != epoch or not floor <= receiver_seq <= newest:
            self._restart(newest)

    def _restart(self, newest: int) -> None:
        """Send the full ledger; tombstones of rows that were removed before need not be sent."""
        self.replaces_all = True
        self.is_first = True
        self.sent_last = False
        self.seq = 0
        self.removed_after_seq = newest

    def needs_chunk(self, newest: int, floor: int) -> bool:
        """Return whether to fetch rows: those changed after `seq`, and tombstones after `removed_after_seq`."""
        if self.awaits_acknowledgement:
            return False
        if (self.removed_after_seq if self.replaces_all else self.seq) < floor:
            self._restart(newest)  # the head fell behind so far that tombstones which it lacks were deleted
        return not self.sent_last or self.seq < newest

    def next_chunk(self, rows: list[Row], newest: int) -> AccountChunk:
        """Return the chunk with the rows that were fetched; it is the last one if they are fewer than `CHUNK_ROWS`."""
        is_last = len(rows) < CHUNK_ROWS
        self.in_flight_seq = newest if is_last else rows[-1].seq
        self.sent_last = is_last
        self.awaits_acknowledgement = True
        chunk = AccountChunk(self.epoch, self.in_flight_seq, self.replaces_all, self.is_first, is_last, tuple(rows))
        self.is_first = False
        return chunk

    def acknowledge(self, seq: int) -> None:
        """Record a head's acknowledgement; it is ignored unless it is for the chunk in flight."""
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
    """A head's side: stages chunks, and returns the rows to write once the last chunk is received.

    Chunks hold the newest state of each row, not its state at the time of a change. If chunks were written one by one,
    a head could have a mixture of rows that never existed at the service.
    """

    def __init__(self, epoch: int, seq: int) -> None:
        self.epoch = epoch
        self.seq = seq
        self.staged: dict[tuple[str, str], Row] = {}  # by kind and name

    def discard_staged(self) -> None:
        """Drop the rows that a stream which has ended left staged."""
        self.staged = {}

    def receive(self, chunk: AccountChunk) -> ReceivedRows | None:
        """Stage a chunk; return the rows to write if it is the last one. None: there is nothing to write."""
        if chunk.is_first:
            self.staged = {}
        for row in chunk.rows:
            self.staged[row.kind, row.name] = row
        if not chunk.is_last:
            return None
        rows = [row for row in self.staged.values() if row.body is not None or not chunk.replaces_all]
        return ReceivedRows(rows, chunk.replaces_all) if rows or chunk.replaces_all else None

    def commit(self, chunk: AccountChunk) -> None:
        """Record that the rows which `receive` returned for a chunk were written."""
        self.epoch = chunk.epoch
        self.seq = chunk.seq
        self.staged = {}
