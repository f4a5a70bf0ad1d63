"""Accounts from the control service to heads: parts of the ledger in the order of its changes, one on its way at once.

A head says up to which change it has them, and gets the later ones alone. Where it has another ledger's, or what it
lacks was forgotten, it begins anew, with everything. Either way it collects parts beside what it has, and writes them
with the last one, in one transaction: what is in force at a head was at one moment in force at the service.
"""

from __future__ import annotations

from msgspec import Struct

from hophinge.state.rows import Row

PART = 500  # rows of one part, and what more its last change has


class Part(Struct, frozen=True):
    """What is sent at once: rows of whole changes, up to a number."""

    epoch: int  # of the ledger
    seq: int
    anew: bool  # in place of what the head has
    first: bool
    last: bool  # all is here
    rows: tuple[Row, ...]


class Feed:
    """The service's side for one head; whoever drives it fetches the rows."""

    def __init__(self, epoch: int, newest: int, floor: int, held_epoch: int, held_seq: int) -> None:
        self.epoch, self.seq = epoch, held_seq
        self.anew = self.first = False
        self.gone_after = -1
        self.on_way = 0
        self.ends = True  # the part that went out last was the last one
        self.waiting = False
        if held_epoch != epoch or not floor <= held_seq <= newest:
            self._begin(newest)

    def _begin(self, newest: int) -> None:
        # Of what was removed before a head begins anew, it needs to hear nothing.
        self.anew, self.first, self.ends, self.seq, self.gone_after = True, True, False, 0, newest

    def due(self, newest: int, floor: int) -> bool:
        """Tell whether a part is to be fetched: rows after `seq`, removed ones after `gone_after`."""
        if not self.waiting and (self.gone_after if self.anew else self.seq) < floor:
            self._begin(newest)  # it was so slow that names which it lacks were forgotten
        return not self.waiting and (not self.ends or self.seq < newest)

    def part(self, rows: list[Row], newest: int) -> Part:
        """Make the next part of the rows that were fetched; fewer than asked for: there are no more."""
        last = len(rows) < PART
        self.on_way, self.ends = newest if last else rows[-1].seq, last
        self.waiting = True
        made = Part(self.epoch, self.on_way, self.anew, self.first, last, tuple(rows))
        self.first = False
        return made

    def acked(self, seq: int) -> None:
        """Take what a head says it has; what it did not have, or says late, changes nothing."""
        if self.waiting and seq == self.on_way:
            self.waiting, self.seq = False, seq
            if self.ends:
                self.anew = False


class Taker:
    """A head's side: what to write, once all that was sent since the last whole state is here.

    Parts between hold rows as they are now, not as they were then: written one by one they would mix what never was.
    """

    def __init__(self, epoch: int, seq: int) -> None:
        self.epoch, self.seq = epoch, seq
        self.beside: dict[tuple[str, str], Row] = {}

    def begin(self) -> None:
        """Drop what a stream that has ended left."""
        self.beside = {}

    def take(self, part: Part) -> tuple[list[Row], bool] | None:
        """Tell the rows to write, and whether they are all there is; None: nothing is to be written for this part."""
        if part.first:
            self.beside = {}
        for row in part.rows:
            self.beside[row.kind, row.name] = row
        if not part.last:
            return None
        rows = [row for row in self.beside.values() if row.body is not None or not part.anew]
        return (rows, part.anew) if rows or part.anew else None

    def written(self, part: Part) -> None:
        """Note that what `take` told is written."""
        self.epoch, self.seq, self.beside = part.epoch, part.seq, {}
