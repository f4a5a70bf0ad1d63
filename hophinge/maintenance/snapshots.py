"""Lists that a head reports repeatedly: sent as changes with a digest of the complete list, in full on request.

The digest is the sum of the row digests, so both sides update it with each change. A lost report is detected at the
next one: the digests differ, and the issuer requests full lists. Until it has them, no backend counts as up if
the list of backends differs, and the head neither exempts other heads nor relays their statements if those lists do.
Duplicate and late reports are detected by their sequence.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Generic, TypeVar

import msgspec

from hophinge.maintenance.messages import BackendListing, HeadReport, ListChange, ListChanges
from hophinge.maintenance.statements import Statement

FULL_LISTS_INTERVAL_US = 1_000_000  # between two full reports of one head, however often they are requested
DIGEST_MODULUS = 1 << 64

Row = TypeVar("Row")


def digest_of(name: str, row: object) -> int:
    """Return the digest of a row, 64 bits: BLAKE2b of its name and content as JSON."""
    encoded = msgspec.json.encode((name, row))
    return int.from_bytes(blake2b(encoded, digest_size=8).digest(), "big")


class ListSender(Generic[Row]):
    """One list at the head; the rows that were sent last are assumed to have been received."""

    def __init__(self) -> None:
        self.sent_rows: dict[str, Row] = {}
        self.digest = 0

    def next_change(self, rows: Mapping[str, Row], is_full: bool) -> ListChange[Row]:
        """Return the changes since the last call, or all rows."""
        changed = {name: row for name, row in rows.items() if self.sent_rows.get(name) != row}
        removed = tuple(name for name in self.sent_rows if name not in rows)
        for name in (*changed, *removed):
            if name in self.sent_rows:
                self.digest -= digest_of(name, self.sent_rows[name])
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in changed.items())) % DIGEST_MODULUS
        self.sent_rows = dict(rows)
        if is_full:
            return ListChange(self.digest, True, self.sent_rows, ())
        return ListChange(self.digest, False, changed, removed)


class ListReceiver(Generic[Row]):
    """One list of one head at the issuer; `is_synchronized`: it equals the head's list as of its last report."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.is_synchronized = False

    def apply(self, change: ListChange[Row]) -> None:
        """Apply a change; changes arrive in the order in which they were made, but some may be lost."""
        if change.is_full:
            self.rows = {}
            self.digest = 0
        for name in (*change.rows, *change.removed):
            if name in self.rows:
                self.digest -= digest_of(name, self.rows.pop(name))
        self.rows.update(change.rows)
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in change.rows.items())) % DIGEST_MODULUS
        self.is_synchronized = self.digest == change.digest


class SnapshotSender:
    """A head's side of one stream."""

    def __init__(self) -> None:
        self.sequence = 0
        self.backends: ListSender[BackendListing] = ListSender()
        self.members: ListSender[bool] = ListSender()
        self.peer_statements: ListSender[list[Statement]] = ListSender()
        self.answered_request = -1  # the request for full lists answered last; below 0: no report was sent yet
        self.full_lists_us = 0  # when full lists were sent last

    def is_full_due(self, now_us: int, request: int) -> bool:
        """Whether full lists are due; `request` is the number of the issuer's last request for them."""
        if self.answered_request < 0:
            return True
        return request != self.answered_request and now_us - self.full_lists_us >= FULL_LISTS_INTERVAL_US

    def to_changes(self, now_us: int, report: HeadReport, request: int) -> HeadReport:
        """Return the report to send, with its lists as changes; each call counts as a report that was sent."""
        is_full = self.is_full_due(now_us, request)
        if is_full:
            self.answered_request = request
            self.full_lists_us = now_us
        self.sequence += 1
        members = {**dict.fromkeys(report.departed_heads, False), **dict.fromkeys(report.live_heads, True)}
        list_changes = ListChanges(
            self.sequence,
            self.backends.next_change(report.backends, is_full),
            self.members.next_change(members, is_full),
            self.peer_statements.next_change(report.peer_statements, is_full),
        )
        return msgspec.structs.replace(
            report, list_changes=list_changes, backends={}, live_heads=(), departed_heads=(), peer_statements={}
        )


class SnapshotReceiver:
    """The issuer's side of one stream; `full_lists_request` is the number of its last request for full lists."""

    def __init__(self) -> None:
        self.sequence = 0
        self.backends: ListReceiver[BackendListing] = ListReceiver()
        self.members: ListReceiver[bool] = ListReceiver()
        self.peer_statements: ListReceiver[list[Statement]] = ListReceiver()
        self.full_lists_request = 0

    @property
    def is_synchronized(self) -> bool:
        """Whether all lists equal those of the head as of its last report."""
        return self.backends.is_synchronized and self.members.is_synchronized and self.peer_statements.is_synchronized

    def to_full(self, report: HeadReport) -> HeadReport | None:
        """Return the report with its complete lists; None if a later report has been received already."""
        list_changes = report.list_changes
        if list_changes is None:
            return report  # of a build that reports complete lists each time
        if list_changes.sequence <= self.sequence:
            return None
        self.sequence = list_changes.sequence
        self.backends.apply(list_changes.backends)
        self.members.apply(list_changes.members)
        self.peer_statements.apply(list_changes.peer_statements)
        if not self.is_synchronized:
            self.full_lists_request += 1
        members = self.members.rows
        departed = tuple(name for name, is_live in members.items() if not is_live)
        # With uncertain lists a head neither exempts other heads nor relays their statements.
        return msgspec.structs.replace(
            report,
            backends=self.backends.rows,
            live_heads=tuple(name for name, is_live in members.items() if is_live),
            departed_heads=departed if self.members.is_synchronized else (),
            peer_statements=self.peer_statements.rows if self.peer_statements.is_synchronized else {},
            is_uncertain=not self.backends.is_synchronized,
        )
