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
from hophinge.maintenance.messages import Listed, Part, Parts, Report

WHOLE_US = 1_000_000  # between two whole lists of one head, however often it is asked
DIGESTS = 1 << 64

Row = TypeVar("Row")


def digest_of(name: str, row: object) -> int:
    """Tell a row's print, by blake2b of its name and its JSON."""
    told = msgspec.json.encode((name, row))
    return int.from_bytes(blake2b(told, digest_size=8).digest(), "big")


class Sender(Generic[Row]):
    """One list at the head: what was told last, as if it had come."""

    def __init__(self) -> None:
        self.told: dict[str, Row] = {}
        self.digest = 0

    def part(self, rows: Mapping[str, Row], whole: bool) -> Part[Row]:
        """Tell what changed since it was told last, or all of it."""
        changed = {name: row for name, row in rows.items() if self.told.get(name) != row}
        lost = tuple(name for name in self.told if name not in rows)
        for name in (*changed, *lost):
            if name in self.told:
                self.digest -= digest_of(name, self.told[name])
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in changed.items())) % DIGESTS
        self.told = dict(rows)
        return Part(self.digest, True, self.told, ()) if whole else Part(self.digest, False, changed, lost)


class Receiver(Generic[Row]):
    """One list of one head at the issuer; `sure`: it is what the head had when it last told."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.sure = False

    def take(self, part: Part[Row]) -> None:
        """Take what is told; parts come in the order in which they were made, some may be missing."""
        if part.whole:
            self.rows, self.digest = {}, 0
        for name in (*part.rows, *part.lost):
            if name in self.rows:
                self.digest -= digest_of(name, self.rows.pop(name))
        self.rows.update(part.rows)
        self.digest = (self.digest + sum(digest_of(name, row) for name, row in part.rows.items())) % DIGESTS
        self.sure = self.digest == part.digest


class Teller:
    """A head's side of one stream; `asked` is what the issuer's words last asked for."""

    def __init__(self) -> None:
        self.number = 0
        self.backends: Sender[Listed] = Sender()
        self.members: Sender[bool] = Sender()
        self.heard: Sender[list[Statement]] = Sender()
        self.answered = -1  # the first report is whole
        self.whole_us = 0

    def owes(self, now_us: int, asked: int) -> bool:
        """Tell whether whole lists are due; the number of a question is unlike the one before, and of no other use."""
        return self.answered < 0 or (asked != self.answered and now_us - self.whole_us >= WHOLE_US)

    def made(self, now_us: int, report: Report, asked: int) -> Report:
        """Write a report that is about to go as one that tells changes."""
        whole = self.owes(now_us, asked)
        if whole:
            self.answered, self.whole_us = asked, now_us
        self.number += 1
        members = {**dict.fromkeys(report.gone, False), **dict.fromkeys(report.live, True)}
        parts = Parts(
            self.number,
            self.backends.part(report.backends, whole),
            self.members.part(members, whole),
            self.heard.part(report.heard, whole),
        )
        return msgspec.structs.replace(report, parts=parts, backends={}, live=(), gone=(), heard={})


class Listener:
    """The issuer's side of one stream; `asks` is the number of its last question for all of it."""

    def __init__(self) -> None:
        self.number = 0
        self.backends: Receiver[Listed] = Receiver()
        self.members: Receiver[bool] = Receiver()
        self.heard: Receiver[list[Statement]] = Receiver()
        self.asks = 0

    @property
    def sure(self) -> bool:
        """Tell whether all lists are as the head has them."""
        return self.backends.sure and self.members.sure and self.heard.sure

    def take(self, report: Report) -> Report | None:
        """Make a whole report of one that tells changes; None: a later one has come already."""
        parts = report.parts
        if parts is None:
            return report  # a head of a build that tells all each time
        if parts.number <= self.number:
            return None
        self.number = parts.number
        self.backends.take(parts.backends)
        self.members.take(parts.members)
        self.heard.take(parts.heard)
        if not self.sure:
            self.asks += 1
        members = self.members.rows
        # A witness that is not sure lets nobody off, and passes nobody's yes on.
        return msgspec.structs.replace(
            report,
            backends=self.backends.rows,
            live=tuple(name for name, live in members.items() if live),
            gone=tuple(name for name, live in members.items() if not live) if self.members.sure else (),
            heard=self.heard.rows if self.heard.sure else {},
            unsure=not self.backends.sure,
        )
