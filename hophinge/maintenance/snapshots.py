"""Lists that a head reports again and again: what changed, with a digest of the whole; whole lists when asked for.

The digest is a sum of prints, so both sides follow it change by change. A report that was lost shows at the next one:
the digests differ, the issuer is unsure, and asks. What it is unsure of counts as the worse of both. One that comes
twice or late is known by its number.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Generic, TypeVar

import msgspec

from hophinge.maintenance.drains import Statement
from hophinge.maintenance.messages import BackendListing, HeadReport, ListChange, ListChanges

FULL_LISTS_INTERVAL_US = 1_000_000  # between two whole lists of one head, however often it is asked
DIGEST_MODULUS = 1 << 64

Row = TypeVar("Row")


def digest_of(name: str, row: object) -> int:
    """Tell a row's print, by blake2b of its name and its JSON."""
    encoded = msgspec.json.encode((name, row))
    return int.from_bytes(blake2b(encoded, digest_size=8).digest(), "big")


class ListSender(Generic[Row]):
    """One list at the head: what was told last, as if it had come."""

    def __init__(self) -> None:
        self.sent_rows: dict[str, Row] = {}
        self.digest = 0

    def next_change(self, rows: Mapping[str, Row], is_full: bool) -> ListChange[Row]:
        """Tell what changed since it was told last, or all of it."""
        changed = {name: row for name, row in rows.items() if self.sent_rows.get(name) != row}
        removed = tuple(name for name in self.sent_rows if name not in rows)
        for name in (*changed, *removed):
            if name in self.sent_rows:
                self.digest -= digest_of(name, self.sent_rows[name])
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in changed.items())) % DIGEST_MODULUS
        self.sent_rows = dict(rows)
        return (
            ListChange(self.digest, True, self.sent_rows, ())
            if is_full
            else ListChange(self.digest, False, changed, removed)
        )


class ListReceiver(Generic[Row]):
    """One list of one head at the issuer; `sure`: it is what the head had when it last told."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.is_synchronized = False

    def apply(self, change: ListChange[Row]) -> None:
        """Take what is told; parts come in the order in which they were made, some may be missing."""
        if change.is_full:
            self.rows, self.digest = {}, 0
        for name in (*change.rows, *change.removed):
            if name in self.rows:
                self.digest -= digest_of(name, self.rows.pop(name))
        self.rows.update(change.rows)
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in change.rows.items())) % DIGEST_MODULUS
        self.is_synchronized = self.digest == change.digest


class SnapshotSender:
    """A head's side of one stream; `asked` is what the issuer's words last asked for."""

    def __init__(self) -> None:
        self.sequence = 0
        self.backends: ListSender[BackendListing] = ListSender()
        self.members: ListSender[bool] = ListSender()
        self.peer_statements: ListSender[list[Statement]] = ListSender()
        self.answered_request = -1  # the first report is whole
        self.full_lists_us = 0

    def is_full_due(self, now_us: int, request: int) -> bool:
        """Tell whether whole lists are due; the number of a question is unlike the one before, and of no other use."""
        return self.answered_request < 0 or (
            request != self.answered_request and now_us - self.full_lists_us >= FULL_LISTS_INTERVAL_US
        )

    def to_changes(self, now_us: int, report: HeadReport, request: int) -> HeadReport:
        """Write a report that is about to go as one that tells changes."""
        is_full = self.is_full_due(now_us, request)
        if is_full:
            self.answered_request, self.full_lists_us = request, now_us
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
    """The issuer's side of one stream; `asks` is the number of its last question for all of it."""

    def __init__(self) -> None:
        self.sequence = 0
        self.backends: ListReceiver[BackendListing] = ListReceiver()
        self.members: ListReceiver[bool] = ListReceiver()
        self.peer_statements: ListReceiver[list[Statement]] = ListReceiver()
        self.full_lists_request = 0

    @property
    def is_synchronized(self) -> bool:
        """Tell whether all lists are as the head has them."""
        return self.backends.is_synchronized and self.members.is_synchronized and self.peer_statements.is_synchronized

    def to_full(self, report: HeadReport) -> HeadReport | None:
        """Make a whole report of one that tells changes; None: a later one has come already."""
        list_changes = report.list_changes
        if list_changes is None:
            return report  # a head of a build that tells all each time
        if list_changes.sequence <= self.sequence:
            return None
        self.sequence = list_changes.sequence
        self.backends.apply(list_changes.backends)
        self.members.apply(list_changes.members)
        self.peer_statements.apply(list_changes.peer_statements)
        if not self.is_synchronized:
            self.full_lists_request += 1
        members = self.members.rows
        # A witness that is not sure lets nobody off, and passes nobody's yes on.
        return msgspec.structs.replace(
            report,
            backends=self.backends.rows,
            live_heads=tuple(name for name, live in members.items() if live),
            departed_heads=tuple(name for name, live in members.items() if not live)
            if self.members.is_synchronized
            else (),
            peer_statements=self.peer_statements.rows if self.peer_statements.is_synchronized else {},
            is_uncertain=not self.backends.is_synchronized,
        )
