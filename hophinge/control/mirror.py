"""What a head holds of the document: a mirror of what the service believes it holds, good or bad."""

from __future__ import annotations

from collections.abc import Iterable

from hophinge.control.wire import Response, Version, WireError, order_of, record_json
from hophinge.routing import records
from hophinge.routing.table import EMPTY, Facts, check

LONGEST_REASON = 2000  # characters


class Mirror:
    """The records of one head, whole or not, beside those of the version in force."""

    def __init__(self, facts: Facts) -> None:
        self.facts = facts
        # What the service believes is held: by name the version, fingerprint and JSON of each record.
        self.held: dict[str, tuple[str, int, bytes]] = {}
        self.records: dict[str, records.Record] = {}  # the same, read
        self.unread: dict[str, str] = {}  # names whose record cannot be read, and why
        self.sum = 0
        self.changed: dict[str, records.Record | None] = {}  # what differs from the version in force, as it is there
        self.table = EMPTY

    def hold(self, name: str, version: str, body: bytes | None) -> None:
        """Take a record, or with None its removal."""
        old = self.held.get(name)
        if old is not None:
            if body == old[2]:
                self.held[name] = (version, old[1], old[2])
                return
            self.sum = (self.sum - old[1]) % records.SUM
        elif body is None:
            return
        if name not in self.changed:
            # Where a record was held that could not be read, the version in force cannot have had it.
            self.changed[name] = self.records.get(name)
        self.records.pop(name, None)
        self.unread.pop(name, None)
        if body is None:
            del self.held[name]
            return
        mark = records.fingerprint(name, body)
        self.held[name] = version, mark, body
        self.sum = (self.sum + mark) % records.SUM
        try:
            record = records.decode(body)
            if record.key != name:
                raise ValueError(f"it holds {record.key}")
            self.records[name] = record
        except ValueError as error:
            self.unread[name] = f"{name}: this head cannot read it: {error}"

    def restored(self, version: Version, rows: Iterable[tuple[str, str, bytes]]) -> list[str]:
        """Take what was kept of a version; tell why it cannot run here, and then nothing is held."""
        for name, text, body in rows:
            self.hold(name, text, body)
        reasons = self.faults()
        if version.sum != self.sum or version.count != len(self.held):
            reasons = ["its records are not those of its version"]
        if reasons:
            self.drop_all()
        return reasons

    def received(self, response: Response) -> tuple[list[str], int]:
        """Take a response's records; tell what could not be read, and how many were older than what is held."""
        wrong, replayed = [], 0
        for one in response.resources:
            try:
                body = record_json(one.body)
            except WireError as error:
                wrong.append(f"{one.name}: {error}")
                continue
            old = self.held.get(one.name)
            if old is not None and order_of(one.version) < order_of(old[0]):
                replayed += 1  # of a response that was here before
                continue
            self.hold(one.name, one.version, body)
        for name in response.removed:
            self.hold(name, "", None)
        return wrong, replayed

    def drop_all(self) -> None:
        """Hold nothing."""
        for name in list(self.held):
            self.hold(name, "", None)

    def faults(self) -> list[str]:
        """Tell why what is held cannot run here; only what differs from the version in force is looked at."""
        reasons = sorted(self.unread.values())
        return reasons or check(self.records, self.changed, self.facts)

    def take_up(self, version: Version) -> None:
        """Make what is held the table in force."""
        now: dict[str, records.Record | None] = {name: self.records.get(name) for name in self.changed}
        changes = {name: record for name, record in now.items() if record is not None or self.changed[name] is not None}
        before = {name: record for name, record in self.changed.items() if record is not None}
        self.table = self.table.changed(version.order, changes, before)
        self.changed = {}


def short(reasons: Iterable[str]) -> str:
    """Tell the first of some reasons, and how many more there are."""
    rows = list(reasons)
    more = f" (and {len(rows) - 5} more)" if len(rows) > 5 else ""
    return ("; ".join(rows[:5]) + more)[:LONGEST_REASON]
