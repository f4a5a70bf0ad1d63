"""Accounts from the control service to heads: parts of the ledger in the order of its changes, one on its way at once.

A head says up to which change it has them, and gets the later ones alone. Where it has another ledger's, or what it
lacks was forgotten, it begins anew, with everything. Either way it collects parts beside what it has, and writes them
with the last one, in one transaction: what is in force at a head was at one moment in force at the service.
"""

from __future__ import annotations

from msgspec import Struct

from hophinge.state.rows import Row

CHUNK_ROWS = 500  # rows of one part, and what more its last change has


class AccountChunk(Struct, frozen=True):
    """What is sent at once: rows of whole changes, up to a number."""

    epoch: int  # of the ledger
    seq: int
    replaces_all: bool  # in place of what the head has
    is_first: bool
    is_last: bool  # all is here
    rows: tuple[Row, ...]


class AccountSender:
    """The service's side for one head; whoever drives it fetches the rows."""

    def __init__(self, epoch: int, newest: int, floor: int, receiver_epoch: int, receiver_seq: int) -> None:
        self.epoch, self.seq = epoch, receiver_seq
        self.replaces_all = self.is_first = False
        self.removed_after_seq = -1
        self.in_flight_seq = 0
        self.sent_last = True  # the part that went out last was the last one
        self.awaits_acknowledgement = False
        if receiver_epoch != epoch or not floor <= receiver_seq <= newest:
            self._restart(newest)

    def _restart(self, newest: int) -> None:
        # Of what was removed before a head begins anew, it needs to hear nothing.
        self.replaces_all, self.is_first, self.sent_last, self.seq, self.removed_after_seq = (
            True,
            True,
            False,
            0,
            newest,
        )

    def needs_chunk(self, newest: int, floor: int) -> bool:
        """Tell whether a part is to be fetched: rows after `seq`, removed ones after `gone_after`."""
        if not self.awaits_acknowledgement and (self.removed_after_seq if self.replaces_all else self.seq) < floor:
            self._restart(newest)  # it was so slow that names which it lacks were forgotten
        return not self.awaits_acknowledgement and (not self.sent_last or self.seq < newest)

    def next_chunk(self, rows: list[Row], newest: int) -> AccountChunk:
        """Make the next part of the rows that were fetched; fewer than asked for: there are no more."""
        last = len(rows) < CHUNK_ROWS
        self.in_flight_seq, self.sent_last = newest if last else rows[-1].seq, last
        self.awaits_acknowledgement = True
        chunk = AccountChunk(self.epoch, self.in_flight_seq, self.replaces_all, self.is_first, last, tuple(rows))
        self.is_first = False
        return chunk

    def acknowledge(self, seq: int) -> None:
        """Take what a head says it has; what it did not have, or says late, changes nothing."""
        if self.awaits_acknowledgement and seq == self.in_flight_seq:
            self.awaits_acknowledgement, self.seq = False, seq
            if self.sent_last:
                self.replaces_all = False


class AccountReceiver:
    """A head's side: what to write, once all that was sent since the last whole state is here.

    Parts between hold rows as they are now, not as they were then: written one by one they would mix what never was.
    """

    def __init__(self, epoch: int, seq: int) -> None:
        self.epoch, self.seq = epoch, seq
        self.staged: dict[tuple[str, str], Row] = {}

    def discard_staged(self) -> None:
        """Drop what a stream that has ended left."""
        self.staged = {}

    def receive(self, chunk: AccountChunk) -> tuple[list[Row], bool] | None:
        """Tell the rows to write, and whether they are all there is; None: nothing is to be written for this part."""
        if chunk.is_first:
            self.staged = {}
        for row in chunk.rows:
            self.staged[row.kind, row.name] = row
        if not chunk.is_last:
            return None
        rows = [row for row in self.staged.values() if row.body is not None or not chunk.replaces_all]
        return (rows, chunk.replaces_all) if rows or chunk.replaces_all else None

    def commit(self, chunk: AccountChunk) -> None:
        """Note that what `take` told is written."""
        self.epoch, self.seq, self.staged = chunk.epoch, chunk.seq, {}
